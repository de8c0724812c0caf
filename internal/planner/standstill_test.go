package planner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// maxStandstill is the longest time for which nothing of a job may run although there
// is capacity for it twice over and under half of its service's capacity is in use.
const maxStandstill = 3000

// watchStandstill checks from now on that no job stands still. Nothing else may happen
// meanwhile but submissions, cancellations and ends of runs.
func (sim *simulation) watchStandstill() {
	since := map[jobs.ID]int64{}
	var check func()
	check = func() {
		for _, id := range sim.ids {
			switch {
			case !sim.standsStill(id):
				delete(since, id)
			case since[id] == 0:
				since[id] = sim.now
			case sim.now-since[id] > maxStandstill:
				sim.violate("LOST", "nothing of %s runs since %d, there is room for it", id, since[id])
				return
			}
		}
		sim.at(100, check)
	}
	check()
}

// standsStill reports whether nothing of a job runs although a task's turn has come
// and there is capacity for it twice over.
func (sim *simulation) standsStill(id jobs.ID) bool {
	sub := sim.jobs[id]
	state, known := sim.leader.core.State(id)
	if !sub.accepted || sub.cancelSent || !known || state.Final() || sub.job.Queue == advisedQueue || !sim.mostlyFree() {
		return false
	}
	for _, f := range sim.workers {
		for t := range f.runs {
			if t.Job == id {
				return false
			}
		}
	}
	for k := range sub.job.Occurrences() {
		for i := range sub.job.Steps {
			if spec := &sub.job.Steps[i]; sub.job.DueMS(k) <= sim.now && sim.awaitsStart(id, k, i) {
				return sim.roomFor(spec) >= 2*sim.tasksAtOnce(spec)
			}
		}
	}
	return false
}

// awaitsStart reports whether the predecessors of a step are done and some of its
// tasks are not.
func (sim *simulation) awaitsStart(id jobs.ID, occurrence, step int) bool {
	steps := sim.jobs[id].job.Steps
	allDone := func(i int) bool {
		for index := range steps[i].Count {
			if !sim.done[jobs.Task{Job: id, Occurrence: occurrence, Step: i, Index: index}] {
				return false
			}
		}
		return true
	}
	for _, before := range steps[step].After {
		if !allDone(before) {
			return false
		}
	}
	return !allDone(step)
}

func (sim *simulation) tasksAtOnce(spec *jobs.Step) int {
	if spec.Gang {
		return spec.Count
	}
	return 1
}

// sound reports whether a worker can be given tasks.
func (sim *simulation) sound(f *fakeWorker) bool {
	return f.reachable() && sim.now >= f.unlistedUntil && !f.info.Draining
}

// mostlyFree reports whether under half of the capacity is in use.
func (sim *simulation) mostlyFree() bool {
	used, capacity := 0, 0
	for _, f := range sim.workers {
		if sim.sound(f) {
			used += f.used().CPUMilli
			capacity += f.info.Capacity.CPUMilli
		}
	}
	return 2*used < capacity
}

func (f *fakeWorker) used() Resources {
	var used Resources
	for _, r := range f.runs {
		used = used.plus(r.room)
	}
	return used
}

// roomFor returns how many tasks of a step of which nothing runs fit on the workers.
func (sim *simulation) roomFor(spec *jobs.Step) int {
	n := 0
	for _, f := range sim.workers {
		if !sim.sound(f) || spec.Label != "" && !slices.Contains(f.info.Labels, spec.Label) {
			continue
		}
		need, free, here := Resources{CPUMilli: spec.CPUMilli, MemoryMB: spec.MemoryMB}, f.info.Capacity.minus(f.used()), 0
		for need.fits(free) && (spec.MaxPerWorker == 0 || here < spec.MaxPerWorker) {
			free = free.minus(need)
			here++
		}
		n += here
	}
	return n
}

// mixShapes submits jobs of very different shapes to a few workers, some of which are
// lost permanently: lasting jobs with one task on each worker, wide tasks, tasks that run
// long, and small ones whose estimates are wrong.
func (sim *simulation) mixShapes(rng *rand.Rand) {
	for i := range 30 {
		sim.at(rng.Int64N(25_000), func() {
			id := fmt.Sprintf("shape%011d", i)
			step := jobs.Step{Count: 1 + rng.IntN(4), MemoryMB: 500, EstimateMS: 200 + rng.IntN(1000)}
			queue := []string{"urgent", "batch"}[rng.IntN(2)]
			switch rng.IntN(6) {
			case 0:
				queue, step = "watch", spreadStep(len(sim.workers))
			case 1:
				step.CPUMilli = 24_000 + rng.IntN(8000)
			case 2:
				step.CPUMilli, step.EstimateMS, step.MaxPerWorker = 1000+rng.IntN(9000), 5000+rng.IntN(60_000), rng.IntN(2)
			case 3:
				step.CPUMilli, step.Gang = 1000+rng.IntN(4000), true
			default:
				step.CPUMilli = 500 + rng.IntN(4000)
			}
			sim.addSteps(queue, id, step)
		})
	}
	for i := range rng.IntN(len(sim.workers)/2 + 1) {
		sim.at(2000+rng.Int64N(3000), func() {
			sim.workers[i].crash(1 << 40)
			sim.at(3300, func() {
				sim.workers[i].unlistedUntil = 1 << 60
				sim.step(sim.leader, WorkersChanged{Workers: sim.directory()})
			})
		})
	}
}

// runShapes simulates a seed of mixShapes.
func runShapes(seed uint64, disabled safeguards) *simulation {
	rng := rand.New(rand.NewPCG(seed, 5))
	sim := newWideWorkers(1 + rng.IntN(8))
	sim.disable(disabled)
	sim.seed = seed
	sim.duration = func(t jobs.Task) int64 {
		// Estimates are wrong by a factor of up to three either way.
		return int64(float64(sim.spec(t).EstimateMS) * (0.33 + float64(hashOf(seed, string(t.Job))%1000)/375))
	}
	sim.mixShapes(rng)
	// The tasks of a lost worker wait for the longest lease that it may hold.
	sim.at(17_000, sim.watchStandstill)
	sim.run(sim.now + 120_000)
	return sim
}

// Guards against jobs of which nothing runs for seconds although most of the capacity
// is free, in a mix of shapes after the loss of workers.
func TestNoJobStandsStill(t *testing.T) {
	c := qt.New(t)
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		c.Assert(runShapes(seed, safeguards{}).violations, qt.HasLen, 0)
	}
}
