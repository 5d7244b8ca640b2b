package parts

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"beechcart/internal/faulttest"
	"beechcart/internal/scale/record"
)

const (
	sessionTimeout     = 20 * time.Second
	sessionIdleTimeout = 10 * time.Minute // longer than a measurement, so that idle sessions stay open
	warmupTime         = time.Second
	parallelDials      = 16 // sessions that are opened at the same time
	warmupStatements   = 200
	maxUnansweredRatio = 0.5 // a higher ratio of statements without rows makes the measurement void
	statementTimeout   = 2500 * time.Millisecond
)

// frontSettings returns operators' settings as JSON that keep the planned number of sessions open. Without
// max_sessions a front end limits sessions to two fifths of its sockets.
func frontSettings(reuse string) string {
	return fmt.Sprintf(`{"schema":1,"clients":{"idle_ms":%d,"max_sessions":%d},"engines":{"reuse":%q}}`,
		sessionIdleTimeout.Milliseconds(), frontEndSockets/2, reuse)
}

// noteFrontEnd adds notes on how front ends are measured.
func noteFrontEnd(c *collector) {
	c.note("one front end process, limits %d MB and %d sockets, sessions up to %d by clients.max_sessions (the "+
		"default of two fifths of the sockets would be %d), GOMAXPROCS 1 by limits.cores",
		frontEndMemoryMB, frontEndSockets, frontEndSockets/2, frontEndSockets*2/5)
	c.note("every database of the list is a fake in the measuring process, which shares the machine; CPU is the " +
		"front end's own (/proc/PID/task/*/schedstat), kernel's work for it included")
	c.note("statements are lookups with a result of 1 KB, answered at once, on a new connection to a database each, " +
		"unless it is said otherwise; the front end probes (via pull) as its statements earn it")
}

// measureFrontEnd measures one real front end of a fleet of the last size in Options.Sizes.
func measureFrontEnd(ctx context.Context, o *Options, c *collector) error {
	noteFrontEnd(c)
	c.note("front_end_reuse_*: connections to databases serve again (engines.reuse on)")
	for repeat := 1; repeat <= o.Repeats; repeat++ {
		p := sizeRun{c, record.FrontEnd, o.Sizes[len(o.Sizes)-1], repeat}
		if err := measureSessions(ctx, o, p); err != nil {
			return err
		}
		if err := measureReuse(ctx, o, p); err != nil {
			return err
		}
	}
	return nil
}

// measureFrontEndByList measures one real front end of a fleet of each size.
func measureFrontEndByList(ctx context.Context, o *Options, c *collector) error {
	noteFrontEnd(c)
	c.note("front_end_by_list_*: the highest rate on %d sessions, by the length of the list; front_end_idle_*: the "+
		"same front end without clients", listSessions)
	return o.forEachSize(ctx, c, record.FrontEnd, func(p sizeRun) error { return measureList(ctx, o, p) })
}

// load is a front end with open client sessions.
type load struct {
	*fixture
	sessions []*faulttest.Session
	nextID   atomic.Uint64
}

// startLoad starts a front end with fake databases, and returns once the front end has logged each entry of its
// endpoint list. reuse is the setting engines.reuse.
func startLoad(o *Options, p sizeRun, reuse string) (*load, error) {
	f, err := startFixture(fixtureOptions{program: o.Program, members: p.size.Members, engines: p.size.Engines,
		fakeEngines: true, settings: frontSettings(reuse)})
	if err != nil {
		return nil, err
	}
	l := &load{fixture: f}
	if _, err := f.awaitLine(engineListedLine, p.size.Engines); err != nil {
		return nil, errors.Join(err, f.close())
	}
	return l, nil
}

func (l *load) close() error {
	for _, session := range l.sessions {
		session.Close()
	}
	return l.fixture.close()
}

