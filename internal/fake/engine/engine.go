// Package engine is a fake query engine. It serves the platform's HTTP protocol on a loopback address, and its queries
// take time but no CPU. It records every execution, so that a checker can tell which query ran where and when.
package engine

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"beechcart/internal/fake/loopback"
)

// Timeouts of the platform's protocol.
const (
	pollTimeout    = 250 * time.Millisecond // a call that waits this long is answered that the query still runs
	abandonTimeout = 2 * time.Second        // a query that is not polled for this long is cancelled
	retention      = 15 * time.Second       // how long an ended query stays available to polls
)

// maxStatement is the largest body of a query that is read, in bytes.
const maxStatement = 1 << 20

// Class describes how the queries of a class run on an engine.
type Class struct {
	Work    time.Duration // mean execution time with one thread, without contention
	Threads int
	Pages   int // of the result; 0 means 1
	Rows    int // of each page; 0 means 1
}

// Options configure an engine.
type Options struct {
	Name       string
	Cores      int
	MaxQueries int // concurrent
	Classes    map[string]Class
	ErrorShare float64       // share of queries that are answered with an error and not run
	Latency    time.Duration // added to the execution time of each query
}

// Execution is one query that was accepted.
type Execution struct {
	Engine, ID, Class string
	ReceivedAt        time.Time // when the header of the POST had been read
	EndedAt           time.Time // zero while the query runs
	Succeeded         bool      // false if the query was cancelled, abandoned or lost
}

// Engine is a running fake engine process. It is safe for concurrent use.
type Engine struct {
	Addr    string
	options Options

	mu         sync.Mutex
	queries    map[string]*query
	threads    int
	ended      []Execution
	pauseEnded chan struct{} // closed at the end of the pause; nil while the engine is not paused

	http *http.Server
	ctx  context.Context // ends when the engine is killed
	stop context.CancelFunc
}

type query struct {
	Execution
	body     []byte
	ended    chan struct{} // closed when the query ends
	polledAt time.Time
}

// Start runs an engine at an address in 127.0.0.0/8; port 0 selects a free port.
func Start(addr string, opt Options) (*Engine, error) {
	l, err := loopback.Listen(addr)
	if err != nil {
		return nil, err
	}
	e := &Engine{Addr: l.Addr().String(), options: opt, queries: map[string]*query{}}
	e.ctx, e.stop = context.WithCancel(context.Background())
	m := http.NewServeMux()
	m.HandleFunc("POST /v2/q", e.submit)
	m.HandleFunc("GET /v2/q/{id}/{page}", e.poll)
	m.HandleFunc("PUT /v2/q/{id}", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	m.HandleFunc("DELETE /v2/q/{id}", e.cancel)
	m.HandleFunc("GET /-/ok", func(http.ResponseWriter, *http.Request) {})
	m.HandleFunc("GET /-/gauges", e.reportLoad)
	e.http = loopback.Serve(l, e.pausable(m))
	go e.expireQueries()
	return e, nil
}

// Kill simulates the end of the process: connections are closed, running queries are lost, and new connections are
// refused.
func (e *Engine) Kill() {
	e.stop()
	_ = e.http.Close()
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, q := range e.queries {
		e.finish(q, now, false)
	}
}

// Pause makes the engine accept calls without answering them until resume is called.
func (e *Engine) Pause() (resume func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pauseEnded != nil {
		return func() {}
	}
	c := make(chan struct{})
	e.pauseEnded = c
	return sync.OnceFunc(func() {
		e.mu.Lock()
		e.pauseEnded = nil
		e.mu.Unlock()
		close(c)
	})
}

// Executions returns all queries accepted so far.
func (e *Engine) Executions() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := append([]Execution(nil), e.ended...)
	for _, q := range e.queries {
		if q.EndedAt.IsZero() {
			out = append(out, q.Execution)
		}
	}
	return out
}

