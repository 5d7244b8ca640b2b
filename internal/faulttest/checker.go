package faulttest

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"beechcart/internal/fake/engine"
)

// DrainGrace is how long after the command to drain an engine a send to it may still come.
const DrainGrace = 500 * time.Millisecond

// Drains records when a front end was commanded to drain engines, and when that was cancelled. It is safe for
// concurrent use.
type Drains struct {
	mu      sync.Mutex
	periods map[string][]drainPeriod // by engine
}

type drainPeriod struct{ commandedAt, cancelledAt time.Time } // cancelledAt is zero while the drain holds

// Commanded records a command to drain an engine. While a drain holds, another command changes nothing.
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

// Cancelled records that a drain was cancelled, whoever has heard of it.
func (d *Drains) Cancelled(engine string, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if periods := d.periods[engine]; len(periods) > 0 && periods[len(periods)-1].cancelledAt.IsZero() {
		periods[len(periods)-1].cancelledAt = at
	}
}

// overdue tells whether a send to an engine came after the grace of its drain, and by how much. None does for a front
// end that was commanded nothing.
func (d *Drains) overdue(engine string, sentAt time.Time) (time.Duration, bool) {
	if d == nil {
		return 0, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.periods[engine] {
		by := sentAt.Sub(p.commandedAt.Add(DrainGrace))
		if by > 0 && (p.cancelledAt.IsZero() || sentAt.Before(p.cancelledAt)) {
			return by, true
		}
	}
	return 0, false
}

// Violation is one violation of a rule.
type Violation struct {
	Rule string    `json:"rule"`
	At   time.Time `json:"at"`
	ID   string    `json:"id"`
	Text string    `json:"text"`
}

// sortByTime sorts violations by their time, and leaves those of one time in their order.
func sortByTime(violations []Violation) {
	slices.SortStableFunc(violations, func(a, b Violation) int {
		return cmp.Compare(a.At.UnixNano(), b.At.UnixNano())
	})
}

// The rules, by the names that reports use.
const (
	LateSends          = "late_sends"     // sends to an engine later than DrainGrace after the command to drain it
	DoubleRuns         = "double_runs"    // non-idempotent requests that were executed more than once
	OverlappingRuns    = "two_out"        // requests with two executions at a time
	UnansweredRequests = "unanswered"     // requests without an answer in their time
	DoubleAnswers      = "double_answers" // answers that nobody asked for
	WrongAnswers       = "wrong_answers"  // answers that no engine made for the request
	FalsePromises      = "false_promises" // non-idempotent requests rejected as safe to retry that were executed
	NoEngine           = "no_engine"      // instants with no engine ready while one was alive
	Crashes            = "crashes"        // front ends that ended by themselves, or counted a broken invariant
	// front ends that shut down by grant while as many as the budget were unavailable
	OverBudget    = "over_budget"
	AfterHalt     = "after_halt"     // front ends that shut down by grant after a halt was acknowledged
	NotEmpty      = "not_empty"      // queries on an engine that was reported as drained
	WrongRevision = "wrong_revision" // front ends that serve on another revision than agreed at the end
)

// Rules lists them all.
var Rules = []string{
	LateSends, DoubleRuns, OverlappingRuns, UnansweredRequests, DoubleAnswers, WrongAnswers, FalsePromises, NoEngine,
	Crashes, OverBudget, AfterHalt, NotEmpty, WrongRevision,
}

// answerSlack is how late an answer may be on a busy machine and still count as given in time.
const answerSlack = 250 * time.Millisecond

// checker collects the violations of the rules on requests.
type checker struct{ violations []Violation }

func (c *checker) violate(rule string, at time.Time, id, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, at, id, fmt.Sprintf(format, args...)})
}

// Check holds what clients got against what engines ran. It looks at sockets only: a request is what a client sent, an
// execution what an engine accepted. drains returns what the front end of a request was commanded, by the request's id.
// unexpected are answers that nobody asked for.
func Check(classes []Class, requests []Request, executions []engine.Execution, drains func(id string) *Drains,
	unexpected []string) []Violation {
	c := &checker{}
	byID := map[string][]engine.Execution{}
	for _, x := range executions {
		byID[x.ID] = append(byID[x.ID], x)
		if by, late := drains(x.ID).overdue(x.Engine, x.ReceivedAt); late {
			c.violate(LateSends, x.ReceivedAt, x.ID, "%s got it %v after the grace", x.Engine, by.Round(time.Millisecond))
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

// checkExecutions finds executions of one request that overlap, and a non-idempotent one that ran twice. It sorts the
// executions by time.
func (c *checker) checkExecutions(class Class, r Request, executions []engine.Execution) {
	slices.SortFunc(executions, func(a, b engine.Execution) int {
		return cmp.Compare(a.ReceivedAt.UnixNano(), b.ReceivedAt.UnixNano())
	})
	for i := 1; i < len(executions); i++ {
		previous, x := executions[i-1], executions[i]
		if previous.EndedAt.IsZero() || previous.EndedAt.After(x.ReceivedAt) {
			c.violate(OverlappingRuns, x.ReceivedAt, r.ID, "on %s while it ran on %s", x.Engine, previous.Engine)
		}
	}
	if class.NonIdempotent && len(executions) > 1 {
		c.violate(DoubleRuns, executions[1].ReceivedAt, r.ID, "%s was executed %d times", class.Name, len(executions))
	}
}

// checkAnswer holds the one answer of a request against its time and its executions.
func (c *checker) checkAnswer(class Class, r Request, executions []engine.Execution) {
	succeeded := func(x engine.Execution) bool { return x.Succeeded }
	switch {
	case r.Outcome == Unanswered:
		c.violate(UnansweredRequests, r.Due, r.ID, "%s after %v: %s", class.Name, r.Latency.Round(time.Millisecond), r.Detail)
	case r.Latency > class.Timeout+answerSlack && r.Sent.Sub(r.Due) < answerSlack:
		c.violate(UnansweredRequests, r.Due, r.ID, "%s %s after %v of %v", class.Name, r.Outcome,
			r.Latency.Round(time.Millisecond), class.Timeout)
	case r.Outcome == Wrong:
		c.violate(WrongAnswers, r.Due, r.ID, "%s", r.Detail)
	case r.Outcome == Served && !slices.ContainsFunc(executions, succeeded):
		c.violate(WrongAnswers, r.Due, r.ID, "served, and no engine has ended it well")
	case r.Outcome == Rejected && class.NonIdempotent && len(executions) > 0:
		c.violate(FalsePromises, r.Due, r.ID, "%s was rejected and had been executed on %s", class.Name, executions[0].Engine)
	}
}
