// Package engine is a stand-in for a query engine: the platform's HTTP protocol on a loopback address, with work that
// takes time and no computing. It remembers every execution, so that a checker can tell what ran, where and when.
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

// Times of the platform's protocol.
const (
	newsWait   = 250 * time.Millisecond // how long a call waits for the end
	forgetWait = 2 * time.Second        // a query that nobody asks for is given up
	keepWait   = 15 * time.Second       // an ended query is remembered for
)

// Class is how the queries of a class run here.
type Class struct {
	Work    time.Duration // mean, on one core
	Threads int
	Pages   int // of the result, 0 is 1
	Rows    int // of each page, 0 is 1
}

// Options are what an engine is like.
type Options struct {
	Name     string
	Cores    int
	Sessions int // most queries at once
	Classes  map[string]Class
	Errs     float64       // share of queries that are answered with an error and not run
	Lag      time.Duration // that each query takes beside its work
}

// Execution is one query that was taken in.
type Execution struct {
	Engine, ID, Class string
	Sent              time.Time // when the head of its POST had come
	Ended             time.Time // zero: it runs still
	Good              bool      // it ended well, as against given up or lost
}

// Engine is one process of a stand-in. It is safe for concurrent use.
type Engine struct {
	Addr string
	opt  Options

	mu      sync.Mutex
	queries map[string]*query
	threads int
	done    []Execution
	halted  chan struct{} // not nil while the engine stands still; closed as it goes on

	http *http.Server
	ctx  context.Context
	end  context.CancelFunc
}

type query struct {
	Execution
	body  []byte
	over  chan struct{} // closed at the end
	asked time.Time
}

// Start runs an engine at an address of 127.0.0.0/8; port 0 takes any.
func Start(addr string, opt Options) (*Engine, error) {
	l, err := loopback.Listen(addr)
	if err != nil {
		return nil, err
	}
	e := &Engine{Addr: l.Addr().String(), opt: opt, queries: map[string]*query{}}
	e.ctx, e.end = context.WithCancel(context.Background())
	m := http.NewServeMux()
	m.HandleFunc("POST /v2/q", e.post)
	m.HandleFunc("GET /v2/q/{id}/{page}", e.get)
	m.HandleFunc("PUT /v2/q/{id}", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	m.HandleFunc("DELETE /v2/q/{id}", e.del)
	m.HandleFunc("GET /-/ok", func(http.ResponseWriter, *http.Request) {})
	m.HandleFunc("GET /-/gauges", e.gauges)
	e.http = loopback.Serve(l, e.still(m))
	go e.forget()
	return e, nil
}

// Kill ends the process: its connections are reset, what ran is lost, and new connections are refused.
func (e *Engine) Kill() {
	e.end()
	_ = e.http.Close()
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, q := range e.queries {
		e.finish(q, now, false)
	}
}

// Halt lets the engine stand still until the returned function is called: calls come in and nothing goes out.
func (e *Engine) Halt() (goOn func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.halted != nil {
		return func() {}
	}
	c := make(chan struct{})
	e.halted = c
	return sync.OnceFunc(func() {
		e.mu.Lock()
		e.halted = nil
		e.mu.Unlock()
		close(c)
	})
}

// Executions lists all queries that were taken in so far.
func (e *Engine) Executions() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := append([]Execution(nil), e.done...)
	for _, q := range e.queries {
		if q.Ended.IsZero() {
			out = append(out, q.Execution)
		}
	}
	return out
}

func (e *Engine) still(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		halted := e.halted
		if id, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v2/q/"), "/"); e.queries[id] != nil {
			e.queries[id].asked = time.Now() // a call counts from its arrival, though it is answered later
		}
		e.mu.Unlock()
		if halted != nil {
			select {
			case <-halted:
			case <-e.ctx.Done():
			}
		}
		h.ServeHTTP(w, r)
	})
}

func (e *Engine) gauges(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	util := min(1, float64(e.threads)/float64(e.opt.Cores))
	e.mu.Unlock()
	w.Header().Set("X-Gauges", fmt.Sprintf("util:%.2f", util))
}