// open opens sessions until n are open, at most parallelDials at the same time. Each new session sends one statement,
// because a front end closes a session that sends none within 2.5 s of connecting, whatever its idle timeout.
func (l *load) open(n int) error {
	missing := max(0, n-len(l.sessions))
	opened := make([]*faulttest.Session, missing)
	dialErrors := make([]error, missing)
	var group sync.WaitGroup
	slots := make(chan struct{}, parallelDials)
	for i := range missing {
		slots <- struct{}{}
		group.Go(func() {
			if opened[i], dialErrors[i] = faulttest.Dial(l.front.Addr, sessionTimeout); dialErrors[i] == nil {
				_ = l.statement(opened[i]) // measureRate counts failures; this statement only keeps the session open
			}
			<-slots
		})
	}
	group.Wait()
	l.sessions = append(l.sessions, opened...)
	return errors.Join(dialErrors...)
}

// measureSessions measures memory by the number of sessions, and CPU by the rates of statements and of logins with
// the largest number of sessions open.
func measureSessions(ctx context.Context, o *Options, p sizeRun) (err error) {
	l, err := startLoad(o, p, "auto")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, l.close()) }()
	pid := l.front.Pid()
	if err := l.warm(ctx); err != nil {
		return err
	}
	p.add("front_end_session_resident_bytes", residentBytes(pid))
	for _, n := range o.Sessions {
		p.c.reportStep("%d sessions, repeat %d", n, p.repeat)
		if err := l.open(n); err != nil {
			return err
		}
		if err := pause(ctx, settleTime); err != nil {
			return err
		}
		p.size.Sessions = n
		p.add("front_end_session_resident_bytes", residentBytes(pid))
	}
	if err := l.measureRates(ctx, o, p, "front_end"); err != nil {
		return err
	}
	p.add("front_end_loaded_resident_bytes", residentBytes(pid))
	return l.measureLogins(ctx, o, p)
}

// measureReuse measures CPU by the rate of statements where the front end reuses connections to databases.
func measureReuse(ctx context.Context, o *Options, p sizeRun) (err error) {
	l, err := startLoad(o, p, "on")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, l.close()) }()
	p.size.Sessions = o.Sessions[len(o.Sessions)-1]
	if err := errors.Join(l.open(p.size.Sessions), l.warm(ctx)); err != nil {
		return err
	}
	return l.measureRates(ctx, o, p, "front_end_reuse")
}

// warm sends statements on one session so that one-time initialization is not measured. It fails if none is answered.
func (l *load) warm(ctx context.Context) error {
	if err := l.open(max(1, len(l.sessions))); err != nil {
		return err
	}
	answered, lastErr := 0, error(nil)
	for range warmupStatements {
		if err := l.statement(l.sessions[0]); err != nil {
			lastErr = err
		} else {
			answered++
		}
	}
	if answered == 0 {
		return fmt.Errorf("parts: warm-up: found no answered statement, at least one is needed: %w", lastErr)
	}
	return ctx.Err()
}

// statement sends one lookup and reads its rows.
func (l *load) statement(session *faulttest.Session) error {
	id := l.nextID.Add(1)
	text := fmt.Sprintf("/* c=lookup,i=%016x,d=%d,t=south-grain,h=20.0,need_mb=16 */ SELECT a FROM sales_%d.orders", id,
		statementTimeout.Milliseconds(), id%20)
	_, err := session.Query(text, time.Now().Add(2*statementTimeout))
	return err
}

// measureRates measures CPU without statements and at each rate of Options.Rates, spread evenly over all open
// sessions.
func (l *load) measureRates(ctx context.Context, o *Options, p sizeRun, name string) error {
	for _, rate := range append([]int{0}, o.Rates...) {
		if err := l.measureRate(ctx, o, p, name, rate); err != nil {
			return err
		}
	}
	return nil
}

// measureRate measures CPU at one rate of statements. It fails if more than maxUnansweredRatio of them end without
// rows.
func (l *load) measureRate(ctx context.Context, o *Options, p sizeRun, name string, rate int) error {
	p.c.reportStep("%d statements a second, repeat %d", rate, p.repeat)
	p.size.Rate = rate
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	run := startStatements(ctx, l, rate, warmupTime+o.Window)
	if err := pause(ctx, warmupTime); err != nil {
		return err
	}
	pid := l.front.Pid()
	startCPU, startTime, sent := processCPU(pid), time.Now(), run.sent.Load()
	err := pause(ctx, o.Window)
	spent, seconds := processCPU(pid)-startCPU, time.Since(startTime).Seconds()
	sent = run.sent.Load() - sent
	run.group.Wait()
	if err != nil {
		return err
	}
	p.add(name+"_cpu_cores", spent/seconds)
	if rate == 0 {
		return nil
	}
	p.add(name+"_statements_per_second", float64(sent)/seconds)
	p.add(name+"_statement_cpu_seconds", spent/math.Max(1, float64(sent)))
	p.add(name+"_statements_unanswered_ratio", run.unanswered())
	if run.unanswered() > maxUnansweredRatio {
		return fmt.Errorf("statements: found a ratio of %.4f without rows at %d per second, more than allowed",
			run.unanswered(), rate)
	}
	return nil
}

