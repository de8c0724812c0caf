package framework

import (
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// attemptsPerLimit bounds the tasks that one Schedule tries, as a multiple of
// its limit, so that a queue of rejected tasks does not delay it.
const attemptsPerLimit = 4

// visitsPerCandidate bounds the workers that one decision filters, as a
// multiple of Config.Candidates.
const visitsPerCandidate = 4

// maxExhaustiveWorkers is the number of workers up to which every worker with
// enough free resources is scored. Both sites are below it today; there, the
// few starts per second leave time for the better choice.
const maxExhaustiveWorkers = 128

// candidate is a worker that passed every filter.
type candidate struct {
	worker *Worker
	score  float64
}

// Schedule implements policy.Decider.
func (k *Kernel) Schedule(now time.Duration, limit int) []policy.Placement {
	k.cluster.Now = now
	k.queues.flushBackoff(now)
	k.queues.activateDue(now)
	var out []policy.Placement
	for tried := 0; tried < limit*attemptsPerLimit && len(out) < limit; tried++ {
		t := k.nextActive()
		if t == nil {
			break
		}
		w, why, refusal := k.selectWorker(t)
		if w == nil {
			k.requeue(t, refusal)
			continue
		}
		k.queues.detach(t)
		if k.cluster.Config.mutation == mutationDetach {
			k.queues.backoff.push(t, now+moveWindow)
		}
		k.place(t, w)
		k.checkNotOvercommitted(w)
		if out == nil {
			out = make([]policy.Placement, 0, min(limit, k.queues.active.len()+1))
		}
		out = append(out, policy.Placement{Task: t.ID, Worker: w.ID, Why: why})
	}
	return out
}

// nextActive removes the first task from the active queue. Tasks of a blocked
// class are parked on the way, except the one that was activated.
func (k *Kernel) nextActive() *TaskInfo {
	for k.queues.active.len() > 0 {
		t := k.queues.active.pop()
		if !t.equiv.blocked || t.equiv.trial == t {
			return t
		}
		k.queues.add(t)
	}
	return nil
}

// selectWorker chooses a worker for a task and reserves on it. It returns the
// refusal when no worker is suitable.
func (k *Kernel) selectWorker(t *TaskInfo) (*Worker, string, Status) {
	k.estimate(t)
	t.Borrowed = false
	for _, p := range k.plugins.admit {
		if s := p.Admit(&k.cluster, t); !s.OK() {
			return nil, "", s
		}
	}
	refusal := k.collectCandidates(t)
	for len(k.candidates) > 0 {
		best, why := k.selectBest(t)
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

// collectCandidates fills k.candidates by searching the index from random
// positions. It returns the refusal to use when no candidate is found.
func (k *Kernel) collectCandidates(t *TaskInfo) Status {
	k.candidates = k.candidates[:0]
	refusal := Refuse(string(k.scarceDimension(t)), "no worker has room", CapacityFreed|WorkersChanged|HealthChanged)
	n := len(k.cluster.Workers)
	if n == 0 {
		return refusal
	}
	want := k.cluster.Config.Candidates
	if n <= maxExhaustiveWorkers {
		return k.collectFromAll(t, refusal)
	}
	for visits := 0; visits < want*visitsPerCandidate && len(k.candidates) < want; visits++ {
		i := k.nextWithCapacity(k.random.intn(n), &t.Need)
		if i < 0 {
			return refusal
		}
		refusal = k.filterWorker(t, k.cluster.Workers[i], refusal)
	}
	return refusal
}

// collectFromAll filters every worker of a small cluster.
func (k *Kernel) collectFromAll(t *TaskInfo, refusal Status) Status {
	need := t.Need
	if k.cluster.Config.mutation == mutationCapacity {
		need = spec.Resources{}
	}
	for i := k.index.next(0, &need); i >= 0; i = k.index.next(i+1, &need) {
		refusal = k.filterWorker(t, k.cluster.Workers[i], refusal)
	}
	return refusal
}

// nextWithCapacity searches the index from a position and wraps around.
func (k *Kernel) nextWithCapacity(start int, need *spec.Resources) int {
	if i := k.index.next(start, need); i >= 0 {
		return i
	}
	return k.index.next(0, need)
}

// filterWorker calls the filters for one worker and adds it to the candidates
// when all pass.
func (k *Kernel) filterWorker(t *TaskInfo, w *Worker, refusal Status) Status {
	for _, c := range k.candidates {
		if c.worker == w {
			return refusal
		}
	}
	for _, p := range k.plugins.filter {
		if k.cluster.Config.mutation == mutationCapacity {
			break
		}
		if s := p.Filter(&k.cluster, t, w); !s.OK() {
			s.RetryOn |= refusal.RetryOn
			return s
		}
	}
	k.candidates = append(k.candidates, candidate{worker: w})
	return refusal
}

// selectBest returns the position of the candidate with the highest weighted
// score and the name of the plug-in that contributed most to it. Ties are
// broken by the seeded generator.
func (k *Kernel) selectBest(t *TaskInfo) (int, string) {
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
			if k.random.intn(ties) == 0 {
				best, bestWhy = i, why
			}
		}
	}
	return best, bestWhy
}

// reserve calls every Reserver and rolls back on the first refusal.
func (k *Kernel) reserve(t *TaskInfo, w *Worker) Status {
	for i, p := range k.plugins.reserve {
		s := p.Reserve(&k.cluster, t, w)
		if s.OK() || k.cluster.Config.mutation == mutationCapacity {
			continue
		}
		for j := i - 1; j >= 0; j-- {
			k.plugins.reserve[j].Unreserve(&k.cluster, t, w)
		}
		return s
	}
	return Status{}
}

// place records a task as running on a worker.
func (k *Kernel) place(t *TaskInfo, w *Worker) {
	k.checkNotPlaced(t)
	t.Worker = w
	t.state = statePlaced
	k.cluster.Running++
	t.StartedAt = k.cluster.Now
	t.effectiveBefore, t.throttleChangedAt = 0, k.cluster.Now
	t.StartProgress = t.Progress
	t.runPos = len(w.Running)
	w.Running = append(w.Running, t)
	w.Reserved = w.Reserved.Add(t.Need)
	k.updateIndex(w)
}

// requeue parks a rejected task or, after an error, puts it into the backoff
// queue.
func (k *Kernel) requeue(t *TaskInfo, refusal Status) {
	if refusal.Code == Error {
		k.queues.addBackoff(t, k.cluster.Now+k.cluster.Config.RetryEvery)
		t.refusal = refusal
		return
	}
	k.queues.park(t, refusal, k.cluster.Now, k.cluster.Config.RetryEvery)
}

// scarceDimension returns the first dimension in which no worker has enough
// free, or "fit".
func (k *Kernel) scarceDimension(t *TaskInfo) spec.Dimension {
	if k.index.leaves == 0 {
		return "workers"
	}
	if d := t.Need.FirstExceeded(k.index.nodes[1]); d != "" {
		return d
	}
	return "fit"
}
