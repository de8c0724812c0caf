package planner

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"redwingvale/internal/jobs"
)

// simulation runs leaders, workers, the log and callers in simulated time and
// checks the guarantees by what the workers and the callers observe.
type simulation struct {
	seed           uint64
	rng            *rand.Rand
	now            int64
	queue          eventQueue
	sequence       int64
	config         Config
	faultRates     faultRates
	disabled       safeguards
	log            []jobs.Record
	epoch          uint64
	leader         *leader
	workers        []*fakeWorker
	jobs           map[jobs.ID]*submittedJob
	ids            []jobs.ID
	submitRequests map[uint64]jobs.ID
	cancelRequests map[uint64]jobs.ID
	// earlyCancels are the cancellations that were sent before the submission was
	// accepted.
	earlyCancels  map[uint64]bool
	lastRequestID uint64
	// acked holds the tasks whose end as done has been acknowledged.
	acked  map[jobs.Task]bool
	done   map[jobs.Task]bool
	failed map[jobs.Task]int
	// failedAt holds the times of each task's failures that have been acknowledged.
	failedAt map[jobs.Task][]int64
	// listedFailures holds the failed runs that workers have listed, by the
	// task under which they are counted.
	listedFailures map[jobs.Task]map[int]bool
	// startSentMS is when the start of a run was sent.
	startSentMS map[runKey]int64
	// carriedOut holds the runs that workers have begun.
	carriedOut map[runKey]bool
	// failedByLeader holds the jobs that the current leader has ended as
	// failed.
	failedByLeader map[jobs.ID]bool
	// versions are the versions of the configuration, oldest first.
	versions []version
	// configRNG drives the random choices of injectConfigFaults; nil without
	// it.
	configRNG *rand.Rand
	// adviser answers advice requests; nil without advised queues.
	adviser *simAdviser
	// cutBetween reports whether a leader cannot reach a worker; nil without cuts.
	cutBetween func(*leader, *fakeWorker) bool
	// cutEndMS is when the last of these cuts ends.
	cutEndMS int64
	// endsPerReport is the number of ends that a worker lists; 0 for all.
	endsPerReport int
	// oddRows adds rows to a worker's report; nil to leave reports as they are.
	oddRows func(*fakeWorker, *Report)
	// duration returns how long a task takes; nil for the default of durationMS.
	duration func(jobs.Task) int64
	// observe is called with each effect before it is carried out; it may be nil.
	observe func(Effect)
	// prepare adapts a new leader's core; it may be nil.
	prepare    func(*Core)
	violations []string
	starts     int
	// plannerTime is the processor time of the planner.
	plannerTime time.Duration
	// logDownUntil is the time until which appends get no response.
	logDownUntil int64
	// waitRNG chooses how long callers wait; nil without limit.
	waitRNG *rand.Rand
	// withdrawals counts the submissions that were withdrawn.
	withdrawals int
	// slowLogUntil is the time until which writes take slowLogMS longer.
	slowLogUntil, slowLogMS int64
	// dropSubmissions makes the log drop submissions that it has confirmed.
	dropSubmissions bool
	// startedAt holds the starts of each task.
	startedAt map[jobs.Task][]startedRun
	// evacuations are those of data centres; nil without them.
	evacuations *simEvacuations
	// takeovers are the faults around changes of leader; nil without them.
	takeovers *takeoverFaults
	// overload drives the random choices of an overload; nil without it.
	overload *simOverload
}

// startedRun is a start that a worker has carried out.
type startedRun struct {
	atMS   int64
	worker WorkerID
	number int
	// limit is the number of failures that rule the start out.
	limit int
}

// submittedJob is the caller's view of a job.
type submittedJob struct {
	job       *jobs.Job
	accepted  bool
	cancelled int64
	recorded  bool
	// sent counts the submissions, withdrawn those that were withdrawn.
	sent, withdrawn int
	// recordedDirectly is set once another instance may record the submission.
	recordedDirectly bool
	// submitOnce is set if the caller does not repeat the submission.
	submitOnce bool
	// cancelSent and cancelDone are set once a cancellation has been sent and
	// confirmed.
	cancelSent, cancelDone bool
	refusal                refusedSubmission
}

