package faulttest

import "beechcart/internal/fake/engine"

// observations are what a run has seen from its end.
type observations struct {
	requests  []Request
	surplus   []string // answers that nobody asked for
	unsettled []string // why the cluster has not settled; empty if it has
	load      period
}

// report checks the rules and returns the result.
func (r *rolloutRun) report(seen observations) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	executions := r.executions()
	checker := &rolloutChecker{
		members:      r.cluster.Members,
		emptyPeriods: r.emptyPeriods,
		haltPeriods:  r.haltPeriods,
		violations: Check(Classes, judgedRequests(seen.requests, r.disturbed), executions,
			r.drainsByRequest(seen.requests), seen.surplus),
	}
	checker.checkEmptiness(executions)
	checker.checkProcesses()
	for _, reason := range seen.unsettled {
		checker.violate(WrongRevision, seen.load.to, "%s", reason)
	}
	sortByTime(checker.violations)
	r.countProcesses()
	countOutcomes(r.figures, seen.requests)
	r.figures["requests"] = float64(len(seen.requests))
	r.figures["executions"] = float64(len(executions))
	r.figures["service"] = ServiceShare(Classes, seen.requests, seen.load.from, seen.load.to)
	r.figures["seconds"] = seen.load.to.Sub(seen.load.from).Seconds()
	return newReport("rollout", r.options.Seed, checker.violations, r.figures)
}

// executions returns what all engine processes have run. The caller must hold mu.
func (r *rolloutRun) executions() (executions []engine.Execution) {
	for _, e := range r.engines {
		executions = append(executions, e.good.Executions()...)
		executions = append(executions, e.bad.Executions()...)
	}
	for _, e := range r.retired {
		executions = append(executions, e.Executions()...)
	}
	return executions
}

// countProcesses counts process starts, granted shutdowns, and members that served on the bad revision. The caller must
// hold mu.
func (r *rolloutRun) countProcesses() {
	exposed := memberSet{}
	for _, m := range r.cluster.Members {
		for _, p := range m.Processes() {
			r.figures["starts"]++
			if granted(p) {
				r.figures["went_out"]++
			}
			if p.Revision == badRevision && !p.ListeningAt.IsZero() {
				exposed[m.Name] = true
			}
		}
	}
	r.figures["exposed_to_bad"] = float64(len(exposed))
}
