// Package soak runs rwnode as separate processes against the stand-in of the
// platform, injects faults into links, processes, workers and the store, and
// checks the guarantees as callers and workers observe them.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
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
	// Rounds is the number of rounds. Each injects faults for FaultDuration
	// and is followed by a recovery phase without faults.
	Rounds        int
	FaultDuration time.Duration
	// RecoveryLimit bounds the time from the last fault until all jobs have
	// ended.
	RecoveryLimit time.Duration
	// JobsPerS is the number of random submissions per second. It may be 0 in a
	// scenario, which submits jobs of its own.
	JobsPerS float64
	// Mix names the kinds of jobs: "mixed", which is used if it is empty, or
	// "oratory-desk".
	Mix string
	// Series is the number of concurrent series of faults.
	Series int
	// Delegates makes the leader call the workers through other instances, which
	// also answer looks at jobs.
	Delegates bool
	// FailShare is the share of task runs that fail by themselves, without an
	// injected fault.
	FailShare float64
	// KillAll kills all instances at once at the end of each round, right after a
	// manifest or a submission was accepted or while the store refuses appends.
	KillAll bool
	// WorkerFaults make workers break their contract, which the checks must
	// detect.
	WorkerFaults standin.WorkerFaults
	// StopOnViolation ends the run at the first violation.
	StopOnViolation bool
	// LoseWrites makes the store lose acknowledged writes, which no store may
	// do. The checks must detect it.
	LoseWrites bool
	// IgnoreEvacuations turns evacuations off in the instances' settings. The checks
	// must detect it.
	IgnoreEvacuations bool
	// Scenario is the name of a directed sequence of faults that each round plays
	// instead of random ones (Scenarios).
	Scenario string
	// Wide adds faults that concern many links, processes or workers at once.
	Wide bool
	// Zones is the number of zones of instances and racks, and WorkersPerRack the
	// size of a rack; 0 are one zone and three racks.
	Zones, WorkersPerRack int
	// MaxLease is the longest lease of a worker, and StopTimeout the longest time
	// of a stop; 0 are 6 s and 500 ms.
	MaxLease, StopTimeout time.Duration
	// MemoryMB is the memory in MB of 2^20 bytes beyond which a process is killed; 0
	// are 284.
	MemoryMB int
	Log      io.Writer
}

// Times and counts of the callers, from the users' kinds of request.
const (
	callerLimit = 3 * time.Second
	callerTries = 5
	// giveUpOneIn makes one in this many callers stop after the first attempt.
	giveUpOneIn = 4
	retryPause  = 300 * time.Millisecond
	pollPause   = 400 * time.Millisecond
	startLimit  = 15 * time.Second
)

// The users' bounds for the acknowledgement of ends.
const (
	// contactBound is the time after a fault until a machine counts as connected
	// again (contactMs); ackBound is the longest time until an end is then
	// acknowledged (ackMs).
	contactBound = 3 * time.Second
	ackBound     = 4 * time.Second
	// ackWatch is how long the ends are checked after that.
	ackWatch = 2 * time.Second
	ackPoll  = 100 * time.Millisecond
)

// Result holds the counts and violations of a run.
type Result struct {
	Seed                           uint64
	Submitted, Accepted, Completed int
	Starts, Faults                 int
	// FailedJobs counts jobs shown as failed, FailedRuns task runs that failed
	// on workers.
	FailedJobs, FailedRuns int
	// MostEnds is the largest number of ends that a worker had to list at once.
	MostEnds int
	// PeakMB is the largest resident memory of a process.
	PeakMB int
	// Starved sums the waits for a processor of this machine that count as a fault.
	Starved    time.Duration
	Violations []string
}

// String returns the result as one line of key=value pairs.
func (r *Result) String() string {
	return fmt.Sprintf("seed=%d submitted=%d accepted=%d completed=%d failed=%d starts=%d failed_runs=%d most_ends=%d faults=%d peak_mb=%d starved_ms=%d broken=%d",
		r.Seed, r.Submitted, r.Accepted, r.Completed, r.FailedJobs, r.Starts, r.FailedRuns, r.MostEnds, r.Faults, r.PeakMB, r.Starved.Milliseconds(), len(r.Violations))
}

const (
	defaultMaxLease    = 6 * time.Second
	defaultStopTimeout = 500 * time.Millisecond
	// defaultMemoryMB is the memory of the small sites' instances.
	defaultMemoryMB = 284
)

func (o *Options) maxLease() time.Duration { return cmp.Or(o.MaxLease, defaultMaxLease) }

func (o *Options) stopTimeout() time.Duration { return cmp.Or(o.StopTimeout, defaultStopTimeout) }

func (o *Options) memoryMB() int { return cmp.Or(o.MemoryMB, defaultMemoryMB) }

// spareWorkers is the number of workers that can join during a run.
func (o *Options) spareWorkers() int {
	if o.Wide || o.Scenario != "" {
		return 2 + o.Workers/4
	}
	return 0
}

