package jobs

import (
	"cmp"
	"slices"
)

// Ranges is a set of numbers as ascending ranges that do not touch, each of its
// first and its last number.
type Ranges [][2]int

// find returns the index of the first range that ends at n or later.
func (r Ranges) find(n int) int {
	i, _ := slices.BinarySearchFunc(r, n, func(a [2]int, n int) int { return cmp.Compare(a[1], n) })
	return i
}

// Contains reports whether the set has a number.
func (r Ranges) Contains(n int) bool {
	i := r.find(n)
	return i < len(r) && r[i][0] <= n
}

// Len returns the count of numbers in the set.
func (r Ranges) Len() int {
	n := 0
	for _, a := range r {
		n += a[1] - a[0] + 1
	}
	return n
}

// NextMissing returns the smallest number from n on that the set does not have.
func (r Ranges) NextMissing(n int) int {
	if i := r.find(n); i < len(r) && r[i][0] <= n {
		return r[i][1] + 1
	}
	return n
}

// add returns the set with a number added.
func (r Ranges) add(n int) Ranges {
	if r.Contains(n) {
		return r
	}
	i := r.find(n)
	joinsNext := i < len(r) && r[i][0] == n+1
	joinsPrevious := i > 0 && r[i-1][1] == n-1
	switch {
	case joinsNext && joinsPrevious:
		r[i-1][1] = r[i][1]
		return slices.Delete(r, i, i+1)
	case joinsNext:
		r[i][0] = n
	case joinsPrevious:
		r[i-1][1] = n
	default:
		r = slices.Insert(r, i, [2]int{n, n})
	}
	return r
}

// within returns the numbers of the set from 0 to below limit. The ranges may be in
// any order and overlap.
func (r Ranges) within(limit int) Ranges {
	sorted := make(Ranges, 0, len(r))
	for _, a := range r {
		if a = [2]int{max(a[0], 0), min(a[1], limit-1)}; a[0] <= a[1] {
			sorted = append(sorted, a)
		}
	}
	slices.SortFunc(sorted, func(a, b [2]int) int { return cmp.Compare(a[0], b[0]) })
	out := sorted[:0]
	for _, a := range sorted {
		if last := len(out) - 1; last >= 0 && a[0] <= out[last][1]+1 {
			out[last][1] = max(out[last][1], a[1])
			continue
		}
		out = append(out, a)
	}
	return out
}
