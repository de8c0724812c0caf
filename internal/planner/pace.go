package planner

import (
	"cmp"
	"math"
	"slices"
)

// interferenceState is the current effect of a worker's best-effort tasks on
// its serving tasks.
type interferenceState struct {
	// worst is the largest smoothed tail of a serving task as a share of its
	// target.
	worst float64
	// marginCut is the share by which the margins are cut; 0 means not at all.
	marginCut float64
	// overMS is how long a serving task has been over its target.
	overMS        int64
	paceChangedMS int64
	lastMoveMS    int64
}

// Bounds on the tail latency of serving tasks, as shares of their target, and
// intervals of the control loop.
const (
	// paceTailLimit is the tail that the paces of a worker's best-effort tasks
	// may lead to; placeTailLimit is the tail that a newly placed one may lead
	// to.
	paceTailLimit  = 0.90
	placeTailLimit = 0.90
	// paceHorizonMS is the time until a new pace has taken effect and the next
	// one can follow; placeHorizonMS is the same for a new task.
	paceHorizonMS  = 900
	placeHorizonMS = 1500
	// maxRiseByBestEffort is the highest rise that the best-effort tasks may
	// cause: requests that are served at half the speed queue up.
	maxRiseByBestEffort = 0.9
	// marginCutTail is the measured tail at which the margins of a worker are
	// multiplied by marginCutFactor, because the model is wrong there;
	// marginRestoreStep is given back in each round of paces.
	marginCutTail     = 1.1
	marginCutFactor   = 0.6
	marginRestoreStep = 0.1
	// overTargetTail is the smoothed tail from which a task counts as over its
	// target. After a quarter of InterferenceMS all best-effort tasks beside it
	// are paused; the readings, their smoothing and the call take half of that
	// time.
	overTargetTail   = 0.97
	overLimitDivisor = 4
	// nearTargetTail is the tail above which hold calls to a worker wait at
	// most nearTargetHoldWaitMS.
	nearTargetTail       = 0.8
	nearTargetHoldWaitMS = 300
	// placeLimitDelayMS is how long a step waits before its tail limit rises
	// above placeTailLimit, by placeLimitPerSecond.
	placeLimitDelayMS   = 15_000
	placeLimitPerSecond = 0.04
	// negligibleCoefficient is the effect below which slowing a best-effort
	// task has no benefit: a tenth of the processors would change a tail by a
	// few percent.
	negligibleCoefficient = 0.8
	// tailWeight and usageWeight are the weights of the newest reading in the
	// smoothed values; readings vary by a third.
	tailWeight  = 0.4
	usageWeight = 0.5
	// paceIntervalMS is the minimum time between two changes, so that the
	// effect of one shows in the readings before the next.
	paceIntervalMS = 400
	// paceStepMin is the smallest change of a pace that is worth a call, in
	// percent.
	paceStepMin = 8
	// moveBelow is the pace below which a best-effort task is moved if another
	// worker can take it, at most one per moveIntervalMS from a worker.
	moveBelow      = 40
	moveIntervalMS = 300
	// moveGainMS is the minimum gain of a move beyond its own cost.
	moveGainMS = 1000
	// moveAfterMS is the minimum age of a run that is moved.
	moveAfterMS = 900
)

// marginShare returns the share of the margins that may be used.
func (i *interferenceState) marginShare() float64 { return 1 - i.marginCut }

// adjustMargins cuts the margins while the measured tails exceed the model's
// predictions and restores them afterwards.
func (i *interferenceState) adjustMargins(overLimitMS int64) {
	switch {
	case i.overMS > overLimitMS:
		i.marginCut = 1
	case i.worst > marginCutTail:
		i.marginCut = 1 - (1-i.marginCut)*marginCutFactor
	default:
		i.marginCut = max(i.marginCut-marginRestoreStep, 0)
	}
}

// nearTarget reports whether a tail is so close to its target that the worker
// needs more frequent hold calls.
func (i *interferenceState) nearTarget() bool { return i.worst > nearTargetTail }

// pressure returns the worst tail, at most 1: 0 without serving tasks, 1 if one
// is at or over its target.
func (i *interferenceState) pressure() float64 { return min(i.worst, 1) }

// hasFreshTail reports whether the run is a running serving task with a reading
// of its tail.
func (r *run) hasFreshTail() bool {
	return r.task.step.spec.TailTargetMS > 0 && r.phase == running && r.usageMS > 0 && r.usage > 0
}

func (r *run) tailRatio() float64 {
	return float64(r.usage) / float64(r.task.step.spec.TailTargetMS)
}