// leader is one instance's term; a deposed leader may continue for a while.
type leader struct {
	core         *Core
	stateMachine *jobs.StateMachine
	logOffset    int
	epoch        uint64
	deposed      bool
	// gangEnds are the runs of gangs of which the leader has handled an end; a run is
	// named by its first member.
	gangEnds map[runKey]bool
	// version is the version of the configuration in force; -1 before the first.
	version int
	// sinceMS is when the term began.
	sinceMS int64
	// backlog holds the events that a late leader has not handled yet.
	backlog []delayedEvent
	// pausedUntil is the end of a suspension, lateUntil that of a period in which
	// events are handled delayMS late.
	pausedUntil, lateUntil, delayMS int64
}

// faultRates are the shares of calls whose response is lost or that are
// delayed.
type faultRates struct {
	lost, delayed float64
}

type event struct {
	atMS, sequence int64
	run            func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].atMS < q[j].atMS || q[i].atMS == q[j].atMS && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newSimulation(seed uint64, faults faultRates) *simulation {
	sim := &simulation{
		seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), now: 1_000_000, faultRates: faults,
		config: Config{LeaseMS: 4000, PriorLeaseMS: 4000, MaxLeaseMS: 10_000, GangTimeoutMS: 3000, InterferenceMS: 4000, StatusRetentionMS: 120_000, OptimisticStart: true, LeadershipLeaseMS: 1000},
		versions: []version{{queues: []Queue{
			{Name: "urgent", Policy: jobs.Policy{Service: "s", Priority: 0, MaxAttempts: 4, Stretch: 1.5, TargetLatencyMS: 250}},
			{Name: "batch", Policy: jobs.Policy{Service: "s", Priority: 2, MaxAttempts: 4, Stretch: 2, TargetLatencyMS: 1000}},
			{Name: "watch", Policy: jobs.Policy{Service: "s", Priority: 0, MaxAttempts: 2, Stretch: 2, TargetLatencyMS: 2500}},
		}}},
		jobs: map[jobs.ID]*submittedJob{}, submitRequests: map[uint64]jobs.ID{}, cancelRequests: map[uint64]jobs.ID{}, earlyCancels: map[uint64]bool{},
		acked: map[jobs.Task]bool{}, done: map[jobs.Task]bool{}, failed: map[jobs.Task]int{}, failedAt: map[jobs.Task][]int64{},
		listedFailures: map[jobs.Task]map[int]bool{}, startSentMS: map[runKey]int64{}, carriedOut: map[runKey]bool{}, failedByLeader: map[jobs.ID]bool{},
		startedAt: map[jobs.Task][]startedRun{},
	}
	for i := range 6 {
		f := &fakeWorker{
			sim: sim, clockRate: 1 - 0.02*sim.rng.Float64(), clockStartMS: sim.now - 5000, startedMS: sim.now - 5000,
			runs: map[jobs.Task]*fakeRun{}, highestRun: map[jobs.Task]int{}, endedAt: map[int64]int64{},
			info: WorkerInfo{
				ID: WorkerID(fmt.Sprintf("w%d", i)), Address: fmt.Sprintf("addr%d", i), Service: "s",
				Capacity:  Resources{CPUMilli: 16_000, MemoryMB: 64_000},
				Labels:    []string{[]string{"a", "b"}[i%2], fmt.Sprintf("r%d", i/3)},
				StartedMS: sim.now - 5000,
			},
		}
		sim.workers = append(sim.workers, f)
	}
	sim.elect()
	sim.at(20, sim.tick)
	return sim
}

func (sim *simulation) at(delay int64, run func()) {
	sim.sequence++
	heap.Push(&sim.queue, event{sim.now + max(delay, 0), sim.sequence, run})
}

func (sim *simulation) run(until int64) {
	for len(sim.queue) > 0 && len(sim.violations) == 0 {
		e := heap.Pop(&sim.queue).(event)
		if e.atMS > until {
			heap.Push(&sim.queue, e)
			return
		}
		sim.now = e.atMS
		e.run()
	}
}

func (sim *simulation) violate(rule, format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("seed %d at %d: %s: %s", sim.seed, sim.now, rule, fmt.Sprintf(format, args...)))
}

