package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"redwingvale/internal/jobs"
	"redwingvale/platform/standin"
)

const (
	// clientCount is the number of clients. Each keeps its connections open, so the
	// jobs of one client share them.
	clientCount = 8
	// settleTime is how long long-running jobs go on after the last submission.
	settleTime = 4 * time.Second
	// lastingTime bounds the time until a long-running job is cancelled; the others
	// run until the end.
	lastingTime = 15 * time.Second
	// maxOrderDelay bounds how late a worker carries an order out.
	maxOrderDelay = 3 * time.Second
	// onlyLabel is the label of a single worker. Jobs of many tasks that need it
	// make the worker list more ends than one report holds.
	onlyLabel = "only"
)

// kind is a kind of job with its share among the submissions.
type kind struct {
	name   string
	weight float64
	queue  string
	fill   func(*jobs.Job, *rand.Rand)
}

// mix is a set of kinds of jobs and the workers that they are meant for.
type mix struct {
	kinds         []kind
	workerCPU     int
	secondService bool
}

var mixes = map[string]mix{
	"mixed": {workerCPU: 16_000, secondService: true, kinds: []kind{
		{"chain", 8, standin.Queue, fillChain},
		{"urgent chain", 4, standin.UrgentQueue, fillChain},
		{"gang", 2, standin.Queue, func(j *jobs.Job, rng *rand.Rand) {
			j.Steps = []jobs.Step{{Count: 2 + rng.IntN(4), CPUMilli: 500 + rng.IntN(1500), EstimateMS: 200 + rng.IntN(2000), Gang: true, Checkpointing: rng.IntN(2) == 0}}
			fillNext(j, rng)
		}},
		{"long-running", 1, standin.LastingQueue, func(j *jobs.Job, rng *rand.Rand) {
			j.Steps = []jobs.Step{{Count: 1 + rng.IntN(3), CPUMilli: 300, EstimateMS: 300, LongRunning: true}}
		}},
		{"scheduled", 1, standin.Queue, func(j *jobs.Job, rng *rand.Rand) {
			fillChain(j, rng)
			j.Repeat, j.IntervalMS = 2+rng.IntN(3), int64(300+rng.IntN(2000))
			j.StartAtMS = time.Now().UnixMilli() + int64(rng.IntN(3000))
		}},
		{"speculative", 2, standin.UrgentQueue, func(j *jobs.Job, rng *rand.Rand) {
			j.Steps = []jobs.Step{{Count: 2 + rng.IntN(5), CPUMilli: 500, EstimateMS: 300 + rng.IntN(1500), Speculative: true}}
			fillNext(j, rng)
		}},
		{"checkpointing", 2, standin.Queue, func(j *jobs.Job, rng *rand.Rand) {
			j.Steps = []jobs.Step{{Count: 1 + rng.IntN(4), CPUMilli: 1000, EstimateMS: 1500 + rng.IntN(3000), Checkpointing: true}}
			fillNext(j, rng)
		}},
		{"placed", 2, standin.Queue, func(j *jobs.Job, rng *rand.Rand) {
			j.Steps = []jobs.Step{{
				Count: 2 + rng.IntN(3), CPUMilli: 500, EstimateMS: 200 + rng.IntN(1000),
				Label: []string{"", "a", "b"}[rng.IntN(3)], Rack: []string{"", "r1", "r2"}[rng.IntN(3)], MaxPerWorker: 1 + rng.IntN(2),
			}}
		}},
		{"short", 0.5, standin.UrgentQueue, func(j *jobs.Job, rng *rand.Rand) {
			j.Steps = []jobs.Step{{Count: 100 + rng.IntN(100), CPUMilli: 50, EstimateMS: 1 + rng.IntN(40)}}
		}},
		{"many on one worker", 0.4, standin.Queue, func(j *jobs.Job, rng *rand.Rand) {
			j.Steps = []jobs.Step{{Count: 600 + rng.IntN(100), CPUMilli: 5, EstimateMS: 400 + rng.IntN(400), Label: onlyLabel}}
		}},
	}},
	// The weights are submissions per second.
	"oratory-desk": {workerCPU: 32_000, kinds: []kind{
		{"quick-draft", 4.13, standin.UrgentQueue, func(j *jobs.Job, rng *rand.Rand) {
			steps := 1
			if rng.Float64() < 0.6 {
				steps = 2
			}
			fillSteps(j, steps, jobs.Step{Count: 6, CPUMilli: 3100, MemoryMB: 256, EstimateMS: 1000})
		}},
		{"full-revision", 5.86, standin.Queue, func(j *jobs.Job, _ *rand.Rand) {
			fillSteps(j, 2, jobs.Step{Count: 8, CPUMilli: 3500, MemoryMB: 256, EstimateMS: 2700})
		}},
		{"archive-index", 0.283, standin.Queue, func(j *jobs.Job, _ *rand.Rand) {
			fillSteps(j, 1, jobs.Step{Count: 6, CPUMilli: 500, MemoryMB: 256, EstimateMS: 500, LongRunning: true})
		}},
	}},
}