// controlInterference updates the model with a worker's report and adjusts the
// paces of its best-effort tasks.
func (c *Core) controlInterference(w *worker) {
	in := &w.interference
	in.worst, in.overMS = 0, 0
	w.plannedValid = false
	u := c.bestEffortUseOn(w)
	for _, r := range w.runs {
		if r.hasFreshTail() {
			c.observeTail(r, u)
			ratio := min(r.tailRatio(), maxRatio)
			if r.smoothedTail == 0 {
				r.smoothedTail, r.underTargetMS = ratio, c.now.MS
			}
			r.smoothedTail += tailWeight * (ratio - r.smoothedTail)
			in.worst = max(in.worst, r.smoothedTail)
			if r.smoothedTail < overTargetTail {
				r.underTargetMS = c.now.MS
			}
			in.overMS = max(in.overMS, c.now.MS-r.underTargetMS)
		}
	}
	if c.now.MS-in.paceChangedMS < paceIntervalMS {
		return
	}
	in.adjustMargins(c.config.InterferenceMS / overLimitDivisor)
	c.setPaces(w)
	c.moveBestEffort(w)
}

// observeTail updates the models with a reading of a serving task.
func (c *Core) observeTail(r *run, u bestEffortUse) {
	s, ratio := r.task.step, r.tailRatio()
	m := c.tailModel(s)
	if s.baseline.known && !c.lag.behind && m.takesReading(c.now.MS) {
		m.observe(u, math.Log(max(ratio, minRatio)/s.baseline.current(c.now.MS)))
	}
	s.baseline.observe(ratio, m.predictedRise(u), len(s.tasks), c.now.MS)
}

func (c *Core) sendPace(r *run) {
	r.paceInFlight = true
	w := r.worker
	c.emit(Pace{Worker: w.info.ID, Address: w.info.Address, Token: w.token, Task: r.task.ref(), Run: r.number, Percent: r.targetPace})
}

// margin is the rise of a serving task's tail that is still allowed, as a share
// of its baseline.
type margin struct {
	model     *tailModel
	remaining float64
}

// margins returns the allowed rise of each serving task's tail up to
// paceTailLimit. The result is valid until the next call.
func (c *Core) margins(w *worker) []margin {
	out := c.marginBuffer[:0]
	for _, r := range w.runs {
		s := r.task.step
		if s.spec.TailTargetMS <= 0 || r.phase == stopping {
			continue
		}
		out = append(out, margin{c.tailModel(s), min(paceTailLimit/s.baseline.peak(c.now.MS, paceHorizonMS)-1, maxRiseByBestEffort) * w.interference.marginShare()})
	}
	c.marginBuffer = out
	return out
}

// setPaces gives each best-effort task the highest pace that the serving tasks
// tolerate, by their rank and then those that interfere least first.
func (c *Core) setPaces(w *worker) {
	bestEffort := c.paceBuffer[:0]
	for _, r := range w.runs {
		if r.task.step.spec.BestEffort && r.phase == running {
			bestEffort = append(bestEffort, pacedRun{r, c.paceRank(r), c.worstCoefficient(w, r.task.step)})
		}
	}
	c.paceBuffer = bestEffort
	if len(bestEffort) == 0 {
		return
	}
	margins := c.margins(w)
	slices.SortStableFunc(bestEffort, func(a, b pacedRun) int {
		if d := cmp.Compare(a.rank, b.rank); d != 0 {
			return d
		}
		return cmp.Compare(a.coefficient, b.coefficient)
	})
	for i := range bestEffort {
		r := bestEffort[i].run
		share := 1.0
		column := c.modelColumn(r.task.step)
		use := c.fullPaceUse(w, r)
		for _, m := range margins {
			coefficient := m.model.coefficient(column)
			if coefficient > negligibleCoefficient*w.interference.marginShare() {
				share = min(share, max(m.remaining, 0)/(coefficient*use))
			}
		}
		for i := range margins {
			margins[i].remaining -= margins[i].model.coefficient(column) * use * share
		}
		r.targetPace = int(100 * share)
		if change := r.targetPace - r.pace; !r.paceInFlight && (r.paceUnknown || change <= -paceStepMin || change >= paceStepMin || change != 0 && r.targetPace == 100) {
			w.interference.paceChangedMS = c.now.MS
			c.sendPace(r)
		}
	}
}

// pacedRun is a best-effort run whose pace is to be set, with what orders it.
type pacedRun struct {
	run         *run
	rank        int
	coefficient float64
}

// fullPaceUse returns the share of the worker's processors that the run would
// use at full pace.
func (c *Core) fullPaceUse(w *worker, r *run) float64 {
	return bestEffortLoad * float64(r.task.step.spec.CPUMilli) / float64(max(w.info.Capacity.CPUMilli, 1))
}

