// Package wire carries batches of events from the bench to one controller per instance, and their actions
// back. It decides nothing.
package wire

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"beechcart/admission"
	"beechcart/internal/platformconfig"
)

// instance is one gateway: its controller and the names it was given in its settings.
type instance struct {
	ctl   *admission.Controller
	names platformconfig.Names
	batch []admission.Event
	live  bool
}

// server is the state of one run of the adapter.
type server struct {
	in      *bufio.Reader
	out     *bufio.Writer
	line    int
	now     time.Duration
	insts   map[int]*instance
	touched []int // instances with events in this batch, in order of arrival
	lists   map[int]roster
}

type roster []map[string]string

// Serve reads batches from in and writes one reply each to out, until in ends.
func Serve(in io.Reader, out io.Writer) error {
	s := &server{
		in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<18),
		insts: map[int]*instance{}, lists: map[int]roster{},
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

// next reads one line; ok is false at the end of input.
func (s *server) next() (text string, ok bool, err error) {
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

func (s *server) serveBatch() (bool, error) {
	text, ok, err := s.next()
	for ok && text == "" {
		text, ok, err = s.next()
	}
	if !ok || err != nil {
		return false, err
	}
	head, err := parseLine(text)
	if err != nil {
		return false, err
	}
	if head.op != "tick" {
		return false, fmt.Errorf("want tick, got %q", head.op)
	}
	if s.now, err = head.dur("clock"); err != nil {
		return false, err
	}
	s.touched = s.touched[:0]
	for {
		text, ok, err = s.next()
		if err != nil {
			return false, err
		}
		if !ok {
			return false, fmt.Errorf("input ended inside a batch")
		}
		if text == "eof_batch" {
			break
		}
		if err = s.event(text); err != nil {
			return false, err
		}
	}
	for _, who := range s.touched {
		s.step(who)
	}
	s.out.WriteString("ready\n")
	return true, s.out.Flush()
}

// event takes one line of a batch in.
func (s *server) event(text string) error {
	l, err := parseLine(text)
	if err != nil {
		return err
	}
	if l.op == "catalog" {
		return s.catalog(l)
	}
	who, err := l.integer("who")
	if err != nil {
		return err
	}
	in := s.insts[who]
	switch {
	case l.op == "begin":
		return s.begin(who, l)
	case in == nil:
		return fmt.Errorf("who: no instance %d has begun", who)
	case l.op == "kill":
		in.ctl, in.batch, in.live = nil, in.batch[:0], false
		return nil
	case !in.live:
		return nil
	}
	ev, err := s.decode(in, l)
	if err != nil || ev == nil {
		return err
	}
	in.batch = append(in.batch, ev)
	s.touch(who)
	return nil
}

func (s *server) touch(who int) {
	for _, w := range s.touched {
		if w == who {
			return
		}
	}
	s.touched = append(s.touched, who)
}

func (s *server) begin(who int, l line) error {
	seed, err := strconv.ParseUint(l.get("rng_seed"), 10, 64)
	if err != nil {
		signed, err2 := strconv.ParseInt(l.get("rng_seed"), 10, 64)
		if err2 != nil {
			return fmt.Errorf("rng_seed: %w", err)
		}
		seed = uint64(signed)
	}
	set, n, err := platformconfig.Parse([]byte(l.get("facts")))
	if err != nil {
		return fmt.Errorf("facts: %w", err)
	}
	ctl, err := admission.New(set, seed)
	if err != nil {
		return fmt.Errorf("facts: %w", err)
	}
	s.insts[who] = &instance{ctl: ctl, names: n, live: true}
	s.touch(who)
	return nil
}

func (s *server) catalog(l line) error {
	id, err := l.integer("roster_id")
	if err != nil {
		return err
	}
	n, err := l.integer("records")
	if err != nil {
		return err
	}
	if n < 0 {
		return fmt.Errorf("records: %d is negative", n)
	}
	var list roster
	for range n {
		text, ok, err := s.next()
		if err != nil {
			return err
		}
		if !ok {
			return fmt.Errorf("input ended inside a catalog")
		}
		e, err := parseLine(text)
		if err != nil {
			return err
		}
		if e.op != "engine" {
			return fmt.Errorf("want engine, got %q", e.op)
		}
		list = append(list, e.kv)
	}
	s.lists[id] = list
	return nil
}

// step runs one instance's events through its controller and writes its actions.
func (s *server) step(who int) {
	in := s.insts[who]
	if in == nil || !in.live {
		return
	}
	defer func() {
		in.batch = in.batch[:0]
		if p := recover(); p != nil {
			fmt.Fprintf(s.out, "fatal who=%d message=%s\n", who, oneLine(fmt.Sprint(p)))
			in.live = false
		}
	}()
	for _, a := range in.ctl.Step(s.now, in.batch) {
		s.write(who, a)
	}
}

func oneLine(t string) string { return strings.ReplaceAll(strings.ReplaceAll(t, "\n", " "), "\r", " ") }

// write puts one action on the wire.
func (s *server) write(who int, a admission.Action) {
	w := s.out
	switch a := a.(type) {
	case admission.Send:
		fmt.Fprintf(w, "transmit who=%d ticket=%s engine=%d", who, a.ID, a.Engine)
		if a.Timeout > 0 {
			fmt.Fprintf(w, " cap=%d", int64(a.Timeout))
		}
		w.WriteByte('\n')
	case admission.Terms:
		grant := strconv.FormatFloat(a.GrantMB, 'f', -1, 64)
		fmt.Fprintf(w, "terms who=%d ticket=%s lane=%d memory_grant=%s\n", who, a.ID, a.Priority, grant)
	case admission.Reject:
		fmt.Fprintf(w, "refuse who=%d ticket=%s pause=%d\n", who, a.ID, int64(a.RetryAfter))
	case admission.Fail:
		fmt.Fprintf(w, "finish_error who=%d ticket=%s\n", who, a.ID)
	case admission.Cancel:
		fmt.Fprintf(w, "recall who=%d ticket=%s go=%d\n", who, a.ID, a.Attempt)
	case admission.HealthCheck:
		fmt.Fprintf(w, "ping who=%d engine=%d\n", who, a.Engine)
	case admission.CloseIdle:
		fmt.Fprintf(w, "free_links who=%d engine=%d\n", who, a.Engine)
	case admission.SendGossip:
		to := "*"
		if a.To >= 0 {
			to = strconv.Itoa(a.To)
		}
		data := hex.EncodeToString(a.Data)
		if data == "" {
			data = "-"
		}
		fmt.Fprintf(w, "share who=%d to=%s data=%s\n", who, to, data)
	case admission.SetTimer:
		fmt.Fprintf(w, "schedule who=%d delay=%d nonce=%d\n", who, int64(a.Delay), a.Token)
	case admission.WatchEndpoints:
		fmt.Fprintf(w, "watch who=%d enable=%d\n", who, b2i(a.On))
	case admission.PollEndpoints:
		fmt.Fprintf(w, "get_list who=%d\n", who)
	case admission.Log:
		fmt.Fprintf(w, "note_down who=%d message=%s\n", who, oneLine(a.Text))
	}
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
