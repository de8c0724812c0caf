package planner

import (
	"cmp"
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
	seed       uint64
	rng        *rand.Rand
	now        int64
	queue      eventQueue
	sequence   int64
	config     Config
	faultRates faultRates
	disabled   safeguards
	log        []jobs.Record
	epoch      uint64
	leader     *leader
	workers    []*fakeWorker
	jobs       map[jobs.ID]*submittedJob
	ids        []jobs.ID
	tickets    map[uint64]jobs.ID
	cancels    map[uint64]jobs.ID
	ticket     uint64
	// acked holds the tasks whose end as done has been acknowledged.
	acked  map[jobs.Task]bool
	done   map[jobs.Task]bool
	failed map[jobs.Task]int
	// listedFailures holds the failed runs that workers have listed, by the
	// task under which they are counted.
	listedFailures map[jobs.Task]map[int]bool
	// startSentMS is when the start of a run was sent.
	startSentMS map[runKey]int64
	// failedByLeader holds the jobs that the current leader has ended as
	// failed.
	failedByLeader map[jobs.ID]bool
	// versions are the versions of the configuration, oldest first.
	versions []version
	// configRNG drives the random choices of injectConfigFaults; nil without
	// it.
	configRNG  *rand.Rand
	violations []string
	starts     int
	// plannerTime is the processor time of the planner.
	plannerTime time.Duration
	// logDownUntil is the time until which appends get no response.
	logDownUntil int64
	// dropSubmissions makes the log drop submissions that it has confirmed.
	dropSubmissions bool
}

// submittedJob is the caller's view of a job.
type submittedJob struct {
	job       *jobs.Job
	accepted  bool
	cancelled int64
	recorded  bool
	// submitOnce is set if the caller does not repeat the submission.
	submitOnce bool
	// cancelSent and cancelDone are set once a cancellation has been sent and
	// answered.
	cancelSent, cancelDone bool
}

// leader is one instance's term; a deposed leader may continue for a while.
type leader struct {
	core         *Core
	stateMachine *jobs.Book
	logOffset    int
	epoch        uint64
	deposed      bool
	// version is the version of the configuration in force; -1 before the first.
	version int
	// sinceMS is when the term began.
	sinceMS int64
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
	w := &simulation{
		seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), now: 1_000_000, faultRates: faults,
		config: Config{LeaseMS: 4000, PriorLeaseMS: 4000, MaxLeaseMS: 10_000, GangTimeoutMS: 3000, InterferenceMS: 4000, StatusMS: 120_000, OptimisticStart: true},
		versions: []version{{queues: []Queue{
			{Name: "urgent", Policy: jobs.Policy{Service: "s", Priority: 0, MaxAttempts: 4, Stretch: 1.5, TargetLatencyMS: 250}},
			{Name: "batch", Policy: jobs.Policy{Service: "s", Priority: 2, MaxAttempts: 4, Stretch: 2, TargetLatencyMS: 1000}},
			{Name: "watch", Policy: jobs.Policy{Service: "s", Priority: 0, MaxAttempts: 2, Stretch: 2, TargetLatencyMS: 2500}},
		}}},
		jobs: map[jobs.ID]*submittedJob{}, tickets: map[uint64]jobs.ID{}, cancels: map[uint64]jobs.ID{},
		acked: map[jobs.Task]bool{}, done: map[jobs.Task]bool{}, failed: map[jobs.Task]int{},
		listedFailures: map[jobs.Task]map[int]bool{}, startSentMS: map[runKey]int64{}, failedByLeader: map[jobs.ID]bool{},
	}
	for i := range 6 {
		f := &fakeWorker{
			sim: w, clockRate: 1 - 0.02*w.rng.Float64(), clockStartMS: w.now - 5000, startedMS: w.now - 5000,
			runs: map[jobs.Task]*fakeRun{}, highestRun: map[jobs.Task]int{}, endedAt: map[int64]int64{},
			info: WorkerInfo{
				ID: WorkerID(fmt.Sprintf("w%d", i)), Address: fmt.Sprintf("addr%d", i), Service: "s",
				Capacity: Room{CPUMilli: 16_000, MemoryMB: 64_000},
				Labels:   []string{[]string{"a", "b"}[i%2], fmt.Sprintf("r%d", i/3)},
				BornMS:   w.now - 5000,
			},
		}
		w.workers = append(w.workers, f)
	}
	w.elect()
	w.at(20, w.tick)
	return w
}