// statements counts the statements that are sent at a rate, and those that fail.
type statements struct {
	sent, failed atomic.Int64
	group        sync.WaitGroup
}

// startStatements sends statements at a rate for the given duration. Every session sends an even share of them, at a
// fixed interval.
func startStatements(ctx context.Context, l *load, rate int, duration time.Duration) *statements {
	run := &statements{}
	if rate == 0 {
		return run
	}
	began, end := time.Now(), time.Now().Add(duration)
	interval := time.Duration(float64(time.Second) * float64(len(l.sessions)) / float64(rate))
	for i, session := range l.sessions {
		run.group.Go(func() {
			first := time.Duration(float64(interval) * float64(i) / float64(len(l.sessions)))
			for due := began.Add(first); due.Before(end) && pause(ctx, time.Until(due)) == nil; due = due.Add(interval) {
				run.sent.Add(1)
				if l.statement(session) != nil {
					run.failed.Add(1)
				}
			}
		})
	}
	return run
}

// unanswered returns the ratio of statements that ended without rows.
func (s *statements) unanswered() float64 {
	return float64(s.failed.Load()) / math.Max(1, float64(s.sent.Load()))
}

// measureLogins measures CPU by the rate of new sessions. Each session logs in and closes.
func (l *load) measureLogins(ctx context.Context, o *Options, p sizeRun) error {
	pid := l.front.Pid()
	for _, rate := range append([]int{0}, o.LoginRates...) {
		p.c.reportStep("%d logins a second, repeat %d", rate, p.repeat)
		p.size.Rate = rate
		startCPU, startTime := processCPU(pid), time.Now()
		logins, err := l.login(ctx, rate, o.Window)
		if err != nil {
			return err
		}
		seconds := time.Since(startTime).Seconds()
		cores := (processCPU(pid) - startCPU) / seconds
		p.add("front_end_login_cpu_cores", cores)
		if rate > 0 {
			p.add("front_end_logins_per_second", float64(logins)/seconds)
		}
	}
	return nil
}

// login opens and closes sessions at a rate for the given duration, and returns their number.
func (l *load) login(ctx context.Context, rate int, duration time.Duration) (logins int, err error) {
	if rate == 0 {
		return 0, pause(ctx, duration)
	}
	interval, began := time.Second/time.Duration(rate), time.Now()
	for due := began; due.Before(began.Add(duration)); due = due.Add(interval) {
		if err := pause(ctx, time.Until(due)); err != nil {
			return logins, err
		}
		session, err := faulttest.Dial(l.front.Addr, sessionTimeout)
		if err != nil {
			return logins, err
		}
		session.Close()
		logins++
	}
	return logins, nil
}

// listSessions is the number of client sessions while the cost of the endpoint list is measured.
const listSessions = 64

// measureList measures a front end by the length of its endpoint list: without clients, and at the last rate of
// Options.Rates.
func measureList(ctx context.Context, o *Options, p sizeRun) (err error) {
	l, err := startLoad(o, p, "auto")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, l.close()) }()
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	pid := l.front.Pid()
	began, from := processCPU(pid), time.Now()
	if err := pause(ctx, o.Window); err != nil {
		return err
	}
	p.add("front_end_idle_cpu_cores", (processCPU(pid)-began)/time.Since(from).Seconds())
	p.add("front_end_idle_resident_bytes", residentBytes(pid))
	if err := errors.Join(l.open(listSessions), l.warm(ctx)); err != nil {
		return err
	}
	p.size.Sessions = listSessions
	return l.measureRate(ctx, o, p, "front_end_by_list", o.Rates[len(o.Rates)-1])
}
