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

// maxNumber bounds numbers, so that a number of nanoseconds fits in a time.Duration.
const maxNumber = math.MaxInt64 / 2

// maxShownLength is the maximum number of bytes of a value that an error shows, so that the error stays on one line.
const maxShownLength = 60

// FieldError reports a value that its field does not allow.
type FieldError struct {
	Field   string // path of the key, such as settings.services[0].deadline
	Found   string // the value, shortened
	Allowed string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s is not allowed: it must be %s", e.Field, e.Found, e.Allowed)
}

// UnknownValueError reports a string that is none of the values that its field allows.
type UnknownValueError struct {
	Field, Found string
	Known        []string
}

func (e *UnknownValueError) Error() string {
	return fmt.Sprintf("%s: %q is not known: it must be one of %q", e.Field, e.Found, e.Known)
}

// decoder decodes the fields of a JSON object by their paths, and records the first error. A path such as rules.cold
// names a field of a nested object; the empty path names the value itself. A field that is absent or null is zero.
type decoder struct {
	value *fastjson.Value
	name  string // path of value in errors
	err   *error // the first error; shared by the decoders of one document
}

func newDecoder(v *fastjson.Value) *decoder { return &decoder{value: v, err: new(error)} }

// lookup returns the value at a path; nil if the value is absent or null.
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

// fail records an error, unless an earlier one is recorded.
func (d *decoder) fail(err error) {
	if *d.err == nil {
		*d.err = err
	}
}

// fieldName returns the name of the field at a path for use in errors.
func (d *decoder) fieldName(path string) string { return strings.Trim(d.name+"."+path, ".") }

func (d *decoder) notAllowed(path string, v *fastjson.Value, allowed string) {
	found := v.String()
	if len(found) > maxShownLength {
		found = found[:maxShownLength] + "..."
	}
	d.fail(&FieldError{Field: d.fieldName(path), Found: found, Allowed: allowed})
}

// number decodes a non-negative number.
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

// duration decodes a number of nanoseconds.
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

// list returns a decoder for each element of a list.
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

// element returns the decoder of element i of a list. For an absent element, the decoder returns zero values.
func element(list []*decoder, i int) *decoder {
	if i < len(list) {
		return list[i]
	}
	return newDecoder(nil)
}

// oneOf decodes a string, and returns the value that the map values has for this string.
func oneOf[T any](d *decoder, path string, values map[string]T) T {
	found := d.text(path)
	value, known := values[found]
	if !known {
		d.fail(&UnknownValueError{
			Field: d.fieldName(path), Found: found, Known: slices.Sorted(maps.Keys(values)),
		})
	}
	return value
}
