// Package soak runs rwnode as separate processes against the stand-in of the
// platform, harms links, processes, workers and the store from outside, and
// checks the promises from what callers and workers see.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"redwingvale/internal/jobs"
	"redwingvale/platform/standin"
)

// Options describe one run.
type Options struct {
	Seed      uint64
	Binary    string
	Dir       string
	Instances int
	Workers   int
	// Rounds is how often faults are injected, each time for Faults and
	// followed by calm.
	Rounds int
	Faults time.Duration
	// Calm bounds the time from the last fault until all jobs have ended.
	Calm time.Duration
	// JobsPerS is the rate of submissions.
	JobsPerS float64
	// Series is how many series of faults go on at once.
	Series int
	// FailShare is the share of the runs that fail by their own fault.
	FailShare float64
	// KillAll kills all instances at once at the end of each round, right after a
	// manifest or a submission was accepted or while the store refuses appends.
	KillAll bool
	// WorkerFaults break the workers' contract: the checks must notice.
	WorkerFaults standin.WorkerFaults
	// EndWhenBroken ends the run once a promise is broken.
	EndWhenBroken bool
	// ForgetWrites lets the store lose what it has acknowledged, which no store
	// may do: the checks must notice.
	ForgetWrites bool
	Log          io.Writer
}

// Times of the callers, from the users' kinds of request.
const (
	callerLimit = 3 * time.Second
	callerTries = 5
	// impatience is one in how many callers gives up after the first attempt.
	impatience  = 4
	retryPause  = 300 * time.Millisecond
	pollPause   = 400 * time.Millisecond
	startLimit  = 15 * time.Second
	workerCores = 16_000
)

// Bounds of the users for the acknowledgement of ends.
const (
	// contactBound is how long after a disturbance a machine counts as in touch
	// again (contactMs), ackBound how long an end then waits at most (ackMs).
	contactBound = 3 * time.Second
	ackBound     = 4 * time.Second
	// ackWatch is how long the ends are watched after that.
	ackWatch = 2 * time.Second
	ackPoll  = 100 * time.Millisecond
)

// Result is what a run has seen.
type Result struct {
	Seed                           uint64
	Submitted, Accepted, Completed int
	Starts, Faults                 int
	// FailedJobs were shown as failed, FailedRuns have failed on workers.
	FailedJobs, FailedRuns int
	Broken                 []string
}

// String is the result in one line.
func (r *Result) String() string {
	return fmt.Sprintf("seed=%d submitted=%d accepted=%d completed=%d failed=%d starts=%d failed_runs=%d faults=%d broken=%d",
		r.Seed, r.Submitted, r.Accepted, r.Completed, r.FailedJobs, r.Starts, r.FailedRuns, r.Faults, len(r.Broken))
}

type run struct {
	options   Options
	store     *standin.Store
	checker   *standin.Checker
	workers   []*standin.Worker
	links     []*proxy
	instances []*instance
	servers   []*http.Server
	probe     *http.Client
	stop      chan struct{}
	faults    atomic.Int64
	completed atomic.Int64
	version   int
	// accepted gets a value when a submission was answered as accepted.
	accepted chan struct{}

	mu   sync.Mutex
	next int
	ids  []jobs.ID
}

