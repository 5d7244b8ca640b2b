package recorded

import (
	"math"
	"time"
)

// Random is a seeded source of draws, SplitMix64, whose sequence no release of Go changes.
type Random uint64

// Float draws a number from 0 up to 1.
func (r *Random) Float() float64 {
	*r += 0x9e3779b97f4a7c15
	z := uint64(*r)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return float64((z^(z>>31))>>11) / (1 << 53)
}

// Below draws a whole number from 0 up to n.
func (r *Random) Below(n int) int { return int(r.Float() * float64(n)) }

// Exponential draws a time from the exponential distribution of that mean.
func (r *Random) Exponential(mean time.Duration) time.Duration {
	return time.Duration(-math.Log(1-r.Float()) * float64(mean))
}
