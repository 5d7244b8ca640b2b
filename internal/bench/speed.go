package bench

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Speed is the CPU time and throughput of a front end at full load, and its latencies at a fixed rate.
type Speed struct {
	CPUPerLookup     float64 // microseconds of user and system time, closed loop
	LookupsPerSecond float64 // lookups a second, closed loop
	P50, P99         float64 // milliseconds, open loop at SpeedOptions.Rate, each from the time the lookup was due
	P999             float64
}

// SpeedOptions are the options of Measure.
type SpeedOptions struct {
	Program  string
	Engines  int
	Sessions int           // sessions of the closed loop
	Duration time.Duration // duration of the closed loop, and of the open loop
	Rate     float64       // arrivals per second of the open loop; 0: no open loop
	Idle     int           // additional idle sessions
}

// Measure measures lookups through a front end on one core: first in a closed loop, then, if Rate is set, in an open
// loop.
func Measure(ctx context.Context, o SpeedOptions) (Speed, error) {
	var speed Speed
	settings := ""
	if o.Idle > 0 {
		settings = idleSettings(o.Idle)
	}
	t, err := newTestbed(testbedOptions{program: o.Program, engines: o.Engines, descriptors: max(2048,
		idleDescriptors(o.Idle)), settings: settings})
	if err != nil {
		return speed, err
	}
	defer t.close()
	idle, err := t.openIdle(o.Idle)
	defer closeAll(idle)
	if err != nil {
		return speed, err
	}
	if _, err := t.closedLoop(ctx, o.Sessions, o.Duration/4); err != nil { // warm-up
		return speed, err
	}
	cpu, began := cpuNanos(t.frontEnd.Pid()), time.Now()
	lookups, err := t.closedLoop(ctx, o.Sessions, o.Duration)
	if err != nil {
		return speed, err
	}
	speed.CPUPerLookup = float64(cpuNanos(t.frontEnd.Pid())-cpu) / 1000 / float64(lookups)
	speed.LookupsPerSecond = float64(lookups) / time.Since(began).Seconds()
	if o.Rate == 0 {
		return speed, nil
	}
	latencies, err := t.openLoop(ctx, o.Rate, o.Duration)
	if err != nil {
		return speed, err
	}
	speed.P50, speed.P99, speed.P999 = quantileMS(latencies, 50), quantileMS(latencies, 99), quantileMS(latencies, 99.9)
	return speed, nil
}

// quantileMS returns a percentile, in milliseconds, of a histogram of nanoseconds.
func quantileMS(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1e6
}

// closedLoop makes lookups on several sessions for a duration, each as soon as the previous one on the session is
// answered. It returns the number of lookups made.
func (t *testbed) closedLoop(ctx context.Context, sessions int, d time.Duration) (int, error) {
	var workers sync.WaitGroup
	var mu sync.Mutex
	var firstErr error
	total, end := 0, time.Now().Add(d)
	for worker := range sessions {
		workers.Go(func() {
			n, err := t.lookupUntil(ctx, end, workerIDs(worker))
			mu.Lock()
			defer mu.Unlock()
			total += n
			if firstErr == nil {
				firstErr = err
			}
		})
	}
	workers.Wait()
	return total, errors.Join(firstErr, ctx.Err())
}

// workerIDs returns the id after which the request ids of a worker start. The ids of different workers and of earlier
// loops don't overlap.
func workerIDs(worker int) uint64 {
	const workerShift = 48
	return uint64(worker+1)<<workerShift + uint64(time.Now().UnixNano())&(1<<(workerShift-1)-1)
}

// lookupUntil makes lookups on one session until the time end, until ctx ends, or until a lookup fails. It returns the
// number of lookups made.
func (t *testbed) lookupUntil(ctx context.Context, end time.Time, id uint64) (n int, err error) {
	c := &client{scenario: lookupScenario, address: t.frontEnd.Addr}
	defer c.close()
	for time.Now().Before(end) && err == nil && ctx.Err() == nil {
		id++
		n++
		err = c.request(id)
	}
	return n, err
}

// openLoop makes lookups at a fixed rate for a duration, whether or not earlier lookups are answered. It returns their
// latencies in nanoseconds, each from the time at which the lookup was due.
func (t *testbed) openLoop(ctx context.Context, rate float64, d time.Duration) (*hdrhistogram.Histogram, error) {
	latencies := hdrhistogram.New(1000, int64(time.Minute), 3)
	var mu sync.Mutex
	var firstErr error
	var requests sync.WaitGroup
	pool := newClientPool(t.frontEnd.Addr)
	began, interval := time.Now(), time.Duration(float64(time.Second)/rate)
	for i := 0; time.Duration(i)*interval < d && ctx.Err() == nil; i++ {
		due := began.Add(time.Duration(i) * interval)
		if delay := time.Until(due); delay > 0 {
			time.Sleep(delay)
		}
		requests.Go(func() {
			c := pool.take()
			err := c.request(uint64(1)<<62 + uint64(due.UnixNano()))
			latency := time.Since(due)
			pool.put(c)
			mu.Lock()
			defer mu.Unlock()
			if firstErr == nil {
				firstErr = err
			}
			_ = latencies.RecordValue(int64(latency))
		})
	}
	requests.Wait()
	pool.close()
	return latencies, errors.Join(firstErr, ctx.Err())
}

// clientPool holds idle clients for lookups. take and put are safe for concurrent use.
type clientPool struct {
	address string
	free    chan *client
}

func newClientPool(address string) *clientPool {
	const maxFree = 4096
	return &clientPool{address, make(chan *client, maxFree)}
}

func (p *clientPool) take() *client {
	select {
	case c := <-p.free:
		return c
	default:
		return &client{scenario: lookupScenario, address: p.address}
	}
}

func (p *clientPool) put(c *client) {
	select {
	case p.free <- c:
	default:
		c.close()
	}
}

// close closes all clients of the pool. All clients must have been put back.
func (p *clientPool) close() {
	close(p.free)
	for c := range p.free {
		c.close()
	}
}
