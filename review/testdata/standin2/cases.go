package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

var cases = map[int]func(*scene) error{
	6: secondCopy, 7: appendedCall, 8: cutLength, 9: overlap, 10: trimmed,
}

// pad returns a statement with a comment or list that makes it a given size.
func pad(start, end string, size int) string {
	var b strings.Builder
	b.WriteString(start)
	for i := 0; b.Len() < size-len(end)-8; i++ {
		fmt.Fprintf(&b, "%07d,", i)
	}
	b.WriteString("0" + end)
	return b.String()
}

const (
	loadBytes   = 100 << 10
	reportBytes = 100 << 10
)

// appendedCall: an engine hangs while loads are uploaded to it, and goes on. Every statement that an engine runs must
// be one that a client has sent under that id, and every served answer one that an engine made for the request.
func appendedCall(s *scene) error {
	if err := s.startEngines(3, "receive_buffer=4096"); err != nil {
		return err
	}
	if err := s.startFrontEnds(1, settings(0.02)); err != nil {
		return err
	}
	stop := make(chan struct{})
	waitLookups := s.stream(2, stop, func() { s.ask("lookup", "SELECT a, sleep_20 FROM sales_17.orders", 2500) })
	waitReports := s.stream(16, stop, func() {
		s.ask("report", pad("SELECT a, sleep_500 FROM sales_17.orders WHERE id IN (", ")", reportBytes), 25000)
	})
	time.Sleep(5 * time.Second)
	if s.trouble {
		s.signalEngine(s.engines[0], syscall.SIGSTOP)
	}
	var loads sync.WaitGroup
	for range 15 {
		loads.Go(func() {
			s.ask("load", pad("INSERT INTO sales_3.telemetry SELECT sleep_100, x FROM list(", ")", loadBytes), 25000)
		})
	}
	time.Sleep(7750 * time.Millisecond)
	if s.trouble {
		s.signalEngine(s.engines[0], syscall.SIGCONT)
	}
	time.Sleep(5 * time.Second)
	close(stop)
	waitLookups()
	waitReports()
	loads.Wait()
	s.copyLogs()
	return s.checkStatements(s.events())
}

// checkStatements checks that the engines ran only what a client sent, and that served rows are those of the request.
func (s *scene) checkStatements(events []engineEvent) error {
	sent := map[string]*request{}
	for _, r := range s.requests {
		sent[r.id] = r
	}
	for _, e := range events {
		if e.Event != "start" {
			continue
		}
		r := sent[e.ID]
		if r == nil || r.class != e.Class || sumOf(r.statement) != e.Sum {
			return fmt.Errorf("%w: engine %s ran id %s (%s) with a statement of %d bytes that no client sent; it holds %q",
				errBroken, e.Engine, e.ID, e.Class, e.Bytes, e.Text)
		}
	}
	return s.checkRows()
}

