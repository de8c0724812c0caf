package planner

import "slices"

// The members of a gang start together, so that it needs tickets for all of them at one
// moment, and a ticket expires. A gang asks about as many workers as are expected to
// complete its set in one response, however long that takes, and keeps its turn until
// the set is complete: with equal shares of the adviser's time none of several gangs
// would ever have enough.

const (
	// maxGangRequests is the number of requests of a gang in one turn.
	maxGangRequests = 4
	// minAllowedShare bounds the learned share of workers that a queue's policy allows.
	minAllowedShare = 0.05
	// gangQueryRounds bounds the rounds in which the number of workers in a request and
	// the time of its response are fitted to each other.
	gangQueryRounds = 4
)

// noteAllowed learns from a response which share of a queue's workers the adviser
// allows. Workers that were allowed before say nothing about the others.
func (c *Core) noteAllowed(s *step, e AdviceDone) {
	q := &c.advice
	if q.allowed == nil {
		q.allowed = map[string]*estimate{}
	}
	queue := s.job.spec.Queue
	if q.allowed[queue] == nil {
		q.allowed[queue] = &estimate{}
	}
	for _, asked := range s.advice.requested {
		switch t := s.advice.tickets[asked.worker]; {
		case t.value != "" && t.startedMS == asked.startedMS:
		case e.Tickets[asked.worker] != "":
			q.allowed[queue].add(1)
		default:
			q.allowed[queue].add(0)
		}
	}
}

func (q *adviceQueue) allowedShare(queue string) float64 {
	if e := q.allowed[queue]; e != nil && e.n > 0 {
		return max(e.mean, minAllowedShare)
	}
	return 1
}

// tasksThatFit returns how many of the step's waiting tasks a worker has room for.
func (c *Core) tasksThatFit(s *step, w *worker) int {
	n := 0
	for n < len(s.pending) && c.fitsCount(s, w, n+1) {
		n++
	}
	return n
}

// gangQuery returns the workers about which a gang asks next, or none if it has enough
// tickets, or cannot get enough now because too few workers that are not denied have
// room. Workers that were allowed before come first: the adviser's response for one
// incarnation does not change.
func (c *Core) gangQuery(s *step) []*worker {
	a, rule := &s.advice, s.job.queue.Advice
	var allowed, unknown, query []*worker
	possible := 0
	for _, w := range c.sortedWorkers {
		if c.obstacle(s, w) != noObstacle {
			continue
		}
		fit := c.tasksThatFit(s, w)
		if fit == 0 {
			continue
		}
		possible += fit
		if t := a.tickets[w.info.ID]; t.value != "" && t.startedMS == w.startedMS {
			allowed = append(allowed, w)
		} else {
			unknown = append(unknown, w)
		}
	}
	if possible < len(s.pending) {
		return nil
	}
	slices.SortStableFunc(unknown, s.compareAdviceCandidates)
	share := c.advice.allowedShare(s.job.spec.Queue)
	for range gangQueryRounds {
		responseMS := c.now.MS + rule.DecisionMS + int64(len(query))*rule.WorkerMS + adviceMarginMS
		former := len(query)
		query = query[:0]
		missing := float64(len(s.pending))
		for _, w := range allowed {
			if a.tickets[w.info.ID].untilMS > responseMS {
				missing -= float64(c.tasksThatFit(s, w))
			}
		}
		for _, w := range allowed {
			if missing > 0 && len(query) < maxAdviceBatch && a.tickets[w.info.ID].untilMS <= responseMS {
				query = append(query, w)
				missing -= float64(c.tasksThatFit(s, w))
			}
		}
		for _, w := range unknown {
			if missing > 0 && len(query) < maxAdviceBatch {
				query = append(query, w)
				missing -= share * float64(c.tasksThatFit(s, w))
			}
		}
		if len(query) <= former {
			break
		}
	}
	return query
}

// holdsTickets reports whether a gang's valid tickets are enough for all members that
// wait.
func (c *Core) holdsTickets(s *step) bool {
	fit := 0
	for _, w := range c.sortedWorkers {
		if s.advice.allows(w, c.now.MS) && c.obstacle(s, w) == noObstacle {
			fit += c.tasksThatFit(s, w)
		}
	}
	return fit >= len(s.pending)
}

// askForGang sends a gang's next request unless its tickets are enough or cannot become
// so now.
func (c *Core) askForGang(s *step) {
	if !s.needsAdvice() || c.commandsWithheld() || c.holdsTickets(s) {
		return
	}
	if query := c.gangQuery(s); len(query) > 0 {
		c.sendAdvise(s, query[:max(len(query)>>s.advice.failures, 1)])
	}
}
