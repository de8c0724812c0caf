// Package sample computes statistics over the newest values of a quantity.
package sample

import "sort"

// Size is the number of values that a window keeps.
const Size = 64

// Window holds the last Size values. The zero value is empty.
type Window struct {
	ring   []float64
	next   int
	sorted []float64
	// sum and squareSum are the sums of the values and of their squares.
	sum, squareSum float64
}

// Add adds a value and drops the oldest one when the window is full.
func (w *Window) Add(value float64) {
	if len(w.ring) < Size {
		w.ring = append(w.ring, value)
	} else {
		w.drop(w.ring[w.next])
		w.ring[w.next] = value
		w.next = (w.next + 1) % Size
	}
	w.sum += value
	w.squareSum += value * value
	at := sort.SearchFloat64s(w.sorted, value)
	w.sorted = append(w.sorted, 0)
	copy(w.sorted[at+1:], w.sorted[at:])
	w.sorted[at] = value
}

func (w *Window) drop(value float64) {
	w.sum -= value
	w.squareSum -= value * value
	at := sort.SearchFloat64s(w.sorted, value)
	w.sorted = append(w.sorted[:at], w.sorted[at+1:]...)
}

// Len returns the number of values.
func (w *Window) Len() int { return len(w.sorted) }

// UpperQuantile returns an upper bound that the next value exceeds with an
// estimated probability of at most 1-q: the order statistic ceil(q*(n+1)), or
// the largest value when there are too few. It returns 0 for an empty window.
func (w *Window) UpperQuantile(q float64) float64 {
	n := len(w.sorted)
	if n == 0 {
		return 0
	}
	rank := int(q*float64(n+1) + 0.999999)
	return w.sorted[min(max(rank, 1), n)-1]
}

// Min returns the smallest value, or 0 for an empty window.
func (w *Window) Min() float64 {
	if len(w.sorted) == 0 {
		return 0
	}
	return w.sorted[0]
}

// Mean returns the mean, or 0 for an empty window.
func (w *Window) Mean() float64 {
	if len(w.sorted) == 0 {
		return 0
	}
	return w.sum / float64(len(w.sorted))
}

// Variance returns the sample variance, or 0 for fewer than 2 values.
func (w *Window) Variance() float64 {
	n := float64(len(w.sorted))
	if n < 2 {
		return 0
	}
	mean := w.sum / n
	return max(0, (w.squareSum-n*mean*mean)/(n-1))
}
