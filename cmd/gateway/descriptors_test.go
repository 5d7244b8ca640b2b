package main_test

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// openIdleClients keeps so many clients that log in, ping once and stay; one that is closed comes again.
func (r *testGateway) openIdleClients(clients int) (leave func()) {
	const pause = 200 * time.Millisecond
	over := make(chan struct{})
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			for {
				if c, err := net.Dial("tcp", r.addr); err == nil {
					_, _ = io.WriteString(c, packet(1, login)+packet(0, "\x0e"))
					ended := make(chan struct{})
					go func() {
						_, _ = io.Copy(io.Discard, c)
						close(ended)
					}()
					select {
					case <-ended:
					case <-over:
					}
					c.Close()
				}
				select {
				case <-over:
					return
				case <-time.After(pause):
				}
			}
		})
	}
	return func() {
		close(over)
		all.Wait()
	}
}

// openDescriptors is how many the process has now.
func (r *testGateway) openDescriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid))
	require.NoError(r.t, err)
	return len(list)
}

// waitServed asks on new sessions until one request has its answer: while the sessions are full, one may be
// closed before it is read.
func (r *testGateway) waitServed() {
	const patience = 15 * time.Second
	for end := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
		require.True(r.t, time.Now().Before(end), "no request is served")
		c := r.connect()
		if _, err := io.WriteString(c.c, packet(1, login)+packet(0, statement("lookup", 2500))); err != nil {
			continue
		}
		if _, err := c.packet(); err != nil || c.read().code != 0 {
			continue
		}
		if c.read().code == 0 {
			return
		}
	}
}

// waitForHealthCheck asks until the engine gets a probe: requests earn them.
func (r *testGateway) waitForHealthCheck(e *engine) {
	const patience = 30 * time.Second
	for before, end := e.probes.Load(), time.Now().Add(patience); e.probes.Load() == before; {
		require.True(r.t, time.Now().Before(end), "no probe")
		r.waitServed()
	}
}

// Idle clients, more than there is place for, can't keep the change log, probes and requests from their descriptors,
// whatever ails the change log meanwhile.
func TestIdleClientsKeepNobodyFromTheDescriptors(t *testing.T) {
	const sockets, crowd, held = 128, 250, 10
	for name, o := range map[string]outage{
		"unreachable": unreachable, "refusing": notListening, "mute": mute, "resetting": resetting,
		"unavailable": unavailable,
	} {
		t.Run(name, func(t *testing.T) { // one at a time: each is a load for the machine
			old, release := heldEngine(t)
			spare, fresh := newEngine(t, nil), newEngine(t, nil)
			log := newChangeLog(t)
			r := &testGateway{t: t, log: &lockedBuffer{}, exit: make(chan error, 1), changeLogAddr: log.address}
			log.changes = r.changes
			r.start(sockets, old)
			r.limitDescriptors(sockets)
			var busy []*client
			for range held {
				c := r.dial()
				c.send(0, statement("lookup", 20000))
				busy = append(busy, c)
			}
			old.waitFor(t, "POST", held)
			r.publish(old.entry("draining", 0), spare.entry("ready", 0))
			r.waitForLog("engine=" + spare.name)

			log.fail(o)
			t.Cleanup(r.openIdleClients(crowd))
			r.waitForCounter("sessions_evicted", 1)
			most := 0
			for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(20 * time.Millisecond) {
				most = max(most, r.openDescriptors())
			}
			r.waitServed()
			r.waitForHealthCheck(spare)

			r.publish(spare.entry("draining", 0), fresh.entry("ready", 0))
			log.recover()
			back := time.Now()
			r.waitForLog("engine=" + fresh.name)
			t.Log("most descriptors", most, "back after", time.Since(back), "accepts that failed",
				strings.Count(r.log.String(), "accept conn failed"))
			r.waitForHealthCheck(fresh)
			r.waitServed()
			assert.Positive(t, fresh.count("POST"))
			close(release)
			for _, c := range busy {
				assert.Zero(t, c.read().code, "it had its place before they came")
			}
		})
	}
}
