//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

func init() { cases["1"] = wrongLengths }

// wrongLengths is case 1: the length of some good answers of the engines does not fit their body. A client must get all
// rows or no answer 'served'.
func wrongLengths(p *platform) (string, error) {
	const (
		sessions  = 20
		requests  = 100 // of each session
		spoiltOne = 5   // one good answer or page in spoiltOne is spoilt
	)
	if err := p.serveChangeLog(); err != nil {
		return "", err
	}
	var engines []*engine
	var entries []endpoint
	for i := range 3 {
		e, err := startEngine(engineSpec{
			Name: fmt.Sprintf("s-0000000%d", i+1), Rows: 40, Work: map[string]time.Duration{"lookup": 40 * time.Millisecond},
		}, p.note)
		if err != nil {
			return "", err
		}
		if p.trouble {
			e.spoil = func(w http.ResponseWriter, x *execution, page int, head string, body []byte) bool {
				return rand.IntN(spoiltOne) == 0 && writeWithWrongLength(e, w, x, page, head, body)
			}
		}
		engines, entries = append(engines, e), append(entries, e.entry())
	}
	p.publish(entries...)
	front, err := p.startFrontEnd("n0", limits{192, 1024}, regina())
	if err != nil {
		return "", err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	broken, wrong, served := "", 0, 0
	for range sessions {
		wg.Go(func() {
			c, err := dialClient(front.addr)
			if err != nil {
				return
			}
			defer c.close()
			for range requests {
				q := newRequest("lookup", 2500*time.Millisecond, 80)
				p.note("client sends %s", q.id)
				if c.command(q.payload()) != nil {
					return
				}
				a, err := c.read()
				p.note("client gets %s %s rows=%d code=%d error=%v", q.id, a.kind(), len(a.rows), a.code, err)
				if err != nil {
					return
				}
				if a.kind() != "served" {
					continue
				}
				fault := ""
				if !madeByAnEngine(engines, q.id, a.rows) {
					fault = fmt.Sprintf("%s was served with %d rows that no engine made for it as its result", q.id, len(a.rows))
					p.note("BROKEN %s", fault)
				}
				mu.Lock()
				if served++; fault != "" {
					broken = fault
					wrong++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	p.note("served %d, of them wrong %d", served, wrong)
	switch {
	case served < sessions*requests/2:
		return "", fmt.Errorf("only %d of %d requests were served", served, sessions*requests)
	case wrong > 0:
		return fmt.Sprintf("%d of %d served answers are not the result; the last: %s", wrong, served, broken), nil
	}
	return "", nil
}

// madeByAnEngine reports whether rows is the whole result of a run of the request.
func madeByAnEngine(engines []*engine, id string, rows []string) bool {
	return slices.ContainsFunc(engines, func(e *engine) bool {
		return slices.ContainsFunc(e.runs(id), func(x *execution) bool { return slices.Equal(x.rows, rows) })
	})
}

// writeWithWrongLength writes a good answer whose Content-Length is drawn from 0 to twice the length of the body. The
// connection stays open for a second and is of no further use.
func writeWithWrongLength(e *engine, w http.ResponseWriter, x *execution, page int, head string, body []byte) bool {
	length := rand.IntN(2*len(body) + 1)
	if length == len(body) {
		return false
	}
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return false
	}
	conn, out, err := hijacker.Hijack()
	if err != nil {
		return false
	}
	e.note("engine %s answers %s page=%d body=%d Content-Length=%d", e.spec.Name, x.ID, page, len(body), length)
	_, _ = out.WriteString("HTTP/1.1 200 OK\r\n" + head + "Content-Length: " + strconv.Itoa(length) + "\r\n\r\n")
	_, _ = out.Write(body)
	_ = out.Flush()
	time.AfterFunc(time.Second, func() { _ = conn.Close() })
	return true
}
