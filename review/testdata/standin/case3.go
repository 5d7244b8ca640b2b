//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"
)

func init() { cases["3"] = manyCommandsAtOnce }

// manyCommandsAtOnce is case 3: a client sends many commands at once on its session, without the disruption one after
// the other. Each command that was written whole needs an answer.
func manyCommandsAtOnce(p *platform) (string, error) {
	const (
		commands  = 40
		statement = 8000 // bytes
		deadline  = 20 * time.Second
	)
	if err := p.serveChangeLog(); err != nil {
		return "", err
	}
	var entries []endpoint
	for i := range 3 {
		e, err := startEngine(engineSpec{
			Name: fmt.Sprintf("s-0000000%d", i+1), Work: map[string]time.Duration{"load": 60 * time.Millisecond},
		}, p.note)
		if err != nil {
			return "", err
		}
		entries = append(entries, e.entry())
	}
	p.publish(entries...)
	front, err := p.startFrontEnd("n0", limits{192, 1024}, regina())
	if err != nil {
		return "", err
	}
	c, err := dialClient(front.addr)
	if err != nil {
		return "", err
	}
	defer c.close()
	var requests []request
	var texts []string
	for range commands {
		q := newRequest("load", deadline, 120)
		q.statement = loadStatement(statement)
		requests, texts = append(requests, q), append(texts, packet(0, q.payload()))
	}
	if !p.trouble {
		return p.oneByOne(c, requests, texts)
	}
	all := strings.Join(texts, "")
	for _, q := range requests {
		p.note("client sends %s, %d bytes", q.id, len(q.statement))
	}
	written, err := io.WriteString(c.conn, all)
	p.note("client wrote %d of %d bytes, %d commands, at once: error=%v", written, len(all), commands, err)
	answered, taken := 0, 0
	for ; taken < commands && written >= len(texts[taken]); taken++ {
		written -= len(texts[taken])
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(deadline + 500*time.Millisecond))
	for _, q := range requests[:taken] {
		a, err := c.read()
		if err != nil {
			p.note("client gets no answer to %s and the rest: %v", q.id, err)
			break
		}
		answered++
		p.note("client gets %s %s code=%d", q.id, a.kind(), a.code)
	}
	time.Sleep(500 * time.Millisecond) // what the engines began is over and noted
	if answered < taken {
		return fmt.Sprintf("of %d commands that were written whole, %d got no answer", taken, taken-answered), nil
	}
	return "", nil
}

// oneByOne sends each request after the answer to the one before.
func (p *platform) oneByOne(c *client, requests []request, texts []string) (string, error) {
	for i, q := range requests {
		p.note("client sends %s", q.id)
		if _, err := io.WriteString(c.conn, texts[i]); err != nil {
			return "", err
		}
		a, err := c.read()
		if err != nil {
			return fmt.Sprintf("no answer to %s: %v", q.id, err), nil
		}
		p.note("client gets %s %s code=%d", q.id, a.kind(), a.code)
	}
	return "", nil
}

// loadStatement returns a load of some telemetry, of about size bytes.
func loadStatement(size int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "INSERT INTO telemetry_%d.readings VALUES ", rand.IntN(20))
	for b.Len() < size-40 {
		fmt.Fprintf(&b, "(%d,'2026-11-%02d',%d),", rand.IntN(1e6), 1+rand.IntN(28), rand.IntN(1e6))
	}
	b.WriteString("(0,'2026-11-30',0)")
	return b.String()
}
