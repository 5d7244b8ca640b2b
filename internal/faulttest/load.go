package faulttest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Class is one class of requests.
type Class struct {
	Name             string
	Share            float64       // of all requests
	Timeout          time.Duration // of clients, and the deadline in the query's hint
	LatencyObjective time.Duration // only answers within it count for ServiceShare
	PriorityWeight   float64
	NonIdempotent    bool
}

// Outcome is the result of a request as seen by its client.
type Outcome string

// The outcomes of a request.
const (
	Served           Outcome = "served"
	Rejected         Outcome = "refused"
	Failed           Outcome = "failed"
	Unanswered       Outcome = "unanswered"
	LostWithFrontEnd Outcome = "lost_with_front" // no answer, and its front end was killed or stopped after the send
	Wrong            Outcome = "wrong"           // rows of another request, or an answer without rows
)

// Statement returns a query in the format of the platform's clients: a hint with class, id and deadline, and a table in
// one of the tenant's schemas.
func Statement(class, id string, deadline time.Duration, schema int) string {
	return fmt.Sprintf("/* c=%s,i=%s,d=%d,t=south-grain,h=20.0,need_mb=16 */ SELECT a FROM sales_%d.orders",
		class, id, deadline.Milliseconds(), schema)
}

// Schemas is the number of schemas that clients query.
const Schemas = 20

// Request is one request and its result, as seen by its client.
type Request struct {
	ID      string
	Class   int
	Due     time.Time // planned time of the send, from which the latency counts (open arrivals)
	Sent    time.Time
	Latency time.Duration
	Outcome Outcome
	Detail  string
	Addr    string // of the front end that received the request last
}

// Load sends requests at a mean rate, as Poisson arrivals that do not wait for answers.
type Load struct {
	Addrs   []string // of the front ends; each request goes to one at random
	Rate    float64  // requests a second
	Classes []Class
	Rand    *rand.Rand

	// Pick returns the address of the front end for a request, in place of one drawn from Addrs; empty if there is none.
	// It stands for a load balancer that knows which front ends accept requests. May be nil.
	Pick func() string
	// Lost reports whether the front end at an address was killed or stopped between two times. May be nil.
	Lost func(addr string, from, to time.Time) bool

	mu         sync.Mutex
	idle       map[string][]*Session
	requests   []Request
	unexpected []string // descriptions of answers without a request
}

const (
	// answerTimeout is the time after a client's timeout in which an answer is still read, to distinguish a late answer
	// from a missing one.
	answerTimeout = 2 * time.Second

	// sessionIdleTimeout is the idle time after which clients close a session.
	sessionIdleTimeout = 4 * time.Second

	dialTimeout = 3 * time.Second

	// A load balancer picks another front end after a refused connection, up to maxSkipped times per request, each after
	// skipDelay.
	maxSkipped = 20
	skipDelay  = 20 * time.Millisecond

	// crossingTime is the longest time between a send and the end of its connection for which the front end may have
	// closed the idle session before the request arrived.
	crossingTime = 50 * time.Millisecond
)

// Run sends requests for a duration, or until ctx ends, and returns them once each has its outcome.
func (l *Load) Run(ctx context.Context, d time.Duration) []Request {
	l.idle = map[string][]*Session{}
	var sending sync.WaitGroup
	began := time.Now()
	for at := l.nextArrival(0); at <= d; at = l.nextArrival(at) {
		r, schema := l.newRequest(began.Add(at))
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(r.Due)):
		}
		if ctx.Err() != nil {
			break
		}
		sending.Go(func() {
			l.send(r, schema)
			l.mu.Lock()
			l.requests = append(l.requests, *r)
			l.mu.Unlock()
		})
	}
	sending.Wait()
	l.closeIdle()
	return l.requests
}

// nextArrival draws the time of the arrival that follows the one at a time.
func (l *Load) nextArrival(at time.Duration) time.Duration {
	return at + time.Duration(l.Rand.ExpFloat64()/l.Rate*float64(time.Second))
}

// newRequest draws a request and the schema to query.
func (l *Load) newRequest(due time.Time) (r *Request, schema int) {
	r = &Request{ID: fmt.Sprintf("%016x", l.Rand.Uint64()), Due: due}
	draw := l.Rand.Float64()
	for r.Class = 0; r.Class < len(l.Classes)-1 && draw >= l.Classes[r.Class].Share; r.Class++ {
		draw -= l.Classes[r.Class].Share
	}
	schema = l.Rand.IntN(Schemas)
	if l.Pick == nil {
		r.Addr = l.Addrs[l.Rand.IntN(len(l.Addrs))]
	}
	return r, schema
}

// closeIdle closes the idle sessions, and records answers without a request on them.
func (l *Load) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, sessions := range l.idle {
		for _, s := range sessions {
			if err := s.checkIdle(); errors.Is(err, errUnexpected) {
				l.unexpected = append(l.unexpected, "answer on an idle session at the end of the load")
			}
			s.Close()
		}
	}
}

// session returns an idle session of a front end, or a new one.
func (l *Load) session(addr string) (*Session, error) {
	for {
		s := l.takeIdle(addr)
		if s == nil {
			return Dial(addr, dialTimeout)
		}
		err := s.checkIdle()
		if err == nil && time.Since(s.lastUsed) < sessionIdleTimeout {
			return s, nil
		}
		if errors.Is(err, errUnexpected) {
			l.mu.Lock()
			l.unexpected = append(l.unexpected, "answer on an idle session")
			l.mu.Unlock()
		}
		s.Close()
	}
}

