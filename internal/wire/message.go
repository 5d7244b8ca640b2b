package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// noValue is the encoding of an empty value.
const noValue = "-"

// maxShownLength is the maximum number of bytes of a message that an error quotes.
const maxShownLength = 40

// message is one parsed line: the message's name and its fields.
type message struct {
	name   string
	fields map[string]string
}

// textFields are the fields whose value extends to the end of the line.
var textFields = map[string]bool{"facts": true, "message": true}

func parseMessage(text string) (message, error) {
	name, rest, _ := strings.Cut(text, " ")
	m := message{name: name, fields: make(map[string]string, 8)}
	for rest != "" {
		field, tail, ok := strings.Cut(rest, "=")
		if !ok || strings.Contains(field, " ") {
			return m, fmt.Errorf("%s: want name=value, got %q", name, truncate(rest))
		}
		if textFields[field] {
			m.fields[field] = tail
			break
		}
		m.fields[field], rest, _ = strings.Cut(tail, " ")
	}
	return m, nil
}

func truncate(text string) string {
	if len(text) > maxShownLength {
		return text[:maxShownLength] + "..."
	}
	return text
}

// get returns the value of a field, or an empty string if the field is absent.
func (m message) get(field string) string { return m.fields[field] }

// require returns the value of a field. An absent or empty field is an error.
func (m message) require(field string) (string, error) {
	if v := m.fields[field]; v != "" {
		return v, nil
	}
	return "", fmt.Errorf("%s: field %s is missing", m.name, field)
}

// number returns the value of an integer field. An absent or empty field is an error.
func (m message) number(field string) (int64, error) {
	if _, err := m.require(field); err != nil {
		return 0, err
	}
	return m.optionalNumber(field)
}

// optionalNumber returns the value of an integer field, or zero if the field is absent or empty.
func (m message) optionalNumber(field string) (int64, error) {
	v := m.fields[field]
	if v == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: field %s: %q is not a whole number", m.name, field, truncate(v))
	}
	return n, nil
}

func (m message) integer(field string) (int, error) {
	n, err := m.number(field)
	return int(n), err
}

// duration returns the value of a required field that holds nanoseconds.
func (m message) duration(field string) (time.Duration, error) {
	n, err := m.number(field)
	return time.Duration(n), err
}

// float returns the value of a finite number, or zero if the field is absent or empty.
func (m message) float(field string) (float64, error) {
	v := m.fields[field]
	if v == "" {
		return 0, nil
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return 0, fmt.Errorf("%s: field %s: %q is not a number", m.name, field, truncate(v))
	}
	return f, nil
}

// fieldReader reads the fields of a message and records the first error in err.
type fieldReader struct {
	message
	err error
}

func (r *fieldReader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

// The following methods return a zero value after an error, which they record.

func (r *fieldReader) text(field string) string {
	v, err := r.require(field)
	r.fail(err)
	return v
}

func (r *fieldReader) number(field string) int64 {
	v, err := r.message.number(field)
	r.fail(err)
	return v
}

func (r *fieldReader) optionalNumber(field string) int64 {
	v, err := r.message.optionalNumber(field)
	r.fail(err)
	return v
}

func (r *fieldReader) float(field string) float64 {
	v, err := r.message.float(field)
	r.fail(err)
	return v
}
