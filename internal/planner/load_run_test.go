package planner

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"redwingvale/internal/jobs"
	"redwingvale/internal/overload"
)

// The loads that the tests play: traffic at a share of what the workers bear, and a
// burst of one or both queues in the middle of it.
const (
	loadWorkers  = 21
	loadCores    = 64_000
	loadMS       = 34_000
	burstBeginMS = 8000
	burstMS      = 6700
	burstFactor  = 2.3
	loadSettleMS = 45_000
	// servingTasks is the number of serving tasks on a worker.
	servingTasks  = 2
	loadLateValue = 0.15
	// Estimates are off by up to maxEstimateError, and one task in stragglerEvery
	// takes stragglerFactor times as long.
	maxEstimateError = 1.9
	stragglerEvery   = 30
	stragglerFactor  = 7
)

// load is a pattern of traffic and faults.
type load struct {
	// batchBurst and urgentBurst are the factors of the traffic during the burst.
	batchBurst, urgentBurst float64
	// evacuated keeps new tasks off a third of the workers for as long as the burst,
	// lost removes a seventh of them at its beginning.
	evacuated, lost bool
	// giveUp makes callers cancel jobs that have lost their value.
	giveUp bool
	// longRunning is the number of long-running jobs that arrive in each second.
	longRunning float64
}

// loadJob is one job of a load.
type loadJob struct {
	queue       string
	arrivedMS   int64
	objectiveMS int64
	work        float64
	endedMS     int64
	cancelled   bool
	sizeClass   int
}

// loadRun plays a load against one order of the waiting steps.
type loadRun struct {
	sim  *simulation
	rng  *rand.Rand
	load load
	jobs map[jobs.ID]*loadJob
	ids  []jobs.ID
	// begunMS is when the traffic begins.
	begunMS int64
	// backlog holds the work in core-seconds of the batch jobs that have arrived and
	// not ended, in each second.
	backlog []float64
}

// Orders of the waiting steps that the tests compare.
const (
	formerOrder = iota
	firstComeOrder
	valueOrder
	orders
)

// The order by value comes with the admission that belongs to the same setting.
var orderNames = [orders]string{"former", "first come", "by value"}

func hashOf(seed uint64, text string) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, seed, text)
	return rand.New(rand.NewPCG(h.Sum64(), seed)).Uint64()
}

// duration returns how long a task takes: the estimate times its job's error, and for
// few tasks a multiple of that.
func (r *loadRun) duration(t jobs.Task) int64 {
	spec := r.sim.spec(t)
	base := float64(spec.EstimateMS)
	job := hashOf(r.sim.seed, string(t.Job))
	base *= 1 + (maxEstimateError-1)*float64(job%1000)/1000
	if hashOf(r.sim.seed, t.String())%stragglerEvery == 0 {
		base *= stragglerFactor
	}
	return int64(base)
}

func newLoadRun(l load, order int, seed uint64) *loadRun {
	sim := newSimulation(seed, faultRates{})
	r := &loadRun{sim: sim, rng: rand.New(rand.NewPCG(seed, 2)), load: l, jobs: map[jobs.ID]*loadJob{}}
	sim.duration, sim.observe = r.duration, r.observe
	sim.config.StopTimeoutMS, sim.config.RestoreMS = 500, 500
	sim.config.Overload = order == valueOrder
	sim.leader.core.config = sim.config
	sim.leader.core.config.FirstTerm = true
	if order == valueOrder {
		sim.overload = &simOverload{rng: r.rng, caughtUp: map[uint64]bool{}, patient: true}
		sim.leader.core.overload = overload.New(sim.now)
		sim.leader.core.setOverloadQueues(sim.versions[0].queues)
	}
	if order == firstComeOrder {
		sim.prepare = func(c *Core) {
			c.compareSteps = func(a, b *step) int { return cmp.Compare(a.job.arrivedMS, b.job.arrivedMS) }
		}
		sim.prepare(sim.leader.core)
	}
	sim.replaceWorkers(loadWorkers, Resources{CPUMilli: loadCores, MemoryMB: 256_000})
	for i := range loadWorkers * servingTasks {
		r.serve(fmt.Sprintf("serve%04d", i), 1)
	}
	sim.run(sim.now + 3000)
	r.begunMS = sim.now
	return r
}

// replaceWorkers gives the simulation other workers, in three data centres and racks
// of eight.
func (sim *simulation) replaceWorkers(n int, capacity Resources) {
	sim.workers = nil
	for i := range n {
		sim.workers = append(sim.workers, &fakeWorker{
			sim: sim, clockRate: 1, clockStartMS: sim.now - 5000, startedMS: sim.now - 5000,
			runs: map[jobs.Task]*fakeRun{}, highestRun: map[jobs.Task]int{}, endedAt: map[int64]int64{},
			info: WorkerInfo{
				ID: WorkerID(fmt.Sprintf("w%03d", i)), Address: fmt.Sprint(i), Service: "s", DataCentre: fmt.Sprint("dc", i%3),
				Capacity: capacity, Labels: []string{fmt.Sprintf("r%d", i/8)}, StartedMS: sim.now - 5000,
			},
		})
	}
	sim.step(sim.leader, WorkersChanged{Workers: sim.directory()})
}

