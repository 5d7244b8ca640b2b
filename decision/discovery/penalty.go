package discovery

import (
	"math"
	"time"
)

// penalty is the figure of merit of RFC 2439: it rises with each failure and halves in each half-life.
type penalty struct {
	value float64
	at    time.Duration
}

// now is the penalty at that time.
func (p penalty) now(at time.Duration, s *Settings) float64 {
	return p.value * math.Exp2(-(at-p.at).Seconds()/s.HalfLife.Seconds())
}

// ceiling is the penalty that decays to Reuse within MaxSuppress.
func (s *Settings) ceiling() float64 {
	return s.Reuse * math.Exp2(s.MaxSuppress.Seconds()/s.HalfLife.Seconds())
}

// fail counts one turn from passing to failing.
func (p *penalty) fail(at time.Duration, s *Settings) {
	p.value, p.at = math.Min(p.now(at, s)+s.Penalty, s.ceiling()), at
}

// calm is when the penalty will have decayed to Reuse.
func (p penalty) calm(s *Settings) time.Duration {
	if p.value <= s.Reuse {
		return p.at
	}
	// A microsecond more, so that rounding can't leave it above the threshold at that time.
	return p.at + time.Duration(math.Log2(p.value/s.Reuse)*float64(s.HalfLife)) + time.Microsecond
}
