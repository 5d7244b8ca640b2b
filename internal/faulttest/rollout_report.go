package faulttest

import "beechcart/internal/fake/engine"

// observations are the observations that are complete at the end of a run.
type observations struct {
	requests   []Request
	unexpected []string // descriptions of answers without a request
	unsettled  []string // why the cluster has not settled; empty if it has
	load       period   // from the start to the end of the load
}

// report checks the rules and returns the result.
func (r *rolloutRun) report(observed observations) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	executions := r.executions()
	checker := &rolloutChecker{
		members:      r.cluster.Members,
		emptyPeriods: r.emptyPeriods,
		haltPeriods:  r.haltPeriods,
		violations: Check(Classes, judgedRequests(observed.requests, r.disturbed), executions,
			r.drainsByRequest(observed.requests), observed.unexpected),
	}
	checker.checkEmptiness(executions)
	checker.checkProcesses()
	for _, reason := range observed.unsettled {
		checker.violate(WrongRevision, observed.load.to, "%s", reason)
	}
	sortByTime(checker.violations)
	r.countProcesses()
	countOutcomes(r.measurements, observed.requests)
	r.measurements["requests"] = float64(len(observed.requests))
	r.measurements["executions"] = float64(len(executions))
	r.measurements["service"] = ServiceShare(Classes, observed.requests, observed.load.from, observed.load.to)
	r.measurements["seconds"] = observed.load.to.Sub(observed.load.from).Seconds()
	return newReport("rollout", r.options.Seed, checker.violations, r.measurements)
}

// executions returns the executions of all engine processes, with those that were stopped after a drain. The caller
// must hold mu.
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
			r.measurements["starts"]++
			if granted(p) {
				r.measurements["went_out"]++
			}
			if p.Revision == badRevision && !p.ListeningAt.IsZero() {
				exposed[m.Name] = true
			}
		}
	}
	r.measurements["exposed_to_bad"] = float64(len(exposed))
}
