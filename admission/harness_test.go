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

// baseSettings returns settings for one front end with two equal kinds of machine, two tenants, a small class and a
// heavy class.
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
	var engines []Engine
	for i := range n {
		engines = append(engines, Engine{ID: uint32(i + 1), Units: 1, Zone: i % 2, Cell: i / 2, Kind: i % 2})
	}
	return engines
}

// harness drives a controller step by step with a simulated clock.
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
	h := &harness{t: t, controller: c, now: 100 * sec}
	h.step(EndpointsChanged{Kind: Persisted, Engines: list})
	return h
}

func (h *harness) step(events ...Event) []Action { return h.controller.Step(h.now, events) }

// advance moves the clock forward in steps of housekeepingInterval and returns the actions of all steps.
func (h *harness) advance(d time.Duration) (all []Action) {
	for end := h.now + d; h.now < end; {
		h.now = min(h.now+housekeepingInterval, end)
		all = append(all, h.step(Timer{Token: uint64(h.controller.housekeepingAt)})...)
	}
	return all
}

func newRequest(id string, class int) Request {
	return Request{ID: id, Class: class, Timeout: 4 * sec, TableGroup: -1, Work: 100 * ms}
}

func actionsOf[T Action](actions []Action) (matching []T) {
	for _, a := range actions {
		if v, ok := a.(T); ok {
			matching = append(matching, v)
		}
	}
	return matching
}

func oneAction[T Action](t *testing.T, actions []Action) T {
	t.Helper()
	matching := actionsOf[T](actions)
	if len(matching) != 1 {
		t.Fatalf("want one %T, got %d in %v", *new(T), len(matching), actions)
	}
	return matching[0]
}

func outcomeOf(s Send, attempt int, status Status) Outcome {
	return Outcome{ID: s.ID, Attempt: attempt, Engine: s.Engine, Status: status, Latency: 50 * ms, Closed: status == OK}
}

// fillEngines sends 100 heavy requests and answers none, so that the limits on threads are reached. It returns the
// sends.
func fillEngines(h *harness) (sends []Send) {
	for i := range 100 {
		request := newRequest(fmt.Sprint("h", i), 1)
		request.Timeout, request.Tenant = 20*sec, i%2
		sends = append(sends, actionsOf[Send](h.step(request))...)
	}
	return sends
}

// newControllers returns one controller for each front end of a deployment, each with its own seed and zone.
func newControllers(t *testing.T, s Settings, seed func(i int) uint64, zone func(i int) int) (all []*Controller) {
	t.Helper()
	for i := range s.Replicas {
		own := s
		own.Me, own.Zone = i, zone(i)
		c, err := New(own, seed(i))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
	}
	return all
}

// newFrontEnds returns a harness for each front end of a deployment. All start with the same engine list.
func newFrontEnds(t *testing.T, s Settings, list []Engine) (all []*harness) {
	t.Helper()
	seed := func(i int) uint64 { return uint64(i)*7919 + 1 }
	for _, c := range newControllers(t, s, seed, func(int) int { return s.Zone }) {
		h := &harness{t: t, controller: c, now: 100 * sec}
		h.step(EndpointsChanged{Kind: Persisted, Engines: list})
		all = append(all, h)
	}
	return all
}