// Run plays one seed. An error means that the run could not be made.
func Run(ctx context.Context, options Options) (*Result, error) {
	r := &run{
		options: options, store: standin.NewStore(), checker: standin.NewChecker(), stop: make(chan struct{}),
		accepted: make(chan struct{}, 1),
		probe:    &http.Client{Timeout: time.Second},
	}
	defer r.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if options.EndWhenBroken {
		go r.endWhenBroken(ctx, cancel)
	}
	if err := r.begin(ctx); err != nil {
		return nil, err
	}
	var callers sync.WaitGroup
	rng := rand.New(rand.NewPCG(options.Seed, 1))
	submitting, endSubmissions := context.WithCancel(ctx)
	defer endSubmissions()
	callers.Add(1)
	go func() {
		defer callers.Done()
		for submitting.Err() == nil {
			id := r.newJob(rng)
			callers.Add(1)
			go func(seed uint64) {
				defer callers.Done()
				r.caller(ctx, id, rand.New(rand.NewPCG(options.Seed, seed)))
			}(rng.Uint64())
			sleep(submitting, time.Duration(rng.ExpFloat64()/options.JobsPerS*float64(time.Second)))
		}
	}()
	for round := range options.Rounds {
		r.round(ctx, uint64(round))
		calm := time.Now().Add(contactBound)
		r.watchAcks(ctx, calm, calm.Add(ackBound+ackWatch))
	}
	endSubmissions()
	limited, cancelCalm := context.WithTimeout(ctx, options.Calm)
	defer cancelCalm()
	ended := make(chan struct{})
	go func() { callers.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-limited.Done():
		if ctx.Err() == nil {
			r.checker.ReportViolation("jobs have not ended %s after the last fault: %v", options.Calm, r.open())
		}
	}
	r.watchAcks(ctx, time.Now(), time.Now().Add(ackBound+2*ackPoll))
	result := &Result{Seed: options.Seed, Submitted: len(r.ids), Starts: r.checker.Starts(), Faults: int(r.faults.Load()), Completed: int(r.completed.Load())}
	result.FailedJobs, result.FailedRuns = r.checker.FailureCounts()
	caller := standin.NewCaller(r.checker, callerLimit)
	for _, id := range r.ids {
		caller.CheckRefused(id)
		if caller.Accepted(id) {
			result.Accepted++
		}
	}
	result.Broken = r.checker.Violations()
	return result, nil
}

// round injects faults for a while and ends them all.
func (r *run) round(ctx context.Context, round uint64) {
	faulting, cancel := context.WithTimeout(ctx, r.options.Faults)
	defer cancel()
	var trouble sync.WaitGroup
	for i := range r.options.Series {
		trouble.Add(1)
		go func() {
			defer trouble.Done()
			r.harm(faulting, rand.New(rand.NewPCG(r.options.Seed, 100*(round+1)+uint64(i))))
		}()
	}
	trouble.Wait()
	if r.options.KillAll {
		rng := rand.New(rand.NewPCG(r.options.Seed, 100*(round+1)+99))
		switch rng.IntN(3) {
		case 0:
			r.putManifest(rng)
			r.restartAll(rng)
		case 1:
			r.awaitAcceptance(ctx)
			r.restartAll(rng)
		case 2:
			r.restartUnrecorded(ctx, rng)
		}
	}
	r.heal()
}

// endWhenBroken calls cancel once a promise is broken.
func (r *run) endWhenBroken(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil && len(r.checker.Violations()) == 0 {
		sleep(ctx, ackPoll)
	}
	cancel()
}

// watchAcks checks that ends are acknowledged within the bound of calm. The
// manifest may not be readable yet.
func (r *run) watchAcks(ctx context.Context, calm, until time.Time) {
	reported := map[*standin.Worker]bool{}
	for ; time.Now().Before(until) && ctx.Err() == nil; sleep(ctx, ackPoll) {
		for _, w := range r.workers {
			if overdue := w.OverdueEnds(calm, ackBound); len(overdue) > 0 && !reported[w] {
				reported[w] = true
				r.checker.ReportViolation("%s, and %d more", overdue[0], len(overdue)-1)
			}
		}
	}
}

// begin starts the stand-ins and the instances and waits until all are ready.
func (r *run) begin(ctx context.Context) error {
	for i := range r.options.Workers {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		link, err := newProxy(socket.Addr().String())
		if err != nil {
			return err
		}
		w := standin.NewWorker(fmt.Sprintf("w%02d", i), link.address(), workerCores, r.store, r.checker)
		w.SetFailureShare(r.options.FailShare)
		w.SetFaults(r.options.WorkerFaults)
		server := &http.Server{Handler: w.Handler(), ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(socket) }()
		go w.Run(r.stop)
		r.workers, r.links, r.servers = append(r.workers, w), append(r.links, link), append(r.servers, server)
	}
	r.store.LoseWrites(r.options.ForgetWrites)
	r.version = 1
	standin.PutManifest(r.store, r.checker, r.version, leastAttempts+1)
	for i := range r.options.Instances {
		in, err := newInstance(r.options.Dir, r.options.Binary, i, r.store, &r.servers)
		if err != nil {
			return err
		}
		r.instances = append(r.instances, in)
		if err := in.start(); err != nil {
			return err
		}
	}
	limit := time.Now().Add(startLimit)
	for _, in := range r.instances {
		for !in.ready(r.probe) {
			if time.Now().After(limit) || ctx.Err() != nil {
				return errors.Newf("%s is not ready after %s", in.name, startLimit)
			}
			time.Sleep(retryPause / 10)
		}
	}
	return nil
}

