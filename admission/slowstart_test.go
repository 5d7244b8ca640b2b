package admission

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"
)

func TestSlowStartBudget(t *testing.T) {
	s := baseSettings()
	s.Replicas = 2
	b := startController(t, s, []Engine{{ID: 1, Kind: 0, Started: 99 * sec}})
	b.now += s.SlowStart.OverloadWindow
	work := 0.0
	for i := range 300 {
		r := newRequest(fmt.Sprint("a", i), 0)
		for _, snd := range actionsOf[Send](b.step(r)) {
			work += b.controller.estimates[0].work
			b.step(outcomeOf(snd, 0, OK))
		}
		b.now += 5 * ms
	}
	if most := 3 * 0.3 * 8 * 2 / 2.0; work == 0 || work > most {
		t.Fatalf("sent %.2f s of work in a window, at most %.2f", work, most)
	}
}

// TestSlowStartBudgetOfManyFrontEnds: the parts of a warming engine's budget are less than one request, and all front
// ends together must neither exceed it nor leave the engine idle.
func TestSlowStartBudgetOfManyFrontEnds(t *testing.T) {
	for _, n := range []int{1, 3, 30, 300} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			s := baseSettings()
			s.Replicas, s.SlowStart.InitialCapacity = n, 0.3
			list := newEngines(9)
			list[4].Started = 99 * sec
			frontEnds := newFrontEnds(t, s, list)
			sends := sendsTo(frontEnds, 5)
			most := mostInWindow(sends, s.SlowStart.OverloadWindow)
			work := float64(most) * frontEnds[0].controller.estimates[0].work
			if whole := 3 * 0.3 * 8 * 2.0; work > whole || len(sends) == 0 {
				t.Fatalf("%d sends, %.2f s of work in a window of at most %.2f", len(sends), work, whole)
			}
		})
	}
}

// sendsTo gives each front end some 5 requests a second for 5 s, or a single one all, and returns when one was sent to
// the engine.
func sendsTo(frontEnds []*harness, engine uint32) (sends []time.Duration) {
	for i := range 1500 {
		for k, b := range frontEnds {
			b.now = 100*sec + time.Duration(i)*10*sec/3*ms/sec
			if (i+k)%max(len(frontEnds)/5, 1) != 0 {
				continue
			}
			for _, send := range actionsOf[Send](b.step(newRequest(fmt.Sprint(k, "-", i), 0))) {
				if send.Engine == engine {
					sends = append(sends, b.now)
				}
				b.step(outcomeOf(send, 0, OK))
			}
		}
	}
	return sends
}

// mostInWindow is the largest number of sends in a window of that length.
func mostInWindow(sends []time.Duration, window time.Duration) (most int) {
	for i, first := range sends {
		count := 0
		for _, at := range sends[i:] {
			if at >= first+window {
				break
			}
			count++
		}
		most = max(most, count)
	}
	return most
}

// TestWarmingEnginesAreLeftToTheirSubsets: the parts of a slow start budget are those of the front ends whose subset
// begins near the engine. Others that come to it past ejected engines, and those just restarted, leave it be.
func TestWarmingEnginesAreLeftToTheirSubsets(t *testing.T) {
	s := baseSettings()
	s.Replicas, s.SlowStart.Duration = 60, 60*sec
	list := newEngines(12)
	list[4].Started = 100 * sec
	open := func(struck int, wait, long time.Duration) (n int) {
		for _, b := range newFrontEnds(t, s, list) {
			b.now += wait
			b.step()
			for i := range struck {
				if e := b.controller.engines[i*2]; e.ID != 5 {
					b.controller.eject(e)
				}
			}
			b.controller.randomDrawUntil = b.now + sec
			e, r := b.controller.enginesByID[5], &requestState{Request: newRequest("a", 0), classSettings: &s.Classes[0]}
			e.randomDraw, e.randomDrawUntil = 0, b.now+sec
			b.controller.collectCandidates(r)
			near := slices.Contains(b.controller.candidates.engines, e)
			may := false
			for end := b.now + long; b.controller.now < end; b.controller.now += housekeepingInterval { // each has its turn
				may = may || (near && b.controller.permits(e, r))
			}
			if may {
				n++
			}
		}
		return n
	}
	all, some := open(0, 2*sec, 10*s.SlowStart.OverloadWindow), open(6, 2*sec, 10*s.SlowStart.OverloadWindow)
	if all == 0 || some != all {
		t.Fatalf("%d front ends may draw the warming engine, %d when others are ejected", all, some)
	}
	if n := open(0, 0, s.SlowStart.OverloadWindow-housekeepingInterval); n != 0 {
		t.Fatalf("%d front ends draw a warming engine within a window of their own start", n)
	}
}
