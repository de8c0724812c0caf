package planner

import (
	"cmp"
	"math"
	"slices"
)

// interferenceState is what a worker's serving tasks suffer from the tasks that
// fill beside them.
type interferenceState struct {
	// worst is the largest tail of a serving task against its target.
	worst float64
	// marginCut is by how much the margins are cut, 0 for not at all.
	marginCut float64
	// overMS is how long a serving task has been over its target.
	overMS        int64
	paceChangedMS int64
	lastMoveMS    int64
}

// Bounds on the tail of serving tasks, in shares of their target.
const (
	// paceTailLimit is what the paces of a worker's filling tasks aim at, tailPlace
	// what a new one may raise the tail to.
	paceTailLimit  = 0.90
	placeTailLimit = 0.90
	// paceHorizonMS is how long a new pace takes to show and to be followed by the
	// next one; placeAheadMS the same for a new task.
	paceHorizonMS  = 900
	placeHorizonMS = 1500
	// maxRiseByBestEffort is the highest rise that the filling tasks may cause: users that
	// are served half as fast queue up.
	maxRiseByBestEffort = 0.9
	// marginCutTail is the tail that was seen, in targets, at which the margins of a
	// worker are cut by tightenBy, because the model has failed there; they
	// are given back by loosenBy in each round of paces.
	marginCutTail     = 1.1
	marginCutFactor   = 0.6
	marginRestoreStep = 0.1
	// overTargetTail is the smoothed tail from which a task counts as over its target.
	// After a quarter of InterferenceMS nothing fills beside it any more; the
	// readings, their smoothing and the order take half of that time.
	overTargetTail   = 0.97
	overLimitDivisor = 4
	// nearTargetTail is the tail above which a worker is looked at every closeWaitMS.
	nearTargetTail       = 0.8
	nearTargetHoldWaitMS = 300
	// placeLimitDelayMS is how long a step waits before tailPlace rises, by
	// tailPerSecond.
	placeLimitDelayMS   = 15_000
	placeLimitPerSecond = 0.04
	// negligibleCoefficient is the effect below which slowing a filling task helps
	// nobody: a tenth of the processors would move a tail by a few percent.
	negligibleCoefficient = 0.8
	// tailWeight and usageWeight smooth the readings, which vary by a third.
	tailWeight  = 0.4
	usageWeight = 0.5
	// paceIntervalMS lets a change show in the figures before the next one.
	paceIntervalMS = 400
	// paceStepMin is the least change that is worth a call, in percent.
	paceStepMin = 8
	// moveBelow is the pace below which a filling task is moved if another
	// worker can take it, at most one in moveIntervalMS from a worker.
	moveBelow      = 40
	moveIntervalMS = 300
	// moveGainMS is what a move has to win beyond its own cost.
	moveGainMS = 1000
	// moveAfterMS is the least age of a run that is moved.
	moveAfterMS = 900
)

// marginShare is the share of the margins that may be used.
func (i *interferenceState) marginShare() float64 { return 1 - i.marginCut }

// adjustMargins cuts the margins while the tails are over what the model expects.
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

// nearTarget reports whether a tail is so near to its target that the worker has to
// be looked at more often.
func (i *interferenceState) nearTarget() bool { return i.worst > nearTargetTail }

// pressure is 0 where the serving tasks are well, 1 where one is at its target.
func (i *interferenceState) pressure() float64 { return min(i.worst, 1) }

// hasFreshTail reports whether the run is a serving task at work with a fresh figure.
func (r *run) hasFreshTail() bool {
	return r.task.step.spec.TailTargetMS > 0 && r.phase == running && r.usageMS > 0 && r.usage > 0
}

func (r *run) tailRatio() float64 {
	return float64(r.usage) / float64(r.task.step.spec.TailTargetMS)
}

// controlInterference learns from a report and sets the pace of the filling tasks.
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

// observeTail learns from a reading of a serving task.
func (c *Core) observeTail(r *run, u bestEffortUse) {
	s, ratio := r.task.step, r.tailRatio()
	m := c.tailModel(s)
	if s.baseline.known {
		m.observe(u, math.Log(max(ratio, minRatio)/s.baseline.current(c.now.MS)))
	}
	s.baseline.observe(ratio, m.predictedRise(u), len(s.tasks), c.now.MS)
}

func (c *Core) sendPace(r *run) {
	r.paceInFlight = true
	w := r.worker
	c.emit(Pace{Worker: w.info.ID, Address: w.info.Address, Token: w.token, Task: r.task.ref(), Run: r.number, Percent: r.targetPace})
}

// margin is how much the tail of a serving task may still rise, as a share of
// its own tail.
type margin struct {
	model *tailModel
	left  float64
}

// margins returns by how much the tail of each serving task may rise to the
// aim. The result is valid until the next call.
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