type run struct {
	options Options
	store   *standin.Store
	checker *standin.Checker
	workers []*standin.Worker
	links   *links
	// doors are the proxies in front of the workers.
	doors     []*proxy
	instances []*instance
	servers   []*http.Server
	probe     *http.Client
	stop      chan struct{}
	faults    atomic.Int64
	completed atomic.Int64
	// starved is the time that threads of instances have waited for a processor.
	starved atomic.Int64
	// peakBytes is the largest resident memory of an instance.
	peakBytes atomic.Int64
	version   int
	// evacuated are the zones under evacuation.
	evacuated map[string]bool
	// accepted receives a value when a submission is accepted.
	accepted chan struct{}
	// callers counts the callers whose jobs have not ended; callersCtx ends with the
	// run, not with the faults of a round.
	callers    sync.WaitGroup
	callersCtx context.Context

	// settled is closed when the long-running jobs have been checked.
	settled chan struct{}
	clients []*standin.Caller
	// repeats counts the repeated calls that are under way.
	repeats sync.WaitGroup

	mu   sync.Mutex
	next int
	ids  []jobs.ID
	// workerIDs counts the ids that workers have had.
	workerIDs int
	// backlog holds the jobs that fill the workers. Their tasks take so long that a
	// few failed runs outlast the recovery limit.
	backlog map[jobs.ID]bool
	// stages holds what the callers that have not ended are doing.
	stages map[jobs.ID]string
}

func newRun(options Options) *run {
	return &run{
		options: options, store: standin.NewStore(), checker: standin.NewChecker(), stop: make(chan struct{}),
		links: newLinks(), accepted: make(chan struct{}, 1), settled: make(chan struct{}), stages: map[jobs.ID]string{}, backlog: map[jobs.ID]bool{}, evacuated: map[string]bool{},
		probe: &http.Client{Timeout: time.Second},
	}
}

// Run executes one run with the seed in options. An error means that the run
// could not be made.
func Run(ctx context.Context, options Options) (*Result, error) {
	r := newRun(options)
	if err := options.checkMix(); err != nil {
		return nil, err
	}
	defer r.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.callersCtx = ctx
	if options.StopOnViolation {
		go r.stopOnViolation(ctx, cancel)
	}
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	r.startClients(ctx)
	callers := &r.callers
	rng := rand.New(rand.NewPCG(options.Seed, 1))
	submitting, endSubmissions := context.WithCancel(ctx)
	defer endSubmissions()
	callers.Add(1)
	go func() {
		defer callers.Done()
		for submitting.Err() == nil && options.JobsPerS > 0 {
			id := r.newJob(rng)
			callers.Add(1)
			go func(seed uint64) {
				defer callers.Done()
				r.runCaller(ctx, id, rand.New(rand.NewPCG(options.Seed, seed)))
			}(rng.Uint64())
			sleep(submitting, time.Duration(rng.ExpFloat64()/options.JobsPerS*float64(time.Second)))
		}
	}()
	for round := range options.Rounds {
		r.runRound(ctx, uint64(round))
		recovered := time.Now().Add(contactBound)
		r.checker.Calm(recovered)
		r.watchAcks(ctx, recovered, recovered.Add(ackBound+ackWatch))
		r.withdrawAll()
	}
	endSubmissions()
	time.AfterFunc(settleTime, func() { close(r.settled) })
	limited, cancelRecovery := context.WithTimeout(ctx, options.RecoveryLimit)
	defer cancelRecovery()
	ended := make(chan struct{})
	go func() { callers.Wait(); r.repeats.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-limited.Done():
		r.reportUnended(ctx, options.RecoveryLimit, false)
		select {
		case <-ended:
		case <-time.After(backlogLimit):
			r.reportUnended(ctx, options.RecoveryLimit+backlogLimit, true)
		case <-ctx.Done():
		}
	}
	r.watchAcks(ctx, time.Now(), time.Now().Add(ackBound+2*ackPoll))
	result := &Result{Seed: options.Seed, Submitted: len(r.ids), Starts: r.checker.Starts(), Faults: int(r.faults.Load()), Completed: int(r.completed.Load())}
	result.FailedJobs, result.FailedRuns = r.checker.FailureCounts()
	result.Starved = time.Duration(r.starved.Load())
	result.PeakMB = int(r.peakBytes.Load() >> 20)
	for _, w := range r.workers {
		result.MostEnds = max(result.MostEnds, w.MostEnds())
	}
	caller := r.clients[0]
	for _, id := range r.ids {
		caller.CheckRefused(id)
		if caller.Accepted(id) {
			result.Accepted++
		}
	}
	result.Violations = r.checker.Violations()
	return result, nil
}

