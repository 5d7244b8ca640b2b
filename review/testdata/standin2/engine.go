package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	queryExpiry  = 2 * time.Second        // a query that is not asked for has ended
	pollWait     = 250 * time.Millisecond // how long the news of a running query is held back
	noteEvery    = time.Second            // from one note on a running query to the next
	maxPageBytes = 6000
)

// engineEvent is one line of an engine's record.
type engineEvent struct {
	AtMs   int64  `json:"at_ms"` // Unix time
	Engine string `json:"engine"`
	Event  string `json:"event"` // start, end or spoilt
	ID     string `json:"id"`
	Class  string `json:"class,omitempty"`
	Sum    string `json:"sum,omitempty"` // of the statement
	Bytes  int    `json:"bytes,omitempty"`
	Why    string `json:"why,omitempty"`
	Text   string `json:"text,omitempty"` // part of a statement
}

// query is one query on an engine.
type query struct {
	rows      string
	beganAt   time.Time
	endsAt    time.Time
	notedAt   time.Time
	askedAt   time.Time
	ended     bool
	done      bool // with a good end
	workMs    int
	pageCount int
	pages     []string
	spoilt    map[int]bool // the pages that were spoilt once
}

// engine is a query engine as the protocol page describes it.
type engine struct {
	name   string
	record *os.File

	spoil      string    // how good answers are spoilt; empty: not
	spoilEvery int       // how many good answers there are for each spoilt one
	spoilFrom  time.Time // no answer is spoilt before

	mu      sync.Mutex
	queries map[string]*query // guarded by mu
	served  int               // guarded by mu; the good answers so far
}

// engineListener listens like a host on an Ethernet, whose segments have 1,460 bytes at most. receiveBuffer is the size
// of each connection's receive buffer; 0: the kernel's choice.
func engineListener(address string, receiveBuffer int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var segment, buffer error
		control := c.Control(func(fd uintptr) {
			segment = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460)
			if receiveBuffer > 0 {
				buffer = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			}
		})
		return errors.Join(control, segment, buffer)
	}}
	return config.Listen(context.Background(), "tcp4", address)
}

// runEngine serves until the process is ended.
func runEngine(address, record string, flags []string) error {
	file, err := os.OpenFile(record, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	e := &engine{name: address, record: file, queries: map[string]*query{}, spoilEvery: 10}
	receiveBuffer, noDelay := 0, true
	for _, f := range flags {
		switch name, value, _ := strings.Cut(f, "="); name {
		case "spoil":
			e.spoil = value
		case "spoil_every":
			e.spoilEvery, _ = strconv.Atoi(value)
		case "spoil_after":
			after, _ := time.ParseDuration(value)
			e.spoilFrom = time.Now().Add(after)
		case "receive_buffer":
			receiveBuffer, _ = strconv.Atoi(value)
		case "hold_back": // the system holds small writes back: no TCP_NODELAY
			noDelay = false
		}
	}
	l, err := engineListener(address, receiveBuffer)
	if err != nil {
		return err
	}
	go e.expire()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v2/q", e.post)
	mux.HandleFunc("GET /v2/q/{id}/{page}", e.get)
	mux.HandleFunc("DELETE /v2/q/{id}", e.delete)
	mux.HandleFunc("PUT /v2/q/{id}", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	probe := func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Gauges", "util:0.30") }
	mux.HandleFunc("GET /-/ok", probe)
	mux.HandleFunc("GET /-/gauges", probe)
	server := &http.Server{Handler: mux, ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
		_ = conn.(*net.TCPConn).SetNoDelay(noDelay)
		return context.WithValue(ctx, connKey{}, conn)
	}}
	return server.Serve(l)
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func (e *engine) write(event engineEvent) {
	event.AtMs, event.Engine = time.Now().UnixMilli(), e.name
	line, _ := json.Marshal(event)
	_, _ = e.record.Write(append(line, '\n'))
}

var (
	sleepToken = regexp.MustCompile(`sleep_(\d+)`)
	rowsToken  = regexp.MustCompile(`rows_(\d+)`)
)

func token(pattern *regexp.Regexp, text string, fallback int) int {
	if found := pattern.FindStringSubmatch(text); found != nil {
		if n, err := strconv.Atoi(found[1]); err == nil {
			return n
		}
	}
	return fallback
}

func sumOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:8])
}

// resultOf returns the rows of a query: each names the query's id and its statement.
func resultOf(id, statement string) string {
	var b strings.Builder
	for i := range token(rowsToken, statement, 3) {
		fmt.Fprintf(&b, "%s\t%s\t%06d\n", id, sumOf(statement), i)
	}
	return b.String()
}