// serve submits a long-running job.
func (r *loadRun) serve(id string, count int) {
	r.sim.addJob(id, &jobs.Job{Queue: "watch", SubmittedMS: r.sim.now, Steps: []jobs.Step{{
		Count: count, CPUMilli: 13_000, MemoryMB: 13_000, EstimateMS: 300, LongRunning: true, Image: "serve", TailTargetMS: 18_000,
	}}})
}

// observe notes when jobs end.
func (r *loadRun) observe(e Effect) {
	if s, ok := e.(JobStateChanged); ok && s.State == jobs.Completed {
		if j := r.jobs[s.Job]; j != nil && j.endedMS == 0 {
			j.endedMS = r.sim.now
		}
	}
}

// batchCapacity returns the processors that best-effort tasks can use beside the
// serving tasks and the urgent traffic.
func batchCapacity() float64 {
	return loadWorkers*(loadCores-servingTasks*13_000*servingLoad) - urgentTraffic*urgentWork
}

// capacityAt returns the processors that the tasks of both queues can use in a second
// of the load.
func (l load) capacityAt(second int) float64 {
	began := second*1000 >= burstBeginMS
	workers, serving := loadWorkers, loadWorkers*servingTasks
	switch {
	case l.evacuated && began && second*1000 < burstBeginMS+burstMS:
		workers, serving = workers*2/3, serving*2/3
	case l.lost && began:
		workers = workers * 6 / 7
	}
	return float64(workers)*loadCores - float64(serving)*13_000*servingLoad
}

const (
	// urgentTraffic is the number of urgent jobs in each millisecond, urgentWork the
	// mean work of one: 16 tasks of 0.77 s on 7.7 cores, 1.45 times as long on average
	// because of the error of the estimates and 1.2 times because of the stragglers.
	urgentTraffic = 2.0 / 1000
	urgentWork    = 16 * 770 * 1.45 * 1.2 * 7700
	// batchWork is the same for a batch job of one task; batchShare the share of the
	// batch queue's capacity that its traffic takes outside of the burst.
	batchWork  = 2000 * 1.45 * 1.2 * 7000
	batchTasks = 24.0
	batchShare = 0.8
)

// submitTraffic submits the jobs of both queues.
func (r *loadRun) submitTraffic() {
	inBurst := func(ms int64) bool { return ms >= burstBeginMS && ms < burstBeginMS+burstMS }
	batchTraffic := batchShare * batchCapacity() / (batchTasks * batchWork * bestEffortLoad)
	for _, traffic := range []struct {
		queue         string
		perMS, factor float64
	}{{"batch", batchTraffic, r.load.batchBurst}, {"urgent", urgentTraffic, r.load.urgentBurst}} {
		due, n := 0.5, 0
		for ms := range int64(loadMS) {
			rate := traffic.perMS
			if inBurst(ms) {
				rate *= traffic.factor
			}
			for due += rate; due >= 1; due-- {
				id := jobs.ID(fmt.Sprintf("%s%011d", traffic.queue, n))
				n++
				r.sim.at(ms, func() { r.submit(traffic.queue, id) })
			}
		}
	}
	for i := range int(r.load.longRunning * loadMS / 1000) {
		r.sim.at(int64(float64(i)*1000/r.load.longRunning), func() { r.serve(fmt.Sprintf("later%04d", i), 4) })
	}
}

// submit submits a job whose size is drawn from its id, so that every order gets the
// same jobs.
func (r *loadRun) submit(queue string, id jobs.ID) {
	h := hashOf(r.sim.seed, "size"+string(id))
	// The numbers of tasks have a mean of 12 or 16 and a long tail.
	size := []int{5, 6, 7, 8, 8, 9, 10, 14, 18, 35}[h%10]
	spec := &jobs.Job{Queue: queue, SubmittedMS: r.sim.now}
	if queue == "urgent" {
		step := jobs.Step{Count: size * 2 / 3, CPUMilli: 7300 + int(h>>8%800), MemoryMB: 2000, EstimateMS: 540 + int(h>>20%460)}
		spec.Steps = []jobs.Step{step, step}
	} else {
		step := jobs.Step{Count: size, CPUMilli: 7000, MemoryMB: 2000, EstimateMS: 1900 + int(h>>20%300), Checkpointing: true, BestEffort: true, Image: fmt.Sprint("fill", h>>40%9)}
		spec.Steps = []jobs.Step{step, step}
	}
	spec.Steps[1].After = []int{0}
	j := &loadJob{queue: queue, arrivedMS: r.sim.now}
	chain := 0
	for i := range spec.Steps {
		s := &spec.Steps[i]
		chain += s.EstimateMS
		j.work += float64(s.Count*s.CPUMilli*s.EstimateMS) / 1e6
	}
	policy := r.sim.versions[0].queue(queue).Policy
	j.objectiveMS = int64(policy.Stretch*float64(chain)) + policy.TargetLatencyMS
	r.jobs[id] = j
	r.ids = append(r.ids, id)
	r.sim.addJob(string(id), spec)
	if r.load.giveUp {
		r.sim.at(lateFactor*j.objectiveMS, func() {
			if j.endedMS == 0 {
				j.cancelled = true
				r.sim.cancel(id)
			}
		})
	}
}