// tick advances the workers and the leader.
func (sim *simulation) tick() {
	for _, f := range sim.workers {
		f.advance(20)
		sim.checkAcks(f)
	}
	if sim.now%100 < 20 {
		sim.step(sim.leader, LeadershipAsOf{MS: sim.now - 5})
	}
	sim.step(sim.leader, Tick{})
	sim.at(20, sim.tick)
}

// elect starts a new term with the records in the log.
func (sim *simulation) elect() {
	if sim.leader != nil {
		sim.leader.deposed = true
	}
	sim.epoch++
	l := &leader{epoch: sim.epoch, stateMachine: jobs.NewStateMachine(), version: -1, sinceMS: sim.now, gangEnds: map[runKey]bool{}}
	sim.catchUp(l, len(sim.log))
	config := sim.config
	config.FirstTerm = sim.epoch == 1
	l.core = New(config, l.stateMachine, sim.epoch, sim.time())
	l.core.disabled = sim.disabled
	if sim.prepare != nil {
		sim.prepare(l.core)
	}
	sim.leader = l
	sim.step(l, LeadershipAsOf{MS: sim.now})
	sim.beginEvacuations(l)
	sim.configure(l)
	sim.step(l, WorkersChanged{Workers: sim.firstList()})
}

func (sim *simulation) directory() []WorkerInfo {
	var out []WorkerInfo
	for _, f := range sim.workers {
		switch {
		case sim.now < f.unlistedUntil:
		case f.listedInfo != nil:
			out = append(out, *f.listedInfo)
		default:
			out = append(out, f.info)
		}
	}
	return append(out, sim.formerEntries()...)
}

func (sim *simulation) time() Time { return Time{MS: sim.now, UnixMS: sim.now} }

// catchUp applies the records up to an offset to a leader's state machine and
// returns the jobs that they concern.
func (sim *simulation) catchUp(l *leader, end int) []jobs.ID {
	var changed []jobs.ID
	for ; l.logOffset < end; l.logOffset++ {
		if id, err := l.stateMachine.Apply(sim.log[l.logOffset]); err != nil {
			sim.violate("LOG", "%v", err)
		} else if id != "" {
			changed = append(changed, id)
		}
	}
	return changed
}

// step passes an event to a leader, or leaves it in the backlog of a late one.
func (sim *simulation) step(l *leader, e Event) {
	if !sim.delayEvent(l, e) {
		sim.handle(l, e)
	}
}

func (sim *simulation) handle(l *leader, e Event) {
	l.noteGangEnds(sim, e)
	start := time.Now()
	effects := l.core.Step(sim.time(), e)
	sim.plannerTime += time.Since(start)
	for _, effect := range slices.Clone(effects) {
		sim.execute(l, effect)
	}
}

func (sim *simulation) latency() int64 { return 1 + sim.rng.Int64N(8) }

// call simulates one call to a worker: serve runs at the worker, respond at the
// leader. Responses may be lost, and calls may be carried out seconds later. A
// worker with a different ID at the address refuses the call.
func (sim *simulation) call(l *leader, id WorkerID, address string, serve func(f *fakeWorker) Outcome, respond func(Outcome)) {
	timeout := func() { sim.at(500, func() { respond(OutcomeUnknown) }) }
	late := sim.rng.Float64() < sim.faultRates.delayed
	lost := sim.rng.Float64() < sim.faultRates.lost
	sim.at(sim.latency(), func() {
		f := sim.workerAt(address)
		switch {
		case f == nil, !f.reachable(), sim.cutBetween != nil && sim.cutBetween(l, f):
			timeout()
		case f.info.ID != id:
			sim.at(sim.latency(), func() { respond(WrongWorker) })
		case late:
			// The call is delayed on its way; a crash of the worker loses it.
			startedMS := f.startedMS
			timeout()
			sim.at(2000+sim.rng.Int64N(10_000), func() {
				if f.startedMS == startedMS && sim.now >= f.downUntil {
					serve(f)
				}
			})
		case lost:
			serve(f)
			timeout()
		default:
			outcome := serve(f)
			sim.at(sim.latency(), func() { respond(outcome) })
		}
	})
}

// workerAt returns the worker that listens at an address, or nil.
func (sim *simulation) workerAt(address string) *fakeWorker {
	for _, f := range sim.workers {
		if f.info.Address == address {
			return f
		}
	}
	return nil
}