func (r *run) close() {
	close(r.stop)
	for _, in := range r.instances {
		if in.running() {
			in.signal(syscall.SIGKILL)
			<-in.ended
		}
		in.callers.close()
		in.peer.close()
		in.store.close()
		in.log.Close()
	}
	for _, link := range r.links {
		link.close()
	}
	for _, server := range r.servers {
		server.Close()
	}
}

// heal ends every fault and starts what has been stopped.
func (r *run) heal() {
	for _, in := range r.instances {
		r.store.SetFault(in.name, standin.StoreFault{})
		for _, p := range []*proxy{in.callers, in.peer, in.store} {
			p.set(0, false, false)
		}
		in.signal(syscall.SIGCONT)
		if !in.running() {
			if err := in.start(); err != nil {
				r.checker.ReportViolation("%v", err)
			}
		}
	}
	for _, link := range r.links {
		link.set(0, false, false)
	}
}

// newJob makes up a job and notes it.
func (r *run) newJob(rng *rand.Rand) jobs.ID {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	id := jobs.ID(fmt.Sprintf("%016x", r.options.Seed<<20|uint64(r.next)))
	r.ids = append(r.ids, id)
	job := &jobs.Job{Queue: standin.Queue}
	for s := range 1 + rng.IntN(3) {
		step := jobs.Step{Count: 1 + rng.IntN(6), CPUMilli: 500 + rng.IntN(3000), MemoryMB: 200, EstimateMS: 100 + rng.IntN(1500)}
		if s > 0 {
			step.After = []int{s - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	standin.NewCaller(r.checker, callerLimit).Register(id, job)
	return id
}

func (r *run) open() []jobs.ID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []jobs.ID
	for _, id := range r.ids {
		if r.checker.Unfinished(id) {
			out = append(out, id)
		}
	}
	return out
}

// caller submits one job, now and then twice, and follows it to its end.
func (r *run) caller(ctx context.Context, id jobs.ID, rng *rand.Rand) {
	c := standin.NewCaller(r.checker, callerLimit)
	accepted, tries := false, callerTries
	if rng.IntN(impatience) == 0 {
		tries = 1
	}
	for try := 0; try < tries && !accepted && ctx.Err() == nil; try++ {
		accepted = c.Submit(ctx, r.pick(rng), id)
		if !accepted {
			sleep(ctx, retryPause)
		}
	}
	if !accepted {
		return
	}
	select {
	case r.accepted <- struct{}{}:
	default:
	}
	if rng.IntN(8) == 0 {
		// The same submission arrives once more, seconds after its answer.
		sleep(ctx, time.Duration(rng.IntN(4000))*time.Millisecond)
		c.Submit(ctx, r.pick(rng), id)
	}
	if rng.IntN(12) == 0 {
		sleep(ctx, time.Duration(rng.IntN(2000))*time.Millisecond)
		for !c.Cancel(ctx, r.pick(rng), id) && ctx.Err() == nil {
			sleep(ctx, retryPause)
		}
		return
	}
	for ctx.Err() == nil {
		switch c.State(ctx, r.pick(rng), id) {
		case "completed":
			r.completed.Add(1)
			return
		case "failed", "aborted":
			// The caller has checked the cause.
			return
		}
		sleep(ctx, pollPause)
	}
}

// pick returns the callers' address of an instance, by preference one that runs.
func (r *run) pick(rng *rand.Rand) string {
	for range 4 {
		if in := r.instances[rng.IntN(len(r.instances))]; in.running() {
			return in.callers.address()
		}
	}
	return r.instances[rng.IntN(len(r.instances))].callers.address()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
