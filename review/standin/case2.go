//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["2"] = manyLargeRequests }

// manyLargeRequests is case 2: bad clients send hundreds of requests at once. The front end must stay within its memory.
func manyLargeRequests(p *platform) (string, error) {
	const (
		usual      = 8
		bad        = 300 // usual + bad is under a third of the descriptors
		atOnce     = 2   // requests that a bad client sends at once
		statement  = 240 << 10
		badSeconds = 3
	)
	lim := limits{memoryMB: 192, sockets: 1024}
	if err := p.serveChangeLog(); err != nil {
		return "", err
	}
	var entries []endpoint
	for i := range 3 {
		e, err := startEngine(engineSpec{
			Name: fmt.Sprintf("s-0000000%d", i+1), Rows: 10,
			Work: map[string]time.Duration{"lookup": 40 * time.Millisecond, "report": 1500 * time.Millisecond},
		}, p.note)
		if err != nil {
			return "", err
		}
		entries = append(entries, e.entry())
	}
	p.publish(entries...)
	front, err := p.startFrontEnd("n0", lim, regina())
	if err != nil {
		return "", err
	}
	watch := p.enforceMemory(front)

	var wg sync.WaitGroup
	var served, lost atomic.Int64
	stop := time.Now().Add(8 * time.Second)
	for range usual {
		wg.Go(func() { p.lookups(front, stop, &served, &lost) })
	}
	time.Sleep(2 * time.Second)
	if p.trouble {
		p.note("%d bad clients send %d requests of %d bytes each", bad, atOnce, statement)
		for range bad {
			wg.Go(func() { sendAtOnce(front.addr, atOnce, statement, badSeconds*time.Second) })
		}
	}
	wg.Wait()
	time.Sleep(100 * time.Millisecond)
	peak, killed := watch()
	p.note("peak of resident memory, without files: %.1f MB of %d; usual requests served %d, lost %d",
		peak, lim.memoryMB, served.Load(), lost.Load())
	switch {
	case killed:
		return fmt.Sprintf("the front end held %.1f MB, its limit is %d MB, and was killed; %d usual requests were lost",
			peak, lim.memoryMB, lost.Load()), nil
	case !front.running():
		return fmt.Sprintf("the front end ended: %v", front.err), nil
	case served.Load() == 0:
		return "", fmt.Errorf("no usual request was served")
	}
	return "", nil
}

// enforceMemory kills a front end that holds more memory than its limit, as the platform does. The result stops the
// watch, and returns the most memory that was seen.
func (p *platform) enforceMemory(front *frontEnd) (stop func() (peakMB float64, killed bool)) {
	done, ended := make(chan struct{}), make(chan struct{})
	var peak float64
	var killed bool
	go func() {
		defer close(ended)
		for tick := time.Tick(2 * time.Millisecond); ; {
			select {
			case <-done:
				return
			case <-tick:
			}
			peak = max(peak, front.residentMB())
			if peak > float64(front.limits.memoryMB) && front.running() {
				p.note("platform kills the front end: %.1f MB", peak)
				killed = true
				front.kill()
				<-front.ended
				return
			}
		}
	}()
	return func() (float64, bool) {
		close(done)
		<-ended
		return peak, killed
	}
}

// lookups sends one usual request after the other, and counts the answers served and the requests without an answer.
func (p *platform) lookups(front *frontEnd, stop time.Time, served, lost *atomic.Int64) {
	c, err := dialClient(front.addr)
	if err != nil {
		return
	}
	defer c.close()
	for time.Now().Before(stop) {
		q := newRequest("lookup", 2500*time.Millisecond, 80)
		p.note("client sends %s", q.id)
		if c.command(q.payload()) != nil {
			return
		}
		a, err := c.read()
		if err != nil {
			p.note("client gets no answer to %s: %v", q.id, err)
			lost.Add(1)
			return
		}
		p.note("client gets %s %s code=%d", q.id, a.kind(), a.code)
		if a.kind() == "served" {
			served.Add(1)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// sendAtOnce opens a session, sends n requests with a statement of the given size at once, and reads whatever comes.
func sendAtOnce(addr string, n, size int, stay time.Duration) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(stay))
	var b strings.Builder
	b.WriteString(packet(1, loginPayload))
	for range n {
		q := newRequest("report", 20*time.Second, 4000)
		q.statement += " -- " + strings.Repeat("x", size-len(q.statement)-4)
		b.WriteString(packet(0, q.payload()))
	}
	go func() { _, _ = io.WriteString(conn, b.String()) }()
	_, _ = io.Copy(io.Discard, conn)
}
