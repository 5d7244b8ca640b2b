package faulttest

import (
	"regexp"
	"time"

	"beechcart/internal/faulttest/cluster"
)

// Log lines of a front end that the test reads.
var (
	stoppingLine    = regexp.MustCompile(`time=(\S+) .*msg=stopping .*?(exit=\d+)?$`)
	engineStateLine = regexp.MustCompile(`time=(\S+) .*msg="engine listed" .*engine=(\S+) .*state=(\S+)`)
)

// followLog reads one line of a member's log, and records when the member stops accepting requests and when it learns
// that an engine drains or is ready.
func (r *rolloutRun) followLog(m *cluster.Member, line string) {
	if match := engineStateLine.FindStringSubmatch(line); match != nil {
		if at, err := time.Parse(time.RFC3339Nano, match[1]); err == nil {
			r.recordState(m.Addr, match[2], match[3], at)
		}
	}
	if match := stoppingLine.FindStringSubmatch(line); match != nil {
		if at, err := time.Parse(time.RFC3339Nano, match[1]); err == nil {
			m.MarkDraining(at, match[2] != "")
		}
	}
}

// recordState records the time at which the front end at an address learnt of an engine's state. Any state other than
// ready counts as draining.
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

// drainsByRequest returns a function that returns the drains known to the front end of the request with an id. Front
// ends learn of a drain at different times, and each is checked against the time at which it learnt of the drain. The
// caller must hold mu, or be the only user.
func (r *rolloutRun) drainsByRequest(requests []Request) func(id string) *Drains {
	byID := make(map[string]*Drains, len(requests))
	for _, request := range requests {
		byID[request.ID] = r.drains[request.Addr]
	}
	return func(id string) *Drains { return byID[id] }
}
