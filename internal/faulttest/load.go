package faulttest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Class is one class of the load.
type Class struct {
	Name   string
	Share  float64       // of the requests
	Wait   time.Duration // how long clients wait
	Aim    time.Duration // answers within it count in full
	Worth  float64
	Unsafe bool
}

// Outcome is how a request ended for its client.
type Outcome string

// The outcomes of a request.
const (
	Served     Outcome = "served"
	Refused    Outcome = "refused"
	Failed     Outcome = "failed"
	Unanswered Outcome = "unanswered"
	WithFront  Outcome = "lost_with_front" // no answer, and its front end was killed or stood still meanwhile
	Wrong      Outcome = "wrong"           // rows that no engine made for it, or what is no answer
)

// Statement returns a query as the platform's clients write it: a hint with class, id and time limit, and a table of one of
// the tenant's schemas.
func Statement(class, id string, limit time.Duration, schema int) string {
	return fmt.Sprintf("/* c=%s,i=%s,d=%d,t=south-grain,h=20.0,need_mb=16 */ SELECT a FROM sales_%d.orders", class, id, limit.Milliseconds(), schema)
}

// Schemas is the number of schemas that clients query.
const Schemas = 20

// Request is one request, from its client's view.
type Request struct {
	ID      string
	Class   int
	Due     time.Time // when it was to be sent: latencies count from here (open arrivals)
	Sent    time.Time
	Latency time.Duration
	Outcome Outcome
	Detail  string
	Addr    string // of the front end that had it last
}

// Load sends requests at a mean rate, by Poisson arrivals that wait for no answer.
type Load struct {
	Addrs   []string // of the front ends, drawn at random
	Rate    float64  // requests a second
	Classes []Class
	Rand    *rand.Rand

	// Pick is the front end for a request, in place of one drawn from Addrs; empty for none. A front layer that knows
	// who is up: one that refuses connections has taken nothing, and the next is picked. May be nil.
	Pick func() string
	// Lost tells whether the front end at an address was killed, or stood still, between. May be nil.
	Lost func(addr string, from, to time.Time) bool

	mu       sync.Mutex
	idle     map[string][]*Session
	requests []Request
	surplus  []string // answers that nobody asked for
}

// slack is how long after a client's time an answer is still waited for, to tell a late one from none.
const slack = 2 * time.Second

// idleWait is after how long clients close a session.
const idleWait = 4 * time.Second

// Run sends for that long, or until ctx ends, and returns once every request has its outcome.
func (l *Load) Run(ctx context.Context, d time.Duration) []Request {
	l.idle = map[string][]*Session{}
	var wg sync.WaitGroup
	begin := time.Now()
	for at := time.Duration(0); ; {
		at += time.Duration(l.Rand.ExpFloat64() / l.Rate * float64(time.Second))
		if at > d {
			break
		}
		r := Request{ID: fmt.Sprintf("%016x", l.Rand.Uint64()), Due: begin.Add(at)}
		draw := l.Rand.Float64()
		for r.Class = 0; r.Class < len(l.Classes)-1 && draw >= l.Classes[r.Class].Share; r.Class++ {
			draw -= l.Classes[r.Class].Share
		}
		addr, group := "", l.Rand.IntN(Schemas)
		if l.Pick == nil {
			addr = l.Addrs[l.Rand.IntN(len(l.Addrs))]
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(r.Due)):
		}
		if ctx.Err() != nil {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.one(&r, addr, group)
			l.mu.Lock()
			l.requests = append(l.requests, r)
			l.mu.Unlock()
		}()
	}
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, list := range l.idle {
		for _, s := range list {
			if err := s.fresh(); errors.Is(err, errSurplus) {
				l.surplus = append(l.surplus, "on an idle session at the end")
			}
			s.c.Close()
		}
	}
	return l.requests
}

// take returns an idle session, or a new one.
func (l *Load) take(addr string) (*Session, error) {
	for {
		l.mu.Lock()
		list := l.idle[addr]
		if len(list) == 0 {
			l.mu.Unlock()
			return Dial(addr, 3*time.Second)
		}
		s := list[len(list)-1]
		l.idle[addr] = list[:len(list)-1]
		l.mu.Unlock()
		err := s.fresh()
		if err == nil && time.Since(s.used) < idleWait {
			return s, nil
		}
		if errors.Is(err, errSurplus) {
			l.mu.Lock()
			l.surplus = append(l.surplus, "on an idle session")
			l.mu.Unlock()
		}
		s.c.Close()
	}
}

