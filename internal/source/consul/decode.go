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

var errShape = errors.New("consul: the answer is not a list of service instances")

// decoderState is where a decoder is in the list.
type decoderState int

const (
	beforeList decoderState = iota
	beforeElement
	inElement
	afterElement
	afterList
)

// decoder reads the response of /v1/health/service/NAME as it arrives. It holds one element of the list at a time, so
// that a list of thousands of engines with much metadata needs the memory of one.
type decoder struct {
	mapping Mapping
	parser  fastjson.Parser
	element []byte
	state   decoderState
	depth   int  // of braces and brackets in the element
	quoted  bool // in a string
	escaped bool // behind a backslash in a string
	list    []discovery.Endpoint
}

func newDecoder(m Mapping) *decoder { return &decoder{mapping: m} }

// Write takes a piece of the response.
func (d *decoder) Write(p []byte) (int, error) {
	start := 0 // in p, of the current element or its rest
	for i, c := range p {
		if d.state != inElement {
			if err := d.betweenElements(c); err != nil {
				return 0, err
			}
			if d.state == inElement {
				start = i
			}
			continue
		}
		ended, err := d.follow(c)
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
			return 0, fmt.Errorf("consul: an instance has more than %d bytes", maxElementBytes)
		}
	}
	return len(p), nil
}

// betweenElements follows one byte outside of the elements.
func (d *decoder) betweenElements(c byte) error {
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
		return errShape
	}
	return nil
}

// follow follows one byte of an element, and reports whether it is the last one. The parser reads what is inside.
func (d *decoder) follow(c byte) (ended bool, err error) {
	switch {
	case d.escaped:
		d.escaped = false
	case d.quoted:
		d.escaped, d.quoted = c == '\\', c != '"'
	case c == '"':
		d.quoted = true
	case c == '{' || c == '[':
		if d.depth++; d.depth > maxDepth {
			return false, errShape
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
		return fmt.Errorf("consul: more than %d instances", maxElements)
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

// finish returns the list once the whole response has been written.
func (d *decoder) finish() ([]discovery.Endpoint, error) {
	if d.state != afterList {
		return nil, errShape
	}
	return d.list, nil
}
