package overload

import "slices"

// windowSize is the number of values that a window holds. With one sample of the
// demand every sampleMS it covers 20 s.
const windowSize = 64

// window holds the last values of a series, in their order and sorted.
type window struct {
	ring, sorted [windowSize]int64
	n, next      int
}

func (w *window) add(v int64) {
	if w.n == windowSize {
		at, _ := slices.BinarySearch(w.sorted[:w.n], w.ring[w.next])
		copy(w.sorted[at:w.n-1], w.sorted[at+1:w.n])
		w.n--
	}
	at, _ := slices.BinarySearch(w.sorted[:w.n], v)
	copy(w.sorted[at+1:w.n+1], w.sorted[at:w.n])
	w.sorted[at] = v
	w.n++
	w.ring[w.next] = v
	w.next = (w.next + 1) % windowSize
}

// quantile returns the value below which the given share of the values lies; 0
// without values.
func (w *window) quantile(share float64) int64 {
	if w.n == 0 {
		return 0
	}
	return w.sorted[min(int(share*float64(w.n)), w.n-1)]
}

func (w *window) max() int64 { return w.quantile(1) }

// average is a mean and a variance that are smoothed over time.
type average struct {
	mean, variance float64
	known          bool
}

// add takes in a value with a weight between 0 and 1. The first value counts whole.
func (a *average) add(v, weight float64) {
	if !a.known {
		a.known, a.mean = true, v
		return
	}
	difference := v - a.mean
	a.mean += weight * difference
	a.variance = (1 - weight) * (a.variance + weight*difference*difference)
}
