//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["2"] = endlessAnswers }

// endlessAnswers is case 2: some answers of the engines never end. The front end must stay within its memory.
func endlessAnswers(p *platform) (string, error) {
	const (
		sessions  = 20
		spoiltOne = 5 // one good answer or page in spoiltOne is spoilt
	)
	lim := limits{memoryMB: 96, sockets: 512}
	if err := p.serveChangeLog(); err != nil {
		return "", err
	}
	var entries []endpoint
	for i := range 3 {
		e, err := startEngine(engineSpec{
			Name: fmt.Sprintf("s-0000000%d", i+1), Rows: 20, Work: map[string]time.Duration{"lookup": 40 * time.Millisecond},
		}, p.note)
		if err != nil {
			return "", err
		}
		if p.trouble {
			e.spoil = func(w http.ResponseWriter, x *execution, page int, head string, _ []byte) bool {
				return rand.IntN(spoiltOne) == 0 && writeWithoutEnd(e, w, x, page, head)
			}
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
	stop := time.Now().Add(15 * time.Second)
	for range sessions {
		wg.Go(func() { p.lookups(front, stop, &served, &lost) })
	}
	wg.Wait()
	peak, killed := watch()
	p.note("most resident memory, without files: %.1f MB of %d; requests served %d, lost %d",
		peak, lim.memoryMB, served.Load(), lost.Load())
	switch {
	case killed:
		return fmt.Sprintf("the front end held %.1f MB, its limit is %d MB, and was killed; %d requests were lost",
			peak, lim.memoryMB, lost.Load()), nil
	case !front.running():
		return fmt.Sprintf("the front end ended: %v", front.err), nil
	case served.Load() == 0:
		return "", fmt.Errorf("no request was served")
	}
	return "", nil
}

// filler is what an answer without an end keeps sending.
var filler = []byte(strings.Repeat("x", 1<<20))

// writeWithoutEnd writes an answer whose head never ends, or one that claims 3 GB, and keeps sending for 3 s.
func writeWithoutEnd(e *engine, w http.ResponseWriter, x *execution, page int, head string) bool {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return false
	}
	conn, out, err := hijacker.Hijack()
	if err != nil {
		return false
	}
	kind, end := "head without an end", "X-Note: "
	if rand.IntN(2) == 0 {
		kind, end = "3 GB", "Content-Length: 3221225472\r\n\r\n"
	}
	_, _ = out.WriteString("HTTP/1.1 200 OK\r\n" + head + end)
	_ = out.Flush()
	go func() {
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		sent, err := 0, error(nil)
		for err == nil {
			var n int
			n, err = conn.Write(filler)
			sent += n
		}
		e.note("engine %s answered %s page=%d spoilt: %s, %d bytes until the front end closed", e.spec.Name, x.ID, page, kind, sent)
	}()
	return true
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
	}
}
