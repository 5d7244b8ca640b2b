package admission

import (
	"fmt"
	"testing"
	"time"
)

// TestFrontEndsWithUnequalClients: a front end with ten times its equal part of the clients is not taken for a flood
// and runs as much more, over a longer subset; one with an equal part, or with a little, has what it had.
func TestFrontEndsWithUnequalClients(t *testing.T) {
	s := baseSettings()
	s.Replicas = 100
	s.Tenants = []Tenant{{Quota: 1, RequestsPerSecond: 100}}
	load := func(every time.Duration) (over, n int, c *Controller) {
		b := startController(t, s, newEngines(40))
		for ; b.now < 130*sec; b.now += every {
			id := fmt.Sprint(b.now)
			acts := b.step(newRequest(id, 0))
			if r := b.controller.requests[id]; b.now > 110*sec && r != nil && r.overQuota {
				over++
			}
			n++
			for _, snd := range actionsOf[Send](acts) {
				b.step(outcomeOf(snd, 0, OK))
			}
		}
		return over, n, b.controller
	}
	over, n, busy := load(100 * ms)
	if over*10 > n {
		t.Errorf("%d of %d are over the quota at a busy front end", over, n)
	}
	_, _, usual := load(sec)
	_, _, idle := load(5 * sec)
	if busy.subset.quotaShare < 8 || busy.subset.quotaShare > 12 || usual.subset.quotaShare != 1 ||
		idle.subset.quotaShare != 1 {
		t.Errorf("parts of %.1f, %.1f and %.1f times an equal one", busy.subset.quotaShare, usual.subset.quotaShare,
			idle.subset.quotaShare)
	}
	if busy.fleet.threadLimit < 5*usual.fleet.threadLimit || busy.subset.size < 5*usual.subset.size {
		t.Errorf("the bound is %.1f against %.1f, the subset %.0f against %.0f",
			busy.fleet.threadLimit, usual.fleet.threadLimit, busy.subset.size, usual.subset.size)
	}
	if busy.engineShare != usual.engineShare || busy.subset.equalSize != usual.subset.equalSize {
		t.Error("the part of an engine, which bounds a warming one, has grown")
	}
}
