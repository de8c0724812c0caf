package framework

import (
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// attemptsPerLimit bounds the tasks that one Schedule looks at, as a multiple
// of its limit, so that a queue of refused tasks cannot hold it up.
const attemptsPerLimit = 4

// visitsPerCandidate bounds the workers that one decision filters, as a
// multiple of Config.Candidates.
const visitsPerCandidate = 4

// exhaustiveUpTo is the number of workers up to which every worker with room
// is scored. Both sites are below it today; there, the few starts per second
// leave time for the better choice.
const exhaustiveUpTo = 128

// candidate is a worker that passed every filter.
type candidate struct {
	worker *Worker
	score  float64
}

// Schedule implements policy.Decider.
func (k *Kernel) Schedule(now time.Duration, limit int) []policy.Placement {
	k.cluster.Now = now
	k.queues.flushBackoff(now)
	k.queues.wakeDue(now)
	var out []policy.Placement
	for tried := 0; tried < limit*attemptsPerLimit && len(out) < limit; tried++ {
		t := k.nextActive()
		if t == nil {
			break
		}
		w, why, refusal := k.decide(t)
		if w == nil {
			k.refuse(t, refusal)
			continue
		}
		k.queues.detach(t)
		if k.cluster.Config.broken == brokenDetach {
			k.queues.backoff.push(t, now+moveWindow)
		}
		k.assume(t, w)
		k.checkRoom(w)
		if out == nil {
			out = make([]policy.Placement, 0, min(limit, k.queues.active.len()+1))
		}
		out = append(out, policy.Placement{Task: t.ID, Worker: w.ID, Why: why})
	}
	return out
}

// nextActive takes the first task of an open shape, or a woken one.
func (k *Kernel) nextActive() *Item {
	for k.queues.active.len() > 0 {
		t := k.queues.active.pop()
		if !t.shape.closed || t.shape.trial == t {
			return t
		}
		k.queues.add(t)
	}
	return nil
}

// decide chooses a worker for a task, or returns why there is none.
func (k *Kernel) decide(t *Item) (*Worker, string, Status) {
	k.estimate(t)
	t.Borrowed = false
	for _, p := range k.plugins.admit {
		if s := p.Admit(&k.cluster, t); !s.OK() {
			return nil, "", s
		}
	}
	refusal := k.collectCandidates(t)
	for len(k.candidates) > 0 {
		best, why := k.best(t)
		w := k.candidates[best].worker
		s := k.reserve(t, w)
		if s.OK() {
			return w, why, s
		}
		refusal = s
		k.candidates = append(k.candidates[:best], k.candidates[best+1:]...)
	}
	return nil, "", refusal
}

// collectCandidates fills k.candidates from random starts in the index. With
// no candidate it returns the most helpful refusal.
func (k *Kernel) collectCandidates(t *Item) Status {
	k.candidates = k.candidates[:0]
	refusal := Refuse(string(k.scarce(t)), "no worker has room", RoomFreed|WorkersChanged|HealthChanged)
	n := len(k.cluster.Workers)
	if n == 0 {
		return refusal
	}
	want := k.cluster.Config.Candidates
	if n <= exhaustiveUpTo {
		return k.collectAll(t, refusal)
	}
	for visits := 0; visits < want*visitsPerCandidate && len(k.candidates) < want; visits++ {
		i := k.nextWithRoom(k.random.below(n), &t.Need)
		if i < 0 {
			return refusal
		}
		refusal = k.consider(t, k.cluster.Workers[i], refusal)
	}
	return refusal
}

// collectAll considers every worker of a small cluster.
func (k *Kernel) collectAll(t *Item, refusal Status) Status {
	need := t.Need
	if k.cluster.Config.broken == brokenRoom {
		need = spec.Resources{}
	}
	for i := k.index.next(0, &need); i >= 0; i = k.index.next(i+1, &need) {
		refusal = k.consider(t, k.cluster.Workers[i], refusal)
	}
	return refusal
}

// nextWithRoom searches the index from a start and wraps around.
func (k *Kernel) nextWithRoom(start int, need *spec.Resources) int {
	if i := k.index.next(start, need); i >= 0 {
		return i
	}
	return k.index.next(0, need)
}

// consider filters one worker and adds it to the candidates.
func (k *Kernel) consider(t *Item, w *Worker, refusal Status) Status {
	for _, c := range k.candidates {
		if c.worker == w {
			return refusal
		}
	}
	for _, p := range k.plugins.filter {
		if k.cluster.Config.broken == brokenRoom {
			break
		}
		if s := p.Filter(&k.cluster, t, w); !s.OK() {
			s.WakeOn |= refusal.WakeOn
			return s
		}
	}
	k.candidates = append(k.candidates, candidate{worker: w})
	return refusal
}

// best returns the position of the candidate with the highest weighted score
// and the name of the plug-in that favoured it most. Equal scores are broken
// by the seeded generator.
func (k *Kernel) best(t *Item) (int, string) {
	weights := k.cluster.Profile(t.ServiceIndex).weights
	best, bestWhy, ties := 0, "only candidate", 1
	for i := range k.candidates {
		c := &k.candidates[i]
		c.score = 0
		why, largest := "tie", 0.0
		for j, p := range k.plugins.score {
			part := weights[j] * p.Score(&k.cluster, t, c.worker)
			c.score += part
			if part > largest {
				why, largest = p.Name(), part
			}
		}
		switch {
		case i == 0 || c.score > k.candidates[best].score:
			best, bestWhy, ties = i, why, 1
		case c.score == k.candidates[best].score:
			ties++
			if k.random.below(ties) == 0 {
				best, bestWhy = i, why
			}
		}
	}
	return best, bestWhy
}

// reserve asks every Reserver and undoes on the first refusal.
func (k *Kernel) reserve(t *Item, w *Worker) Status {
	for i, p := range k.plugins.reserve {
		s := p.Reserve(&k.cluster, t, w)
		if s.OK() || k.cluster.Config.broken == brokenRoom {
			continue
		}
		for j := i - 1; j >= 0; j-- {
			k.plugins.reserve[j].Unreserve(&k.cluster, t, w)
		}
		return s
	}
	return Status{}
}

// assume books a task on a worker.
func (k *Kernel) assume(t *Item, w *Worker) {
	k.checkWaits(t)
	t.Worker = w
	t.state = assumed
	k.cluster.Running++
	t.StartedAt = k.cluster.Now
	t.workedBefore, t.speedSince = 0, k.cluster.Now
	t.StartProgress = t.Progress
	t.runPos = len(w.Running)
	w.Running = append(w.Running, t)
	w.Reserved = w.Reserved.Add(t.Need)
	k.refresh(w)
}

// refuse parks a task or, after an error, lets it back off.
func (k *Kernel) refuse(t *Item, refusal Status) {
	if refusal.Code == Error {
		k.queues.addBackoff(t, k.cluster.Now+k.cluster.Config.RetryEvery)
		t.refusal = refusal
		return
	}
	k.queues.park(t, refusal, k.cluster.Now, k.cluster.Config.RetryEvery)
}

// scarce returns the first dimension in which no worker has room, or "fit".
func (k *Kernel) scarce(t *Item) spec.Dimension {
	if k.index.leaves == 0 {
		return "workers"
	}
	if d := t.Need.FirstExceeded(k.index.nodes[1]); d != "" {
		return d
	}
	return "fit"
}
