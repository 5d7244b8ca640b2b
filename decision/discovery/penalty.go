package discovery

import (
	"math"
	"time"
)

// penalty is the figure of merit of RFC 2439: it rises with each failure and halves in each half-life.
type penalty struct {
	value     float64
	updatedAt time.Duration
}

// decayed is the penalty at that time.
func (p penalty) decayed(at time.Duration, s *Settings) float64 {
	return p.value * math.Exp2(-(at-p.updatedAt).Seconds()/s.HalfLife.Seconds())
}

// ceiling is the penalty that decays to Reuse within MaxSuppress.
func (s *Settings) ceiling() float64 {
	return s.Reuse * math.Exp2(s.MaxSuppress.Seconds()/s.HalfLife.Seconds())
}

// addFailure counts one turn from passing to failing.
func (p *penalty) addFailure(at time.Duration, s *Settings) {
	p.value, p.updatedAt = math.Min(p.decayed(at, s)+s.Penalty, s.ceiling()), at
}

// reuseAt is when the penalty will have decayed to Reuse.
func (p penalty) reuseAt(s *Settings) time.Duration {
	if p.value <= s.Reuse {
		return p.updatedAt
	}
	// A microsecond more, so that rounding can't leave it above the threshold at that time.
	return p.updatedAt + time.Duration(math.Log2(p.value/s.Reuse)*float64(s.HalfLife)) + time.Microsecond
}
