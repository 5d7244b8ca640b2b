package capacity

import (
	"fmt"
	"math"
)

// Verdict is the result of comparing a row with its budget.
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
	Factor  float64 // the used share of the budget; over 1 if the budget is missed
}

// judge compares a row's figure with its budget.
func (r Row) judge(f Figure) Judgement {
	switch {
	case r.Blocker != "":
		return Judgement{Verdict: CannotBeDone, Factor: math.Inf(1)}
	case !f.Measured && !f.Unbounded:
		return Judgement{Verdict: NotMeasured}
	case r.Budget == Budget{}:
		return Judgement{Verdict: NoBudget}
	case f.Unbounded:
		return Judgement{Missed, math.Inf(1)}
	}
	factor := r.Budget.used(f.Value)
	if factor > 1 {
		return Judgement{Missed, factor}
	}
	return Judgement{Within, factor}
}

// used returns the share of the budget that a value uses. The share is over 1 if the value misses the budget, and
// infinite if the divisor is 0.
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

// String returns the judgement in the words of the page.
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

// times returns a factor in the words of the page.
func times(factor float64) string {
	if math.IsInf(factor, 1) {
		return "more than a factor can say"
	}
	return "a factor of " + number(factor)
}
