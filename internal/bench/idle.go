package bench

import (
	"context"
	"fmt"
	"time"

	"beechcart/internal/faulttest"
)

const (
	// busySessions is how many sessions are allowed beside the idle ones.
	busySessions = 1000
	// idleDialTimeout is the time limit of a connect among many.
	idleDialTimeout = 5 * time.Second
	// idleCPUTime is how long the CPU time of idle sessions is measured.
	idleCPUTime = 2 * time.Second
	// maxFilesAtRest is more files than a front end without sessions has open.
	maxFilesAtRest = 100
	// closeTimeout is how long a front end may take to close all sessions that its clients have closed.
	closeTimeout = 30 * time.Second
)

// idleSettings returns operators' settings that let n sessions stay idle beside others that are not.
func idleSettings(n int) string {
	return fmt.Sprintf(`{"schema":1,"clients":{"idle_ms":600000,"max_sessions":%d}}`, n+busySessions)
}

// idleDescriptors returns the limit of descriptors for a front end with n idle sessions.
func idleDescriptors(n int) int { return 4 * (n + busySessions) }

// openIdle opens n sessions that make no request. Those that were opened are returned with an error too.
func (t *testbed) openIdle(n int) (sessions []*faulttest.Session, err error) {
	for range n {
		session, err := faulttest.Dial(t.frontEnd.Addr, idleDialTimeout)
		if err != nil {
			return sessions, fmt.Errorf("bench: idle session %d: %w", len(sessions), err)
		}
		sessions = append(sessions, session)
	}
	return sessions, nil
}

func closeAll(sessions []*faulttest.Session) {
	for _, session := range sessions {
		session.Close()
	}
}

// Idle is what sessions that do nothing cost.
type Idle struct {
	Sessions           int
	BytesEach          float64 // resident, above that of none
	CPUMillisPerSecond float64 // milliseconds of CPU a second while nothing is asked
	CloseAllSeconds    float64 // seconds until all that were closed at once are forgotten
}

// MeasureIdle opens n idle sessions on a front end and measures what they cost.
func MeasureIdle(ctx context.Context, program string, n int) (Idle, error) {
	measured := Idle{Sessions: n}
	t, err := newTestbed(testbedOptions{program: program, engines: 2, descriptors: idleDescriptors(n),
		settings: idleSettings(n), withStats: true})
	if err != nil {
		return measured, err
	}
	defer t.close()
	if err := t.warmUp(ctx); err != nil {
		return measured, err
	}
	without, _ := resident(t.frontEnd.Pid())
	sessions, err := t.openIdle(n)
	defer closeAll(sessions)
	if err != nil {
		return measured, err
	}
	cpu := cpuNanos(t.frontEnd.Pid())
	if err := wait(ctx, idleCPUTime); err != nil {
		return measured, err
	}
	measured.CPUMillisPerSecond = float64(cpuNanos(t.frontEnd.Pid())-cpu) / 1e6 / idleCPUTime.Seconds()
	with, _ := resident(t.frontEnd.Pid())
	measured.BytesEach = (with - without) * (1 << 20) / float64(n)
	measured.CloseAllSeconds, err = t.timeCloseAll(sessions)
	return measured, err
}

// warmUp makes lookups, so that what the first ones allocate is not taken for a cost of idle sessions.
func (t *testbed) warmUp(ctx context.Context) error {
	const lookups = 500
	c := &client{scenario: lookupScenario, address: t.frontEnd.Addr}
	defer c.close()
	return c.repeat(ctx, lookups)
}

// timeCloseAll closes sessions all at once, and returns after how many seconds the front end has closed them too.
func (t *testbed) timeCloseAll(sessions []*faulttest.Session) (seconds float64, err error) {
	began := time.Now()
	closeAll(sessions)
	for {
		open := openFiles(t.frontEnd.Pid())
		if open <= maxFilesAtRest {
			return time.Since(began).Seconds(), nil
		}
		if time.Since(began) > closeTimeout {
			return 0, fmt.Errorf("bench: %d descriptors are still open", open)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
