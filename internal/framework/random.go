package framework

// random is a small deterministic generator (SplitMix64).
type random struct{ state uint64 }

func newRandom(seed uint64) random { return random{state: seed} }

// next returns 64 pseudo-random bits.
func (r *random) next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	z := r.state
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// intn returns a number from 0 to n-1. n must be at least 1.
func (r *random) intn(n int) int { return int(r.next() % uint64(n)) }
