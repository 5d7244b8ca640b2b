//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the engines' protocol.
const (
	pollTime   = 250 * time.Millisecond
	expiryTime = 2 * time.Second
	maxPage    = 6000
)

// engineSpec describes an engine.
type engineSpec struct {
	Name string
	Addr string                   // a free port if empty
	Work map[string]time.Duration // how long a query of a class runs
	Rows int                      // rows of a result
}

// execution is one query that an engine has begun.
type execution struct {
	Engine, ID, Class string
	Begun, Ended      time.Time
	How               string // done, deleted, not asked for, running

	statement string
	rows      []string
	pages     [][]byte
	asked     time.Time
	over      chan struct{}
}

// engine is the stand-in of an engine.
type engine struct {
	spec  engineSpec
	addr  string
	note  func(format string, args ...any)
	spoil func(w http.ResponseWriter, x *execution, page int, head string, body []byte) bool // writes a spoilt answer

	mu         sync.Mutex
	executions map[string]*execution
	all        []*execution
}

func startEngine(spec engineSpec, note func(string, ...any)) (*engine, error) {
	if spec.Addr == "" {
		spec.Addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", spec.Addr)
	if err != nil {
		return nil, err
	}
	e := &engine{spec: spec, addr: l.Addr().String(), note: note, executions: map[string]*execution{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v2/q", e.post)
	mux.HandleFunc("GET /v2/q/{id}/{page}", e.get)
	mux.HandleFunc("PUT /v2/q/{id}", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("DELETE /v2/q/{id}", e.delete)
	mux.HandleFunc("GET /-/ok", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /-/gauges", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Gauges", "util:0.20") })
	go func() { _ = http.Serve(l, mux) }()
	go e.expire()
	return e, nil
}

func (e *engine) entry() endpoint {
	return endpoint{
		Name: e.spec.Name, Address: e.addr, Zone: "room-a", Type: "std-12", Status: "ready", Weight: 1,
	}
}

func (e *engine) post(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	id, class := r.Header.Get("X-Txn"), r.Header.Get("X-Lane")
	work, known := e.spec.Work[class]
	limit, limitErr := strconv.Atoi(r.Header.Get("X-Limit-Ms"))
	if err != nil || limitErr != nil || !known || id == "" {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if limit <= 0 {
		w.Header().Set("X-Unrun", "1")
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	x := &execution{
		Engine: e.spec.Name, ID: id, Class: class, Begun: time.Now(), How: "running", statement: string(body),
		asked: time.Now(), over: make(chan struct{}),
	}
	x.rows, x.pages = e.result(x)
	e.mu.Lock()
	if old := e.executions[id]; old != nil && old.Ended.IsZero() {
		e.mu.Unlock()
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	e.executions[id] = x
	e.all = append(e.all, x)
	e.mu.Unlock()
	e.note("engine %s begins %s class=%s", e.spec.Name, id, class)
	time.AfterFunc(work, func() { e.end(x, "done", time.Now()) })
	e.answer(w, r, x)
}

// result draws the rows of a query, and joins whole rows to pages.
func (e *engine) result(x *execution) (rows []string, pages [][]byte) {
	var page []byte
	for i := range max(1, e.spec.Rows) {
		row := fmt.Sprintf("2026-11-%02d\t%d\t%s", 1+i%30, rand.IntN(1000), x.ID[:4])
		if len(page)+len(row)+1 > maxPage {
			pages, page = append(pages, page), nil
		}
		page = append(append(page, row...), '\n')
		rows = append(rows, row)
	}
	return rows, append(pages, page)
}

func (e *engine) end(x *execution, how string, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x.Ended.IsZero() {
		x.Ended, x.How = at, how
		close(x.over)
		e.note("engine %s ends %s %s after %.3f s", e.spec.Name, x.ID, how, at.Sub(x.Begun).Seconds())
	}
}

func (e *engine) answer(w http.ResponseWriter, r *http.Request, x *execution) {
	select {
	case <-x.over:
		e.page(w, x, 0)
	case <-time.After(pollTime):
		w.WriteHeader(http.StatusAccepted)
	case <-r.Context().Done():
	}
}

func (e *engine) page(w http.ResponseWriter, x *execution, n int) {
	e.mu.Lock()
	how := x.How
	e.mu.Unlock()
	if how != "done" || n < 0 || n >= len(x.pages) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	head := fmt.Sprintf("X-Batch: %d\r\n", n)
	if n == 0 {
		head = fmt.Sprintf("X-Batches: %d\r\nX-Spent: 80.0\r\nX-Wanted: 16\r\n", len(x.pages))
	}
	if e.spoil != nil && e.spoil(w, x, n, head, x.pages[n]) {
		return
	}
	for line := range strings.SplitSeq(strings.TrimSpace(head), "\r\n") {
		name, value, _ := strings.Cut(line, ": ")
		w.Header().Set(name, value)
	}
	_, _ = w.Write(x.pages[n])
}

func (e *engine) get(w http.ResponseWriter, r *http.Request) {
	page, err := strconv.Atoi(r.PathValue("page"))
	e.mu.Lock()
	x := e.executions[r.PathValue("id")]
	if x != nil {
		x.asked = time.Now()
	}
	e.mu.Unlock()
	switch {
	case x == nil || err != nil:
		w.WriteHeader(http.StatusInternalServerError)
	case page == 0:
		e.answer(w, r, x)
	default:
		e.page(w, x, page)
	}
}

func (e *engine) delete(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	x := e.executions[r.PathValue("id")]
	e.mu.Unlock()
	if x != nil {
		e.end(x, "deleted", time.Now())
	}
	w.WriteHeader(http.StatusNoContent)
}

// expire ends queries that were not asked for.
func (e *engine) expire() {
	for range time.Tick(20 * time.Millisecond) {
		var late []*execution
		e.mu.Lock()
		for _, x := range e.all {
			if x.Ended.IsZero() && time.Since(x.asked) > expiryTime {
				late = append(late, x)
			}
		}
		e.mu.Unlock()
		for _, x := range late {
			e.end(x, "not asked for", x.asked.Add(expiryTime))
		}
	}
}

// runs returns what the engine has begun for an id.
func (e *engine) runs(id string) (runs []*execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, x := range e.all {
		if x.ID == id {
			runs = append(runs, x)
		}
	}
	return runs
}
