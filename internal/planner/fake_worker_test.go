package planner

import (
	"fmt"

	"redwingvale/internal/jobs"
)

// fakeWorker implements the contract of a worker: fencing tokens, leases on its
// own clock, run numbers, and ends that are listed until they are acknowledged.
type fakeWorker struct {
	info         WorkerInfo
	sim          *simulation
	clockRate    float64
	clockStartMS int64
	startedMS    int64
	token        uint64
	leaseEndMS   int64
	// lapsedMS is when the lease was last found to be over.
	lapsedMS int64
	runs     map[jobs.Task]*fakeRun
	ended    []EndedTask
	lastEnd  int64
	// endedAt is the time of each listed end.
	endedAt map[int64]int64
	// highestRun is the highest run number that has been stopped or has ended.
	highestRun map[jobs.Task]int
	// downUntil is the end of a crash. Until cutOffUntil no call gets through,
	// but runs continue.
	downUntil, cutOffUntil int64
	// unlistedUntil is the time until which the directory lacks the worker's
	// entry.
	unlistedUntil int64
	// listedInfo is the entry of a former incarnation that the directory still has, or
	// nil.
	listedInfo *WorkerInfo
	failing    bool
	stuck      bool
}

type fakeRun struct {
	number      int
	remainingMS float64
	totalMS     float64
	pace        int
	checkpoint  string
	stopAtMS    int64
	room        Resources
	bestEffort  bool
	longRunning bool
	willFail    bool
}

func (f *fakeWorker) clock() int64 { return int64(float64(f.sim.now-f.clockStartMS) * f.clockRate) }

func (f *fakeWorker) reachable() bool { return f.sim.now >= f.downUntil && f.sim.now >= f.cutOffUntil }

// advance advances the runs by some milliseconds and ends those that are over.
func (f *fakeWorker) advance(ms int64) {
	if f.sim.now < f.downUntil {
		return
	}
	if f.clock() > f.leaseEndMS {
		f.lapsedMS = f.sim.now
		for task := range f.runs {
			f.finish(task, EndLapsed)
		}
	}
	for _, task := range sortedTasks(f.runs) {
		r := f.runs[task]
		if r.stopAtMS > 0 && f.sim.now >= r.stopAtMS {
			f.finish(task, EndStopped)
			continue
		}
		if r.stopAtMS > 0 || r.longRunning || f.stuck {
			continue
		}
		r.remainingMS -= float64(ms) * float64(r.pace) / 100
		switch {
		case r.remainingMS > 0:
		case r.willFail:
			f.finish(task, EndFailed)
		default:
			f.finish(task, EndDone)
		}
	}
}

func (f *fakeWorker) finish(task jobs.Task, kind EndKind) {
	r := f.runs[task]
	delete(f.runs, task)
	f.lastEnd++
	f.endedAt[f.lastEnd] = f.sim.now
	f.ended = append(f.ended, EndedTask{Number: f.lastEnd, Task: task, Run: r.number, Kind: kind, Checkpoint: r.savedCheckpoint()})
	f.highestRun[task] = max(f.highestRun[task], r.number)
	f.sim.onEnd(f, task, r, kind)
}

func (r *fakeRun) savedCheckpoint() string {
	if r.checkpoint == "" {
		return ""
	}
	return fmt.Sprintf("%d", int64(r.totalMS-r.remainingMS))
}

// crash loses all state and starts a new incarnation with the same ID.
func (f *fakeWorker) crash(downMS int64) {
	f.runs = map[jobs.Task]*fakeRun{}
	f.ended, f.lastEnd, f.endedAt, f.highestRun = nil, 0, map[int64]int64{}, map[jobs.Task]int{}
	f.downUntil = f.sim.now + downMS
	f.clockStartMS, f.startedMS = f.downUntil, f.downUntil+1
	f.token, f.leaseEndMS = 0, 0
	f.info.StartedMS = f.startedMS
}

