package admission

import (
	"fmt"
	"testing"
	"time"
)

// tally is what the checks of a storm know of one request.
type tally struct {
	Request
	due, firstDoubt time.Duration
	open            bool // an attempt is out
	engine          uint32
	attempt         int
	answered, doubt bool
	doubtOn         Engine
}

// storm plays random events against a controller and checks the rules on each action.
func storm(t *testing.T, seed uint64) (all []Action, sent int) {
	t.Helper()
	s := baseSettings()
	s.Classes = append(s.Classes,
		Class{LatencyObjective: sec, Deadline: 3 * sec, PriorityWeight: 2, Idempotency: IdempotentWithKey, DeduplicationScope: ScopeCell, DeduplicationWindow: sec, Threads: 1},
		Class{LatencyObjective: sec, Deadline: 3 * sec, PriorityWeight: 2, Idempotency: NonIdempotent, OnlyZones: []int{1}, Threads: 1, LocksTables: true})
	s.CancellationAllowed, s.Grants, s.Priorities = true, true, true
	s.RetryBudget = &RetryBudget{MinRetries: 5, Ratio: 0.2, Window: 5 * sec}
	dice := splitMix64(seed)
	b := startController(t, s, newEngines(6))
	told := map[uint32]time.Duration{}
	reqs := map[string]*tally{}
	var order []*tally
	var taken, extra []time.Duration
	check := func(acts []Action) {
		all = append(all, acts...)
		for _, a := range acts {
			switch a := a.(type) {
			case Send:
				q := reqs[a.ID]
				sent++
				e := b.controller.enginesByID[a.Engine].Engine
				cl := s.Classes[q.Class]
				switch {
				case q.answered:
					t.Fatalf("seed %d: %s sent after its answer", seed, a.ID)
				case q.open:
					t.Fatalf("seed %d: %s has two attempts out", seed, a.ID)
				case told[a.Engine] > 0 && b.now > told[a.Engine]+s.DrainGrace:
					t.Fatalf("seed %d: %s sent to a drained engine", seed, a.ID)
				case len(cl.OnlyZones) > 0 && e.Zone != 1:
					t.Fatalf("seed %d: %s misplaced", seed, a.ID)
				case q.doubt && cl.Idempotency == NonIdempotent:
					t.Fatalf("seed %d: unsafe %s resent in doubt", seed, a.ID)
				case q.doubt && cl.Idempotency == IdempotentWithKey && (e.Cell != q.doubtOn.Cell || b.now >= q.firstDoubt+cl.DeduplicationWindow):
					t.Fatalf("seed %d: keyed %s resent out of its group or window", seed, a.ID)
				}
				if q.attempt++; q.attempt > 0 {
					extra = append(extra, b.now)
					if n, m := since(extra, b.now-5*sec), since(taken, b.now-5*sec); float64(n) > 5+0.2*float64(m) {
						t.Fatalf("seed %d: %d further attempts for %d taken", seed, n, m)
					}
				}
				q.open, q.engine = true, a.Engine
			case Reject:
				q := reqs[a.ID]
				if e := s.Classes[q.Class].Idempotency; q.answered || (e != Idempotent && (q.doubt || q.open)) {
					t.Fatalf("seed %d: %s refused wrongly", seed, a.ID)
				}
				q.answered = true
			case Fail:
				if reqs[a.ID].answered {
					t.Fatalf("seed %d: %s answered twice", seed, a.ID)
				}
				reqs[a.ID].answered = true
			}
		}
	}
	for i := range 1500 {
		b.now += 10 * ms
		var evs []Event
		if i < 1200 {
			q := &tally{Request: newRequest(fmt.Sprint("s", i), int(dice.float64()*4)), attempt: -1}
			q.Timeout, q.Tenant, q.Group = 3*sec, int(dice.float64()*2), int(dice.float64()*4)
			q.due = b.now + q.Timeout
			reqs[q.ID] = q
			order = append(order, q)
			taken = append(taken, b.now)
			evs = append(evs, q.Request)
		}
		if i%100 == 50 {
			en := newEngines(6)[int(dice.float64()*6)]
			if en.State = Draining; told[en.ID] > 0 {
				en.State, en.Started = Ready, b.now
				delete(told, en.ID)
			} else {
				told[en.ID] = b.now
			}
			evs = append(evs, EndpointsChanged{Kind: Partial, Engines: []Engine{en}})
		}
		for _, q := range order {
			if !q.open || (dice.float64() > 0.08 && b.now < q.due) {
				continue
			}
			st := []Status{OK, OK, OK, OK, Errored, Overloaded, TimedOut, ConnectFailed, Reset}[int(dice.float64()*9)]
			if b.now >= q.due {
				st = TimedOut
			}
			q.open = false
			if st == OK {
				q.answered = true
			} else if !st.NeverRan() && !q.doubt {
				q.doubt, q.doubtOn = true, b.controller.enginesByID[q.engine].Engine
				q.firstDoubt = b.controller.requests[q.ID].attempts[q.attempt].sentAt
			}
			evs = append(evs, outcomeOf(Send{ID: q.ID, Engine: q.engine}, q.attempt, st))
		}
		check(b.step(append(evs, Timer{Token: uint64(b.controller.housekeepingAt)})...))
		for _, q := range order {
			if !q.answered && b.now > q.due+s.DeadlineSlack {
				t.Fatalf("seed %d: %s has no answer in time %+v", seed, q.ID, b.controller.requests[q.ID])
			}
		}
	}
	return all, sent
}

func since(times []time.Duration, from time.Duration) (n int) {
	for _, at := range times {
		if at > from {
			n++
		}
	}
	return n
}
