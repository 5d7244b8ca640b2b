package admission

import (
	"fmt"
	"testing"
	"time"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// baseSettings is a plain setting: one kind, two tenants, a small and a heavy class.
func baseSettings() Settings {
	return Settings{
		Replicas: 1, Zones: 2, Kinds: []Kind{{Cores: 8, MemoryMB: 16384}, {Cores: 8, MemoryMB: 16384}},
		Classes: []Class{
			{LatencyObjective: sec, ObjectivePerWork: 1.5, Deadline: 4 * sec, PriorityWeight: 1, Threads: 1},
			{LatencyObjective: 2 * sec, ObjectivePerWork: 2.5, Deadline: 20 * sec, PriorityWeight: 8, LateWeight: 0.4,
				Threads: 2},
		},
		Tenants:       []Tenant{{Quota: 0.5, RequestsPerSecond: 1000}, {Quota: 0.5, RequestsPerSecond: 1000}},
		LoadReporting: InBandReports,
		MaxAttempts:   3, MaxRetryAfter: sec, DeadlineSlack: 20 * ms, DrainGrace: 250 * ms,
		KeyCooldown: sec,
		SlowStart:   SlowStart{InitialCapacity: 0.3, Duration: 10 * sec, OverloadMultiple: 3, OverloadWindow: 2 * sec},
	}
}

func newEngines(n int) []Engine {
	var l []Engine
	for i := range n {
		l = append(l, Engine{ID: uint32(i + 1), Units: 1, Zone: i % 2, Cell: i / 2, Kind: i % 2})
	}
	return l
}

// harness drives a controller by hand.
type harness struct {
	t          *testing.T
	controller *Controller
	now        time.Duration
}

func startController(t *testing.T, s Settings, list []Engine) *harness {
	t.Helper()
	c, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	b := &harness{t: t, controller: c, now: 100 * sec}
	b.step(EndpointsChanged{Kind: Persisted, Engines: list})
	return b
}

func (b *harness) step(ev ...Event) []Action { return b.controller.Step(b.now, ev) }

// advance lets time go by in steps of the wake-up and gathers what was done.
func (b *harness) advance(d time.Duration) (all []Action) {
	for end := b.now + d; b.now < end; {
		b.now = min(b.now+housekeepingInterval, end)
		all = append(all, b.step(Timer{Token: uint64(b.controller.housekeepingAt)})...)
	}
	return all
}

func newRequest(id string, class int) Request {
	return Request{ID: id, Class: class, Timeout: 4 * sec, TableGroup: -1, Work: 100 * ms}
}

func actionsOf[T Action](acts []Action) (out []T) {
	for _, a := range acts {
		if v, ok := a.(T); ok {
			out = append(out, v)
		}
	}
	return out
}

func oneAction[T Action](t *testing.T, acts []Action) T {
	t.Helper()
	l := actionsOf[T](acts)
	if len(l) != 1 {
		t.Fatalf("want one %T, got %d in %v", *new(T), len(l), acts)
	}
	return l[0]
}

func outcomeOf(s Send, attempt int, st Status) Outcome {
	return Outcome{ID: s.ID, Attempt: attempt, Engine: s.Engine, Status: st, Latency: 50 * ms, Closed: st == OK}
}

// fillEngines fills the pool with unending heavies, so that the bound binds.
func fillEngines(b *harness) (out []Send) {
	for i := range 100 {
		r := newRequest(fmt.Sprint("h", i), 1)
		r.Timeout, r.Tenant = 20*sec, i%2
		out = append(out, actionsOf[Send](b.step(r))...)
	}
	return out
}

// newControllers is the controllers of one deployment, each with its seed and zone.
func newControllers(t *testing.T, s Settings, seed func(me int) uint64, zone func(me int) int) (all []*Controller) {
	t.Helper()
	for me := range s.Replicas {
		one := s
		one.Me, one.Zone = me, zone(me)
		c, err := New(one, seed(me))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
	}
	return all
}

// newFrontEnds is many front ends of one deployment, with the same list.
func newFrontEnds(t *testing.T, s Settings, list []Engine) (all []*harness) {
	t.Helper()
	seed := func(me int) uint64 { return uint64(me)*7919 + 1 }
	for _, c := range newControllers(t, s, seed, func(int) int { return s.Zone }) {
		b := &harness{t: t, controller: c, now: 100 * sec}
		b.step(EndpointsChanged{Kind: Persisted, Engines: list})
		all = append(all, b)
	}
	return all
}
