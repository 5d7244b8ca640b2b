package admission

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"
)

func TestSlowStartBudget(t *testing.T) {
	settings := baseSettings()
	settings.Replicas = 2
	h := startController(t, settings, []Engine{{ID: 1, Kind: 0, Started: 99 * sec}})
	h.now += settings.SlowStart.OverloadWindow
	work := 0.0
	for i := range 300 {
		r := newRequest(fmt.Sprint("a", i), 0)
		for _, send := range actionsOf[Send](h.step(r)) {
			work += h.controller.estimates[0].work
			h.step(outcomeOf(send, 0, OK))
		}
		h.now += 5 * ms
	}
	if limit := 3 * 0.3 * 8 * 2 / 2.0; work == 0 || work > limit {
		t.Fatalf("sent %.2f s of work in a window, must be above 0 and at most %.2f", work, limit)
	}
}

// TestSlowStartBudgetOfManyFrontEnds checks that all front ends together neither exceed the budget of a warming engine
// nor leave the engine idle, even if the share of each front end is less than one request.
func TestSlowStartBudgetOfManyFrontEnds(t *testing.T) {
	for _, n := range []int{1, 3, 30, 300} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			settings := baseSettings()
			settings.Replicas, settings.SlowStart.InitialCapacity = n, 0.3
			list := newEngines(9)
			list[4].Started = 99 * sec
			frontEnds := newFrontEnds(t, settings, list)
			sends := sendsTo(frontEnds, 5)
			most := mostInWindow(sends, settings.SlowStart.OverloadWindow)
			work := float64(most) * frontEnds[0].controller.estimates[0].work
			if limit := 3 * 0.3 * 8 * 2.0; work > limit || len(sends) == 0 {
				t.Fatalf("found %d sends (min 1), %.2f s of work in a window (max %.2f)", len(sends), work, limit)
			}
		})
	}
}

// sendsTo runs the front ends for 5 s and returns the times of the sends to the engine. Every 10/3 ms, five of the
// front ends get a request, or all of them if there are fewer than ten.
func sendsTo(frontEnds []*harness, engine uint32) (sends []time.Duration) {
	for i := range 1500 {
		for number, h := range frontEnds {
			h.now = 100*sec + time.Duration(i)*10*sec/3*ms/sec
			if (i+number)%max(len(frontEnds)/5, 1) != 0 {
				continue
			}
			for _, send := range actionsOf[Send](h.step(newRequest(fmt.Sprint(number, "-", i), 0))) {
				if send.Engine == engine {
					sends = append(sends, h.now)
				}
				h.step(outcomeOf(send, 0, OK))
			}
		}
	}
	return sends
}

// mostInWindow returns the largest number of sends in any window of the given length.
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

// TestWarmingEngineGetsWorkOnlyFromItsSubsets checks that only the front ends that have a share of a warming engine's
// budget send to the engine. These are the front ends whose subset reaches the engine while no engine is ejected. A
// front end whose subset reaches the engine only because other engines are ejected must not send to it, and neither
// must a front end that has just restarted.
func TestWarmingEngineGetsWorkOnlyFromItsSubsets(t *testing.T) {
	settings := baseSettings()
	settings.Replicas, settings.SlowStart.Duration = 60, 60*sec
	list := newEngines(12)
	list[4].Started = 100 * sec
	countSenders := func(ejected int, wait, duration time.Duration) (n int) {
		for _, h := range newFrontEnds(t, settings, list) {
			h.now += wait
			h.step()
			for i := range ejected {
				if e := h.controller.engines[i*2]; e.ID != 5 {
					h.controller.eject(e)
				}
			}
			h.controller.randomDrawUntil = h.now + sec
			e, r := h.controller.enginesByID[5], &requestState{Request: newRequest("a", 0), classSettings: &settings.Classes[0]}
			e.randomDraw, e.randomDrawUntil = 0, h.now+sec
			h.controller.collectCandidates(r)
			reached := slices.Contains(h.controller.candidates.engines, e)
			allowed := false
			// Time advances so that every front end gets its turns.
			for end := h.now + duration; h.controller.now < end; h.controller.now += housekeepingInterval {
				allowed = allowed || (reached && h.controller.permits(e, r))
			}
			if allowed {
				n++
			}
		}
		return n
	}
	all, afterEjections := countSenders(0, 2*sec, 10*settings.SlowStart.OverloadWindow),
		countSenders(6, 2*sec, 10*settings.SlowStart.OverloadWindow)
	if all == 0 || afterEjections != all {
		t.Fatalf("%d front ends may send to the warming engine (min 1), %d if other engines are ejected (must be as many)",
			all, afterEjections)
	}
	if n := countSenders(0, 0, settings.SlowStart.OverloadWindow-housekeepingInterval); n != 0 {
		t.Fatalf("%d front ends may send to a warming engine within a window of their own start, must be 0", n)
	}
}
