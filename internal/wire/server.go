// Package wire connects the simulator to controllers: it carries batches of events to one controller for each
// simulated gateway, and their actions back. It decides nothing.
//
// A batch begins with a tick, which tells the time, and ends with eof_batch. Its reply is the actions of all gateways
// that had events, and a line that says ready. decode.go maps messages to the controller's events, encode.go its
// actions to messages; the names of messages and fields are the simulator's.
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

// The sizes of the buffers, in bytes: a batch and its reply fit in.
const (
	inputBuffer  = 1 << 20
	outputBuffer = 1 << 18
)

// gateway is one simulated gateway: its controller, the names of its settings, and its events of the current batch.
type gateway struct {
	controller *admission.Controller
	names      platformconfig.Names
	batch      []admission.Event
	running    bool
}

// server is the state of one run of the simulator.
type server struct {
	in       *bufio.Reader
	out      *bufio.Writer // its first error stays and comes back from Flush
	line     int
	now      time.Duration
	gateways map[int]*gateway
	touched  []int           // gateways with events in this batch, in order of arrival
	catalogs map[int]catalog // engine lists by id, which later messages refer to
}

// catalog is an engine list: the fields of each engine.
type catalog []map[string]string

// Serve reads batches from in and writes one reply each to out, until in ends.
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

// readLine reads one line; ok is false at the end of input.
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

// serveBatch answers one batch; false at the end of input.
func (s *server) serveBatch() (bool, error) {
	text, ok, err := s.readLine()
	for ok && text == "" {
		text, ok, err = s.readLine()
	}
	if !ok || err != nil {
		return false, err
	}
	if err := s.tick(text); err != nil {
		return false, err
	}
	s.touched = s.touched[:0]
	if err := s.readEvents(); err != nil {
		return false, err
	}
	for _, id := range s.touched {
		s.step(id)
	}
	s.out.WriteString("ready\n")
	return true, s.out.Flush()
}

// tick takes the time of a batch.
func (s *server) tick(text string) error {
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

// readEvents takes the events of a batch up to its end.
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
		if err := s.takeEvent(text); err != nil {
			return err
		}
	}
}

func (s *server) takeEvent(text string) error {
	m, err := parseMessage(text)
	if err != nil {
		return err
	}
	if m.name == "catalog" {
		return s.takeCatalog(m)
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
	s.touch(id)
	return nil
}

func (s *server) touch(id int) {
	if !slices.Contains(s.touched, id) {
		s.touched = append(s.touched, id)
	}
}

// begin starts a gateway, also in place of one that runs.
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
	s.touch(id)
	return nil
}

// takeCatalog reads an engine list, one line for each engine.
func (s *server) takeCatalog(m message) error {
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

// step runs a gateway's events through its controller and writes its actions. A controller that panics ends its gateway
// with the message fatal, and no other.
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
		s.write(id, action)
	}
}
