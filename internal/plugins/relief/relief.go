// Package relief chooses the tasks to stop on a worker when urgent requests need
// its resources.
//
// Order of the victims: tasks on borrowed quota first; then tasks that would
// still meet their deadline after a restart, with half their remaining run time
// to spare; then batch before long-running tasks; then the least work lost, in
// seconds:
//
//	lost = elapsed - (progress - progress at start) * predicted run time
//
// A task is moved with a checkpoint when it would lose more than the service
// accepts, and is evicted immediately otherwise:
//
//	accepted loss = 60 s * tail share of the worker's service
package relief

import (
	"sort"
	"time"

	"redwingvale/internal/framework"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Name is the name of the plug-in.
const Name = "relief"

// restartMargin multiplies the run time after a restart, to allow for the wait
// in the queue before it.
const restartMargin = 1.5

// maxEvictionLoss is the work that an eviction may lose at a tail share of 1.
const maxEvictionLoss = 60 * time.Second

func init() { framework.Register(Name, New) }

// victim is a task with its position in the order of eviction.
type victim struct {
	item *framework.TaskInfo
	rank int
	lost time.Duration
}

// Plugin implements evict for urgent requests.
type Plugin struct{ victims []victim }

var _ framework.Evicter = (*Plugin)(nil)

// New returns the plug-in.
func New(framework.Config) framework.Plugin { return &Plugin{} }

// Name implements framework.Plugin.
func (*Plugin) Name() string { return Name }

// Evict proposes every task of the worker in the order of victims. Without a
// need it proposes nothing.
func (p *Plugin) Evict(c *framework.Cluster, w *framework.Worker, need spec.Resources, out []policy.Action) []policy.Action {
	if need.IsZero() {
		return out
	}
	p.victims = p.victims[:0]
	for _, t := range w.Running {
		p.victims = append(p.victims, victim{t, rank(c, t), LostWork(c, t)})
	}
	sort.SliceStable(p.victims, func(i, j int) bool {
		a, b := p.victims[i], p.victims[j]
		if a.rank != b.rank {
			return a.rank < b.rank
		}
		return a.lost < b.lost
	})
	limit := time.Duration(float64(maxEvictionLoss) * c.Profile(w.ServiceIndex).TailShare)
	for _, v := range p.victims {
		out = append(out, actionFor(v, limit))
	}
	return out
}

// actionFor returns an eviction for a victim that loses at most the limit, and a
// move for any other.
func actionFor(v victim, limit time.Duration) policy.Action {
	why := "urgent requests need the room; borrowed or least work lost"
	kind := policy.ActionEvict
	if v.lost > limit {
		kind = policy.ActionMove
	}
	return policy.Action{Kind: kind, Task: v.item.ID, Why: why}
}

// rank is the first sort key of a victim; the lowest is evicted first.
func rank(c *framework.Cluster, t *framework.TaskInfo) int {
	r := 0
	if t.Class == spec.LongRunning {
		r++
	}
	restartTime := time.Duration(restartMargin * float64(t.Remaining()+LostWork(c, t)))
	if t.Deadline != 0 && c.Now+restartTime > t.Deadline {
		r += 2
	}
	if !t.Borrowed {
		r += 4
	}
	return r
}

// LostWork returns the run time that a task loses when it stops now without a
// checkpoint.
func LostWork(c *framework.Cluster, t *framework.TaskInfo) time.Duration {
	saved := time.Duration((t.Progress - t.StartProgress) * float64(t.Predicted))
	return max(0, c.Now-t.StartedAt-saved)
}
