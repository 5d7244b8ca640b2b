package discovery

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// world draws observations that may be wrong in any way, and remembers what the invariants speak of.
type world struct {
	set    *EndpointSet
	bounds Settings
	now    time.Duration
	drains map[string]uint64 // the latest index that told the drain
}

func entries(max int) *rapid.Generator[[]Endpoint] {
	return rapid.Custom(func(t *rapid.T) []Endpoint {
		n := rapid.IntRange(0, max).Draw(t, "entries")
		var list []Endpoint
		for range n {
			i := rapid.IntRange(0, 9).Draw(t, "engine")
			host := i
			if rapid.IntRange(0, 19).Draw(t, "moved") == 0 {
				host = rapid.IntRange(0, 9).Draw(t, "host")
			}
			list = append(list, Endpoint{
				Key: fmt.Sprintf("n/%d", i), Addr: fmt.Sprintf("10.0.0.%d:80", host+1), Weight: 1,
				CreateIndex: rapid.Uint64Range(1, 3).Draw(t, "created"),
				Drain:       rapid.IntRange(0, 9).Draw(t, "drain") == 0, Passing: rapid.IntRange(0, 2).Draw(t, "passing") > 0,
			})
		}
		return list
	})
}

// TestInvariants numbers what it checks as doc.go does.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{bounds: Defaults(), now: time.Hour, drains: map[string]uint64{}}
		var err error
		if w.set, err = New(w.bounds); err != nil {
			t.Fatal(err)
		}
		ready := map[string]bool{}
		take := func(a Update) {
			for _, c := range a.Changes {
				ready[c.Key] = c.State == Ready
			}
		}
		full := make([]Endpoint, 0, 8)
		for i := range 8 {
			full = append(full, Endpoint{Key: fmt.Sprintf("n/%d", i), Addr: fmt.Sprintf("10.0.0.%d:80", i+1), CreateIndex: 1, Passing: true})
		}
		take(w.set.Observe(w.now, Observation{Index: 100, HasLeader: true, Endpoints: full}))
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			w.now += time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "passes"))
			take(w.set.Advance(w.now)) // what time alone changes is no word's doing
			w.check(t, ready)
			if rapid.IntRange(0, 4).Draw(t, "idle") == 0 {
				continue
			}
			o := Observation{
				Index: rapid.Uint64Range(95, 110).Draw(t, "index"), HasLeader: rapid.IntRange(0, 4).Draw(t, "leader") > 0,
				LastContact: time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "lag")), Endpoints: entries(14).Draw(t, "list"),
			}
			if rapid.Bool().Draw(t, "whole") {
				o.Endpoints = append(o.Endpoints, full...)
			}
			before, held, index := map[string]bool{}, map[string]bool{}, w.set.Index()
			for k, v := range ready {
				before[k] = v
			}
			for k, m := range w.set.endpoints {
				held[k] = m.drain
			}
			take(w.set.Observe(w.now, o))
			if w.set.Index() < index {
				clear(w.drains) // a new epoch
			}
			trusted := o.HasLeader && o.LastContact <= w.bounds.MaxStaleness && w.set.Index() == o.Index
			told := map[string]bool{}
			for _, e := range o.Endpoints {
				if _, known := held[e.Key]; known && e.Drain {
					told[e.Key] = true
					w.drains[e.Key] = max(w.drains[e.Key], o.Index)
					if ready[e.Key] {
						t.Fatalf("1: %s is ready though it was told to drain", e.Key)
					}
				}
			}
			for k, m := range w.set.endpoints {
				was, known := held[k]
				if !trusted && !known {
					t.Fatalf("6: %s was added by a word that is not trusted", k)
				}
				if was && !m.drain {
					if !trusted || o.Index <= w.drains[k] || told[k] {
						t.Fatalf("2: the drain of %s, told at %d, was lifted at %d, trusted %v", k, w.drains[k], o.Index, trusted)
					}
					delete(w.drains, k)
				}
			}
			if len(o.Endpoints) == 0 {
				for k, was := range before {
					if was && !ready[k] {
						t.Fatalf("4: an empty list took %s out", k)
					}
				}
			}
			w.check(t, ready)
		}
	})
}

func (w *world) check(t *rapid.T, ready map[string]bool) {
	counting, out := 0, 0
	addrs, numbers := map[string]string{}, map[uint32]string{}
	for _, b := range w.set.Current() {
		if ready[b.Key] != (b.State == Ready) {
			t.Fatalf("%s is %v, and the answers say ready %v", b.Key, b.State, ready[b.Key])
		}
		if other, ok := numbers[b.ID]; ok || b.ID != EndpointID(b.Key) {
			t.Fatalf("10: %s and %s share number %d", b.Key, other, b.ID)
		}
		numbers[b.ID] = b.Key
		switch b.Reason {
		case ReasonCheckFailing, ReasonFlapping:
			out++
			counting++
		case ReasonDrainRequested, ReasonDeregistered, ReasonAddressReused, ReasonAddressDraining:
		default:
			counting++
			if other, ok := addrs[b.Addr]; ok {
				t.Fatalf("9: %s and %s are ready at %s", b.Key, other, b.Addr)
			}
			addrs[b.Addr] = b.Key
		}
	}
	if out > int(w.bounds.MaxEjected*float64(counting)) || (counting > 0 && out >= counting) {
		t.Fatalf("3: %d of %d are out by health", out, counting)
	}
	for _, m := range w.set.endpoints {
		if p := m.penalty.decayed(w.now, &w.bounds); p > w.bounds.ceiling() {
			t.Fatalf("7: the penalty of %s is %v", m.Key, p)
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