func (f *fakeWorker) hold(h Hold) (Report, Outcome) {
	if h.Token < f.token {
		return Report{}, Fenced
	}
	f.token = h.Token
	if f.clock() > f.leaseEndMS {
		f.lapsedMS = f.sim.now
	}
	f.extend(h.LeaseEndMS)
	kept := f.ended[:0]
	for _, e := range f.ended {
		if e.Number > h.AckNumber {
			kept = append(kept, e)
		} else {
			f.sim.onAck(f, e)
		}
	}
	f.ended = kept
	return f.report(), Done
}

func (f *fakeWorker) extend(end int64) {
	f.leaseEndMS = max(f.leaseEndMS, min(end, f.clock()+f.sim.config.MaxLeaseMS))
}

func (f *fakeWorker) report() Report {
	ended := f.ended
	if limit := f.sim.endsPerReport; limit > 0 {
		ended = ended[:min(len(ended), limit)]
	}
	out := Report{StartedMS: f.startedMS, ClockMS: f.clock() + 1, Ended: append([]EndedTask(nil), ended...)}
	out.MoreEnded = len(ended) == f.sim.endsPerReport && f.sim.endsPerReport > 0
	f.sim.onListed(ended)
	for _, task := range sortedTasks(f.runs) {
		r := f.runs[task]
		percent := 100
		if !r.longRunning {
			percent = int(100 * (1 - r.remainingMS/r.totalMS))
		}
		out.Running = append(out.Running, RunningTask{Task: task, Run: r.number, Checkpoint: r.savedCheckpoint(), Percent: percent, Usage: 1000})
	}
	return out
}

func (f *fakeWorker) start(s Start) Outcome {
	switch r := f.runs[s.Task]; {
	case s.Token < f.token:
		return Fenced
	case r != nil && r.number == s.Run:
		f.token = s.Token
		return Done
	case s.Run <= f.highestRun[s.Task] || r != nil:
		f.token = s.Token
		f.extend(s.LeaseEndMS)
		return StaleRun
	case s.LeaseEndMS <= f.clock():
		return LeaseExpired
	}
	f.token = s.Token
	if !f.sim.ticketValid(f, s) {
		return NoTicket
	}
	spec := f.sim.spec(s.Task)
	room := Resources{CPUMilli: spec.CPUMilli, MemoryMB: spec.MemoryMB}
	if spec.BestEffort {
		room.CPUMilli = 0
	}
	used := room
	for _, r := range f.runs {
		used = used.plus(r.room)
	}
	f.extend(s.LeaseEndMS)
	if !used.fits(f.info.Capacity) {
		return NoRoom
	}
	run := &fakeRun{number: s.Run, room: room, pace: 100, bestEffort: spec.BestEffort, longRunning: spec.LongRunning}
	run.totalMS = float64(f.sim.durationMS(s.Task))
	run.remainingMS = run.totalMS
	if spec.Checkpointing {
		run.checkpoint = "0"
		if s.Checkpoint != "" {
			var done int64
			if _, err := fmt.Sscan(s.Checkpoint, &done); err == nil {
				run.remainingMS = max(run.totalMS-float64(done), 1)
			}
		}
	}
	run.willFail = f.failing || f.sim.fails(s.Task, s.Run)
	f.runs[s.Task] = run
	f.sim.onStart(f, s)
	return Done
}

func (f *fakeWorker) stop(s Stop) Outcome {
	if s.Token < f.token {
		return Fenced
	}
	f.token = s.Token
	f.highestRun[s.Task] = max(f.highestRun[s.Task], s.Run)
	if r := f.runs[s.Task]; r != nil && r.number <= s.Run && r.stopAtMS == 0 {
		r.stopAtMS = f.sim.now + 100
	}
	return Done
}

func (f *fakeWorker) setPace(p Pace) Outcome {
	if p.Token < f.token {
		return Fenced
	}
	if r := f.runs[p.Task]; r != nil && r.number == p.Run {
		r.pace = p.Percent
		return Done
	}
	return Invalid
}
