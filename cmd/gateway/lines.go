package main

import (
	"bytes"
	"io"
	"time"

	"beechcart/internal/invariant"
)

// lines writes a log from a goroutine of its own. Guards against a reader of the log that has stopped reading: whoever logs would
// wait for it, and with them the list of engines and all decisions. Lines that find no room are lost, and counted.
type lines struct {
	w        io.Writer
	counters *invariant.Counters
	queue    chan []byte
	flushed  chan struct{}
}

const (
	mostLines = 1024                   // that wait to be written
	lastLines = 100 * time.Millisecond // what they have at the end
)

func newLines(w io.Writer, counters *invariant.Counters) *lines {
	l := &lines{w: w, counters: counters, queue: make(chan []byte, mostLines), flushed: make(chan struct{})}
	go l.run()
	return l
}

func (l *lines) run() {
	for line := range l.queue {
		if line == nil {
			close(l.flushed)
			return
		}
		_, _ = l.w.Write(line)
	}
}

// Write takes a line and waits for nothing.
func (l *lines) Write(line []byte) (int, error) {
	select {
	case l.queue <- bytes.Clone(line):
	default:
		l.counters.Add("log_lost", 1)
	}
	return len(line), nil
}

// flush waits a little for what was taken so far to be written; nothing is written after it.
func (l *lines) flush() {
	end := time.After(lastLines)
	select {
	case l.queue <- nil:
	case <-end:
		return
	}
	select {
	case <-l.flushed:
	case <-end:
	}
}
