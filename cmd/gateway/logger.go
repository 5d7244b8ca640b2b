package main

import (
	"bytes"
	"io"
	"log/slog"
	"time"

	"beechcart/internal/invariant"
	"beechcart/internal/operatorconfig"
)

const (
	maxQueuedLines = 1024
	flushTimeout   = 100 * time.Millisecond
)

// newLogger returns a logger in the form that the operators have set.
func newLogger(w io.Writer, settings operatorconfig.Log) *slog.Logger {
	options := &slog.HandlerOptions{Level: settings.Level}
	if settings.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}

// logWriter writes a log from a goroutine of its own, so that a reader of the log that has stopped reading holds up
// neither the caller nor the decisions behind it. A line that the queue has no place for is dropped and counted as
// log_lost.
type logWriter struct {
	w        io.Writer
	counters *invariant.Counters
	queue    chan []byte // nil: flush
	flushed  chan struct{}
}

// newLogWriter starts the goroutine that writes to w. It ends with flush.
func newLogWriter(w io.Writer, counters *invariant.Counters) *logWriter {
	l := &logWriter{
		w:        w,
		counters: counters,
		queue:    make(chan []byte, maxQueuedLines),
		flushed:  make(chan struct{}),
	}
	go l.run()
	return l
}

func (l *logWriter) run() {
	for line := range l.queue {
		if line == nil {
			close(l.flushed)
			return
		}
		_, _ = l.w.Write(line)
	}
}

// Write takes one line. It never blocks and never fails.
func (l *logWriter) Write(line []byte) (int, error) {
	select {
	case l.queue <- bytes.Clone(line):
	default:
		l.counters.Add("log_lost", 1)
	}
	return len(line), nil
}

// flush waits up to flushTimeout until the lines taken so far are written. Nothing is written after it.
func (l *logWriter) flush() {
	timeout := time.After(flushTimeout)
	select {
	case l.queue <- nil:
	case <-timeout:
		return
	}
	select {
	case <-l.flushed:
	case <-timeout:
	}
}
