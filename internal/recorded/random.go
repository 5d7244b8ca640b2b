package recorded

import (
	"math"
	"time"
)

// Random is a SplitMix64 random number generator. Its initial value is the seed. Its sequence does not depend on the
// release of Go.
type Random uint64

// Float returns a random number in [0, 1).
func (r *Random) Float() float64 {
	*r += 0x9e3779b97f4a7c15
	z := uint64(*r)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return float64((z^(z>>31))>>11) / (1 << 53)
}

// Below returns a random integer in [0, n).
func (r *Random) Below(n int) int { return int(r.Float() * float64(n)) }

// Exponential returns a random duration from the exponential distribution with the given mean.
func (r *Random) Exponential(mean time.Duration) time.Duration {
	return time.Duration(-math.Log(1-r.Float()) * float64(mean))
}
