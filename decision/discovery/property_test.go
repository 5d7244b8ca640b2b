package discovery

import (
	"fmt"
	"maps"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// world draws observations that may be wrong in any way, and remembers what the invariants are about.
type world struct {
	set      *EndpointSet
	settings Settings
	now      time.Duration
	ready    map[string]bool   // by key, as the updates have it
	drains   map[string]uint64 // by key, the latest index that reported the drain
}

func newWorld(t *rapid.T) *world {
	w := &world{settings: Defaults(), now: time.Hour, ready: map[string]bool{}, drains: map[string]uint64{}}
	var err error
	w.set, err = New(w.settings)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// apply takes over an update.
func (w *world) apply(update Update) {
	for _, change := range update.Changes {
		w.ready[change.Key] = change.State == Ready
	}
}

func propertyEndpoint(i, host int) Endpoint {
	return Endpoint{Key: fmt.Sprintf("n/%d", i), Addr: fmt.Sprintf("10.0.0.%d:80", host+1), CreateIndex: 1, Passing: true}
}

// drawList draws a list of at most that many endpoints, some of them twice or at another's address.
func drawList(maxLength int) *rapid.Generator[[]Endpoint] {
	return rapid.Custom(func(t *rapid.T) []Endpoint {
		var list []Endpoint
		for range rapid.IntRange(0, maxLength).Draw(t, "length") {
			i := rapid.IntRange(0, 9).Draw(t, "endpoint")
			host := i
			if rapid.IntRange(0, 19).Draw(t, "moved") == 0 {
				host = rapid.IntRange(0, 9).Draw(t, "host")
			}
			e := propertyEndpoint(i, host)
			e.Weight = 1
			e.CreateIndex = rapid.Uint64Range(1, 3).Draw(t, "create index")
			e.Drain = rapid.IntRange(0, 9).Draw(t, "drain") == 0
			e.Passing = rapid.IntRange(0, 2).Draw(t, "passing") > 0
			list = append(list, e)
		}
		return list
	})
}

func drawObservation(t *rapid.T, full []Endpoint) Observation {
	o := Observation{
		Index:       rapid.Uint64Range(95, 110).Draw(t, "index"),
		HasLeader:   rapid.IntRange(0, 4).Draw(t, "leader") > 0,
		LastContact: time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "last contact")),
		Endpoints:   drawList(14).Draw(t, "list"),
	}
	if rapid.Bool().Draw(t, "complete") {
		o.Endpoints = append(o.Endpoints, full...)
	}
	return o
}

// TestInvariants numbers what it checks as doc.go does.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		full := make([]Endpoint, 0, 8)
		for i := range 8 {
			full = append(full, propertyEndpoint(i, i))
		}
		w.apply(w.set.Observe(w.now, Observation{Index: 100, HasLeader: true, Endpoints: full}))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w.now += time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "passes"))
			w.apply(w.set.Advance(w.now)) // what time alone changes is not due to the observation
			w.checkState(t)
			if rapid.IntRange(0, 4).Draw(t, "idle") > 0 {
				w.observe(t, drawObservation(t, full))
				w.checkState(t)
			}
		}
	})
}

// observe hands an observation to the set and checks what it has changed.
func (w *world) observe(t *rapid.T, observation Observation) {
	readyBefore, index := maps.Clone(w.ready), w.set.Index()
	drainBefore := map[string]bool{}
	for key, e := range w.set.endpoints {
		drainBefore[key] = e.drain
	}
	w.apply(w.set.Observe(w.now, observation))
	if w.set.Index() < index {
		clear(w.drains) // a new epoch
	}
	drained := w.checkReportedDrains(t, observation, drainBefore)
	w.checkTrust(t, observation, drainBefore, drained)
	if len(observation.Endpoints) == 0 {
		for key, before := range readyBefore {
			if before && !w.ready[key] {
				t.Fatalf("4: an empty list took %s out", key)
			}
		}
	}
}

// checkReportedDrains checks invariant 1 and returns the endpoints that the observation reports to drain.
func (w *world) checkReportedDrains(t *rapid.T, o Observation, drainBefore map[string]bool) map[string]bool {
	drained := map[string]bool{}
	for _, e := range o.Endpoints {
		if _, known := drainBefore[e.Key]; !known || !e.Drain {
			continue
		}
		drained[e.Key] = true
		w.drains[e.Key] = max(w.drains[e.Key], o.Index)
		if w.ready[e.Key] {
			t.Fatalf("1: %s is ready though it was reported to drain", e.Key)
		}
	}
	return drained
}

