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
	// Faults is how long faults are injected; Calm follows it.
	Faults time.Duration
	// Calm bounds the time from the last fault until all jobs have ended.
	Calm time.Duration
	// JobsPerS is the rate of submissions.
	JobsPerS float64
	// Series is how many series of faults go on at once.
	Series int
	// KillAll kills all instances at once at the end of the faults.
	KillAll bool
	// ForgetWrites lets the store lose what it has acknowledged, which no store
	// may do: the checks must notice.
	ForgetWrites bool
	Log          io.Writer
}

// Times of the callers, from the users' kinds of request.
const (
	callerLimit = 3 * time.Second
	callerTries = 5
	retryPause  = 300 * time.Millisecond
	pollPause   = 400 * time.Millisecond
	startLimit  = 15 * time.Second
	workerCores = 16_000
)

// Result is what a run has seen.
type Result struct {
	Seed                           uint64
	Submitted, Accepted, Completed int
	Starts, Faults                 int
	Broken                         []string
}

// String is the result in one line.
func (r *Result) String() string {
	return fmt.Sprintf("seed=%d submitted=%d accepted=%d completed=%d starts=%d faults=%d broken=%d",
		r.Seed, r.Submitted, r.Accepted, r.Completed, r.Starts, r.Faults, len(r.Broken))
}

type run struct {
	options   Options
	store     *standin.Store
	truth     *standin.Truth
	workers   []*standin.Worker
	links     []*proxy
	instances []*instance
	servers   []*http.Server
	probe     *http.Client
	stop      chan struct{}
	faults    atomic.Int64
	completed atomic.Int64
	version   int

	mu   sync.Mutex
	next int
	ids  []jobs.ID
}

// Run plays one seed. An error means that the run could not be made.
func Run(ctx context.Context, options Options) (*Result, error) {
	r := &run{
		options: options, store: standin.NewStore(), truth: standin.NewTruth(), stop: make(chan struct{}),
		probe: &http.Client{Timeout: time.Second},
	}
	defer r.close()
	if err := r.begin(ctx); err != nil {
		return nil, err
	}
	var callers sync.WaitGroup
	rng := rand.New(rand.NewPCG(options.Seed, 1))
	faulting, cancel := context.WithTimeout(ctx, options.Faults)
	defer cancel()
	var trouble sync.WaitGroup
	for i := range options.Series {
		trouble.Add(1)
		go func() {
			defer trouble.Done()
			r.harm(faulting, rand.New(rand.NewPCG(options.Seed, uint64(100+i))))
		}()
	}
	for faulting.Err() == nil {
		id := r.newJob(rng)
		callers.Add(1)
		go func(seed uint64) {
			defer callers.Done()
			r.caller(ctx, id, rand.New(rand.NewPCG(options.Seed, seed)))
		}(rng.Uint64())
		sleep(faulting, time.Duration(rng.ExpFloat64()/options.JobsPerS*float64(time.Second)))
	}
	trouble.Wait()
	if options.KillAll {
		r.killAll()
	}
	r.heal()
	limited, cancelCalm := context.WithTimeout(ctx, options.Calm)
	defer cancelCalm()
	ended := make(chan struct{})
	go func() { callers.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-limited.Done():
		r.truth.Report("jobs have not ended %s after the last fault: %v", options.Calm, r.open())
	}
	result := &Result{Seed: options.Seed, Submitted: len(r.ids), Starts: r.truth.Starts(), Faults: int(r.faults.Load()), Completed: int(r.completed.Load())}
	caller := standin.NewCaller(r.truth, callerLimit)
	for _, id := range r.ids {
		caller.Refused(id)
		if caller.Accepted(id) {
			result.Accepted++
		}
	}
	result.Broken = r.truth.Broken()
	return result, nil
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
		w := standin.NewWorker(fmt.Sprintf("w%02d", i), link.address(), workerCores, r.store, r.truth)
		server := &http.Server{Handler: w.Handler(), ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(socket) }()
		go w.Run(r.stop)
		r.workers, r.links, r.servers = append(r.workers, w), append(r.links, link), append(r.servers, server)
	}
	r.store.ForgetWrites(r.options.ForgetWrites)
	r.version = 1
	standin.PutManifest(r.store, r.version)
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
				r.truth.Report("%v", err)
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
	standin.NewCaller(r.truth, callerLimit).Prepare(id, job)
	return id
}

func (r *run) open() []jobs.ID {
	var out []jobs.ID
	caller := standin.NewCaller(r.truth, callerLimit)
	for _, id := range r.ids {
		if caller.Accepted(id) && !r.truth.AllDone(id) {
			out = append(out, id)
		}
	}
	return out
}

// caller submits one job, now and then twice, and follows it to its end.
func (r *run) caller(ctx context.Context, id jobs.ID, rng *rand.Rand) {
	c := standin.NewCaller(r.truth, callerLimit)
	accepted := false
	for try := 0; try < callerTries && !accepted && ctx.Err() == nil; try++ {
		accepted = c.Submit(ctx, r.pick(rng), id)
		if !accepted {
			sleep(ctx, retryPause)
		}
	}
	if !accepted {
		return
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
			r.truth.Report("%s has failed although its tasks cannot fail", id)
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