// fillSteps gives a job n equal steps, each after the one before.
func fillSteps(j *jobs.Job, n int, step jobs.Step) {
	for i := range n {
		j.Steps = append(j.Steps, step)
		if i > 0 {
			j.Steps[i].After = []int{i - 1}
		}
	}
}

func fillChain(j *jobs.Job, rng *rand.Rand) {
	for s := range 1 + rng.IntN(3) {
		step := jobs.Step{Count: 1 + rng.IntN(6), CPUMilli: 500 + rng.IntN(3000), MemoryMB: 200, EstimateMS: 100 + rng.IntN(1500)}
		if s > 0 {
			step.After = []int{s - 1}
		}
		j.Steps = append(j.Steps, step)
	}
}

// fillNext adds a step after the first one, in half of the cases.
func fillNext(j *jobs.Job, rng *rand.Rand) {
	if rng.IntN(2) == 0 {
		j.Steps = append(j.Steps, jobs.Step{Count: 2, CPUMilli: 500, EstimateMS: 300, After: []int{0}})
	}
}

func (o *Options) mix() mix {
	if o.Mix == "" {
		return mixes["mixed"]
	}
	return mixes[o.Mix]
}

// checkMix returns an error for a mix that does not exist.
func (o *Options) checkMix() error {
	if len(o.mix().kinds) == 0 {
		return errors.Newf("unknown mix %q", o.Mix)
	}
	return nil
}

func (o *Options) workerCPU() int { return o.mix().workerCPU }

// placeWorker sets the service and the labels of the worker with the given index.
func (r *run) placeWorker(w *standin.Worker, index int) {
	service, labels := "svc", []string{string(rune('a' + index%2)), fmt.Sprintf("r%d", 1+r.options.rack(index))}
	switch {
	case index == 0:
		labels = slices.Insert(labels, 0, onlyLabel)
	case index%4 == 3 && r.options.mix().secondService:
		service = standin.SecondService
	}
	w.SetPlace(service, labels...)
}

// startClients starts the clients, and the checks that need none of the jobs.
func (r *run) startClients(ctx context.Context) {
	for range clientCount {
		r.clients = append(r.clients, standin.NewCaller(r.checker, callerLimit))
	}
	go r.watchStarvation(ctx)
	go r.watchMemory(ctx)
	go func() {
		for ; ctx.Err() == nil; sleep(ctx, ackPoll) {
			r.checker.CheckCalm()
		}
	}()
	go func() {
		rng := rand.New(rand.NewPCG(r.options.Seed, 2))
		for ; ctx.Err() == nil; sleep(ctx, pollPause) {
			c := r.clients[rng.IntN(clientCount)]
			queue := [...]string{standin.Queue, standin.UrgentQueue, standin.LastingQueue}[rng.IntN(3)]
			c.CheckPending(ctx, r.pickAddress(rng), queue)
			c.CheckUnknown(ctx, r.pickAddress(rng), queue, jobs.ID(fmt.Sprintf("%016x", 1<<63|rng.Uint64())))
		}
	}()
}

// delayOrders makes one worker after the other carry orders out late, or answer
// them late, until ctx ends.
func (r *run) delayOrders(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.IntN(3000))*time.Millisecond)
		w := r.workers[rng.IntN(len(r.workers))]
		execution, answer := maxOrderDelay, time.Duration(0)
		if rng.IntN(2) == 0 {
			execution, answer = 0, maxOrderDelay/2
		}
		w.DelayOrders(execution, answer)
		sleep(ctx, time.Duration(rng.IntN(3000))*time.Millisecond)
		w.DelayOrders(0, 0)
	}
}

// newJob generates a random job and registers it with the checker.
func (r *run) newJob(rng *rand.Rand) jobs.ID {
	kinds := r.options.mix().kinds
	total := 0.0
	for _, k := range kinds {
		total += k.weight
	}
	i := 0
	for at := rng.Float64() * total; i < len(kinds)-1 && at >= kinds[i].weight; i++ {
		at -= kinds[i].weight
	}
	job := &jobs.Job{Queue: kinds[i].queue}
	kinds[i].fill(job, rng)
	return r.registerJob(job)
}

// registerJob registers a job with the checker under a new id.
func (r *run) registerJob(job *jobs.Job) jobs.ID {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	id := jobs.ID(fmt.Sprintf("%016x", r.options.Seed<<20|uint64(r.next)))
	r.ids = append(r.ids, id)
	r.clients[0].Register(id, job)
	return id
}

