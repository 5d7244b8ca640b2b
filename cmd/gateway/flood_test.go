package main_test

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const floodPeriod = 1500 * time.Millisecond

// answerSlack is how late an answer may be: the rules' 20 ms, and 50 ms for sockets.
const answerSlack = 70 * time.Millisecond

func randomHex() string { return strconv.FormatUint(rand.Uint64(), 16) }

func randomDigits() string { return strconv.FormatUint(uint64(rand.Uint32()), 10) }

// floods are the payloads that one client sends again and again at full speed, one at a time or in batches.
var floods = map[string]func() string{
	"ping":            func() string { return "\x0e" },
	"unknown command": func() string { return "\x1f" },
	"no comment":      func() string { return "\x03SELECT 1" },
	"new class":       func() string { return statement("class"+randomHex(), 2500) },
	"new table group": func() string {
		return strings.Replace(statement("lookup", 2500), "sales_17", "sales_"+randomHex(), 1)
	},
	"new request ID": func() string { return statement("lookup", 2500) },
	"no time":        func() string { return statement("lookup", 1) },
	"new session ID": func() string { return "\x03KILL QUERY " + randomDigits() },
	"one request ID": func() string {
		return strings.Replace(statement("lookup", 2500), "i=", "i=0123456789abcdef,x=", 1)
	},
}

// The process must answer other clients in time, and its memory must not grow, while one client sends small or
// malformed requests at full speed, also under ever new names.
func TestFloodOfOneClientHarmsNoOther(t *testing.T) {
	limits := platformLimits{memoryMB: 32, descriptors: 256}
	for name, payload := range floods {
		for kind, converse := range map[string]func(c *crowd, conn net.Conn){
			"many at once":  func(c *crowd, conn net.Conn) { sendWithoutWaiting(c, conn, payload) },
			"one at a time": func(c *crowd, conn net.Conn) { sendOneAtATime(c, conn, payload) },
		} {
			t.Run(name+", "+kind, func(t *testing.T) { testFlood(t, limits, converse) })
		}
	}
}

func testFlood(t *testing.T, limits platformLimits, converse func(c *crowd, conn net.Conn)) {
	t.Helper()
	r := startPlatform(t, limits, newEngine(t, nil))
	c := &crowd{r: r, stop: make(chan struct{})}
	s := serveOrdinary(t, r, 4, c.stop, func() string { return statement("lookup", 500) })
	c.join(1, converse)
	time.Sleep(floodPeriod)
	close(c.stop)
	c.running.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	peak := float64(r.peakMemoryKB()) / 1024
	t.Logf("peak %.1f of %d MB; flood: %d; ordinary: %d requests, %d served, longest %v",
		peak, limits.memoryMB, c.begun.Load(), s.requests, s.answered, s.longest)
	require.Positive(t, c.begun.Load())
	assert.Less(t, peak, float64(limits.memoryMB))
	assert.Empty(t, s.lost)
	assert.Equal(t, s.requests, s.answered)
	assert.Less(t, s.longest, 500*time.Millisecond+answerSlack)
}

// sendWithoutWaiting sends requests without end, many at once, and reads all answers.
func sendWithoutWaiting(c *crowd, conn net.Conn, payload func() string) {
	const batch = 200
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	for {
		var all strings.Builder
		for range batch {
			all.WriteString(packet(0, payload()))
		}
		if _, err := io.WriteString(conn, all.String()); err != nil {
			return
		}
		c.begun.Add(batch)
	}
}

// sendOneAtATime sends each request as soon as the one before is answered.
func sendOneAtATime(c *crowd, conn net.Conn, payload func() string) {
	answers := &client{c: conn, r: bufio.NewReader(conn)}
	for {
		if _, err := io.WriteString(conn, packet(0, payload())); err != nil {
			return
		}
		if answers.read().code == -1 {
			return
		}
		c.begun.Add(1)
	}
}
