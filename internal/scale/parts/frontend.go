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
	sessionWait    = 20 * time.Second
	idleFor        = 10 * time.Minute // sessions that ask nothing stay
	warmFor        = time.Second
	sessionDials   = 16 // at once
	warmStatements = 200
	mostUnanswered = 0.5 // share of statements; with more of them nothing has been measured
	statementWait  = 2500 * time.Millisecond
)

// frontSettings let the planned sessions stay. Without max_sessions a front end takes two fifths of its sockets.
func frontSettings(reuse string) string {
	return fmt.Sprintf(`{"schema":1,"clients":{"idle_ms":%d,"max_sessions":%d},"engines":{"reuse":%q}}`,
		idleFor.Milliseconds(), frontSockets/2, reuse)
}

// noteFrontEnd notes how front ends are measured.
func noteFrontEnd(c *collector) {
	c.note("one front end process, limits %d MB and %d sockets, sessions up to %d by clients.max_sessions (the "+
		"default of two fifths of the sockets would be %d), GOMAXPROCS 1 by limits.cores",
		frontMemoryMB, frontSockets, frontSockets/2, frontSockets*2/5)
	c.note("every database of the list is a fake in the measuring process, which shares the machine; CPU is the " +
		"front end's own (/proc/PID/task/*/schedstat), kernel's work for it included")
	c.note("statements are lookups with a result of 1 KB, answered at once, on a new connection to a database each, " +
		"unless it is said otherwise; the front end probes (via pull) as its statements earn it")
}

// measureFrontEnd measures one real front end that belongs to a fleet of the largest size asked for.
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
	return o.each(ctx, c, record.FrontEnd, func(p sizeRun) error { return measureList(ctx, o, p) })
}

// load is a front end with open sessions.
type load struct {
	*fixture
	sessions []*faulttest.Session
	nextID   atomic.Uint64
}

