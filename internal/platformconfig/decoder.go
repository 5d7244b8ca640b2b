package platformconfig

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

// maxNumber bounds numbers, so that a time in nanoseconds fits a time.Duration.
const maxNumber = math.MaxInt64 / 2

// maxShownLength bounds what an error shows of a value, in bytes: it is one line.
const maxShownLength = 60

// FieldError is a value of the configuration that is not allowed.
type FieldError struct {
	Field   string // path of the key, such as settings.services[0].deadline
	Found   string // the value, shortened
	Allowed string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s is not allowed: it must be %s", e.Field, e.Found, e.Allowed)
}

// UnknownValueError is a word that a key of the configuration does not know.
type UnknownValueError struct {
	Field, Found string
	Known        []string
}

func (e *UnknownValueError) Error() string {
	return fmt.Sprintf("%s: %q is not known: it must be one of %q", e.Field, e.Found, e.Known)
}

// decoder reads the fields of a JSON object by their paths, and keeps the first error. A path such as rules.cold names
// a field of an inner object; the empty one names the value itself. What is absent or null reads as zero.
type decoder struct {
	value *fastjson.Value
	name  string // in errors
	err   *error // the first, shared by the decoders of one document
}

func newDecoder(v *fastjson.Value) *decoder { return &decoder{value: v, err: new(error)} }

// lookup returns the value at a path; nil when it is absent or null.
func (d *decoder) lookup(path string) *fastjson.Value {
	v := d.value
	if path != "" {
		v = v.Get(strings.Split(path, ".")...)
	}
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	return v
}

func (d *decoder) has(path string) bool { return d.lookup(path) != nil }

// fail keeps an error, unless there is one already.
func (d *decoder) fail(err error) {
	if *d.err == nil {
		*d.err = err
	}
}

// fieldName is how errors name the field at a path.
func (d *decoder) fieldName(path string) string { return strings.Trim(d.name+"."+path, ".") }

func (d *decoder) notAllowed(path string, v *fastjson.Value, allowed string) {
	found := v.String()
	if len(found) > maxShownLength {
		found = found[:maxShownLength] + "..."
	}
	d.fail(&FieldError{Field: d.fieldName(path), Found: found, Allowed: allowed})
}

// number reads a number that is not negative.
func (d *decoder) number(path string) float64 {
	v := d.lookup(path)
	if v == nil {
		return 0
	}
	n, err := v.Float64()
	if err != nil || n < 0 || n > maxNumber {
		d.notAllowed(path, v, "a number from 0 on")
		return 0
	}
	return n
}

func (d *decoder) integer(path string) int {
	n := d.number(path)
	if n != math.Trunc(n) || n > math.MaxInt32 {
		d.notAllowed(path, d.lookup(path), "a whole number from 0 on")
		return 0
	}
	return int(n)
}

// duration reads nanoseconds.
func (d *decoder) duration(path string) time.Duration { return time.Duration(d.number(path)) }

func (d *decoder) boolean(path string) bool {
	v := d.lookup(path)
	if v == nil {
		return false
	}
	b, err := v.Bool()
	if err != nil {
		d.notAllowed(path, v, "true or false")
	}
	return b
}

func (d *decoder) text(path string) string {
	v := d.lookup(path)
	if v == nil {
		return ""
	}
	b, err := v.StringBytes()
	if err != nil {
		d.notAllowed(path, v, "a string")
	}
	return string(b)
}

// list returns a decoder for each element.
func (d *decoder) list(path string) (list []*decoder) {
	v := d.lookup(path)
	if v == nil {
		return nil
	}
	values, err := v.Array()
	if err != nil {
		d.notAllowed(path, v, "a list")
	}
	for i, element := range values {
		list = append(list, &decoder{value: element, name: fmt.Sprintf("%s[%d]", path, i), err: d.err})
	}
	return list
}

func (d *decoder) texts(path string) (texts []string) {
	for _, element := range d.list(path) {
		texts = append(texts, element.text(""))
	}
	return texts
}

// element returns the decoder of one element of a list; that of an absent one reads zeroes.
func element(list []*decoder, i int) *decoder {
	if i < len(list) {
		return list[i]
	}
	return newDecoder(nil)
}

// oneOf reads a word, and returns the value that stands for it.
func oneOf[T any](d *decoder, path string, values map[string]T) T {
	word := d.text(path)
	value, known := values[word]
	if !known {
		d.fail(&UnknownValueError{
			Field: d.fieldName(path), Found: word, Known: slices.Sorted(maps.Keys(values)),
		})
	}
	return value
}
