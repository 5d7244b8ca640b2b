package faulttest

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"beechcart/internal/fake/engine"
)

// DrainGrace is how long after the word of a drain a send may still come.
const DrainGrace = 500 * time.Millisecond

// Drains remembers when engines were told to drain, and when that was lifted. It is safe for concurrent use.
type Drains struct {
	mu   sync.Mutex
	list map[string][]drainSpan
}

type drainSpan struct{ told, lifted time.Time } // lifted is zero while it holds

// Told tells that a front end was told so at that time; what it was told before counts.
func (d *Drains) Told(name string, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.list == nil {
		d.list = map[string][]drainSpan{}
	}
	if spans := d.list[name]; len(spans) == 0 || !spans[len(spans)-1].lifted.IsZero() {
		d.list[name] = append(spans, drainSpan{told: at})
	}
}

// Lifted tells that the drain was taken back at that time, whoever has heard of it.
func (d *Drains) Lifted(name string, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if spans := d.list[name]; len(spans) > 0 && spans[len(spans)-1].lifted.IsZero() {
		spans[len(spans)-1].lifted = at
	}
}

// late tells whether a send at that time broke the promise, and by how much. A front end that was told nothing breaks none.
func (d *Drains) late(name string, sent time.Time) (time.Duration, bool) {
	if d == nil {
		return 0, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.list[name] {
		if by := sent.Sub(s.told.Add(DrainGrace)); by > 0 && (s.lifted.IsZero() || sent.Before(s.lifted)) {
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
	slices.SortStableFunc(violations, func(a, b Violation) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
}

// The rules, by the names that reports use.
const (
	LateSends     = "late_sends"     // sends to an engine later than DrainGrace after the word of its drain
	DoubleRuns    = "double_runs"    // unsafe requests that were executed more than once
	TwoOut        = "two_out"        // requests with two executions at a time
	UnansweredOne = "unanswered"     // requests without an answer in their time
	DoubleAnswers = "double_answers" // answers that nobody asked for
	WrongAnswers  = "wrong_answers"  // answers that no engine made for the request
	FalsePromises = "false_promises" // unsafe requests refused as harmless to repeat that were executed
	NoEngine      = "no_engine"      // instants with no engine ready while one was alive
	Crashes       = "crashes"        // front ends that ended by themselves, or counted a broken invariant
	OverBudget    = "over_budget"    // front ends that went out by choice while as many as the budget were out
	AfterHalt     = "after_halt"     // front ends that went out by choice after a halt was acknowledged
	NotEmpty      = "not_empty"      // queries on an engine that was said to be empty
	WrongRevision = "wrong_revision" // front ends that serve on another revision than agreed at the end
)

// Rules lists them all.
var Rules = []string{LateSends, DoubleRuns, TwoOut, UnansweredOne, DoubleAnswers, WrongAnswers, FalsePromises, NoEngine, Crashes, OverBudget, AfterHalt, NotEmpty, WrongRevision}

// answerSlack is how late an answer may be on a busy machine and still count as given in time.
const answerSlack = 250 * time.Millisecond

// Check holds what clients got against what engines ran. It looks at sockets only: a request is what a client sent, an
// execution what an engine took in. drains is what the front end that had a request was told, by the request's id.
func Check(classes []Class, requests []Request, runs []engine.Execution, drains func(id string) *Drains, surplus []string) []Violation {
	var out []Violation
	violate := func(rule string, at time.Time, id, format string, args ...any) {
		out = append(out, Violation{rule, at, id, fmt.Sprintf(format, args...)})
	}
	byID := map[string][]engine.Execution{}
	for _, x := range runs {
		byID[x.ID] = append(byID[x.ID], x)
		if by, late := drains(x.ID).late(x.Engine, x.ReceivedAt); late {
			violate(LateSends, x.ReceivedAt, x.ID, "%s got it %v after the grace", x.Engine, by.Round(time.Millisecond))
		}
	}
	for _, r := range requests {
		c := classes[r.Class]
		list := byID[r.ID]
		slices.SortFunc(list, func(a, b engine.Execution) int { return cmp.Compare(a.ReceivedAt.UnixNano(), b.ReceivedAt.UnixNano()) })
		for i := 1; i < len(list); i++ {
			if prev := list[i-1]; prev.EndedAt.IsZero() || prev.EndedAt.After(list[i].ReceivedAt) {
				violate(TwoOut, list[i].ReceivedAt, r.ID, "on %s while it ran on %s", list[i].Engine, prev.Engine)
			}
		}
		if c.Unsafe && len(list) > 1 {
			violate(DoubleRuns, list[1].ReceivedAt, r.ID, "%s was executed %d times", c.Name, len(list))
		}
		switch {
		case r.Outcome == Unanswered:
			violate(UnansweredOne, r.Due, r.ID, "%s after %v: %s", c.Name, r.Latency.Round(time.Millisecond), r.Detail)
		case r.Latency > c.Wait+answerSlack && r.Sent.Sub(r.Due) < answerSlack:
			violate(UnansweredOne, r.Due, r.ID, "%s %s after %v of %v", c.Name, r.Outcome, r.Latency.Round(time.Millisecond), c.Wait)
		case r.Outcome == Wrong:
			violate(WrongAnswers, r.Due, r.ID, "%s", r.Detail)
		case r.Outcome == Served && !slices.ContainsFunc(list, func(x engine.Execution) bool { return x.Succeeded }):
			violate(WrongAnswers, r.Due, r.ID, "served, and no engine has ended it well")
		case r.Outcome == Refused && c.Unsafe && len(list) > 0:
			violate(FalsePromises, r.Due, r.ID, "%s was refused and had been executed on %s", c.Name, list[0].Engine)
		}
	}
	for _, s := range surplus {
		violate(DoubleAnswers, time.Time{}, "", "%s", s)
	}
	return out
}
