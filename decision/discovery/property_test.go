package discovery

import (
	"fmt"
	"maps"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is a set under test together with the state that the invariants depend on.
type model struct {
	set      *EndpointSet
	settings Settings
	now      time.Duration
	ready    map[string]bool   // by key, according to the updates
	drains   map[string]uint64 // by key, the latest index of this epoch that reported the drain
}

func newModel(t *rapid.T) *model {
	m := &model{settings: Defaults(), now: time.Hour, ready: map[string]bool{}, drains: map[string]uint64{}}
	var err error
	m.set, err = New(m.settings)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// apply updates ready from the changes of an update.
func (m *model) apply(update Update) {
	for _, change := range update.Changes {
		m.ready[change.Key] = change.State == Ready
	}
}

func propertyEndpoint(i, host int) Endpoint {
	return Endpoint{Key: fmt.Sprintf("n/%d", i), Addr: fmt.Sprintf("10.0.0.%d:80", host+1), CreateIndex: 1, Passing: true}
}

// drawList draws a list of at most maxLength endpoints. The list may hold an endpoint twice, or several endpoints at
// one address.
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

// drawObservation draws an observation that may have an earlier index, no leader, a stale server, or a list that is
// short, contradictory or empty.
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

// TestInvariants runs random sequences of observations. Each failure message begins with the number of the invariant in
// doc.go.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		full := make([]Endpoint, 0, 8)
		for i := range 8 {
			full = append(full, propertyEndpoint(i, i))
		}
		m.apply(m.set.Observe(m.now, Observation{Index: 100, HasLeader: true, Endpoints: full}))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.now += time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "passes"))
			m.apply(m.set.Advance(m.now)) // so that observe sees only the changes of its observation
			m.checkState(t)
			if rapid.IntRange(0, 4).Draw(t, "idle") > 0 {
				m.observe(t, drawObservation(t, full))
				m.checkState(t)
			}
		}
	})
}

// observe passes an observation to the set and checks the resulting changes.
func (m *model) observe(t *rapid.T, observation Observation) {
	readyBefore, index := maps.Clone(m.ready), m.set.Index()
	drainBefore := map[string]bool{}
	for key, e := range m.set.endpoints {
		drainBefore[key] = e.drain
	}
	m.apply(m.set.Observe(m.now, observation))
	if m.set.Index() < index {
		clear(m.drains) // a new epoch
	}
	drained := m.checkReportedDrains(t, observation, drainBefore)
	m.checkTrust(t, observation, drainBefore, drained)
	if len(observation.Endpoints) == 0 {
		for key, before := range readyBefore {
			if before && !m.ready[key] {
				t.Fatalf("4: %s is no longer ready after an empty list", key)
			}
		}
	}
}

// checkReportedDrains checks invariant 1 and returns the keys of the known endpoints whose drain the observation
// reports.
func (m *model) checkReportedDrains(t *rapid.T, o Observation, drainBefore map[string]bool) map[string]bool {
	drained := map[string]bool{}
	for _, e := range o.Endpoints {
		if _, known := drainBefore[e.Key]; !known || !e.Drain {
			continue
		}
		drained[e.Key] = true
		m.drains[e.Key] = max(m.drains[e.Key], o.Index)
		if m.ready[e.Key] {
			t.Fatalf("1: %s is ready although the observation reports its drain", e.Key)
		}
	}
	return drained
}

// checkTrust checks invariants 2 and 6.
func (m *model) checkTrust(t *rapid.T, o Observation, drainBefore, drained map[string]bool) {
	trusted := o.HasLeader && o.LastContact <= m.settings.MaxStaleness && m.set.Index() == o.Index
	for key, e := range m.set.endpoints {
		before, known := drainBefore[key]
		if !trusted && !known {
			t.Fatalf("6: %s was added by an untrusted observation", key)
		}
		if !before || e.drain {
			continue
		}
		if !trusted || o.Index <= m.drains[key] || drained[key] {
			t.Fatalf("2: the drain of %s, reported at %d, was lifted at %d, trusted %v", key, m.drains[key], o.Index, trusted)
		}
		delete(m.drains, key)
	}
}

// checkState checks the invariants that hold after every event.
func (m *model) checkState(t *rapid.T) {
	ejectable, ejected := 0, 0
	addresses, ids := map[string]string{}, map[uint32]string{}
	for _, change := range m.set.Current() {
		if m.ready[change.Key] != (change.State == Ready) {
			t.Fatalf("%s is %v, but according to the updates ready is %v", change.Key, change.State, m.ready[change.Key])
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
	if ejected > int(m.settings.MaxEjected*float64(ejectable)) || (ejectable > 0 && ejected >= ejectable) {
		t.Fatalf("3: evidence ejected %d of %d endpoints", ejected, ejectable)
	}
	for _, e := range m.set.endpoints {
		if p := e.penalty.at(m.now, &m.settings); p > m.settings.ceiling() {
			t.Fatalf("7: the penalty of %s is %v, above the ceiling", e.Key, p)
		}
	}
	if next, ok := m.set.Next(); ok && next <= m.now {
		t.Fatalf("Next is %v, must be after %v", next, m.now)
	}
}

// TestFlappingEndpointReturnsWithinMaxSuppress checks invariant 7 by the endpoint's state: however the endpoint has
// flapped, it is ready within MaxSuppress after its last failure if Advance is called at the times that Next returns.
func TestFlappingEndpointReturnsWithinMaxSuppress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, err := New(Defaults())
		if err != nil {
			t.Fatal(err)
		}
		list := func(passing bool) []Endpoint {
			all := testEndpoints(8)
			all[0].Passing = passing
			return all
		}
		now, index := time.Duration(0), uint64(1)
		s.Observe(now, trustedAt(index, list(true)))
		for range rapid.IntRange(1, 200).Draw(t, "flaps") {
			for _, pass := range []bool{false, true} {
				now += time.Duration(rapid.Int64Range(1, int64(5*time.Second)).Draw(t, "pause"))
				index++
				s.Observe(now, trustedAt(index, list(pass)))
			}
		}
		last := now
		for s.Current()[0].State != Ready {
			next, ok := s.Next()
			if !ok {
				t.Fatal("Next reports no change due although the endpoint is not ready")
			}
			now = next
			s.Advance(now)
		}
		if now-last > s.settings.MaxSuppress+time.Millisecond {
			t.Fatalf("7: the endpoint is ready only %v after the last failure", now-last)
		}
	})
}

// TestLossesAreBounded checks invariant 5: without confirmation, at most the share MaxLoss of the endpoints is
// deregistered within LossWindow.
func TestLossesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Defaults()
		s, err := New(settings)
		if err != nil {
			t.Fatal(err)
		}
		n := rapid.IntRange(2, 40).Draw(t, "engines")
		all := testEndpoints(n)
		now, index := time.Duration(0), uint64(1)
		s.Observe(now, trustedAt(index, all))
		losses := 0
		for now < settings.LossWindow {
			now += time.Duration(rapid.Int64Range(1, int64(2*time.Second)).Draw(t, "pause"))
			if now >= settings.ConfirmAfter {
				break
			}
			index++
			reported := rapid.IntRange(0, len(all)).Draw(t, "left")
			for _, change := range s.Observe(now, trustedAt(index, all[:reported])).Changes {
				if change.Reason == ReasonDeregistered {
					losses++
				}
			}
			if limit := max(1, int(math.Ceil(settings.MaxLoss*float64(n)))); losses > limit {
				t.Fatalf("5: %d of %d endpoints are deregistered", losses, n)
			}
		}
	})
}