func (w *simulation) at(delay int64, run func()) {
	w.sequence++
	heap.Push(&w.queue, event{w.now + max(delay, 0), w.sequence, run})
}

func (w *simulation) run(until int64) {
	for len(w.queue) > 0 && len(w.violations) == 0 {
		e := heap.Pop(&w.queue).(event)
		if e.atMS > until {
			heap.Push(&w.queue, e)
			return
		}
		w.now = e.atMS
		e.run()
	}
}

func (w *simulation) violate(rule, format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("seed %d at %d: %s: %s", w.seed, w.now, rule, fmt.Sprintf(format, args...)))
}

// tick advances the workers and the leader.
func (w *simulation) tick() {
	for _, f := range w.workers {
		f.advance(20)
		w.checkAcks(f)
	}
	w.step(w.leader, Tick{})
	w.at(20, w.tick)
}

// elect starts a new term with the records in the log.
func (w *simulation) elect() {
	if w.leader != nil {
		w.leader.deposed = true
	}
	w.epoch++
	l := &leader{epoch: w.epoch, stateMachine: jobs.NewBook(), version: -1, sinceMS: w.now}
	w.catchUp(l)
	config := w.config
	config.FirstTerm = w.epoch == 1
	l.core = New(config, l.stateMachine, w.epoch, w.time())
	l.core.disabled = w.disabled
	w.leader = l
	w.configure(l)
	w.step(l, WorkersChanged{Workers: w.directory()})
}

func (w *simulation) directory() []WorkerInfo {
	var out []WorkerInfo
	for _, f := range w.workers {
		if w.now >= f.unlistedUntil {
			out = append(out, f.info)
		}
	}
	return out
}

func (w *simulation) time() Time { return Time{MS: w.now, UnixMS: w.now} }

func (w *simulation) catchUp(l *leader) []jobs.ID {
	var changed []jobs.ID
	for ; l.logOffset < len(w.log); l.logOffset++ {
		if id, err := l.stateMachine.Apply(w.log[l.logOffset]); err != nil {
			w.violate("LOG", "%v", err)
		} else if id != "" {
			changed = append(changed, id)
		}
	}
	return changed
}

func (w *simulation) step(l *leader, e Event) {
	start := time.Now()
	effects := l.core.Step(w.time(), e)
	w.plannerTime += time.Since(start)
	for _, effect := range slices.Clone(effects) {
		w.execute(l, effect)
	}
}

func (w *simulation) latency() int64 { return 1 + w.rng.Int64N(8) }

// call simulates one call to a worker: serve runs at the worker, answer at the
// leader. Responses may be lost, and calls may be carried out seconds later.
func (w *simulation) call(id WorkerID, serve func(f *fakeWorker) Outcome, answer func(Outcome)) {
	var f *fakeWorker
	for _, other := range w.workers {
		if other.info.ID == id {
			f = other
		}
	}
	timeout := func() { w.at(500, func() { answer(Unsure) }) }
	if f == nil {
		timeout()
		return
	}
	late := w.rng.Float64() < w.faultRates.delayed
	lost := w.rng.Float64() < w.faultRates.lost
	w.at(w.latency(), func() {
		switch {
		case !f.reachable():
			timeout()
		case late:
			// The call is delayed on its way; a crash of the worker loses it.
			startedMS := f.startedMS
			timeout()
			w.at(2000+w.rng.Int64N(10_000), func() {
				if f.startedMS == startedMS && w.now >= f.downUntil {
					serve(f)
				}
			})
		case lost:
			serve(f)
			timeout()
		default:
			outcome := serve(f)
			w.at(w.latency(), func() { answer(outcome) })
		}
	})
}

// followedJob selects the job whose effects are printed.
var followedJob = flag.String("follow", "", "print the effects that name this job or task")

