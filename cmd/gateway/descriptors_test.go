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

// openIdleClients runs clients that log in, send one ping and stay idle. A client whose session is closed connects
// again after a pause. The clients run until stop is called.
func (r *testGateway) openIdleClients(clients int) (stop func()) {
	const pause = 200 * time.Millisecond
	done := make(chan struct{})
	var running sync.WaitGroup
	for range clients {
		running.Go(func() {
			for {
				if c, err := net.Dial("tcp", r.addr); err == nil {
					_, _ = io.WriteString(c, packet(1, loginPayload)+packet(0, "\x0e"))
					ended := make(chan struct{})
					go func() {
						_, _ = io.Copy(io.Discard, c)
						close(ended)
					}()
					select {
					case <-ended:
					case <-done:
					}
					c.Close()
				}
				select {
				case <-done:
					return
				case <-time.After(pause):
				}
			}
		})
	}
	return func() {
		close(done)
		running.Wait()
	}
}

// openDescriptors returns the number of descriptors that the process has open.
func (r *testGateway) openDescriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid))
	require.NoError(r.t, err)
	return len(list)
}

// waitForServedRequest sends requests on new sessions until one is served. While the session limit is reached, a
// session may be closed before its request is read.
func (r *testGateway) waitForServedRequest() {
	const timeout = 15 * time.Second
	for end := time.Now().Add(timeout); ; time.Sleep(20 * time.Millisecond) {
		require.True(r.t, time.Now().Before(end), "no request is served in time")
		c := r.connect()
		if _, err := io.WriteString(c.c, packet(1, loginPayload)+packet(0, statement("lookup", 2500))); err != nil {
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

// waitForHealthCheck sends requests until the engine gets a health check. The number of health checks is limited in
// proportion to the requests.
func (r *testGateway) waitForHealthCheck(e *engine) {
	const timeout = 30 * time.Second
	for before, end := e.healthChecks.Load(), time.Now().Add(timeout); e.healthChecks.Load() == before; {
		require.True(r.t, time.Now().Before(end), "no health check")
		r.waitForServedRequest()
	}
}

// More idle clients than the session limit allows do not take the descriptors that the change log, health checks and
// requests need, whichever fault the change log has meanwhile.
func TestIdleClientsDoNotExhaustDescriptors(t *testing.T) {
	const sockets, idleClients, busyClients = 128, 250, 10
	for name, o := range map[string]outage{
		"unreachable": unreachable, "refusing": notListening, "mute": hanging, "resetting": resetting,
		"unavailable": unavailable,
	} {
		t.Run(name, func(t *testing.T) { // not in parallel: each case puts a high load on the machine
			old, release := newBlockedEngine(t)
			spare, fresh := newEngine(t, nil), newEngine(t, nil)
			log := newChangeLog(t)
			r := &testGateway{t: t, log: &lockedBuffer{}, exit: make(chan error, 1), changeLogAddr: log.address}
			log.serveChanges = r.serveChanges
			r.start(sockets, old)
			r.limitDescriptors(sockets)
			var busy []*client
			for range busyClients {
				c := r.dial()
				c.send(0, statement("lookup", 20000))
				busy = append(busy, c)
			}
			old.waitFor(t, "POST", busyClients)
			r.publish(old.entry("draining", 0), spare.entry("ready", 0))
			r.waitForLog("engine=" + spare.name)

			log.fail(o)
			t.Cleanup(r.openIdleClients(idleClients))
			r.waitForCounter("sessions_evicted", 1)
			most := 0
			for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(20 * time.Millisecond) {
				most = max(most, r.openDescriptors())
			}
			r.waitForServedRequest()
			r.waitForHealthCheck(spare)

			r.publish(spare.entry("draining", 0), fresh.entry("ready", 0))
			log.recover()
			back := time.Now()
			r.waitForLog("engine=" + fresh.name)
			t.Log("descriptors at most", most, "endpoint list read after", time.Since(back), "failed accepts",
				strings.Count(r.log.String(), "accept conn failed"))
			r.waitForHealthCheck(fresh)
			r.waitForServedRequest()
			assert.Positive(t, fresh.count("POST"))
			close(release)
			for _, c := range busy {
				assert.Zero(t, c.read().code, "the request began before the idle clients connected")
			}
		})
	}
}
