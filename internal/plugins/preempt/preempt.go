// Package preempt finds the worker on which preempting tasks for a waiting one
// loses the least work. It is used by plug-ins and is not a plug-in itself.
package preempt

import (
	"sort"
	"time"

	"redwingvale/internal/framework"
	"redwingvale/internal/spec"
)

// maxWorkers bounds the workers that one search examines.
const maxWorkers = 64

// MaxMoves is the number of moves after which a task is no longer preempted, so
// that every task can finish.
const MaxMoves = 3

// Search examines the workers in round-robin order, so that every worker is
// examined after a few searches.
type Search struct{ cursor int }

// CheapestVictims returns the running tasks to move so that t fits on one worker.
// It returns none when no worker allows this, or when t already fits on a worker
// that it examines, counting what stopping tasks will free. cost returns what
// moving a task loses and whether it may be moved.
func (s *Search) CheapestVictims(c *framework.Cluster, t *framework.TaskInfo, cost func(*framework.TaskInfo) (time.Duration, bool)) []*framework.TaskInfo {
	var best []*framework.TaskInfo
	bestLost := time.Duration(0)
	for range min(maxWorkers, len(c.Workers)) {
		w := c.Workers[s.cursor%len(c.Workers)]
		s.cursor = (s.cursor + 1) % len(c.Workers)
		if !w.Schedulable() || w.Isolated {
			continue
		}
		missing := shortfall(t, w)
		if missing.Fits(spec.Resources{}) {
			return nil
		}
		victims, lost := selectVictims(w, missing, cost)
		if victims != nil && (best == nil || lost < bestLost) {
			best, bestLost = victims, lost
		}
	}
	return best
}

// shortfall returns what t lacks on a worker once its stopping tasks have ended.
func shortfall(t *framework.TaskInfo, w *framework.Worker) spec.Resources {
	missing := t.Need.Sub(w.Free())
	for _, each := range w.Running {
		if each.Stopping {
			missing = missing.Sub(each.Need)
		}
	}
	return missing
}

// selectVictims returns the cheapest tasks of a worker that cover what is missing,
// or nil when the eligible tasks do not cover it.
func selectVictims(w *framework.Worker, missing spec.Resources, cost func(*framework.TaskInfo) (time.Duration, bool)) ([]*framework.TaskInfo, time.Duration) {
	type priced struct {
		item *framework.TaskInfo
		lost time.Duration
	}
	var eligible []priced
	for _, t := range w.Running {
		if lost, allowed := cost(t); allowed && !t.Stopping && t.Moves < MaxMoves {
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
