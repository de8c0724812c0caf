package planner

// interference is what a worker's serving tasks suffer and how far the tasks
// that fill beside them are slowed down.
type interference struct {
	// worst is the largest tail of a serving task against its target.
	worst float64
	// percent is the pace of the filling tasks.
	percent   int
	set       bool
	changedMS int64
	overSince int64
}

// The controller lowers the pace of filling tasks well before the target is
// reached: the figure it reads is half a second old.
const (
	tailHigh      = 0.85
	tailLow       = 0.6
	paceStepDown  = 0.5
	paceStepUp    = 20
	paceFloor     = 10
	paceIntervalM = 500
	// admitPace is the pace below which a worker gets no more filling tasks.
	admitPace = 70
)

func (i *interference) pace() int {
	if !i.set {
		return 100
	}
	return i.percent
}

func (i *interference) admits() bool { return i.pace() >= admitPace && i.worst < tailHigh }

// pressure is 0 where the serving tasks are well, 1 where one is at its target.
func (i *interference) pressure() float64 { return min(i.worst, 1) }

// balanceFill sets the pace of the filling tasks from the serving tasks' tails.
func (c *Core) balanceFill(w *worker) {
	in := &w.interference
	in.worst = 0
	serving := false
	for _, r := range w.runs {
		target := r.task.step.spec.TailTargetMS
		if target <= 0 || r.phase != running || r.usageMS != c.now.MS {
			continue
		}
		serving = true
		in.worst = max(in.worst, float64(r.usage)/float64(target))
	}
	if c.now.MS-in.changedMS >= paceIntervalM {
		c.adjustPace(in, serving)
	}
	for _, r := range w.runs {
		if r.task.step.spec.Fills && r.phase == running && !r.pacing && r.pace != in.pace() {
			r.pacing = true
			c.emit(Pace{
				Worker: w.info.ID, Address: w.info.Address, Token: w.token,
				Task: r.task.ref(), Run: r.number, Percent: in.pace(),
			})
		}
	}
}

func (c *Core) adjustPace(in *interference, serving bool) {
	next := in.pace()
	switch {
	case !serving:
		next = 100
	case in.worst >= 1:
		next = int(float64(next) * paceStepDown)
		if next < paceFloor {
			next = 0
		}
	case in.worst >= tailHigh:
		next = max(int(float64(next)*0.75), paceFloor)
	case in.worst < tailLow:
		next = min(next+paceStepUp, 100)
	}
	if next == in.pace() {
		return
	}
	in.percent, in.set, in.changedMS = next, true, c.now.MS
	c.wake = true
}

func (c *Core) paceDone(e PaceDone) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	r := w.find(e.Task, e.Run)
	if r == nil {
		return
	}
	r.pacing = false
	if e.Outcome == Done {
		r.pace = e.Percent
	}
}