func (w *simulation) execute(l *leader, effect Effect) {
	if *followedJob != "" {
		if line := fmt.Sprintf("%T%+v", effect, effect); strings.Contains(line, *followedJob) {
			fmt.Println(w.now, "epoch", l.epoch, line)
		}
	}
	switch e := effect.(type) {
	case Hold:
		w.hold(l, e)
	case Start:
		w.startSentMS[runKey{e.Task, e.Run}] = w.now
		w.call(e.Worker, func(f *fakeWorker) Outcome { return f.start(e) }, func(o Outcome) {
			w.step(l, StartDone{e.Worker, e.Address, e.Task, e.Run, e.Token, o})
		})
	case Stop:
		w.call(e.Worker, func(f *fakeWorker) Outcome { return f.stop(e) }, func(o Outcome) {
			w.step(l, StopDone{e.Worker, e.Address, e.Task, e.Run, o})
		})
	case Pace:
		w.call(e.Worker, func(f *fakeWorker) Outcome { return f.setPace(e) }, func(o Outcome) {
			w.step(l, PaceDone{e.Worker, e.Task, e.Run, e.Percent, o})
		})
	case Decision:
		w.checkFailedJob(l, e)
	case Write:
		w.write(l, e)
	case Reply:
		w.reply(e)
	case Deposed:
		w.at(w.latency(), func() {
			if l.epoch == w.epoch {
				w.step(l, LeadershipConfirmed{})
			}
		})
	}
}

func (w *simulation) hold(l *leader, h Hold) {
	sent := w.now
	var report Report
	w.call(h.Worker, func(f *fakeWorker) Outcome {
		r, o := f.hold(h)
		report = r
		return o
	}, func(o Outcome) {
		wait := int64(0)
		if o == Done && len(report.Ended) == 0 {
			wait = min(h.WaitMS, 100)
		}
		w.at(wait, func() {
			w.step(l, HoldDone{Worker: h.Worker, Address: h.Address, Token: h.Token, SentMS: sent, Outcome: o, Report: report})
		})
	})
}

// write appends records under the leader's epoch; a deposed leader's write is
// rejected.
func (w *simulation) write(l *leader, e Write) {
	w.at(w.latency()+4, func() {
		switch {
		case w.now < w.logDownUntil:
			w.at(100, func() { w.write(l, e) })
			return
		case l.epoch < w.epoch:
			return
		}
		if changed := w.catchUp(l); len(changed) > 0 {
			w.step(l, RecordsRead{Jobs: changed})
		}
		w.log = append(w.log, e.Records...)
		w.catchUp(l)
		if w.dropSubmissions {
			w.log = slices.DeleteFunc(w.log, func(r jobs.Record) bool { return jobs.Submitted(r) != "" })
			l.logOffset = len(w.log)
		}
		for _, r := range e.Records {
			if id := jobs.Submitted(r); id != "" {
				w.jobs[id].recorded = true
			}
		}
		w.at(w.latency(), func() { w.step(l, WriteDone{e.Seq}) })
	})
}

func (w *simulation) submit(id jobs.ID) {
	s := w.jobs[id]
	if s.accepted {
		return
	}
	w.ticket++
	w.tickets[w.ticket] = id
	encoded, err := jobs.EncodeJob(s.job)
	if err != nil {
		w.violate("TEST", "%v", err)
		return
	}
	w.step(w.leader, SubmitRequested{Ticket: w.ticket, ID: id, Encoded: encoded})
	if !s.submitOnce {
		w.at(1000, func() { w.submit(id) })
	}
}

func (w *simulation) cancel(id jobs.ID) {
	w.ticket++
	w.cancels[w.ticket] = id
	w.jobs[id].cancelSent = true
	w.step(w.leader, CancelRequested{Ticket: w.ticket, ID: id})
	w.at(1000, func() {
		if !w.jobs[id].cancelDone {
			w.cancel(id)
		}
	})
}

func (w *simulation) reply(r Reply) {
	if id, ok := w.tickets[r.Ticket]; ok && r.Accepted {
		w.jobs[id].accepted = true
		if !w.jobs[id].recorded {
			w.violate("LOST", "%s is accepted before it is in the log", id)
		}
	}
	if id, ok := w.cancels[r.Ticket]; ok {
		w.cancelAnswered(w.jobs[id], r)
	}
}