func (e *Engine) post(w http.ResponseWriter, r *http.Request) {
	sent := time.Now()
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	id, class := r.Header.Get("X-Txn"), r.Header.Get("X-Lane")
	kind, known := e.opt.Classes[class]
	limit, err2 := strconv.Atoi(r.Header.Get("X-Limit-Ms"))
	if err != nil || err2 != nil || !known || id == "" || len(body) == 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if limit <= 0 {
		unrun(w, http.StatusGatewayTimeout)
		return
	}
	if h := xxh3.HashString(id + strconv.FormatInt(sent.UnixNano(), 36)); float64(h>>40)/float64(1<<24) < e.opt.Errs {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	e.mu.Lock()
	if open := e.queries[id]; open != nil && open.Ended.IsZero() {
		e.mu.Unlock()
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if running := e.running(); running >= e.opt.Sessions {
		e.mu.Unlock()
		unrun(w, http.StatusServiceUnavailable)
		return
	}
	q := &query{Execution: Execution{Engine: e.opt.Name, ID: id, Class: class, Sent: sent}, over: make(chan struct{}), asked: sent}
	e.queries[id] = q
	e.threads += kind.Threads
	took := e.takes(id, kind)
	e.mu.Unlock()
	time.AfterFunc(took, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if q.Ended.IsZero() {
			q.body = result(id, e.opt.Name, kind)
			e.finish(q, time.Now(), true)
		}
	})
	e.news(w, r, q)
}

// takes is how long a query runs: its work, which its id draws, over its threads, stretched where cores are short.
func (e *Engine) takes(id string, kind Class) time.Duration {
	h := xxh3.HashString(id)
	spread := 0.25 + 1.5*float64(h>>40)/float64(1<<24) // mean 1
	crowd := max(1, float64(e.threads)/float64(e.opt.Cores))
	return e.opt.Lag + time.Duration(float64(kind.Work)*spread*crowd/float64(max(1, kind.Threads)))
}

func (e *Engine) running() (n int) {
	for _, q := range e.queries {
		if q.Ended.IsZero() {
			n++
		}
	}
	return n
}

// finish ends a query; under the lock.
func (e *Engine) finish(q *query, at time.Time, good bool) {
	if !q.Ended.IsZero() {
		return
	}
	q.Ended, q.Good = at, good
	e.threads -= e.opt.Classes[q.Class].Threads
	e.done = append(e.done, q.Execution)
	close(q.over)
}

func unrun(w http.ResponseWriter, code int) {
	w.Header().Set("X-Unrun", "1")
	w.WriteHeader(code)
}

// result is the rows of a query: its id, the engine that made them, and their number.
func result(id, engine string, kind Class) []byte {
	var b bytes.Buffer
	for i := range max(1, kind.Pages) * max(1, kind.Rows) {
		fmt.Fprintf(&b, "%s\t%s\t%d\n", id, engine, i)
	}
	return b.Bytes()
}

// news answers with the end of a query, or after a while that it runs.
func (e *Engine) news(w http.ResponseWriter, r *http.Request, q *query) {
	timer := time.NewTimer(newsWait)
	defer timer.Stop()
	select {
	case <-q.over:
	case <-timer.C:
		w.WriteHeader(http.StatusAccepted)
		return
	case <-r.Context().Done():
		return
	case <-e.ctx.Done():
		panic(http.ErrAbortHandler)
	}
	e.page(w, q, 0)
}

func (e *Engine) page(w http.ResponseWriter, q *query, n int) {
	e.mu.Lock()
	good, body := q.Good, q.body
	e.mu.Unlock()
	kind := e.opt.Classes[q.Class]
	pages, rows := max(1, kind.Pages), max(1, kind.Rows)
	if !good || n < 0 || n >= pages {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if n == 0 {
		w.Header().Set("X-Batches", strconv.Itoa(pages))
		w.Header().Set("X-Spent", strconv.FormatFloat(float64(kind.Work)/float64(time.Millisecond), 'f', 1, 64))
		w.Header().Set("X-Wanted", "16")
	} else {
		w.Header().Set("X-Batch", strconv.Itoa(n))
	}
	lines := bytes.SplitAfter(body, []byte("\n"))
	_, _ = w.Write(bytes.Join(lines[n*rows:(n+1)*rows], nil))
}

// find looks a query up.
func (e *Engine) find(id string) *query {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queries[id]
}

func (e *Engine) get(w http.ResponseWriter, r *http.Request) {
	q := e.find(r.PathValue("id"))
	n, err := strconv.Atoi(r.PathValue("page"))
	switch {
	case q == nil || err != nil:
		w.WriteHeader(http.StatusInternalServerError)
	case n == 0:
		e.news(w, r, q)
	default:
		e.page(w, q, n)
	}
}

func (e *Engine) del(w http.ResponseWriter, r *http.Request) {
	if q := e.find(r.PathValue("id")); q != nil {
		e.mu.Lock()
		e.finish(q, time.Now(), false)
		e.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}

// forget gives up queries that nobody asks for, and forgets those that ended long ago.
func (e *Engine) forget() {
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
				case q.Ended.IsZero() && now.Sub(q.asked) > forgetWait:
					// The time that counts is the protocol's, not that of this look: on a busy machine a late look would make
					// an attempt that was over appear to overlap the next.
					e.finish(q, q.asked.Add(forgetWait), false)
				case !q.Ended.IsZero() && now.Sub(q.Ended) > keepWait:
					delete(e.queries, id)
				}
			}
			e.mu.Unlock()
		}
	}
}

// Host is the host of an engine's address.
func (e *Engine) Host() string { return e.Addr[:strings.LastIndexByte(e.Addr, ':')] }

// Port is the port of an engine's address.
func (e *Engine) Port() int {
	n, _ := strconv.Atoi(e.Addr[strings.LastIndexByte(e.Addr, ':')+1:])
	return n
}