// runRound injects faults for Options.FaultDuration and then clears them all.
func (r *run) runRound(ctx context.Context, round uint64) {
	r.checker.Calm(time.Time{})
	if play := scenarios[r.options.Scenario]; play != nil {
		play(r, ctx, rand.New(rand.NewPCG(r.options.Seed, 100*(round+1))))
		r.clearFaults()
		return
	}
	faulting, cancel := context.WithTimeout(ctx, r.options.FaultDuration)
	defer cancel()
	var injectors sync.WaitGroup
	for i := range r.options.Series {
		injectors.Add(1)
		go func() {
			defer injectors.Done()
			r.injectFaults(faulting, rand.New(rand.NewPCG(r.options.Seed, 100*(round+1)+uint64(i))))
		}()
	}
	injectors.Add(1)
	go func() {
		defer injectors.Done()
		r.writeOddEntries(faulting, rand.New(rand.NewPCG(r.options.Seed, 100*(round+1)+98)))
	}()
	injectors.Add(1)
	go func() {
		defer injectors.Done()
		r.delayOrders(faulting, rand.New(rand.NewPCG(r.options.Seed, 100*(round+1)+97)))
	}()
	injectors.Add(1)
	go func() {
		defer injectors.Done()
		r.evacuateZones(faulting, rand.New(rand.NewPCG(r.options.Seed, 100*(round+1)+96)))
	}()
	injectors.Wait()
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
			r.restartDuringStoreOutage(ctx, rng)
		}
	}
	r.clearFaults()
}

// stopOnViolation calls cancel at the first violation.
func (r *run) stopOnViolation(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil && len(r.checker.Violations()) == 0 {
		sleep(ctx, ackPoll)
	}
	cancel()
}

// watchAcks checks until a given time that ends are acknowledged within ackBound
// after recovered. The manifest may not be readable yet.
func (r *run) watchAcks(ctx context.Context, recovered, until time.Time) {
	reported := map[*standin.Worker]bool{}
	for ; time.Now().Before(until) && ctx.Err() == nil; sleep(ctx, ackPoll) {
		for _, w := range r.workers {
			if overdue := w.OverdueEnds(recovered, ackBound); len(overdue) > 0 && !reported[w] {
				reported[w] = true
				r.checker.ReportViolation("%s, and %d more", overdue[0], len(overdue)-1)
			}
		}
	}
}

// start starts the stand-ins and the instances and waits until all instances are
// ready.
func (r *run) start(ctx context.Context) error {
	if r.options.Scenario != "" && scenarios[r.options.Scenario] == nil {
		return errors.Newf("there is no scenario %q", r.options.Scenario)
	}
	for i := range r.options.Workers + r.options.spareWorkers() {
		if err := r.addWorker(i >= r.options.Workers); err != nil {
			return err
		}
	}
	r.store.LoseWrites(r.options.LoseWrites)
	r.version = 1
	standin.PutManifest(r.store, r.checker, r.version, minAttemptLimit+1)
	for i := range r.options.Instances {
		in, err := newInstance(&r.options, i, r.store, &r.servers)
		if err != nil {
			return err
		}
		r.instances = append(r.instances, in)
		peer := in.peer.address()
		r.links.add(peer)
		r.store.Translate(in.name, r.links.toInstance(in.name, peer), r.links.fromInstance)
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

// newWorkerID returns an id that no worker has had.
func (r *run) newWorkerID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nextWorkerID()
}

// addWorker adds a worker with an id and an address of its own. An absent one joins
// later.
func (r *run) addWorker(absent bool) error {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	link, err := newProxy(socket.Addr().String())
	if err != nil {
		return err
	}
	r.links.add(link.address())
	w := standin.NewWorker(r.newWorkerID(), link.address(), r.options.workerCPU(), r.store, r.checker)
	r.placeWorker(w, len(r.workers))
	w.SetZone(zoneName(r.options.workerZone(len(r.workers))))
	w.SetLimits(r.options.maxLease(), r.options.stopTimeout()*8/10)
	if absent {
		w.SetAbsent()
	}
	w.SetFailureShare(r.options.FailShare)
	w.SetFaults(r.options.WorkerFaults)
	server := &http.Server{Handler: w.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(socket) }()
	go w.Run(r.stop)
	r.workers, r.doors, r.servers = append(r.workers, w), append(r.doors, link), append(r.servers, server)
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
	for _, door := range r.doors {
		door.close()
	}
	r.links.close()
	for _, server := range r.servers {
		server.Close()
	}
}

// clearFaults ends the faults of the instances and links, and starts the
// instances that are not running.
func (r *run) clearFaults() {
	for _, in := range r.instances {
		r.store.SetFault(in.name, standin.StoreFault{})
		for _, p := range []*proxy{in.callers, in.peer, in.store} {
			p.setFaults(0, false, false)
		}
		in.signal(syscall.SIGCONT)
		if !in.running() {
			if err := in.start(); err != nil {
				r.checker.ReportViolation("%v", err)
			}
		}
	}
	r.mu.Lock()
	doors := slices.Clone(r.doors)
	r.mu.Unlock()
	for _, door := range doors {
		door.setFaults(0, false, false)
	}
	r.links.clear()
	for i, w := range r.workers {
		w.SilenceEntry(0)
		if i < r.options.Workers && w.Gone() {
			w.Join(r.newWorkerID(), w.Address())
		}
	}
}

// pickAddress returns the callers' address of a random instance, preferably of a
// running one.
func (r *run) pickAddress(rng *rand.Rand) string {
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