func (w *simulation) spec(t jobs.Task) *jobs.Step { return &w.jobs[t.Job].job.Steps[t.Step] }

// durationMS returns the task's duration, the same for each run.
func (w *simulation) durationMS(t jobs.Task) int64 {
	base := int64(w.spec(t).EstimateMS)
	return max(base+int64(t.Index%5)*base/8, 50)
}

// fails reports whether a run fails because of the task itself.
func (w *simulation) fails(t jobs.Task, run int) bool {
	if strings.HasPrefix(string(t.Job), "bad") {
		return true
	}
	h := uint64(run)*7919 + uint64(t.Index)*104729 + uint64(t.Step)*1299709 + w.seed
	return w.faultRates.lost > 0 && h%31 == 0
}

func (w *simulation) onStart(f *fakeWorker, s Start) {
	w.starts++
	sub := w.jobs[s.Task.Job]
	spec := w.spec(s.Task)
	if sub.job.Payload != s.Payload {
		w.violate("UNASKED", "%s starts with a different payload", s.Task)
	}
	if w.acked[s.Task] && !spec.LongRunning {
		w.violate("TWICE", "%s run %d on %s starts after an acknowledged end", s.Task, s.Run, f.info.ID)
	}
	perWorker := 0
	for task := range f.runs {
		if task.Job == s.Task.Job && task.Step == s.Task.Step && task.Occurrence == s.Task.Occurrence {
			perWorker++
		}
	}
	if spec.MaxPerWorker > 0 && perWorker > spec.MaxPerWorker {
		w.violate("ROUTE", "%s: %d of its step on %s", s.Task, perWorker, f.info.ID)
	}
	if spec.Label != "" && !slices.Contains(f.info.Labels, spec.Label) {
		w.violate("ROUTE", "%s on %s without label %s", s.Task, f.info.ID, spec.Label)
	}
	if due := sub.job.DueMS(s.Task.Occurrence); due > w.now+250 {
		w.violate("ORDER", "%s starts %d ms early", s.Task, due-w.now)
	}
	for _, before := range spec.After {
		for i := range sub.job.Steps[before].Count {
			t := jobs.Task{Job: s.Task.Job, Occurrence: s.Task.Occurrence, Step: before, Index: i}
			if !w.done[t] {
				w.violate("ORDER", "%s starts before %s is done", s.Task, t)
			}
		}
	}
	if sub.cancelled > 0 && w.now-sub.cancelled > 3000 && s.Token>>tokenShift == w.epoch {
		w.violate("UNASKED", "%s starts %d ms after its cancellation", s.Task, w.now-sub.cancelled)
	}
	if limit := w.maxAttempts(s); w.failed[s.Task] >= limit && !spec.LongRunning && !spec.Gang {
		w.violate("BUDGET", "%s starts after %d failures, %d are allowed", s.Task, w.failed[s.Task], limit)
	}
	if spec.Speculative {
		return
	}
	for _, other := range w.workers {
		if other != f && other.runs[s.Task] != nil && w.now >= other.downUntil {
			w.violate("TWICE", "%s runs on %s (run %d) and on %s (run %d)", s.Task, other.info.ID, other.runs[s.Task].number, f.info.ID, s.Run)
		}
	}
}

func (w *simulation) onEnd(f *fakeWorker, t jobs.Task, r *fakeRun, kind EndKind) {
	spec := w.spec(t)
	switch kind {
	case EndDone:
		w.done[t] = true
		if spec.Gang {
			for i := range spec.Count {
				w.done[jobs.Task{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: i}] = true
			}
		}
	}
	_ = f
	_ = r
}

func (w *simulation) onAck(e EndedTask) {
	switch e.Kind {
	case EndDone:
		w.acked[e.Task] = true
	case EndFailed:
		w.failed[e.Task]++
	}
}

func sortedTasks(runs map[jobs.Task]*fakeRun) []jobs.Task {
	out := make([]jobs.Task, 0, len(runs))
	for t := range runs {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b jobs.Task) int {
		return cmp.Or(strings.Compare(string(a.Job), string(b.Job)), cmp.Compare(a.Occurrence, b.Occurrence),
			cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
	return out
}