// followedJob selects the job whose effects are printed.
var followedJob = flag.String("follow", "", "print the effects that name this job or task")

func (sim *simulation) execute(l *leader, effect Effect) {
	if *followedJob != "" {
		if line := fmt.Sprintf("%T%+v", effect, effect); strings.Contains(line, *followedJob) {
			fmt.Println(sim.now, "epoch", l.epoch, line)
		}
	}
	if sim.observe != nil {
		sim.observe(effect)
	}
	switch e := effect.(type) {
	case Hold:
		sim.hold(l, e)
	case Start:
		if sim.declinesStart(l, e) {
			return
		}
		sim.startSentMS[runKey{e.Task, e.Run}] = sim.now
		sim.checkGangStart(l, e)
		sim.call(l, e.Worker, e.Address, func(f *fakeWorker) Outcome { return f.start(e) }, func(o Outcome) {
			sim.step(l, StartDone{e.Worker, e.Address, e.Task, e.Run, e.Token, o})
		})
	case Stop:
		sim.call(l, e.Worker, e.Address, func(f *fakeWorker) Outcome { return f.stop(e) }, func(o Outcome) {
			sim.step(l, StopDone{e.Worker, e.Address, e.Task, e.Run, o})
		})
	case Pace:
		sim.call(l, e.Worker, e.Address, func(f *fakeWorker) Outcome { return f.setPace(e) }, func(o Outcome) {
			sim.step(l, PaceDone{e.Worker, e.Task, e.Run, e.Token, e.Percent, o})
		})
	case Advise:
		sim.advise(l, e)
	case Decision:
		sim.checkRunTwice(e)
		sim.checkMoves(l, e)
		sim.checkFailedJob(l, e)
	case Write:
		sim.write(l, e)
	case Reply:
		if !sim.handleRefusal(l, e) {
			sim.reply(e)
		}
	case Deposed:
		sim.at(sim.latency(), func() {
			if l.epoch == sim.epoch {
				sim.step(l, LeadershipConfirmed{})
			}
		})
	}
}

func (sim *simulation) hold(l *leader, h Hold) {
	sent := sim.now
	var report Report
	sim.call(l, h.Worker, h.Address, func(f *fakeWorker) Outcome {
		r, o := f.hold(h)
		if sim.oddRows != nil && o == Done {
			sim.oddRows(f, &r)
		}
		report = r
		return o
	}, func(o Outcome) {
		wait := int64(0)
		if o == Done && len(report.Ended) == 0 {
			wait = min(h.WaitMS, 100)
		}
		sim.at(wait, func() {
			sim.step(l, HoldDone{Worker: h.Worker, Address: h.Address, Token: h.Token, SentMS: sent, Outcome: o, Report: report})
		})
	})
}

// write appends records under the leader's epoch; a deposed leader's write is
// rejected.
func (sim *simulation) write(l *leader, e Write) {
	delay := sim.latency() + 4
	if sim.now < sim.slowLogUntil {
		delay += sim.slowLogMS
	}
	sim.at(delay, func() {
		switch {
		case sim.now < sim.logDownUntil:
			sim.at(100, func() { sim.write(l, e) })
			return
		case l.epoch < sim.epoch:
			return
		}
		before := len(sim.log)
		sim.log = append(sim.log, e.Records...)
		end := len(sim.log)
		for _, r := range e.Records {
			if id := jobs.SubmissionID(r); id != "" {
				sim.jobs[id].recorded = true
				if sim.jobs[id].mustNotRun() {
					sim.violate("REFUSED", "%s is recorded after it was withdrawn", id)
				}
			}
		}
		sim.inLoop(l, func() {
			if changed := sim.catchUp(l, before); len(changed) > 0 {
				sim.handle(l, RecordsRead{Jobs: changed})
			}
			sim.catchUp(l, end)
			if sim.dropSubmissions {
				sim.log = slices.DeleteFunc(sim.log, func(r jobs.Record) bool { return jobs.SubmissionID(r) != "" })
				l.logOffset = len(sim.log)
			}
		})
		sim.at(sim.latency(), func() { sim.step(l, WriteDone{e.Seq}) })
	})
}