func startLoad(o *Options, p sizeRun, reuse string) (*load, error) {
	f, err := startFixture(fixtureOptions{program: o.Program, members: p.size.Members, engines: p.size.Engines,
		answer: true, settings: frontSettings(reuse)})
	if err != nil {
		return nil, err
	}
	l := &load{fixture: f}
	if _, err := f.await(listedLine, p.size.Engines); err != nil {
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

// open brings the sessions to a number, some at a time. Each asks once: a session that asks nothing within 2.5 s of
// its connect is closed, whatever the setting of idle ones.
func (l *load) open(n int) error {
	missing := max(0, n-len(l.sessions))
	opened := make([]*faulttest.Session, missing)
	failed := make([]error, missing)
	var group sync.WaitGroup
	places := make(chan struct{}, sessionDials)
	for i := range missing {
		places <- struct{}{}
		group.Go(func() {
			if opened[i], failed[i] = faulttest.Dial(l.front.Addr, sessionWait); failed[i] == nil {
				_ = l.statement(opened[i]) // counted where it matters: by the statements of measureRate
			}
			<-places
		})
	}
	group.Wait()
	l.sessions = append(l.sessions, opened...)
	return errors.Join(failed...)
}

// measureSessions measures memory by sessions, and CPU by statements and by logins while the most sessions are open.
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
		p.c.step("%d sessions, repeat %d", n, p.repeat)
		if err := l.open(n); err != nil {
			return err
		}
		if err := pause(ctx, settle); err != nil {
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

// measureReuse measures CPU by statements where connections to databases serve again.
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

// warm sends statements on one session, so that what is made once is made.
func (l *load) warm(ctx context.Context) error {
	if err := l.open(max(1, len(l.sessions))); err != nil {
		return err
	}
	answered, last := 0, error(nil)
	for range warmStatements {
		if err := l.statement(l.sessions[0]); err != nil {
			last = err
		} else {
			answered++
		}
	}
	if answered == 0 {
		return fmt.Errorf("parts: no statement was answered: %w", last)
	}
	return ctx.Err()
}

// statement makes one lookup and reads its rows.
func (l *load) statement(session *faulttest.Session) error {
	id := l.nextID.Add(1)
	text := fmt.Sprintf("/* c=lookup,i=%016x,d=%d,t=south-grain,h=20.0,need_mb=16 */ SELECT a FROM sales_%d.orders", id,
		statementWait.Milliseconds(), id%20)
	_, err := session.Query(text, time.Now().Add(2*statementWait))
	return err
}

// measureRates measures CPU at each rate of statements, evenly over all open sessions, and at rest.
func (l *load) measureRates(ctx context.Context, o *Options, p sizeRun, name string) error {
	for _, rate := range append([]int{0}, o.Rates...) {
		if err := l.measureRate(ctx, o, p, name, rate); err != nil {
			return err
		}
	}
	return nil
}

// measureRate measures CPU at one rate of statements.
func (l *load) measureRate(ctx context.Context, o *Options, p sizeRun, name string, rate int) error {
	p.c.step("%d statements a second, repeat %d", rate, p.repeat)
	p.size.Rate = rate
	if err := pause(ctx, settle); err != nil {
		return err
	}
	run := startStatements(ctx, l, rate, warmFor+o.Window)
	if err := pause(ctx, warmFor); err != nil {
		return err
	}
	pid := l.front.Pid()
	began, from, asked := processCPU(pid), time.Now(), run.asked.Load()
	err := pause(ctx, o.Window)
	spent, seconds := processCPU(pid)-began, time.Since(from).Seconds()
	asked = run.asked.Load() - asked
	run.group.Wait()
	if err != nil {
		return err
	}
	p.add(name+"_cpu_cores", spent/seconds)
	if rate == 0 {
		return nil
	}
	p.add(name+"_statements_per_second", float64(asked)/seconds)
	p.add(name+"_statement_cpu_seconds", spent/math.Max(1, float64(asked)))
	p.add(name+"_statements_unanswered_ratio", run.unanswered())
	if run.unanswered() > mostUnanswered {
		return fmt.Errorf("%.4f of the statements at %d a second ended without rows", run.unanswered(), rate)
	}
	return nil
}

// statements is a run of statements at a rate.
type statements struct {
	asked, failed atomic.Int64
	group         sync.WaitGroup
}

// startStatements sends at a rate for so long: each session at its own even part of it.
func startStatements(ctx context.Context, l *load, rate int, long time.Duration) *statements {
	run := &statements{}
	if rate == 0 {
		return run
	}
	began, end := time.Now(), time.Now().Add(long)
	every := time.Duration(float64(time.Second) * float64(len(l.sessions)) / float64(rate))
	for i, session := range l.sessions {
		run.group.Go(func() {
			first := time.Duration(float64(every) * float64(i) / float64(len(l.sessions)))
			for due := began.Add(first); due.Before(end) && pause(ctx, time.Until(due)) == nil; due = due.Add(every) {
				run.asked.Add(1)
				if l.statement(session) != nil {
					run.failed.Add(1)
				}
			}
		})
	}
	return run
}

// unanswered is the share of statements that ended without rows.
func (s *statements) unanswered() float64 {
	return float64(s.failed.Load()) / math.Max(1, float64(s.asked.Load()))
}

// measureLogins measures CPU by new sessions a second, each of which logs in and leaves.
func (l *load) measureLogins(ctx context.Context, o *Options, p sizeRun) error {
	pid := l.front.Pid()
	for _, rate := range append([]int{0}, o.LoginRates...) {
		p.c.step("%d logins a second, repeat %d", rate, p.repeat)
		p.size.Rate = rate
		began, from := processCPU(pid), time.Now()
		made, err := l.login(ctx, rate, o.Window)
		if err != nil {
			return err
		}
		seconds := time.Since(from).Seconds()
		cores := (processCPU(pid) - began) / seconds
		p.add("front_end_login_cpu_cores", cores)
		if rate > 0 {
			p.add("front_end_logins_per_second", float64(made)/seconds)
		}
	}
	return nil
}

// login opens and closes sessions at a rate for so long, and returns how many.
func (l *load) login(ctx context.Context, rate int, long time.Duration) (made int, err error) {
	if rate == 0 {
		return 0, pause(ctx, long)
	}
	every, began := time.Second/time.Duration(rate), time.Now()
	for due := began; due.Before(began.Add(long)); due = due.Add(every) {
		if err := pause(ctx, time.Until(due)); err != nil {
			return made, err
		}
		session, err := faulttest.Dial(l.front.Addr, sessionWait)
		if err != nil {
			return made, err
		}
		session.Close()
		made++
	}
	return made, nil
}

// listSessions are the client connections of the front end whose cost by the length of its list is measured.
const listSessions = 64

// measureList measures a front end by the length of its list: without clients, and at the planned rate of statements.
func measureList(ctx context.Context, o *Options, p sizeRun) (err error) {
	l, err := startLoad(o, p, "auto")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, l.close()) }()
	if err := pause(ctx, settle); err != nil {
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
