package faulttest

import (
	"regexp"
	"time"

	"beechcart/internal/faulttest/cluster"
)

// Lines of a front end's log that the test reads.
var (
	stopping = regexp.MustCompile(`time=(\S+) .*msg=stopping .*?(exit=\d+)?$`)
	listing  = regexp.MustCompile(`time=(\S+) .*msg="engine listed" .*engine=(\S+) .*state=(\S+)`)
)

// followLog reads one line of a member's log: when it stops accepting requests, and when it learns of a drain.
func (r *rolloutRun) followLog(m *cluster.Member, line string) {
	if match := listing.FindStringSubmatch(line); match != nil {
		if at, err := time.Parse(time.RFC3339Nano, match[1]); err == nil {
			r.recordState(m.Addr, match[2], match[3], at)
		}
	}
	if match := stopping.FindStringSubmatch(line); match != nil {
		if at, err := time.Parse(time.RFC3339Nano, match[1]); err == nil {
			m.MarkDraining(at, match[2] != "")
		}
	}
}

// recordState records that the front end at an address has learnt of an engine's state, which drains unless it is
// ready.
func (r *rolloutRun) recordState(address, engine, state string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	drains := r.drains[address]
	if drains == nil {
		drains = &Drains{}
		r.drains[address] = drains
	}
	if state == "ready" {
		drains.Cancelled(engine, at)
	} else {
		drains.Commanded(engine, at)
	}
}

// drainsByRequest returns, by a request's id, the drains that the front end of that request has learnt of. Front ends
// learn of a drain at different times, and each is checked against its own. The caller must hold mu, or be the only
// user.
func (r *rolloutRun) drainsByRequest(requests []Request) func(id string) *Drains {
	byID := make(map[string]*Drains, len(requests))
	for _, request := range requests {
		byID[request.ID] = r.drains[request.Addr]
	}
	return func(id string) *Drains { return byID[id] }
}
