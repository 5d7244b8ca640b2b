package consul

import (
	"errors"
	"fmt"

	"github.com/valyala/fastjson"

	"beechcart/decision/discovery"
)

// Limits of one response.
const (
	maxElementBytes = 1 << 20
	maxElements     = 100_000
	maxDepth        = 32
)

var errMalformed = errors.New("consul: response is not a list of service instances")

// decoderState is the position of a decoder in the list.
type decoderState int

const (
	beforeList decoderState = iota
	beforeElement
	inElement
	afterElement
	afterList
)

// decoder decodes the response of /v1/health/service/NAME as it arrives. It buffers one element of the list at a time,
// so that a list of thousands of engines with much metadata needs buffer memory for one engine only.
type decoder struct {
	mapping Mapping
	parser  fastjson.Parser
	element []byte
	state   decoderState
	depth   int  // nesting of braces and brackets in the element
	quoted  bool // inside a string
	escaped bool // after a backslash in a string
	list    []discovery.Endpoint
}

func newDecoder(m Mapping) *decoder { return &decoder{mapping: m} }

// Write decodes the next part of the response.
func (d *decoder) Write(p []byte) (int, error) {
	start := 0 // index in p of the current element, or of the rest of an element that began in an earlier part
	for i, c := range p {
		if d.state != inElement {
			if err := d.scanSeparator(c); err != nil {
				return 0, err
			}
			if d.state == inElement {
				start = i
			}
			continue
		}
		ended, err := d.scanElement(c)
		if err != nil {
			return 0, err
		}
		if ended {
			d.element = append(d.element, p[start:i+1]...)
			if err := d.addElement(); err != nil {
				return 0, err
			}
			d.state = afterElement
		}
	}
	if d.state == inElement {
		if d.element = append(d.element, p[start:]...); len(d.element) > maxElementBytes {
			return 0, fmt.Errorf("consul: service instance in the response exceeds %d bytes", maxElementBytes)
		}
	}
	return len(p), nil
}

// scanSeparator processes one byte outside the elements.
func (d *decoder) scanSeparator(c byte) error {
	switch {
	case c == ' ' || c == '\n' || c == '\r' || c == '\t':
	case d.state == beforeList && c == '[':
		d.state = beforeElement
	case d.state == afterElement && c == ']', d.state == beforeElement && c == ']' && len(d.list) == 0:
		d.state = afterList
	case d.state == afterElement && c == ',':
		d.state = beforeElement
	case d.state == beforeElement && c == '{':
		d.state, d.depth = inElement, 1
	default:
		return errMalformed
	}
	return nil
}

// scanElement processes one byte of an element, and reports whether the element ends with this byte. It tracks only
// strings and nesting; the JSON parser checks the content.
func (d *decoder) scanElement(c byte) (ended bool, err error) {
	switch {
	case d.escaped:
		d.escaped = false
	case d.quoted:
		d.escaped, d.quoted = c == '\\', c != '"'
	case c == '"':
		d.quoted = true
	case c == '{' || c == '[':
		if d.depth++; d.depth > maxDepth {
			return false, errMalformed
		}
	case c == '}' || c == ']':
		d.depth--
		return d.depth == 0, nil
	}
	return false, nil
}

// addElement parses the current element and adds it to the list.
func (d *decoder) addElement() error {
	if len(d.list) == maxElements {
		return fmt.Errorf("consul: response exceeds %d service instances", maxElements)
	}
	instance, err := d.parser.ParseBytes(d.element)
	d.element = d.element[:0]
	if err != nil {
		return fmt.Errorf("consul: %w", err)
	}
	e, err := d.mapping.endpoint(instance)
	if err != nil {
		return err
	}
	d.list = append(d.list, e)
	return nil
}

// finish returns the list. It must be called after the whole response has been written.
func (d *decoder) finish() ([]discovery.Endpoint, error) {
	if d.state != afterList {
		return nil, errMalformed
	}
	return d.list, nil
}
