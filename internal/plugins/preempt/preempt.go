// Package preempt finds the worker on which room for a waiting task costs the
// least work. It is a helper of plug-ins and no plug-in itself.
package preempt

import (
	"sort"
	"time"

	"redwingvale/internal/framework"
	"redwingvale/internal/spec"
)

// maxWorkers bounds the workers that one search looks at.
const maxWorkers = 64

// MaxMoves is the number of moves after which a task is no victim any more, so
// that no task is moved for ever and all work ends.
const MaxMoves = 3

// Search walks over the workers in turns, so that every worker is looked at
// after a few searches.
type Search struct{ cursor int }

// Cheapest returns the running tasks to move so that t fits on one worker, or
// nothing when that cannot be done, when t fits already, or when tasks that
// are leaving will make room. cost returns what moving a task loses and
// whether it may be moved.
func (s *Search) Cheapest(c *framework.Cluster, t *framework.TaskInfo, cost func(*framework.TaskInfo) (time.Duration, bool)) []*framework.TaskInfo {
	var best []*framework.TaskInfo
	bestLost := time.Duration(0)
	for range min(maxWorkers, len(c.Workers)) {
		w := c.Workers[s.cursor%len(c.Workers)]
		s.cursor = (s.cursor + 1) % len(c.Workers)
		if !w.Schedulable() || w.Isolated {
			continue
		}
		missing := missingFor(t, w)
		if missing.Fits(spec.Resources{}) {
			return nil
		}
		victims, lost := choose(w, missing, cost)
		if victims != nil && (best == nil || lost < bestLost) {
			best, bestLost = victims, lost
		}
	}
	return best
}

// missingFor returns what t lacks on a worker once leaving tasks are gone.
func missingFor(t *framework.TaskInfo, w *framework.Worker) spec.Resources {
	missing := t.Need.Sub(w.Free())
	for _, each := range w.Running {
		if each.Stopping {
			missing = missing.Sub(each.Need)
		}
	}
	return missing
}

// choose returns the cheapest tasks of a worker that cover what is missing, or
// nil when they cannot.
func choose(w *framework.Worker, missing spec.Resources, cost func(*framework.TaskInfo) (time.Duration, bool)) ([]*framework.TaskInfo, time.Duration) {
	type priced struct {
		item *framework.TaskInfo
		lost time.Duration
	}
	var eligible []priced
	for _, t := range w.Running {
		if lost, may := cost(t); may && !t.Stopping && t.Moves < MaxMoves {
			eligible = append(eligible, priced{t, lost})
		}
	}
	sort.SliceStable(eligible, func(i, j int) bool { return eligible[i].lost < eligible[j].lost })
	var victims []*framework.TaskInfo
	var total time.Duration
	for _, each := range eligible {
		if missing.Fits(spec.Resources{}) {
			break
		}
		missing = missing.Sub(each.item.Need)
		victims = append(victims, each.item)
		total += each.lost
	}
	if !missing.Fits(spec.Resources{}) {
		return nil, 0
	}
	return victims, total
}