// worstCoefficient returns the largest effect of the step's image on a serving
// task of the worker.
func (c *Core) worstCoefficient(w *worker, s *step) float64 {
	worst := 0.0
	for _, r := range w.runs {
		if spec := r.task.step.spec; spec.TailTargetMS > 0 {
			worst = max(worst, c.tailModel(r.task.step).coefficient(c.modelColumn(s)))
		}
	}
	return worst
}

// predictedTail returns the worst tail of the worker's serving tasks, as a
// share of their targets, if another task of the step ran there at full pace
// beside the present ones at full pace.
func (c *Core) predictedTail(w *worker, s *step) float64 {
	more := bestEffortLoad * float64(s.spec.CPUMilli) / float64(max(w.info.Capacity.CPUMilli, 1))
	worst := 0.0
	column := c.modelColumn(s)
	for _, t := range c.plannedTails(w) {
		worst = max(worst, t.baseline*(1+t.rise+t.model.coefficient(column)*more))
	}
	return worst
}

// plannedTail is the tail that the serving tasks of one image have to expect
// with all best-effort tasks at full pace.
type plannedTail struct {
	model *tailModel
	// baseline is the highest baseline tail of these tasks, rise the rise
	// caused by the best-effort tasks.
	baseline, rise float64
}

// plannedTails returns the planned tail of each serving image. It is cached
// until a report or a change of the worker's runs.
func (c *Core) plannedTails(w *worker) []plannedTail {
	if w.plannedValid {
		return w.planned
	}
	w.plannedValid = true
	w.planned = w.planned[:0]
	for _, r := range w.runs {
		s := r.task.step
		if s.spec.TailTargetMS <= 0 || r.phase == stopping {
			continue
		}
		model, baseline := c.tailModel(s), s.baseline.peak(c.now.MS, placeHorizonMS)
		i := slices.IndexFunc(w.planned, func(t plannedTail) bool { return t.model == model })
		if i < 0 {
			w.planned = append(w.planned, plannedTail{model: model, baseline: baseline})
		} else {
			w.planned[i].baseline = max(w.planned[i].baseline, baseline)
		}
	}
	for i := range w.planned {
		t := &w.planned[i]
		for _, r := range w.runs {
			if r.task.step.spec.BestEffort && r.phase != stopping {
				t.rise += t.model.coefficient(c.modelColumn(r.task.step)) * c.plannedUse(w, r)
			}
		}
	}
	return w.planned
}

// advantage returns by how much less the step's image affects the worker's
// serving tasks than the average best-effort image. Images with little effect
// anywhere thus leave the workers that tolerate other images to those.
func (c *Core) advantage(w *worker, s *step) float64 {
	mean, coefficient := 0.0, 0.0
	column := c.modelColumn(s)
	for _, t := range c.plannedTails(w) {
		mean = max(mean, t.model.meanCoefficient())
		coefficient = max(coefficient, t.model.coefficient(column))
	}
	return mean - coefficient
}

// moveBestEffort stops a slowed best-effort task that another worker can run at
// full pace; it resumes there from its checkpoint.
func (c *Core) moveBestEffort(w *worker) {
	if c.commandsWithheld() || c.lag.behind || c.now.MS-w.interference.lastMoveMS < moveIntervalMS {
		return
	}
	for _, r := range w.runs {
		s := r.task.step
		if !s.spec.BestEffort || !s.spec.Checkpointing || s.spec.Gang || r.phase != running || r.pace >= moveBelow ||
			c.now.MS-r.confirmedMS < moveAfterMS {
			continue
		}
		remaining := c.expectedDuration(s) * float64(100-r.percent) / 100
		gain := remaining*100/float64(max(r.pace, 1)) - remaining
		if gain < float64(c.config.StopTimeoutMS+c.config.RestoreMS)+moveGainMS+c.lostWork(r) ||
			!c.mayStopAgain(r.task, stopInterference) || !c.fitsElsewhere(s, w) {
			continue
		}
		w.interference.lastMoveMS = c.now.MS
		r.task.avoid(w)
		c.stopForReplacement(r, stopInterference)
		return
	}
}

func (c *Core) paceDone(e PaceDone) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	r := w.findRun(e.Task, e.Run)
	if r == nil {
		return
	}
	r.paceInFlight = false
	switch e.Outcome {
	case OutcomeUnknown:
		// The worker may have carried it out, or may still do so: the pace is set
		// again, with a token that fences the late call.
		r.paceUnknown = true
		c.raiseToken(w, e.Token)
	case Done:
		r.pace, r.paceUnknown = e.Percent, false
		r.progressMS, r.firstReportMS = c.now.MS, 0
		w.demandValid = false
	}
}
