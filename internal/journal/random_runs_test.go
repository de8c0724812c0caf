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
	seedFlag  = flag.Uint64("seed", uintFromEnv("REDWINGVALE_SEED", 1), "first seed of the random runs")
	stepsFlag = flag.Uint64("steps", uintFromEnv("REDWINGVALE_STEPS", 3_000_000), "least number of steps of the random runs")
)

func uintFromEnv(name string, fallback uint64) uint64 {
	value, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return fallback
	}
	return value
}

// runSeed runs one random simulation and returns the violation that it found.
func runSeed(seed uint64, disabled mutations) (sim *simulation, err error) {
	sim = &simulation{
		rng:          rand.New(rand.NewPCG(seed, 1)),
		mutations:    disabled,
		log:          make(map[platform.Stream][]*recordv1.Envelope),
		outcomes:     make(map[uint64]outcome),
		writers:      make(map[uint64]*node),
		discarded:    make(map[uint64]bool),
		disconnected: make(map[spec.InstanceID]bool),
		streams:      []platform.Stream{"group/a", "group/b"},
	}
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("seed %d: %v", seed, r)
		}
	}()
	for i := range 3 {
		sim.startNode(spec.InstanceID(fmt.Sprintf("i%d", i)), 1)
	}
	sim.after(0, sim.injectFaults)
	sim.after(0, sim.generateLoad)
	sim.runUntil(40 * time.Second)
	sim.faultsOff = true
	sim.runUntil(70 * time.Second)
	if err := sim.checkResults(); err != nil {
		return sim, fmt.Errorf("seed %d: %w", seed, err)
	}
	return sim, nil
}

func (sim *simulation) generateLoad() {
	if sim.faultsOff {
		return
	}
	n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	if n.running && sim.now >= n.pausedUntil {
		n.writeRandom()
	}
	sim.after(sim.between(time.Millisecond, 40*time.Millisecond), sim.generateLoad)
}

// injectFaults starts random faults one after the other; they may overlap.
func (sim *simulation) injectFaults() {
	if sim.faultsOff {
		return
	}
	length := sim.between(100*time.Millisecond, 6*time.Second)
	n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	switch sim.rng.IntN(6) {
	case 0:
		sim.logDown = true
		sim.after(length, func() { sim.logDown = false })
	case 1:
		sim.disconnected[n.id] = true
		sim.after(length, func() { delete(sim.disconnected, n.id) })
	case 2:
		sim.responseLoss = sim.rng.Float64()
		sim.after(length, func() { sim.responseLoss = 0 })
	case 3:
		sim.maxDelay = sim.between(10*time.Millisecond, 4*time.Second)
		sim.after(length, func() { sim.maxDelay = 0 })
	case 4:
		n.pausedUntil = sim.now + length
	case 5:
		if n.running {
			n.running = false
			sim.after(length/4, func() { sim.startNode(n.id, n.incarnation+1) })
		}
	}
	sim.after(sim.between(100*time.Millisecond, 3*time.Second), sim.injectFaults)
}

// expectedOffsets is the reference model: it replays a stream with a second,
// plain implementation of the rules and returns the offsets of the records
// that have an effect.
func (sim *simulation) expectedOffsets(name platform.Stream) []int64 {
	var out []int64
	seen := make(map[string]uint64)
	epoch, owner := uint64(0), ""
	for offset, env := range sim.log[name] {
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

// checkResults compares the reference model with the records that the readers
// applied and with the outcomes that the writers reported.
func (sim *simulation) checkResults() error {
	effective := make(map[string]bool)
	for _, name := range sim.streams {
		expected := sim.expectedOffsets(name)
		for _, n := range sim.nodes {
			applied := n.readers[name].applied
			if len(applied) > len(expected) || !slices.Equal(applied, expected[:len(applied)]) {
				return fmt.Errorf("%s/%d applied records of %s that have no effect, or in another order", n.id, n.incarnation, name)
			}
			if n.running && len(applied) < len(expected) {
				return fmt.Errorf("%s/%d has not applied all of %s", n.id, n.incarnation, name)
			}
		}
		for _, offset := range expected {
			effective[sim.log[name][offset].GetActor()+" "+fmt.Sprint(offset)] = true
			effective[sim.log[name][offset].GetActor()] = true
		}
	}
	return sim.checkOutcomes(effective)
}

func (sim *simulation) checkOutcomes(effective map[string]bool) error {
	for token := uint64(1); token <= sim.lastToken; token++ {
		o, ended := sim.outcomes[token]
		id := fmt.Sprint(token)
		switch {
		case !ended && sim.writers[token].running:
			return fmt.Errorf("token %d has not ended", token)
		case o.written && !effective[id]:
			return fmt.Errorf("token %d was reported written and has no effect", token)
		case o.written && o.offset != unknownOffset && !effective[id+" "+fmt.Sprint(o.offset)]:
			return fmt.Errorf("token %d was reported written at offset %d and has no effect there", token, o.offset)
		case ended && !o.written && effective[id] && o.code != code.AcceptanceUnsure:
			return fmt.Errorf("token %d was rejected with %s and has an effect", token, o.code)
		}
	}
	return nil
}

// TestRandomRuns guards against records that are reported written and have no
// effect, that are reported rejected and have one, or that complete twice or
// never, and against readers that apply a duplicate record or one of an old
// epoch.
func TestRandomRuns(t *testing.T) {
	c := quicktest.New(t)
	steps, seeds, tokens := uint64(0), 0, uint64(0)
	for seed := *seedFlag; steps < *stepsFlag; seed++ {
		sim, err := runSeed(seed, mutations{})
		c.Assert(err, quicktest.IsNil)
		steps += uint64(sim.steps)
		tokens += sim.lastToken
		seeds++
	}
	t.Logf("%d steps and %d records in %d runs from seed %d", steps, tokens, seeds, *seedFlag)
}

// requireViolation requires that the random runs find a violation.
func requireViolation(t *testing.T, disabled mutations) {
	const seeds = 40
	for seed := uint64(1); seed <= seeds; seed++ {
		if _, err := runSeed(seed, disabled); err != nil {
			t.Log(err)
			return
		}
	}
	quicktest.New(t).Fatalf("no violation in %d seeds", seeds)
}

// TestDetectsEarlyWritten guards against random runs that do not detect a
// record that is reported written before it was read back.
func TestDetectsEarlyWritten(t *testing.T) {
	requireViolation(t, mutations{writer: switches{countAppendAsWritten: true}})
}

// TestDetectsSendBeforeReadBack does the same for a batch that is sent before
// the previous one was read back.
func TestDetectsSendBeforeReadBack(t *testing.T) {
	requireViolation(t, mutations{writer: switches{sendWithoutReadBack: true}})
}

// TestDetectsVoid does the same for a record that the fence rejected and
// that is reported written.
func TestDetectsVoid(t *testing.T) { requireViolation(t, mutations{writer: switches{skipVoid: true}}) }

// TestDetectsMissingFence does the same for readers without the epoch fence.
func TestDetectsMissingFence(t *testing.T) { requireViolation(t, mutations{noFence: true}) }

// TestDetectsMissingFilter does the same for readers without the duplicate
// filter.
func TestDetectsMissingFilter(t *testing.T) { requireViolation(t, mutations{noFilter: true}) }