// pausable wraps a handler so that calls wait while the engine is paused.
func (e *Engine) pausable(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		unpaused := e.pauseEnded
		if id, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v2/q/"), "/"); e.queries[id] != nil {
			e.queries[id].polledAt = time.Now() // a poll counts from its arrival, even if its answer is delayed
		}
		e.mu.Unlock()
		if unpaused != nil {
			select {
			case <-unpaused:
			case <-e.ctx.Done():
			}
		}
		h.ServeHTTP(w, r)
	})
}

// reportLoad handles a health check and answers with a load report.
func (e *Engine) reportLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	util := min(1, float64(e.threads)/float64(e.options.Cores))
	e.mu.Unlock()
	w.Header().Set("X-Gauges", fmt.Sprintf("util:%.2f", util))
}

// submit handles the POST of a query.
func (e *Engine) submit(w http.ResponseWriter, r *http.Request) {
	receivedAt := time.Now()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxStatement))
	id, className := r.Header.Get("X-Txn"), r.Header.Get("X-Lane")
	class, known := e.options.Classes[className]
	limitMS, limitErr := strconv.Atoi(r.Header.Get("X-Limit-Ms"))
	if err != nil || limitErr != nil || !known || id == "" || len(body) == 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if limitMS <= 0 {
		writeNotExecuted(w, http.StatusGatewayTimeout)
		return
	}
	if draw(id+strconv.FormatInt(receivedAt.UnixNano(), 36)) < e.options.ErrorShare {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	e.mu.Lock()
	if existing := e.queries[id]; existing != nil && existing.EndedAt.IsZero() {
		e.mu.Unlock()
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if e.running() >= e.options.MaxQueries {
		e.mu.Unlock()
		writeNotExecuted(w, http.StatusServiceUnavailable)
		return
	}
	q := e.execute(Execution{Engine: e.options.Name, ID: id, Class: className, ReceivedAt: receivedAt}, class)
	e.mu.Unlock()
	e.awaitEnd(w, r, q)
}

// execute starts a query, which ends after its execution time. The caller must hold mu.
func (e *Engine) execute(execution Execution, class Class) *query {
	q := &query{Execution: execution, ended: make(chan struct{}), polledAt: execution.ReceivedAt}
	e.queries[q.ID] = q
	e.threads += class.Threads
	time.AfterFunc(e.executionTime(q.ID, class), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if q.EndedAt.IsZero() {
			q.body = resultRows(q.ID, e.options.Name, class)
			e.finish(q, time.Now(), true)
		}
	})
	return q
}

// draw returns a number in [0, 1) that depends only on the key.
func draw(key string) float64 {
	const bits = 24
	return float64(xxh3.HashString(key)>>(64-bits)) / (1 << bits)
}

// executionTime returns how long a query runs: Options.Latency plus the query's work divided by its threads. The work
// is the mean of the class, varied by a factor that depends only on the id. If the running queries have more threads
// than the engine has cores, the work is extended by the ratio of threads to cores. The caller must hold mu.
func (e *Engine) executionTime(id string, class Class) time.Duration {
	variation := 0.25 + 1.5*draw(id) // mean 1
	contention := max(1, float64(e.threads)/float64(e.options.Cores))
	return e.options.Latency + time.Duration(float64(class.Work)*variation*contention/float64(max(1, class.Threads)))
}

// running returns the number of running queries. The caller must hold mu.
func (e *Engine) running() (n int) {
	for _, q := range e.queries {
		if q.EndedAt.IsZero() {
			n++
		}
	}
	return n
}

// finish records the end of a query; a query that has ended stays as it is. The caller must hold mu.
func (e *Engine) finish(q *query, at time.Time, succeeded bool) {
	if !q.EndedAt.IsZero() {
		return
	}
	q.EndedAt, q.Succeeded = at, succeeded
	e.threads -= e.options.Classes[q.Class].Threads
	e.ended = append(e.ended, q.Execution)
	close(q.ended)
}

