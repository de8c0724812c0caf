package journal

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"redwingvale/internal/code"
	"redwingvale/internal/platform"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

var (
	seedFlag  = flag.Uint64("seed", environment("REDWINGVALE_SEED", 1), "first seed of the random runs")
	stepsFlag = flag.Uint64("steps", environment("REDWINGVALE_STEPS", 3_000_000), "least number of steps of the random runs")
)

func environment(name string, otherwise uint64) uint64 {
	value, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return value
}

// run carries out one random run and returns the violation that it found.
func run(seed uint64, b broken) (w *world, err error) {
	w = &world{
		rng:      rand.New(rand.NewPCG(seed, 1)),
		broken:   b,
		log:      make(map[platform.Stream][]*recordv1.Envelope),
		told:     make(map[uint64]outcome),
		asked:    make(map[uint64]*node),
		discards: make(map[uint64]bool),
		cut:      make(map[spec.InstanceID]bool),
		names:    []platform.Stream{"group/a", "group/b"},
	}
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("seed %d: %v", seed, r)
		}
	}()
	for i := range 3 {
		w.spawn(spec.InstanceID(fmt.Sprintf("i%d", i)), 1)
	}
	w.after(0, w.chaos)
	w.after(0, w.load)
	w.runUntil(40 * time.Second)
	w.calm = true
	w.runUntil(70 * time.Second)
	if err := w.judge(); err != nil {
		return w, fmt.Errorf("seed %d: %w", seed, err)
	}
	return w, nil
}

func (w *world) load() {
	if w.calm {
		return
	}
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if n.alive && w.now >= n.pausedUntil {
		n.work()
	}
	w.after(w.between(time.Millisecond, 40*time.Millisecond), w.load)
}

// chaos starts one fault after the other; they overlap.
func (w *world) chaos() {
	if w.calm {
		return
	}
	length := w.between(100*time.Millisecond, 6*time.Second)
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	switch w.rng.IntN(6) {
	case 0:
		w.logDown = true
		w.after(length, func() { w.logDown = false })
	case 1:
		w.cut[n.id] = true
		w.after(length, func() { delete(w.cut, n.id) })
	case 2:
		w.lost = w.rng.Float64()
		w.after(length, func() { w.lost = 0 })
	case 3:
		w.slow = w.between(10*time.Millisecond, 4*time.Second)
		w.after(length, func() { w.slow = 0 })
	case 4:
		n.pausedUntil = w.now + length
	case 5:
		if n.alive {
			n.alive = false
			w.after(length/4, func() { w.spawn(n.id, n.incarnation+1) })
		}
	}
	w.after(w.between(100*time.Millisecond, 3*time.Second), w.chaos)
}

// truth replays a stream with a second, plain implementation of the rules and
// returns the offsets that have effect.
func (w *world) truth(name platform.Stream) []int64 {
	var out []int64
	seen := make(map[string]uint64)
	epoch, owner := uint64(0), ""
	for offset, env := range w.log[name] {
		writer := fmt.Sprint(env.GetInstance(), "/", env.GetIncarnation())
		if env.GetSequence() <= seen[writer] {
			continue
		}
		seen[writer] = env.GetSequence()
		claim := env.GetGroup().GetClaim()
		switch {
		case claim != nil && claim.GetReplacesEpoch() == epoch:
			epoch++
			owner = writer
		case claim == nil && env.GetEpoch() == epoch && writer == owner:
		default:
			continue
		}
		out = append(out, int64(offset))
	}
	return out
}

// judge compares the truth with what readers applied and writers were told.
func (w *world) judge() error {
	effective := make(map[string]bool)
	for _, name := range w.names {
		truth := w.truth(name)
		for _, n := range w.nodes {
			applied := n.readers[name].applied
			if len(applied) > len(truth) || !slices.Equal(applied, truth[:len(applied)]) {
				return fmt.Errorf("%s/%d applied other records of %s than have effect", n.id, n.incarnation, name)
			}
			if n.alive && len(applied) < len(truth) {
				return fmt.Errorf("%s/%d has not applied all of %s", n.id, n.incarnation, name)
			}
		}
		for _, offset := range truth {
			effective[w.log[name][offset].GetActor()+" "+fmt.Sprint(offset)] = true
			effective[w.log[name][offset].GetActor()] = true
		}
	}
	return w.judgeTokens(effective)
}

func (w *world) judgeTokens(effective map[string]bool) error {
	for token := uint64(1); token <= w.tokens; token++ {
		o, ended := w.told[token]
		id := fmt.Sprint(token)
		switch {
		case !ended && w.asked[token].alive:
			return fmt.Errorf("token %d has not ended", token)
		case o.written && !effective[id]:
			return fmt.Errorf("token %d was told written and has no effect", token)
		case o.written && o.offset != unknownOffset && !effective[id+" "+fmt.Sprint(o.offset)]:
			return fmt.Errorf("token %d was told written at offset %d and has no effect there", token, o.offset)
		case ended && !o.written && effective[id] && o.code != code.AcceptanceUnsure:
			return fmt.Errorf("token %d was refused with %s and has effect", token, o.code)
		}
	}
	return nil
}

// TestRandomRuns guards against records that are told written and have no
// effect, told refused and have one, end twice or never, and against readers
// that apply a repeated record or one of an old epoch.
func TestRandomRuns(t *testing.T) {
	c := quicktest.New(t)
	steps, seeds, tokens := uint64(0), 0, uint64(0)
	for seed := *seedFlag; steps < *stepsFlag; seed++ {
		w, err := run(seed, broken{})
		c.Assert(err, quicktest.IsNil)
		steps += uint64(w.steps)
		tokens += w.tokens
		seeds++
	}
	t.Logf("%d steps and %d records in %d runs from seed %d", steps, tokens, seeds, *seedFlag)
}

// mustFail requires that the random runs find a violation.
func mustFail(t *testing.T, b broken) {
	const seeds = 40
	for seed := uint64(1); seed <= seeds; seed++ {
		if _, err := run(seed, b); err != nil {
			t.Log(err)
			return
		}
	}
	quicktest.New(t).Fatalf("no violation in %d seeds", seeds)
}

// TestBrokenReadBack guards against random runs that could not tell that a
// record counts before it was read back.
func TestBrokenReadBack(t *testing.T) {
	mustFail(t, broken{writer: faults{countAppendAsWritten: true}})
}

// TestBrokenOrder does the same for a batch that is sent before the one
// before it was read back.
func TestBrokenOrder(t *testing.T) {
	mustFail(t, broken{writer: faults{sendWithoutReadBack: true}})
}

// TestBrokenVoid does the same for a record that the fence found void and
// whose writer is told that it was written.
func TestBrokenVoid(t *testing.T) { mustFail(t, broken{writer: faults{ignoreVoid: true}}) }

// TestBrokenFence does the same for readers without the epoch fence.
func TestBrokenFence(t *testing.T) { mustFail(t, broken{noFence: true}) }

// TestBrokenFilter does the same for readers without the repeat filter.
func TestBrokenFilter(t *testing.T) { mustFail(t, broken{noFilter: true}) }
