package faulttest

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"beechcart/internal/fake/engine"
)

// DrainGrace is the time after the command to drain an engine in which requests may still be sent to that engine.
const DrainGrace = 500 * time.Millisecond

// Drains records when a front end was commanded to drain engines, and when these drains were cancelled. It is safe for
// concurrent use.
type Drains struct {
	mu      sync.Mutex
	periods map[string][]drainPeriod // by engine
}

type drainPeriod struct{ commandedAt, cancelledAt time.Time } // cancelledAt is zero while the drain is in force

// Commanded records a command to drain an engine. A further command during a drain has no effect.
func (d *Drains) Commanded(engine string, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.periods == nil {
		d.periods = map[string][]drainPeriod{}
	}
	if periods := d.periods[engine]; len(periods) == 0 || !periods[len(periods)-1].cancelledAt.IsZero() {
		d.periods[engine] = append(periods, drainPeriod{commandedAt: at})
	}
}

// Cancelled records that the drain of an engine was cancelled, whether or not the front end knows.
func (d *Drains) Cancelled(engine string, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if periods := d.periods[engine]; len(periods) > 0 && periods[len(periods)-1].cancelledAt.IsZero() {
		periods[len(periods)-1].cancelledAt = at
	}
}

// overdue reports whether a request was sent to an engine after the drain grace, and by how much. A nil d has no
// drains.
func (d *Drains) overdue(engine string, sentAt time.Time) (time.Duration, bool) {
	if d == nil {
		return 0, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.periods[engine] {
		delay := sentAt.Sub(p.commandedAt.Add(DrainGrace))
		if delay > 0 && (p.cancelledAt.IsZero() || sentAt.Before(p.cancelledAt)) {
			return delay, true
		}
	}
	return 0, false
}

// Violation is one violation of a rule. ID is the request's, or empty.
type Violation struct {
	Rule string    `json:"rule"`
	At   time.Time `json:"at"`
	ID   string    `json:"id"`
	Text string    `json:"text"`
}

// sortByTime sorts violations by time, and keeps the order of those with the same time.
func sortByTime(violations []Violation) {
	slices.SortStableFunc(violations, func(a, b Violation) int {
		return cmp.Compare(a.At.UnixNano(), b.At.UnixNano())
	})
}

// The names of the rules in reports. A report gives the number of violations of each rule.
const (
	LateSends          = "late_sends"     // requests sent to an engine more than DrainGrace after the command to drain it
	DoubleRuns         = "double_runs"    // non-idempotent requests that were executed more than once
	OverlappingRuns    = "two_out"        // requests with two executions at the same time
	UnansweredRequests = "unanswered"     // requests without an answer before the client's timeout
	DoubleAnswers      = "double_answers" // answers without a request
	WrongAnswers       = "wrong_answers"  // answers that no engine produced for the request
	UnsafeRejections   = "false_promises" // non-idempotent requests that were executed, but rejected as safe to retry
	NoEngine           = "no_engine"      // times at which a front end listed no engine as ready, but one was running
	Crashes            = "crashes"        // front ends that failed, ended unrequested, or counted a broken invariant
	// granted shutdowns of front ends that began while the budget was already used up by other unavailable front ends
	OverBudget    = "over_budget"
	AfterHalt     = "after_halt"     // granted shutdowns that began after a halt was acknowledged
	NotEmpty      = "not_empty"      // queries on an engine that was reported as drained
	WrongRevision = "wrong_revision" // front ends that did not serve on the agreed revision at the end
)

// Rules lists all rules, in the order of reports.
var Rules = []string{
	LateSends, DoubleRuns, OverlappingRuns, UnansweredRequests, DoubleAnswers, WrongAnswers, UnsafeRejections, NoEngine,
	Crashes, OverBudget, AfterHalt, NotEmpty, WrongRevision,
}

// answerSlack is the tolerated delay of an answer beyond the client's timeout, since a busy machine delays clients too.
const answerSlack = 250 * time.Millisecond

// checker collects violations of the rules for requests.
type checker struct{ violations []Violation }

func (c *checker) violate(rule string, at time.Time, id, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, at, id, fmt.Sprintf(format, args...)})
}

// Check compares the requests that clients sent with the executions that engines accepted, and returns the violations
// of the rules for requests. drains returns the drains that were commanded to the front end of the request with an id.
// unexpected describes answers that clients received without a request.
func Check(classes []Class, requests []Request, executions []engine.Execution, drains func(id string) *Drains,
	unexpected []string) []Violation {
	c := &checker{}
	byID := map[string][]engine.Execution{}
	for _, x := range executions {
		byID[x.ID] = append(byID[x.ID], x)
		if delay, late := drains(x.ID).overdue(x.Engine, x.ReceivedAt); late {
			c.violate(LateSends, x.ReceivedAt, x.ID, "%s received the request %v after the drain grace", x.Engine,
				delay.Round(time.Millisecond))
		}
	}
	for _, r := range requests {
		class, executions := classes[r.Class], byID[r.ID]
		c.checkExecutions(class, r, executions)
		c.checkAnswer(class, r, executions)
	}
	for _, text := range unexpected {
		c.violate(DoubleAnswers, time.Time{}, "", "%s", text)
	}
	return c.violations
}

// checkExecutions finds overlapping executions of one request, and a non-idempotent request that was executed more than
// once. It sorts the executions by time.
func (c *checker) checkExecutions(class Class, r Request, executions []engine.Execution) {
	slices.SortFunc(executions, func(a, b engine.Execution) int {
		return cmp.Compare(a.ReceivedAt.UnixNano(), b.ReceivedAt.UnixNano())
	})
	for i := 1; i < len(executions); i++ {
		previous, x := executions[i-1], executions[i]
		if previous.EndedAt.IsZero() || previous.EndedAt.After(x.ReceivedAt) {
			c.violate(OverlappingRuns, x.ReceivedAt, r.ID, "started on %s while its previous execution still ran on %s",
				x.Engine, previous.Engine)
		}
	}
	if class.NonIdempotent && len(executions) > 1 {
		c.violate(DoubleRuns, executions[1].ReceivedAt, r.ID, "%s was executed %d times", class.Name, len(executions))
	}
}

// checkAnswer checks the answer of a request against the client's timeout and the request's executions. The timeout
// does not apply to an answered request that the client sent answerSlack or more after its due time.
func (c *checker) checkAnswer(class Class, r Request, executions []engine.Execution) {
	succeeded := func(x engine.Execution) bool { return x.Succeeded }
	switch {
	case r.Outcome == Unanswered:
		c.violate(UnansweredRequests, r.Due, r.ID, "%s has no answer after %v: %s", class.Name,
			r.Latency.Round(time.Millisecond), r.Detail)
	case r.Latency > class.Timeout+answerSlack && r.Sent.Sub(r.Due) < answerSlack:
		c.violate(UnansweredRequests, r.Due, r.ID, "%s was %s after %v, later than the timeout of %v", class.Name, r.Outcome,
			r.Latency.Round(time.Millisecond), class.Timeout)
	case r.Outcome == Wrong:
		c.violate(WrongAnswers, r.Due, r.ID, "%s", r.Detail)
	case r.Outcome == Served && !slices.ContainsFunc(executions, succeeded):
		c.violate(WrongAnswers, r.Due, r.ID, "served, but no engine completed the query")
	case r.Outcome == Rejected && class.NonIdempotent && len(executions) > 0:
		c.violate(UnsafeRejections, r.Due, r.ID, "%s was rejected as safe to retry, but had been executed on %s", class.Name,
			executions[0].Engine)
	}
}