// checkTrust checks invariants 2 and 6.
func (w *world) checkTrust(t *rapid.T, o Observation, drainBefore, drained map[string]bool) {
	trusted := o.HasLeader && o.LastContact <= w.settings.MaxStaleness && w.set.Index() == o.Index
	for key, e := range w.set.endpoints {
		before, known := drainBefore[key]
		if !trusted && !known {
			t.Fatalf("6: %s was added by an observation that is not trusted", key)
		}
		if !before || e.drain {
			continue
		}
		if !trusted || o.Index <= w.drains[key] || drained[key] {
			t.Fatalf("2: the drain of %s, reported at %d, was lifted at %d, trusted %v", key, w.drains[key], o.Index, trusted)
		}
		delete(w.drains, key)
	}
}

// checkState checks what holds after every event.
func (w *world) checkState(t *rapid.T) {
	ejectable, ejected := 0, 0
	addresses, ids := map[string]string{}, map[uint32]string{}
	for _, change := range w.set.Current() {
		if w.ready[change.Key] != (change.State == Ready) {
			t.Fatalf("%s is %v, and the updates say ready %v", change.Key, change.State, w.ready[change.Key])
		}
		if other, ok := ids[change.ID]; ok || change.ID != EndpointID(change.Key) {
			t.Fatalf("10: %s and %s share id %d", change.Key, other, change.ID)
		}
		ids[change.ID] = change.Key
		switch change.Reason {
		case ReasonCheckFailing, ReasonFlapping:
			ejected++
			ejectable++
		case ReasonDrainRequested, ReasonDeregistered, ReasonAddressReused, ReasonAddressDraining:
		default:
			ejectable++
			if other, ok := addresses[change.Addr]; ok {
				t.Fatalf("9: %s and %s are ready at %s", change.Key, other, change.Addr)
			}
			addresses[change.Addr] = change.Key
		}
	}
	if ejected > int(w.settings.MaxEjected*float64(ejectable)) || (ejectable > 0 && ejected >= ejectable) {
		t.Fatalf("3: %d of %d are ejected by health", ejected, ejectable)
	}
	for _, e := range w.set.endpoints {
		if p := e.penalty.at(w.now, &w.settings); p > w.settings.ceiling() {
			t.Fatalf("7: the penalty of %s is %v", e.Key, p)
		}
	}
	if next, ok := w.set.Next(); ok && next <= w.now {
		t.Fatalf("Next is %v, not after %v", next, w.now)
	}
}

// TestFlapsEnd is invariant 7 from outside: however an engine has flapped, it is back MaxSuppress after its last
// failure, by following Next alone.
func TestFlapsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, err := New(Defaults())
		if err != nil {
			t.Fatal(err)
		}
		list := func(passing bool) []Endpoint {
			all := fleet(8)
			all[0].Passing = passing
			return all
		}
		now, index := time.Duration(0), uint64(1)
		s.Observe(now, at(index, list(true)))
		for range rapid.IntRange(1, 200).Draw(t, "flaps") {
			for _, p := range []bool{false, true} {
				now += time.Duration(rapid.Int64Range(1, int64(5*time.Second)).Draw(t, "pause"))
				index++
				s.Observe(now, at(index, list(p)))
			}
		}
		last := now
		for s.Current()[0].State != Ready {
			next, ok := s.Next()
			if !ok {
				t.Fatal("nothing is due, and the engine is out")
			}
			now = next
			s.Advance(now)
		}
		if now-last > s.settings.MaxSuppress+time.Millisecond {
			t.Fatalf("back %v after the last failure", now-last)
		}
	})
}

// TestLossesAreBounded is invariant 5: without a confirmation, no more than MaxLoss leave within LossWindow.
func TestLossesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := Defaults()
		s, err := New(set)
		if err != nil {
			t.Fatal(err)
		}
		n := rapid.IntRange(2, 40).Draw(t, "engines")
		all := fleet(n)
		now, index := time.Duration(0), uint64(1)
		s.Observe(now, at(index, all))
		gone := 0
		for now < set.LossWindow {
			now += time.Duration(rapid.Int64Range(1, int64(2*time.Second)).Draw(t, "pause"))
			if now >= set.ConfirmAfter {
				break
			}
			index++
			left := rapid.IntRange(0, len(all)).Draw(t, "left")
			for _, c := range s.Observe(now, at(index, all[:left])).Changes {
				if c.Reason == ReasonDeregistered {
					gone++
				}
			}
			if most := max(1, int(math.Ceil(set.MaxLoss*float64(n)))); gone > most {
				t.Fatalf("5: %d of %d have left", gone, n)
			}
		}
	})
}
