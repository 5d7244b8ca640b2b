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

// newLogger returns a logger with the format and the level of the operators' settings.
func newLogger(w io.Writer, settings operatorconfig.Log) *slog.Logger {
	options := &slog.HandlerOptions{Level: settings.Level}
	if settings.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}

// logWriter writes log lines in a separate goroutine, so that a log reader that has stopped reading blocks no caller.
// A line that finds the queue full is dropped and counted as log_lost.
type logWriter struct {
	w        io.Writer
	counters *invariant.Counters
	queue    chan []byte // a nil line ends run, for flush
	flushed  chan struct{}
}

// newLogWriter starts the goroutine that writes to w. The goroutine ends at the call of flush.
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

// Write queues a copy of one line. Write never blocks and always returns a nil error.
func (l *logWriter) Write(line []byte) (int, error) {
	select {
	case l.queue <- bytes.Clone(line):
	default:
		l.counters.Add("log_lost", 1)
	}
	return len(line), nil
}

// flush waits up to flushTimeout until the queued lines are written. Lines that are queued later are not written.
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
