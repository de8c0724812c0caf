package planner

// adviceState is the placement adviser's permission for a step.
type adviceState struct {
	tickets map[WorkerID]string
	untilMS int64
	asking  bool
	askedMS int64
}

const (
	// adviceBatch is how many workers one question names; the adviser's time
	// grows with each.
	adviceBatch = 30
	// adviceRetryMS is the pause after a question without an answer.
	adviceRetryMS = 300
	// adviceMarginMS is the time that a start may take to arrive before its
	// ticket expires.
	adviceMarginMS = 100
)

func (a *adviceState) expire() { a.untilMS = 0 }

func (a *adviceState) allows(id WorkerID, nowMS int64) bool {
	return nowMS < a.untilMS && a.tickets[id] != ""
}

// advised reports whether the step has valid tickets, and asks for them when
// it has none.
func (c *Core) advised(s *step) bool {
	a := &s.advice
	if c.now.MS < a.untilMS {
		return true
	}
	if a.asking || c.now.MS-a.askedMS < adviceRetryMS {
		return false
	}
	var ids []WorkerID
	a.tickets = nil
	for _, w := range c.order {
		if w.info.Service == s.job.queue.Service && w.usable(c.now.MS) &&
			s.room().fits(w.info.Capacity.minus(w.used)) && len(ids) < adviceBatch {
			ids = append(ids, w.info.ID)
		}
	}
	if len(ids) == 0 {
		return false
	}
	a.asking, a.askedMS = true, c.now.MS
	c.emit(Advise{Step: s.id(), Workers: ids})
	return false
}

func (c *Core) adviceDone(e AdviceDone) {
	j := c.jobs[e.Step.Job]
	if j == nil {
		return
	}
	i := e.Step.Occurrence*len(j.spec.Steps) + e.Step.Step
	if i >= len(j.steps) {
		return
	}
	a := &j.steps[i].advice
	a.asking = false
	if e.Outcome != Done {
		return
	}
	a.tickets = e.Tickets
	j.steps[i].scanned = 0
	a.untilMS = c.now.MS + e.ValidityMS - adviceMarginMS
	c.wake = true
}