// checkRows checks that each served answer is the whole result of its request.
func (s *scene) checkRows() error {
	var first *request
	wrong := 0
	for _, r := range s.requests {
		if r.answer.kind == served && r.answer.rows != resultOf(r.id, r.statement) {
			s.log(r.answeredAt, "WRONG ROWS for id=%s: %d bytes, first row %q; the engines' result has %d bytes", r.id,
				len(r.answer.rows), firstLine(r.answer.rows), len(resultOf(r.id, r.statement)))
			if wrong++; first == nil {
				first = r
			}
		}
	}
	if first == nil {
		return nil
	}
	return fmt.Errorf("%w: %d answers with wrong rows; the first was to request %s, which was served %d bytes, beginning %q",
		errBroken, wrong, first.id, len(first.answer.rows), firstLine(first.answer.rows))
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

// overlap: an engine hangs for a while. No request may run on two engines at the same time.
func overlap(s *scene) error {
	if err := s.startEngines(3); err != nil {
		return err
	}
	if err := s.startFrontEnds(1, settings(0)); err != nil {
		return err
	}
	stop := make(chan struct{})
	waitLookups := s.stream(10, stop, func() { s.ask("lookup", "SELECT a, sleep_20 FROM sales_17.orders", 2500) })
	time.Sleep(2 * time.Second)
	if s.trouble {
		s.signalEngine(s.engines[0], syscall.SIGSTOP)
	}
	var reports sync.WaitGroup
	for range 6 {
		reports.Go(func() { s.ask("report", "SELECT a, sleep_4000 FROM sales_17.orders", 25000) })
	}
	time.Sleep(6 * time.Second)
	if s.trouble {
		s.signalEngine(s.engines[0], syscall.SIGCONT)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	waitLookups()
	reports.Wait()
	time.Sleep(2500 * time.Millisecond)
	s.copyLogs()
	return s.checkOverlap(s.events())
}

// runSpan is the time for which a request ran on an engine.
type runSpan struct {
	engine   string
	from, to int64 // Unix milliseconds; to is 0 while the query runs
}

// allowance is the slack of the pages' time limits.
const allowanceMs = 50

// checkOverlap checks that no request ran on two engines at once.
func (s *scene) checkOverlap(events []engineEvent) error {
	spans := map[string][]*runSpan{}
	for _, e := range events {
		switch e.Event {
		case "start":
			spans[e.ID] = append(spans[e.ID], &runSpan{engine: e.Engine, from: e.AtMs})
		case "end":
			for _, span := range spans[e.ID] {
				if span.engine == e.Engine && span.to == 0 {
					span.to = e.AtMs
				}
			}
		}
	}
	for id, list := range spans {
		for i, a := range list {
			for _, b := range list[i+1:] {
				if common := min(a.to, b.to) - max(a.from, b.from); common > allowanceMs {
					return fmt.Errorf("%w: request %s ran on %s and on %s at the same time for %d ms",
						errBroken, id, a.engine, b.engine, common)
				}
			}
		}
	}
	return nil
}

// cutLength: some good answers arrive with a length that doesn't fit, in two pieces. A served answer must hold all rows.
func cutLength(s *scene) error {
	flags := []string{"spoil_every=20"}
	if s.trouble {
		flags = append(flags, "spoil=short")
	}
	if err := s.startEngines(3, flags...); err != nil {
		return err
	}
	if err := s.startFrontEnds(1, settings(0)); err != nil {
		return err
	}
	stop := make(chan struct{})
	waitLookups := s.stream(20, stop, func() { s.ask("lookup", "SELECT a, sleep_20, rows_30 FROM sales_17.orders", 2500) })
	time.Sleep(10 * time.Second)
	close(stop)
	waitLookups()
	s.events()
	s.copyLogs()
	return s.checkRows()
}

// trimmed: a load carries its rows as text, and the last row ends with an empty column and a line feed. The engine must
// get the statement unchanged.
func trimmed(s *scene) error {
	if err := s.startEngines(2); err != nil {
		return err
	}
	if err := s.startFrontEnds(1, settings(0)); err != nil {
		return err
	}
	end := "0.7"
	if s.trouble {
		end = "\t\n"
	}
	for range 5 {
		s.ask("load", "INSERT INTO sales_3.telemetry FORMAT TabSeparated\n17\t2026-12-05\t0.5\n18\t2026-12-05"+end, 25000)
	}
	s.copyLogs()
	return s.checkStatements(s.events())
}

// secondCopy: after a quiet time, a second copy of some good answers comes some milliseconds late. A served answer must
// hold the rows of its own request.
func secondCopy(s *scene) error {
	flags := []string{"hold_back", "spoil_after=6s", "spoil_every=40"}
	if s.trouble {
		flags = append(flags, "spoil=second")
	}
	if err := s.startEngines(2, flags...); err != nil {
		return err
	}
	if err := s.startFrontEnds(5, fleetPrices()); err != nil {
		return err
	}
	stop := make(chan struct{})
	waitLookups := s.stream(550, stop, func() { s.ask("lookup", "SELECT a, sleep_20, rows_3 FROM sales_17.orders", 2500) })
	time.Sleep(15 * time.Second)
	close(stop)
	waitLookups()
	s.events()
	s.copyLogs()
	return s.checkRows()
}
