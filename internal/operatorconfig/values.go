package operatorconfig

import (
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

const bytesPerMegabyte = 1 << 20

// maxMilliseconds is the maximum of a time setting: one week.
const maxMilliseconds = 7 * 24 * 3600 * 1000

// maxShownLength is the maximum number of bytes of a value that an error shows.
const maxShownLength = 40

// FieldError reports a value that its field does not allow.
type FieldError struct {
	Field   string // path of the key, such as consul.addresses[0]
	Found   string // the value, as JSON, shortened
	Allowed string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: found %s, allowed is %s", e.Field, e.Found, e.Allowed)
}

// notAllowed returns the FieldError of a value.
func notAllowed(path string, v *fastjson.Value, allowed string) error {
	found := v.String()
	if len(found) > maxShownLength {
		found = found[:maxShownLength] + "..."
	}
	return &FieldError{Field: path, Found: found, Allowed: allowed}
}

// UnknownFieldError reports a key that the settings do not have.
type UnknownFieldError struct {
	Field string   // path of the key
	Known []string // keys of the same object
}

func (e *UnknownFieldError) Error() string {
	return fmt.Sprintf("%s: not known; allowed are %s", e.Field, strings.Join(e.Known, ", "))
}

// decodeFunc decodes one value into the variable for which the decodeFunc was created. path names the value in errors.
type decodeFunc func(path string, v *fastjson.Value) error

// objectDecoder decodes an object. It holds a decodeFunc for each allowed key.
type objectDecoder map[string]decodeFunc

// decode stops at the first error.
func (o objectDecoder) decode(path string, v *fastjson.Value) error {
	object, err := v.Object()
	if err != nil {
		return notAllowed(path, v, "an object")
	}
	object.Visit(func(key []byte, value *fastjson.Value) {
		if err != nil {
			return
		}
		field := strings.TrimPrefix(path+"."+string(key), ".")
		decode, known := o[string(key)]
		if !known {
			err = &UnknownFieldError{Field: field, Known: slices.Sorted(maps.Keys(o))}
			return
		}
		err = decode(field, value)
	})
	return err
}

func text(target *string) decodeFunc {
	return func(path string, v *fastjson.Value) error {
		b, err := v.StringBytes()
		if err != nil {
			return notAllowed(path, v, "a string")
		}
		*target = string(b)
		return nil
	}
}

func oneOf[T ~string](target *T, allowed ...T) decodeFunc {
	return func(path string, v *fastjson.Value) error {
		found := T(v.GetStringBytes())
		if slices.Contains(allowed, found) {
			*target = found
			return nil
		}
		var quoted []string
		for _, value := range allowed {
			quoted = append(quoted, `"`+string(value)+`"`)
		}
		return notAllowed(path, v, strings.Join(quoted, " or "))
	}
}

func logLevel(target *slog.Level) decodeFunc {
	return func(path string, v *fastjson.Value) error {
		var name string
		if err := oneOf(&name, "debug", "info", "warn", "error")(path, v); err != nil {
			return err
		}
		return target.UnmarshalText([]byte(name))
	}
}

func textList(target *[]string) decodeFunc {
	return func(path string, v *fastjson.Value) error {
		list, err := v.Array()
		if err != nil {
			return notAllowed(path, v, "a list of strings")
		}
		*target = nil
		for i, value := range list {
			var element string
			if err := text(&element)(elementPath(path, i), value); err != nil {
				return err
			}
			*target = append(*target, element)
		}
		return nil
	}
}

func controlReplicas(target *[]ControlReplica) decodeFunc {
	return func(path string, v *fastjson.Value) error {
		list, err := v.Array()
		if err != nil {
			return notAllowed(path, v, "a list of objects")
		}
		*target = nil
		for i, value := range list {
			var replica ControlReplica
			decoder := objectDecoder{
				"name":   text(&replica.Name),
				"log":    text(&replica.LogAddress),
				"ask":    text(&replica.APIAddress),
				"gossip": text(&replica.GossipAddress),
			}
			if err := decoder.decode(elementPath(path, i), value); err != nil {
				return err
			}
			*target = append(*target, replica)
		}
		return nil
	}
}

// dialOverrides decodes a list of strings of the form FROM=TO.
func dialOverrides(target *map[string]string) decodeFunc {
	return func(path string, v *fastjson.Value) error {
		var list []string
		if err := textList(&list)(path, v); err != nil {
			return err
		}
		*target = nil
		for i, override := range list {
			if *target == nil {
				*target = map[string]string{}
			}
			from, to, ok := strings.Cut(override, "=")
			if !ok {
				return &FieldError{Field: elementPath(path, i), Found: strconv.Quote(override), Allowed: "FROM=TO"}
			}
			(*target)[from] = to
		}
		return nil
	}
}

func elementPath(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

func boolean(target *bool) decodeFunc {
	return func(path string, v *fastjson.Value) (err error) {
		if *target, err = v.Bool(); err != nil {
			return notAllowed(path, v, "true or false")
		}
		return nil
	}
}

// numberBetween decodes a number from low to high, both included.
func numberBetween(path string, v *fastjson.Value, low, high float64) (float64, error) {
	n, err := v.Float64()
	if err != nil || n < low || n > high || math.IsNaN(n) {
		return 0, notAllowed(path, v, fmt.Sprintf("a number from %v to %v", low, high))
	}
	return n, nil
}

func number(target *float64) decodeFunc { return boundedNumber(target, 1e6) }

// fraction decodes a number from 0 to 1.
func fraction(target *float64) decodeFunc { return boundedNumber(target, 1) }

func boundedNumber(target *float64, high float64) decodeFunc {
	return func(path string, v *fastjson.Value) error {
		n, err := numberBetween(path, v, 0, high)
		if err == nil {
			*target = n
		}
		return err
	}
}

func integer(target *int, low, high int) decodeFunc {
	return func(path string, v *fastjson.Value) error {
		n, err := v.Int()
		if err != nil || n < low || n > high {
			return notAllowed(path, v, fmt.Sprintf("a whole number from %d to %d", low, high))
		}
		*target = n
		return nil
	}
}

// megabytes decodes a whole number of megabytes into bytes.
func megabytes(target *int) decodeFunc {
	return func(path string, v *fastjson.Value) error {
		var n int
		if err := integer(&n, 1, 1024)(path, v); err != nil {
			return err
		}
		*target = n * bytesPerMegabyte
		return nil
	}
}

func milliseconds(target *time.Duration) decodeFunc {
	return func(path string, v *fastjson.Value) error {
		n, err := numberBetween(path, v, 0, maxMilliseconds)
		if err == nil {
			*target = time.Duration(n * float64(time.Millisecond))
		}
		return err
	}
}
