package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// noValue stands for an empty value.
const noValue = "-"

// maxShownLength bounds what an error shows of a message, in bytes.
const maxShownLength = 40

// message is one parsed line: a name and its fields.
type message struct {
	name   string
	fields map[string]string
}

// textFields run on to the end of their line.
var textFields = map[string]bool{"facts": true, "message": true}

func parseMessage(text string) (message, error) {
	name, rest, _ := strings.Cut(text, " ")
	m := message{name: name, fields: make(map[string]string, 8)}
	for rest != "" {
		field, tail, ok := strings.Cut(rest, "=")
		if !ok || strings.Contains(field, " ") {
			return m, fmt.Errorf("%s: want name=value, got %q", name, clip(rest))
		}
		if textFields[field] {
			m.fields[field] = tail
			break
		}
		m.fields[field], rest, _ = strings.Cut(tail, " ")
	}
	return m, nil
}

func clip(text string) string {
	if len(text) > maxShownLength {
		return text[:maxShownLength] + "..."
	}
	return text
}

// get returns a field; an absent one is empty.
func (m message) get(field string) string { return m.fields[field] }

// require returns a field that must be there and not empty.
func (m message) require(field string) (string, error) {
	if v := m.fields[field]; v != "" {
		return v, nil
	}
	return "", fmt.Errorf("%s: field %s is missing", m.name, field)
}

// number reads a whole number, which must be there.
func (m message) number(field string) (int64, error) {
	if _, err := m.require(field); err != nil {
		return 0, err
	}
	return m.optionalNumber(field)
}

// optionalNumber reads a whole number; an absent one is zero.
func (m message) optionalNumber(field string) (int64, error) {
	v := m.fields[field]
	if v == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: field %s: %q is not a whole number", m.name, field, clip(v))
	}
	return n, nil
}

func (m message) integer(field string) (int, error) {
	n, err := m.number(field)
	return int(n), err
}

// duration reads nanoseconds.
func (m message) duration(field string) (time.Duration, error) {
	n, err := m.number(field)
	return time.Duration(n), err
}

// float reads a finite number; an absent one is zero.
func (m message) float(field string) (float64, error) {
	v := m.fields[field]
	if v == "" {
		return 0, nil
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return 0, fmt.Errorf("%s: field %s: %q is not a number", m.name, field, clip(v))
	}
	return f, nil
}

// fieldReader reads several fields of a message and keeps the first error.
type fieldReader struct {
	message
	err error
}

func (r *fieldReader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

// The readers of fields return zero where they keep an error.

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