// setPaces gives each filling task the highest pace that the serving tasks
// bear, the least disturbing ones first.
func (c *Core) setPaces(w *worker) {
	var fills []*run
	for _, r := range w.runs {
		if r.task.step.spec.Fills && r.phase == running {
			fills = append(fills, r)
		}
	}
	if len(fills) == 0 {
		return
	}
	margins := c.margins(w)
	slices.SortStableFunc(fills, func(a, b *run) int {
		if d := cmp.Compare(c.lateness(a.task.step), c.lateness(b.task.step)); d != 0 {
			return d
		}
		return cmp.Compare(c.worstCoefficient(w, a.task.step), c.worstCoefficient(w, b.task.step))
	})
	for _, r := range fills {
		share := 1.0
		column := c.modelColumn(r.task.step)
		use := c.fullPaceUse(w, r)
		for _, m := range margins {
			coefficient := m.model.coefficient(column)
			if coefficient > negligibleCoefficient*w.interference.marginShare() {
				share = min(share, max(m.left, 0)/(coefficient*use))
			}
		}
		for i := range margins {
			margins[i].left -= margins[i].model.coefficient(column) * use * share
		}
		r.targetPace = int(100 * share)
		if change := r.targetPace - r.pace; !r.paceInFlight && (change <= -paceStepMin || change >= paceStepMin || change != 0 && r.targetPace == 100) {
			w.interference.paceChangedMS = c.now.MS
			c.sendPace(r)
		}
	}
}

// fullPaceUse is the share of the worker's processors that the run would use at
// full pace.
func (c *Core) fullPaceUse(w *worker, r *run) float64 {
	return bestEffortLoad * float64(r.task.step.spec.CPUMilli) / float64(max(w.info.Capacity.CPUMilli, 1))
}

// worstCoefficient is the largest effect of the step's image on a serving
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

// predictedTail is the worst tail of the worker's serving tasks, against
// their targets, if another task of the step ran there at full pace beside
// the present ones at theirs.
func (c *Core) predictedTail(w *worker, s *step) float64 {
	more := bestEffortLoad * float64(s.spec.CPUMilli) / float64(max(w.info.Capacity.CPUMilli, 1))
	worst := 0.0
	column := c.modelColumn(s)
	for _, t := range c.plannedTails(w) {
		worst = max(worst, t.baseline*(1+t.rise+t.model.coefficient(column)*more))
	}
	return worst
}

// plannedTail is what the serving tasks of one image have to expect with all
// filling tasks at full pace.
type plannedTail struct {
	model *tailModel
	// baseline is the highest baseline tail, rise the rise by the filling tasks.
	baseline, rise float64
}

// plannedTails returns the planned tail of each serving image. It is kept until
// a report or a start changes it.
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
		model, own := c.tailModel(s), s.baseline.peak(c.now.MS, placeHorizonMS)
		i := slices.IndexFunc(w.planned, func(t plannedTail) bool { return t.model == model })
		if i < 0 {
			w.planned = append(w.planned, plannedTail{model: model, baseline: own})
		} else {
			w.planned[i].baseline = max(w.planned[i].baseline, own)
		}
	}
	for i := range w.planned {
		t := &w.planned[i]
		for _, r := range w.runs {
			if r.task.step.spec.Fills && r.phase != stopping {
				t.rise += t.model.coefficient(c.modelColumn(r.task.step)) * c.fullPaceUse(w, r)
			}
		}
	}
	return w.planned
}

// advantage is by how much less the step's image disturbs the worker's serving
// tasks than the other filling images do on average. Images that disturb
// little anywhere thus leave the workers that bear the others to these.
func (c *Core) advantage(w *worker, s *step) float64 {
	mean, own := 0.0, 0.0
	column := c.modelColumn(s)
	for _, t := range c.plannedTails(w) {
		mean = max(mean, t.model.meanCoefficient())
		own = max(own, t.model.coefficient(column))
	}
	return mean - own
}

// moveBestEffort stops a slowed filling task that another worker can take at full
// pace; it resumes there from its checkpoint.
func (c *Core) moveBestEffort(w *worker) {
	if c.now.MS-w.interference.lastMoveMS < moveIntervalMS {
		return
	}
	for _, r := range w.runs {
		s := r.task.step
		if !s.spec.Fills || !s.spec.Checkpointing || s.spec.Gang || r.phase != running || r.pace >= moveBelow ||
			c.now.MS-r.confirmedMS < moveAfterMS {
			continue
		}
		left := c.expected(s) * float64(100-r.percent) / 100
		gain := left*100/float64(max(r.pace, 1)) - left
		if gain < float64(c.config.StopTimeoutMS+c.config.RestoreMS)+moveGainMS || c.pick(r.task, w) == nil {
			continue
		}
		w.interference.lastMoveMS = c.now.MS
		if !slices.Contains(r.task.avoided, w) {
			r.task.avoided = append(r.task.avoided, w)
		}
		c.stopRun(r, "disturbs serving tasks")
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
	if e.Outcome == Done {
		r.pace = e.Percent
		r.progressMS, r.firstReportMS = c.now.MS, 0
		w.demandValid = false
	}
}