func (l *Load) one(r *Request, addr string, group int) {
	c := l.Classes[r.Class]
	statement := Statement(c.Name, r.ID, c.Wait, group)
	for try, doors := 0, 0; ; try++ {
		if l.Pick != nil {
			addr = l.Pick()
		}
		r.Addr = addr
		var s *Session
		var err error
		if try <= 0 {
			s, err = l.take(addr)
		} else {
			s, err = Dial(addr, 3*time.Second) // a request that crossed a close is sent again on a new connection
		}
		if err != nil && l.Pick != nil && doors < 20 && !errors.As(err, new(*ServerError)) {
			doors, try = doors+1, -1 // nothing was taken there
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if err != nil {
			r.Outcome, r.Detail, r.Latency = Unanswered, err.Error(), time.Since(r.Due)
			var refused *ServerError
			if errors.As(err, &refused) && refused.Harmless() {
				r.Outcome = Refused
			}
			return
		}
		r.Sent = time.Now()
		rows, err := s.Query(statement, r.Sent.Add(c.Wait+slack))
		r.Latency = time.Since(r.Due)
		// One that was killed held the request, so it is not sent again under its id: it may be running.
		if err != nil && isClosed(err) && l.Lost != nil && l.Lost(addr, r.Sent, time.Now()) {
			r.Outcome, r.Detail = WithFront, err.Error()
			s.c.Close()
			return
		}
		// A front end may close a session that has nothing open; a request that crosses it is sent again, once.
		if crossed := time.Since(r.Sent) < 50*time.Millisecond; err != nil && crossed && try == 0 && isClosed(err) {
			s.c.Close()
			continue
		}
		r.Outcome, r.Detail = judge(r.ID, rows, err)
		if r.Outcome == Unanswered && l.Lost != nil && l.Lost(addr, r.Sent, time.Now()) {
			r.Outcome = WithFront
			s.c.Close()
			return
		}
		if r.Outcome == Unanswered || r.Outcome == Wrong {
			s.c.Close()
			return
		}
		s.used = time.Now()
		l.mu.Lock()
		l.idle[addr] = append(l.idle[addr], s)
		l.mu.Unlock()
		return
	}
}

func isClosed(err error) bool {
	var t net.Error
	var s *ServerError
	return !errors.As(err, &s) && !(errors.As(err, &t) && t.Timeout())
}

// judge tells an outcome, and whether the rows are those of the request.
func judge(id string, rows [][]string, err error) (Outcome, string) {
	var s *ServerError
	switch {
	case errors.As(err, &s) && s.Harmless():
		return Refused, s.Text
	case errors.As(err, &s):
		return Failed, s.Text
	case err != nil:
		return Unanswered, err.Error()
	case len(rows) == 0:
		return Wrong, "served without rows"
	}
	for i, row := range rows {
		if len(row) != 3 || row[0] != id || row[2] != fmt.Sprint(i) {
			return Wrong, fmt.Sprintf("row %d is %q", i, row)
		}
	}
	return Served, ""
}

// countOutcomes adds the number of requests of each outcome to figures, by the outcome's name.
func countOutcomes(figures map[string]float64, requests []Request) {
	for _, request := range requests {
		figures[string(request.Outcome)]++
	}
}

// Service is the worth answered within its aim over the worth asked for, of the requests due in [from, to).
func Service(classes []Class, list []Request, from, to time.Time) float64 {
	var got, asked float64
	for _, r := range list {
		if r.Due.Before(from) || !r.Due.Before(to) {
			continue
		}
		c := classes[r.Class]
		asked += c.Worth
		if r.Outcome == Served && r.Latency <= c.Aim {
			got += c.Worth
		}
	}
	if asked == 0 {
		return 0
	}
	return got / asked
}

// Latencies is the histogram, in microseconds, of the served requests of a class; nil is all.
func Latencies(list []Request, class int) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for _, r := range list {
		if r.Outcome == Served && (class < 0 || r.Class == class) {
			_ = h.RecordValue(r.Latency.Microseconds())
		}
	}
	return h
}