// pagesOf cuts a result into pages of whole rows.
func pagesOf(rows string) (pages []string) {
	for len(rows) > maxPageBytes {
		end := strings.LastIndexByte(rows[:maxPageBytes], '\n') + 1
		pages, rows = append(pages, rows[:end]), rows[end:]
	}
	return append(pages, rows)
}

func (e *engine) post(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the call has not come whole: nothing runs
	}
	id, statement := r.Header.Get("X-Txn"), string(body)
	workMs := token(sleepToken, statement, 20)
	rows := resultOf(id, statement)
	now := time.Now()
	e.mu.Lock()
	if e.queries[id] == nil || e.queries[id].ended {
		pages := pagesOf(rows)
		e.queries[id] = &query{
			rows: rows, beganAt: now, endsAt: now.Add(time.Duration(workMs) * time.Millisecond), notedAt: now, askedAt: now,
			workMs: workMs, pages: pages, pageCount: len(pages), spoilt: map[int]bool{},
		}
		e.write(engineEvent{
			Event: "start", ID: id, Class: r.Header.Get("X-Lane"), Sum: sumOf(statement), Bytes: len(body),
			Text: excerpt(statement),
		})
	}
	e.mu.Unlock()
	e.news(w, r, id)
}

// excerpt returns a short statement whole, and of a long one the part that does not belong into it: the start of a call.
func excerpt(statement string) string {
	if len(statement) <= 200 {
		return statement
	}
	for _, sign := range []string{"POST /v2", "GET /v2", "GET /-/"} {
		if at := strings.Index(statement, sign); at >= 0 {
			return statement[at:min(len(statement), at+200)]
		}
	}
	return ""
}

// end records the end of a query; the caller holds mu.
func (e *engine) end(id string, q *query, why string) {
	if !q.ended {
		q.ended = true
		q.done = why == "done"
		e.write(engineEvent{Event: "end", ID: id, Why: why})
	}
}

// expire ends queries that are done, or that nobody asks for.
func (e *engine) expire() {
	for range time.Tick(5 * time.Millisecond) {
		now := time.Now()
		e.mu.Lock()
		for id, q := range e.queries {
			switch {
			case now.Sub(q.askedAt) > queryExpiry:
				e.end(id, q, "not asked for")
				delete(e.queries, id)
			case !q.ended && now.After(q.endsAt):
				e.end(id, q, "done")
			}
		}
		e.mu.Unlock()
	}
}

// news answers a POST and a poll: with the first page, or with 202 after pollWait.
func (e *engine) news(w http.ResponseWriter, r *http.Request, id string) {
	for until := time.Now().Add(pollWait); ; time.Sleep(2 * time.Millisecond) {
		e.mu.Lock()
		q := e.queries[id]
		if q != nil {
			q.askedAt = time.Now()
		}
		done, ended := q != nil && q.done, q == nil || q.ended
		e.mu.Unlock()
		switch {
		case done:
			e.page(w, r, id, q, 0)
			return
		case ended:
			w.WriteHeader(http.StatusInternalServerError)
			return
		case time.Now().After(until):
			e.note(w, q)
			w.WriteHeader(http.StatusAccepted)
			return
		}
	}
}

// note adds a note on the progress of a running query, if one is due.
func (e *engine) note(w http.ResponseWriter, q *query) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.Sub(q.notedAt) >= noteEvery {
		q.notedAt = now
		share := float64(now.Sub(q.beganAt)) / float64(q.endsAt.Sub(q.beganAt))
		w.Header().Set("X-How", "done")
		w.Header().Set("X-Num", strconv.FormatFloat(min(share, 1), 'f', 3, 64))
	}
}

func (e *engine) get(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	page, err := strconv.Atoi(r.PathValue("page"))
	if err == nil && page == 0 {
		e.news(w, r, id)
		return
	}
	e.mu.Lock()
	q := e.queries[id]
	known := err == nil && q != nil && q.done && page < q.pageCount
	if known {
		q.askedAt = time.Now()
	}
	e.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	e.page(w, r, id, q, page)
}

func (e *engine) delete(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	e.mu.Lock()
	if q := e.queries[id]; q != nil {
		e.end(id, q, "deleted")
		delete(e.queries, id)
	}
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// page writes one page of a result.
func (e *engine) page(w http.ResponseWriter, r *http.Request, id string, q *query, page int) {
	w.Header().Set("Content-Type", "text/plain")
	if page == 0 {
		w.Header().Set("X-Batches", strconv.Itoa(q.pageCount))
		w.Header().Set("X-Spent", strconv.Itoa(q.workMs))
		w.Header().Set("X-Wanted", "16")
	} else {
		w.Header().Set("X-Batch", strconv.Itoa(page))
	}
	body := q.pages[page]
	if e.spoiled(w, r, id, q, page, body) {
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}
