package admission

import (
	"fmt"
	"testing"
	"time"
)

// TestFrontEndWithMoreClientsGetsLargerShare: a front end with ten times an equal share of the clients gets a quota, a
// thread limit and a subset that are larger to match, and is not limited as if a tenant exceeded its quota. A front end
// with an equal or a smaller share of the clients gets an equal share of all three.
func TestFrontEndWithMoreClientsGetsLargerShare(t *testing.T) {
	s := baseSettings()
	s.Replicas = 100
	s.Tenants = []Tenant{{Quota: 1, RequestsPerSecond: 100}}
	run := func(interval time.Duration) (overQuotaCount, arrivals int, c *Controller) {
		h := startController(t, s, newEngines(40))
		for ; h.now < 130*sec; h.now += interval {
			id := fmt.Sprint(h.now)
			actions := h.step(newRequest(id, 0))
			if request := h.controller.requests[id]; h.now > 110*sec && request != nil && request.overQuota {
				overQuotaCount++
			}
			arrivals++
			for _, send := range actionsOf[Send](actions) {
				h.step(outcomeOf(send, 0, OK))
			}
		}
		return overQuotaCount, arrivals, h.controller
	}
	overQuotaCount, arrivals, busy := run(100 * ms)
	if overQuotaCount*10 > arrivals {
		t.Errorf("%d of %d requests are over the quota at the busy front end, want at most a tenth", overQuotaCount, arrivals)
	}
	_, _, usual := run(sec)
	_, _, idle := run(5 * sec)
	if busy.subset.quotaShare < 8 || busy.subset.quotaShare > 12 || usual.subset.quotaShare != 1 ||
		idle.subset.quotaShare != 1 {
		t.Errorf("quota shares at 10, 1 and 0.2 requests/s: %.1f, %.1f and %.1f; want 8 to 12, 1 and 1",
			busy.subset.quotaShare, usual.subset.quotaShare, idle.subset.quotaShare)
	}
	if busy.fleet.threadLimit < 5*usual.fleet.threadLimit || busy.subset.size < 5*usual.subset.size {
		t.Errorf("thread limits %.1f and %.1f, subset sizes %.0f and %.0f at the busy and the usual front end; want 5 to 1",
			busy.fleet.threadLimit, usual.fleet.threadLimit, busy.subset.size, usual.subset.size)
	}
	if busy.engineShare != usual.engineShare || busy.subset.equalSize != usual.subset.equalSize {
		t.Error("the share of an engine, which limits sends to a warming one, differs from that of the usual front end")
	}
}
