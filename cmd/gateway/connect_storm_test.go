package main_test

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The process must never hold more descriptors than its limit, and must serve ordinary clients, while many more clients
// connect than it may serve.
func TestConnectStormStaysWithinDescriptors(t *testing.T) {
	for _, limits := range []platformLimits{{32, 1024}, {32, 256}, {48, 128}} {
		for name, pause := range map[string]func(*testGateway) (resume func()){
			"running": func(*testGateway) func() { return func() {} }, "paused": (*testGateway).pause,
		} {
			t.Run(fmt.Sprintf("%d descriptors, %s", limits.descriptors, name), func(t *testing.T) {
				testConnectStorm(t, limits, pause)
			})
		}
	}
}

// testConnectStorm connects as many clients at once as the process may hold descriptors, again and again. pause is
// called before, and resume afterwards: while the process does not run, all of them lie in its accept queue.
func testConnectStorm(t *testing.T, limits platformLimits, pause func(*testGateway) (resume func())) {
	t.Helper()
	const ordinaryClients, waves = 8, 4
	r := startPlatform(t, limits, newEngine(t, nil))
	stop := make(chan struct{})
	s := serveOrdinary(t, r, ordinaryClients, stop, func() string { return statement("lookup", 2500) })
	open := r.watchDescriptors(stop)
	var connected sync.WaitGroup
	for range waves {
		resume := pause(r)
		for range limits.descriptors {
			if conn, err := net.DialTimeout("tcp", r.addr, time.Second); err == nil {
				connected.Go(func() {
					_ = conn.SetDeadline(time.Now().Add(crowdPeriod))
					_, _ = io.Copy(io.Discard, conn)
					_ = conn.Close()
				})
			}
		}
		resume()
		time.Sleep(crowdPeriod / waves)
	}
	connected.Wait()
	close(stop)
	most, peak := <-open, float64(r.peakMemoryKB())/1024
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Logf("%d of %d descriptors, %.1f of %d MB; ordinary: %d requests, %d served, longest %v",
		most, limits.descriptors, peak, limits.memoryMB, s.requests, s.answered, s.longest)
	assert.LessOrEqual(t, most, limits.descriptors)
	assert.Less(t, peak, float64(limits.memoryMB))
	assert.Empty(t, s.lost)
	require.Positive(t, s.requests)
	assert.Equal(t, s.requests, s.answered)
}

// watchDescriptors counts the open descriptors of the process until stop is closed, and then sends the highest number.
func (r *testGateway) watchDescriptors(stop <-chan struct{}) <-chan int {
	highest := make(chan int, 1)
	path := fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid)
	go func() {
		most := 0
		for {
			select {
			case <-stop:
				highest <- most
				return
			case <-time.After(time.Millisecond):
				if list, err := os.ReadDir(path); err == nil {
					most = max(most, len(list))
				}
			}
		}
	}()
	return highest
}
