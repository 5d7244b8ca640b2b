package admission

// splitMix64 is the pseudorandom number generator of Steele, Lea and Flood, "Fast Splittable Pseudorandom Number
// Generators" (OOPSLA 2014). Its value is its state, initially the seed.
type splitMix64 uint64

func (s *splitMix64) next() uint64 {
	*s += 0x9e3779b97f4a7c15
	z := uint64(*s)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// float64 returns a uniform draw from [0, 1).
func (s *splitMix64) float64() float64 { return float64(s.next()>>11) / (1 << 53) }
