// Package wire implements the simulator's line protocol. It passes batches of events to one admission controller for
// each simulated gateway, and returns the controllers' actions. The package makes no decisions of its own.
//
// A batch begins with the message tick, which carries the current time, and ends with the line eof_batch. The reply
// holds the actions of all gateways that began or received events in the batch, followed by the line ready. decode.go
// converts messages to the controller's events, and encode.go converts its actions to messages. The simulator defines
// the names of messages and fields.
package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"beechcart/admission"
	"beechcart/internal/platformconfig"
)

// Sizes of the input and output buffers in bytes, large enough for a batch and its reply.
const (
	inputBuffer  = 1 << 20
	outputBuffer = 1 << 18
)

// gateway is one simulated gateway: its controller, the names in its settings, and its events of the current batch.
type gateway struct {
	controller *admission.Controller
	names      platformconfig.Names
	batch      []admission.Event
	running    bool // false after the message kill or a panic of the controller
}

// server is the state of one simulator run.
type server struct {
	in       *bufio.Reader
	out      *bufio.Writer // keeps its first error, which Flush returns
	line     int           // number of the last line read, for errors
	now      time.Duration // time of the current batch
	gateways map[int]*gateway
	active   []int           // ids of the gateways that began or received events in this batch, in that order
	catalogs map[int]catalog // engine lists by id, which later messages refer to
}

// catalog is a list of engines, each as the fields of its message.
type catalog []map[string]string

// Serve reads batches from in and writes one reply to out for each batch, until in ends. An error names the line of the
// input.
func Serve(in io.Reader, out io.Writer) error {
	s := &server{
		in:       bufio.NewReaderSize(in, inputBuffer),
		out:      bufio.NewWriterSize(out, outputBuffer),
		gateways: map[int]*gateway{},
		catalogs: map[int]catalog{},
	}
	for {
		more, err := s.serveBatch()
		if err != nil {
			return fmt.Errorf("line %d: %w", s.line, err)
		}
		if !more {
			return nil
		}
	}
}

// readLine reads one line and removes its line ending. ok is false at the end of input.
func (s *server) readLine() (text string, ok bool, err error) {
	text, err = s.in.ReadString('\n')
	if err == io.EOF && text == "" {
		return "", false, nil
	}
	if err != nil && err != io.EOF {
		return "", false, err
	}
	s.line++
	return strings.TrimRight(text, "\r\n"), true, nil
}

// serveBatch reads and answers one batch. It returns false at the end of input.
func (s *server) serveBatch() (bool, error) {
	text, ok, err := s.readLine()
	for ok && text == "" {
		text, ok, err = s.readLine()
	}
	if !ok || err != nil {
		return false, err
	}
	if err := s.readTick(text); err != nil {
		return false, err
	}
	s.active = s.active[:0]
	if err := s.readEvents(); err != nil {
		return false, err
	}
	for _, id := range s.active {
		s.step(id)
	}
	s.out.WriteString("ready\n")
	return true, s.out.Flush()
}

// readTick parses the first message of a batch and sets the current time.
func (s *server) readTick(text string) error {
	m, err := parseMessage(text)
	if err != nil {
		return err
	}
	if m.name != "tick" {
		return fmt.Errorf("want tick, got %q", m.name)
	}
	s.now, err = m.duration("clock")
	return err
}

// readEvents reads the messages of a batch up to its end and queues their events.
func (s *server) readEvents() error {
	for {
		text, ok, err := s.readLine()
		if err != nil {
			return err
		}
		if !ok {
			return errors.New("input ended inside a batch")
		}
		if text == "eof_batch" {
			return nil
		}
		if err := s.readEvent(text); err != nil {
			return err
		}
	}
}

// readEvent parses a message. It applies a begin, kill or catalog message at once, and queues the event of any other
// message for its gateway. Events for a gateway that is not running are discarded.
func (s *server) readEvent(text string) error {
	m, err := parseMessage(text)
	if err != nil {
		return err
	}
	if m.name == "catalog" {
		return s.readCatalog(m)
	}
	id, err := m.integer("who")
	if err != nil {
		return err
	}
	g := s.gateways[id]
	switch {
	case m.name == "begin":
		return s.begin(id, m)
	case g == nil:
		return fmt.Errorf("who: no instance %d has begun", id)
	case m.name == "kill":
		g.controller, g.batch, g.running = nil, g.batch[:0], false
		return nil
	case !g.running:
		return nil
	}
	event, err := s.decode(g, m)
	if err != nil || event == nil {
		return err
	}
	g.batch = append(g.batch, event)
	s.markActive(id)
	return nil
}

func (s *server) markActive(id int) {
	if !slices.Contains(s.active, id) {
		s.active = append(s.active, id)
	}
}

// begin starts a gateway. A gateway with the same id is replaced, even if it is running.
func (s *server) begin(id int, m message) error {
	seed, err := strconv.ParseUint(m.get("rng_seed"), 10, 64)
	if err != nil {
		signed, signedErr := strconv.ParseInt(m.get("rng_seed"), 10, 64)
		if signedErr != nil {
			return fmt.Errorf("rng_seed: %w", err)
		}
		seed = uint64(signed)
	}
	settings, names, err := platformconfig.Parse([]byte(m.get("facts")))
	if err != nil {
		return fmt.Errorf("facts: %w", err)
	}
	controller, err := admission.New(settings, seed)
	if err != nil {
		return fmt.Errorf("facts: %w", err)
	}
	s.gateways[id] = &gateway{controller: controller, names: names, running: true}
	s.markActive(id)
	return nil
}

// readCatalog reads the engines of a catalog, one line for each, and replaces the catalog with the same id.
func (s *server) readCatalog(m message) error {
	id, err := m.integer("roster_id")
	if err != nil {
		return err
	}
	n, err := m.integer("records")
	if err != nil {
		return err
	}
	if n < 0 {
		return fmt.Errorf("records: %d is negative", n)
	}
	var list catalog
	for range n {
		text, ok, err := s.readLine()
		if err != nil {
			return err
		}
		if !ok {
			return errors.New("input ended inside a catalog")
		}
		engine, err := parseMessage(text)
		if err != nil {
			return err
		}
		if engine.name != "engine" {
			return fmt.Errorf("want engine, got %q", engine.name)
		}
		list = append(list, engine.fields)
	}
	s.catalogs[id] = list
	return nil
}

// step passes a gateway's events to its controller and writes the resulting actions. If the controller panics, step
// writes the message fatal and stops the gateway. Other gateways continue.
func (s *server) step(id int) {
	g := s.gateways[id]
	if g == nil || !g.running {
		return
	}
	defer func() {
		g.batch = g.batch[:0]
		if p := recover(); p != nil {
			fmt.Fprintf(s.out, "fatal who=%d message=%s\n", id, oneLine(fmt.Sprint(p)))
			g.running = false
		}
	}()
	for _, action := range g.controller.Step(s.now, g.batch) {
		s.writeAction(id, action)
	}
}
