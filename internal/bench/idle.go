package bench

import (
	"context"
	"fmt"
	"time"

	"beechcart/internal/faulttest"
)

const (
	// busySessions is the number of sessions allowed in addition to the idle ones.
	busySessions = 1000
	// idleDialTimeout is the timeout of the connect and login of one idle session.
	idleDialTimeout = 5 * time.Second
	// idleCPUTime is the duration for which the CPU time of idle sessions is measured.
	idleCPUTime = 2 * time.Second
	// maxFilesAtRest is an upper bound of the number of files that a front end without sessions has open.
	maxFilesAtRest = 100
	// closeTimeout is the timeout for a front end to close all sessions that its clients have closed.
	closeTimeout = 30 * time.Second
)

// idleSettings returns operators' settings that permit n idle sessions in addition to busySessions others.
func idleSettings(n int) string {
	return fmt.Sprintf(`{"schema":1,"clients":{"idle_ms":600000,"max_sessions":%d}}`, n+busySessions)
}

// idleDescriptors returns the file descriptor limit for a front end with n idle sessions.
func idleDescriptors(n int) int { return 4 * (n + busySessions) }

// openIdle opens n sessions that make no request. If one fails, it returns the sessions opened so far with the error.
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

// Idle is the measured cost of idle sessions.
type Idle struct {
	Sessions           int
	BytesEach          float64 // resident memory, above that of a front end without sessions
	CPUMillisPerSecond float64 // milliseconds of CPU time per second, without requests
	CloseAllSeconds    float64 // seconds until the front end has closed all sessions that the clients closed at once
}

// MeasureIdle opens n idle sessions on a front end and measures their cost.
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

// warmUp makes lookups, so that the allocations of the first lookups are not counted as a cost of idle sessions.
func (t *testbed) warmUp(ctx context.Context) error {
	const lookups = 500
	c := &client{scenario: lookupScenario, address: t.frontEnd.Addr}
	defer c.close()
	return c.repeat(ctx, lookups)
}

// timeCloseAll closes all sessions at once and returns the seconds until the front end has closed them too.
func (t *testbed) timeCloseAll(sessions []*faulttest.Session) (seconds float64, err error) {
	began := time.Now()
	closeAll(sessions)
	for {
		open := openFiles(t.frontEnd.Pid())
		if open <= maxFilesAtRest {
			return time.Since(began).Seconds(), nil
		}
		if time.Since(began) > closeTimeout {
			return 0, fmt.Errorf("bench: found %d open descriptors after all sessions were closed", open)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
