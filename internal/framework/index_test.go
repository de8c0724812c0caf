package framework

import (
	"testing"

	"pgregory.net/rapid"

	"redwingvale/internal/spec"
)

// Guards against a search that misses a worker with enough free resources or
// returns one without, for any sequence of updates and growth.
func TestIndexMatchesLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x index
		free := []spec.Resources{}
		draw := func(label string) spec.Resources {
			n := rapid.Int64Range(-1, 4)
			return spec.Resources{MilliCPU: n.Draw(t, label), MemoryMiB: n.Draw(t, label), Slots: n.Draw(t, label)}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(free) == 0 || rapid.Bool().Draw(t, "grow") {
				free = append(free, noCapacity)
				x.grow(len(free))
			}
			i := rapid.IntRange(0, len(free)-1).Draw(t, "worker")
			free[i] = draw("free")
			x.set(i, free[i])
			need := draw("need")
			from := rapid.IntRange(0, len(free)-1).Draw(t, "from")
			want := -1
			for j := from; j < len(free) && want < 0; j++ {
				if need.Fits(free[j]) {
					want = j
				}
			}
			if got := x.next(from, &need); got != want && need.MilliCPU >= 0 && need.MemoryMiB >= 0 && need.Slots >= 0 {
				t.Fatalf("next(%d, %+v) = %d, a scan finds %d in %+v", from, need, got, want, free)
			}
		}
	})
}