// writeNotExecuted answers that a query was not executed, so that a retry is safe.
func writeNotExecuted(w http.ResponseWriter, code int) {
	w.Header().Set("X-Unrun", "1")
	w.WriteHeader(code)
}

// resultRows returns the rows of a query. Each has the query's id, the engine's name and the row number.
func resultRows(id, engine string, class Class) []byte {
	var b bytes.Buffer
	for i := range max(1, class.Pages) * max(1, class.Rows) {
		fmt.Fprintf(&b, "%s\t%s\t%d\n", id, engine, i)
	}
	return b.Bytes()
}

// awaitEnd answers with the result of a query once the query ends, or after pollTimeout that the query still runs.
func (e *Engine) awaitEnd(w http.ResponseWriter, r *http.Request, q *query) {
	timer := time.NewTimer(pollTimeout)
	defer timer.Stop()
	select {
	case <-q.ended:
	case <-timer.C:
		w.WriteHeader(http.StatusAccepted)
		return
	case <-r.Context().Done():
		return
	case <-e.ctx.Done():
		panic(http.ErrAbortHandler)
	}
	e.writePage(w, q, 0)
}

// writePage answers with one page of the result of an ended query.
func (e *Engine) writePage(w http.ResponseWriter, q *query, n int) {
	e.mu.Lock()
	succeeded, body := q.Succeeded, q.body
	e.mu.Unlock()
	class := e.options.Classes[q.Class]
	pages, rows := max(1, class.Pages), max(1, class.Rows)
	if !succeeded || n < 0 || n >= pages {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if n == 0 {
		w.Header().Set("X-Batches", strconv.Itoa(pages))
		w.Header().Set("X-Spent", strconv.FormatFloat(float64(class.Work)/float64(time.Millisecond), 'f', 1, 64))
		w.Header().Set("X-Wanted", "16")
	} else {
		w.Header().Set("X-Batch", strconv.Itoa(n))
	}
	lines := bytes.SplitAfter(body, []byte("\n"))
	_, _ = w.Write(bytes.Join(lines[n*rows:(n+1)*rows], nil))
}

// query returns the query with an id, or nil.
func (e *Engine) query(id string) *query {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queries[id]
}

// poll handles the GET of a page; page 0 waits for the end of the query.
func (e *Engine) poll(w http.ResponseWriter, r *http.Request) {
	q := e.query(r.PathValue("id"))
	n, err := strconv.Atoi(r.PathValue("page"))
	switch {
	case q == nil || err != nil:
		w.WriteHeader(http.StatusInternalServerError)
	case n == 0:
		e.awaitEnd(w, r, q)
	default:
		e.writePage(w, q, n)
	}
}

// cancel handles the DELETE of a query.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	if q := e.query(r.PathValue("id")); q != nil {
		e.mu.Lock()
		e.finish(q, time.Now(), false)
		e.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}

// expireQueries ends queries that have not been polled for abandonTimeout, and deletes those that ended more than
// retention ago. It returns when the engine is killed.
func (e *Engine) expireQueries() {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-tick.C:
			e.mu.Lock()
			for id, q := range e.queries {
				switch {
				case q.EndedAt.IsZero() && now.Sub(q.polledAt) > abandonTimeout:
					// The end is at the protocol's timeout, not at the time of this check: on a busy machine a late check would
					// make an abandoned attempt appear to overlap the next.
					e.finish(q, q.polledAt.Add(abandonTimeout), false)
				case !q.EndedAt.IsZero() && now.Sub(q.EndedAt) > retention:
					delete(e.queries, id)
				}
			}
			e.mu.Unlock()
		}
	}
}

// Host returns the host part of the engine's address.
func (e *Engine) Host() string { return e.Addr[:strings.LastIndexByte(e.Addr, ':')] }

// Port returns the port of the engine's address.
func (e *Engine) Port() int {
	n, _ := strconv.Atoi(e.Addr[strings.LastIndexByte(e.Addr, ':')+1:])
	return n
}