// runCaller submits one job, sometimes through two instances at once or again
// later, and polls it until it ends. Some callers cancel the job before, while or
// after it starts; long-running jobs are always cancelled at the end.
func (r *run) runCaller(ctx context.Context, id jobs.ID, rng *rand.Rand) {
	defer r.setStage(id, "")
	r.setStage(id, "is submitted")
	c := r.clients[rng.IntN(clientCount)]
	repeat := func(delay time.Duration) {
		address := r.pickAddress(rng)
		r.repeats.Add(1)
		go func() {
			defer r.repeats.Done()
			sleep(ctx, delay)
			c.Submit(ctx, address, id)
		}()
	}
	later := func() time.Duration { return time.Duration(rng.IntN(6000)) * time.Millisecond }
	if rng.IntN(8) == 0 {
		repeat(time.Duration(rng.IntN(2)) * time.Millisecond)
	}
	cancelling := rng.IntN(10)
	if cancelling == 0 {
		// The cancellation overtakes the submission or arrives together with it.
		address := r.pickAddress(rng)
		r.repeats.Add(1)
		go func() {
			defer r.repeats.Done()
			c.Cancel(ctx, address, id)
		}()
	}
	accepted, tries := false, callerTries
	if rng.IntN(giveUpOneIn) == 0 {
		tries = 1
	}
	for try := 0; try < tries && !accepted && ctx.Err() == nil; try++ {
		accepted = c.Submit(ctx, r.pickAddress(rng), id)
		if !accepted {
			sleep(ctx, retryPause)
		}
	}
	if !accepted {
		if cancelling > 1 {
			return
		}
		// The job may have been accepted without a response.
		r.cancel(ctx, c, id, rng)
		return
	}
	select {
	case r.accepted <- struct{}{}:
	default:
	}
	if rng.IntN(8) == 0 {
		repeat(later())
	}
	r.setStage(id, "is accepted")
	lasts := r.checker.LongRunning(id)
	switch {
	case lasts && rng.IntN(2) == 0:
		select {
		case <-time.After(time.Duration(rng.Int64N(int64(lastingTime)))):
		case <-r.settled:
		case <-ctx.Done():
		}
	case lasts:
		select {
		case <-r.settled:
		case <-ctx.Done():
		}
		// A task that is never started again keeps the job from ending, unless the
		// cancellation was sent together with the submission.
		for cancelling > 0 && !r.checker.AllRunning(id) && ctx.Err() == nil {
			sleep(ctx, ackPoll)
		}
	case cancelling <= 1:
		sleep(ctx, time.Duration(rng.IntN(3000))*time.Millisecond)
	default:
		r.pollJob(ctx, c, id, rng)
		return
	}
	r.cancel(ctx, c, id, rng)
	if rng.IntN(2) == 0 {
		repeat(later())
	}
	if rng.IntN(2) == 0 {
		sleep(ctx, later())
		r.cancel(ctx, c, id, rng)
	}
}

// setStage records what a caller is doing about its job; "" when it has ended.
func (r *run) setStage(id jobs.ID, stage string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if stage == "" {
		delete(r.stages, id)
		return
	}
	r.stages[id] = stage
}

// reportUnended reports the jobs whose callers have not ended some time after the last
// fault, with or without those of a backlog.
func (r *run) reportUnended(ctx context.Context, after time.Duration, withBacklog bool) {
	r.mu.Lock()
	var out []string
	for id, stage := range r.stages {
		if withBacklog || !r.backlog[id] {
			out = append(out, string(id)+" "+stage)
		}
	}
	r.mu.Unlock()
	slices.Sort(out)
	if len(out) > 0 && ctx.Err() == nil {
		r.checker.ReportViolation("jobs have not ended %s after the last fault: %v", after, out)
	}
}

func (r *run) cancel(ctx context.Context, c *standin.Caller, id jobs.ID, rng *rand.Rand) {
	r.setStage(id, "is being cancelled")
	c.AwaitCancellation(id)
	for !c.Cancel(ctx, r.pickAddress(rng), id) && ctx.Err() == nil {
		sleep(ctx, retryPause)
	}
}

// pollJob queries a job's state until the job ends, and sometimes cancels it then.
func (r *run) pollJob(ctx context.Context, c *standin.Caller, id jobs.ID, rng *rand.Rand) {
	for ; ctx.Err() == nil; sleep(ctx, pollPause) {
		switch c.State(ctx, r.pickAddress(rng), id) {
		case "completed":
			r.completed.Add(1)
			if rng.IntN(10) == 0 {
				r.cancel(ctx, c, id, rng)
			}
			return
		case "failed", "aborted":
			// State has already checked the cause.
			return
		}
	}
}