// takeIdle removes and returns an idle session of a front end, or nil.
func (l *Load) takeIdle(addr string) *Session {
	l.mu.Lock()
	defer l.mu.Unlock()
	sessions := l.idle[addr]
	if len(sessions) == 0 {
		return nil
	}
	last := len(sessions) - 1
	l.idle[addr] = sessions[:last]
	return sessions[last]
}

// send sends one request and records its outcome. If the picked front end accepts no connection, the request has not
// been sent, and another front end is picked.
func (l *Load) send(r *Request, schema int) {
	class := l.Classes[r.Class]
	statement := Statement(class.Name, r.ID, class.Timeout, schema)
	for try, skipped := 0, 0; ; try++ {
		if l.Pick != nil {
			r.Addr = l.Pick()
		}
		s, err := l.connect(r.Addr, try)
		if err != nil && l.Pick != nil && skipped < maxSkipped && !errors.As(err, new(*ServerError)) {
			skipped, try = skipped+1, -1
			time.Sleep(skipDelay)
			continue
		}
		if err != nil {
			r.failToConnect(err)
			return
		}
		r.Sent = time.Now()
		rows, err := s.Query(statement, r.Sent.Add(class.Timeout+answerTimeout))
		r.Latency = time.Since(r.Due)
		// A front end may close an idle session. A request that arrives at the same time is sent again, once. If the front
		// end was killed instead, the request may be executing, and is not sent again under the same id.
		crossed := err != nil && isClosed(err) && try == 0 && time.Since(r.Sent) < crossingTime
		if crossed && !l.lost(r) {
			s.Close()
			continue
		}
		l.finish(r, s, rows, err)
		return
	}
}

// connect returns a session for a try. A second try uses a new connection, which can't be closed as idle.
func (l *Load) connect(addr string, try int) (*Session, error) {
	if try <= 0 {
		return l.session(addr)
	}
	return Dial(addr, dialTimeout)
}

// failToConnect records that no front end accepted a connection for the request.
func (r *Request) failToConnect(err error) {
	r.Outcome, r.Detail, r.Latency = Unanswered, err.Error(), time.Since(r.Due)
	var rejected *ServerError
	if errors.As(err, &rejected) && rejected.RetrySafe() {
		r.Outcome = Rejected
	}
}

// finish records the answer of a request, and makes its session idle if it can be reused.
func (l *Load) finish(r *Request, s *Session, rows [][]string, err error) {
	r.Outcome, r.Detail = classify(r.ID, rows, err)
	if r.Outcome == Unanswered && l.lost(r) {
		r.Outcome = LostWithFrontEnd
	}
	if r.Outcome == Unanswered || r.Outcome == Wrong || r.Outcome == LostWithFrontEnd {
		s.Close()
		return
	}
	s.lastUsed = time.Now()
	l.mu.Lock()
	l.idle[r.Addr] = append(l.idle[r.Addr], s)
	l.mu.Unlock()
}

// lost reports whether the front end of a request was killed or stopped since the request was sent.
func (l *Load) lost(r *Request) bool {
	return l.Lost != nil && l.Lost(r.Addr, r.Sent, time.Now())
}

// isClosed reports whether an error means that the connection ended, as opposed to an error packet or a timeout.
func isClosed(err error) bool {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return false
	}
	return !errors.As(err, new(*ServerError))
}

// classify returns the outcome of a request and its detail. It checks that the rows belong to the request with the id.
func classify(id string, rows [][]string, err error) (Outcome, string) {
	var s *ServerError
	switch {
	case errors.As(err, &s) && s.RetrySafe():
		return Rejected, s.Text
	case errors.As(err, &s):
		return Failed, s.Text
	case err != nil:
		return Unanswered, err.Error()
	case len(rows) == 0:
		return Wrong, "found an answer without rows"
	}
	for i, row := range rows {
		if len(row) != 3 || row[0] != id || row[2] != strconv.Itoa(i) {
			return Wrong, fmt.Sprintf("row %d: found %q, must be the request's id, the engine and the row number", i, row)
		}
	}
	return Served, ""
}

// countOutcomes adds the number of requests with each outcome to measurements, under the name of the outcome.
func countOutcomes(measurements map[string]float64, requests []Request) {
	for _, request := range requests {
		measurements[string(request.Outcome)]++
	}
}

// ServiceShare returns the share of the priority weight of the requests due in [from, to) that was served within the
// latency objective; 0 if no request was due.
func ServiceShare(classes []Class, list []Request, from, to time.Time) float64 {
	var achieved, total float64
	for _, r := range list {
		if r.Due.Before(from) || !r.Due.Before(to) {
			continue
		}
		c := classes[r.Class]
		total += c.PriorityWeight
		if r.Outcome == Served && r.Latency <= c.LatencyObjective {
			achieved += c.PriorityWeight
		}
	}
	if total == 0 {
		return 0
	}
	return achieved / total
}

// Latencies returns the histogram of the latencies of served requests of a class, in microseconds. A negative class
// selects all requests.
func Latencies(list []Request, class int) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for _, r := range list {
		if r.Outcome == Served && (class < 0 || r.Class == class) {
			_ = h.RecordValue(r.Latency.Microseconds())
		}
	}
	return h
}
