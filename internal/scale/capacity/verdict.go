package capacity

import (
	"fmt"
	"math"
)

// Verdict is how a row stands against its budget.
type Verdict int

// The verdicts.
const (
	NoBudget Verdict = iota
	NotMeasured
	Within
	Missed
	CannotBeDone
)

// Judgement is a row's verdict, and the factor by which it misses its budget.
type Judgement struct {
	Verdict Verdict
	Factor  float64 // over 1 where the budget is missed; what is used of the budget else
}

// judge holds a row's figure against its budget.
func (r Row) judge(f Figure) Judgement {
	switch {
	case r.Absent != "":
		return Judgement{Verdict: CannotBeDone, Factor: math.Inf(1)}
	case !f.Measured && !f.Never:
		return Judgement{Verdict: NotMeasured}
	case r.Budget == Budget{}:
		return Judgement{Verdict: NoBudget}
	case f.Never:
		return Judgement{Missed, math.Inf(1)}
	}
	factor := r.Budget.used(f.Value)
	if factor > 1 {
		return Judgement{Missed, factor}
	}
	return Judgement{Within, factor}
}

// used is how much of the budget a value takes: over 1 where it misses it, infinite where nothing of a budget is left
// to compare with.
func (b Budget) used(value float64) float64 {
	over, under := value, b.Limit
	if b.AtLeast {
		over, under = b.Limit, value
	}
	switch {
	case under != 0:
		return over / under
	case over == 0:
		return 0
	}
	return math.Inf(1)
}

// String is the judgement as the page says it.
func (j Judgement) String() string {
	switch j.Verdict {
	case CannotBeDone:
		return "cannot be done at all"
	case NotMeasured:
		return "not measured"
	case Within:
		return fmt.Sprintf("within (%s of it)", percent(j.Factor))
	case Missed:
		return "missed by " + times(j.Factor)
	default: // NoBudget
		return "no budget"
	}
}

// times is a factor as the page says it.
func times(factor float64) string {
	if math.IsInf(factor, 1) {
		return "more than a factor can say"
	}
	return "a factor of " + number(factor)
}