// value returns what a job has earned.
func (j *loadJob) value() float64 {
	switch took := j.endedMS - j.arrivedMS; {
	case j.endedMS == 0 || j.cancelled || took > lateFactor*j.objectiveMS:
		return 0
	case took > j.objectiveMS:
		return loadLateValue
	}
	return 1
}

// drain marks the workers of a data centre as draining, or no longer.
func (r *loadRun) drain(on bool) {
	for _, f := range r.sim.workers {
		if f.info.DataCentre == "dc0" {
			f.info.Draining = on
		}
	}
	r.sim.step(r.sim.leader, WorkersChanged{Workers: r.sim.directory()})
}

// loseWorkers ends a seventh of the workers permanently.
func (r *loadRun) loseWorkers() {
	for _, f := range r.sim.workers[:loadWorkers/7] {
		f.crash(1 << 40)
		f.unlistedUntil = 1 << 60
	}
	r.sim.at(3300, func() { r.sim.step(r.sim.leader, WorkersChanged{Workers: r.sim.directory()}) })
}

// play runs the load.
func (r *loadRun) play() {
	sim := r.sim
	r.submitTraffic()
	if r.load.evacuated {
		sim.at(burstBeginMS, func() { r.drain(true) })
		sim.at(burstBeginMS+burstMS, func() { r.drain(false) })
	}
	if r.load.lost {
		sim.at(burstBeginMS, r.loseWorkers)
	}
	for second := range (loadMS + loadSettleMS) / 1000 {
		sim.at(int64(second)*1000, func() { r.backlog = append(r.backlog, r.waitingWork()) })
	}
	sim.run(sim.now + loadMS + loadSettleMS)
	r.classify()
}

// waitingWork returns the estimated work of the batch tasks that wait, in
// core-seconds.
func (r *loadRun) waitingWork() float64 {
	sum := 0.0
	for _, s := range r.sim.leader.core.ready {
		if s.job.spec.Queue == "batch" && !s.job.state.Final() {
			sum += float64(len(s.pending)*s.spec.CPUMilli*s.spec.EstimateMS) / 1e6
		}
	}
	return sum
}

// recoveredMS returns how long after the burst the waiting work is back at its highest
// level before the burst, and remains there until the traffic ends.
func (r *loadRun) recoveredMS() int64 {
	former := slices.Max(r.backlog[:burstBeginMS/1000])
	last := burstBeginMS + burstMS
	for second, work := range r.backlog {
		if atMS := second * 1000; atMS > last && work > former {
			last = atMS
		}
	}
	return int64(last - burstBeginMS - burstMS)
}

// drainMS returns how long after the burst the work of the load exceeds what the
// workers have been able to do, less a tenth for fragmentation, and the longest task
// that is no straggler.
func (r *loadRun) drainMS() int64 {
	arriving := make([]float64, (loadMS+loadSettleMS)/1000)
	longest := 0.0
	for _, id := range r.ids {
		j, spec := r.jobs[id], r.sim.jobs[id].job
		for step := range spec.Steps {
			s := &spec.Steps[step]
			share := 1.0
			if j.queue == "batch" {
				share = bestEffortLoad
				longest = max(longest, float64(s.EstimateMS)*maxEstimateError)
			}
			for i := range s.Count {
				task := jobs.Task{Job: id, Step: step, Index: i}
				arriving[(j.arrivedMS-r.begunMS)/1000] += share * float64(r.duration(task)) * float64(s.CPUMilli)
			}
		}
	}
	excess, last := 0.0, burstBeginMS+burstMS
	for second, work := range arriving {
		if excess = max(excess+work-0.9*1000*r.load.capacityAt(second), 0); excess > 0 && (second+1)*1000 > last {
			last = (second + 1) * 1000
		}
	}
	return int64(last-burstBeginMS-burstMS) + int64(longest)
}

// sizeClasses are the largest tenth, the fifth below it and the rest of a queue's jobs.
var sizeClasses = []string{"large", "medium", "small"}

// classify sets the jobs' size classes.
func (r *loadRun) classify() {
	for _, queue := range []string{"urgent", "batch"} {
		var all []*loadJob
		for _, id := range r.ids {
			if j := r.jobs[id]; j.queue == queue {
				all = append(all, j)
			}
		}
		slices.SortStableFunc(all, func(a, b *loadJob) int { return cmp.Compare(b.work, a.work) })
		for i, j := range all {
			switch {
			case i < len(all)/10:
				j.sizeClass = 0
			case i < len(all)*3/10:
				j.sizeClass = 1
			default:
				j.sizeClass = 2
			}
		}
	}
}
