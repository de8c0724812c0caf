// Package quota limits the resources that teams use, lets a team borrow unused
// quota of others, and reclaims it.
//
// A team's use is the sum of the declared resources of its running tasks. A
// task within quota:
//
//	use_d + declared_d <= quota_d for each dimension d with a quota
//
// is admitted. Any other task borrows, at most up to the team's ceiling:
//
//	use_d + declared_d <= ceiling_d for each dimension d with a ceiling
//
// It is admitted while no task within quota waits for a dimension that the
// borrower would use, and in any case after it has waited 5 minutes.
//
// Reclaim: when a task within quota has waited 10 s for resources, borrowed
// tasks are moved from the worker where this loses the least work.
//
// Bounds on waiting: within quota, 10 s plus one review plus the time for a
// checkpoint; beyond quota, 5 minutes plus the time until a task that fits
// ends, because by then the queue order prefers no other task to it.
package quota

import (
	"time"

	"redwingvale/internal/framework"
	"redwingvale/internal/invariant"
	"redwingvale/internal/plugins/preempt"
	"redwingvale/internal/plugins/relief"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Name is the name of the plug-in.
const Name = "quota"

const (
	// ReclaimAfter is the wait of a task within quota after which borrowed tasks
	// are moved.
	ReclaimAfter = 10 * time.Second
	// BorrowWait is the wait after which a task beyond quota is admitted.
	BorrowWait = 5 * time.Minute
)

func init() { framework.Register(Name, New) }

// account is the quota and the use of one team.
type account struct {
	quota spec.Resources
	// ceiling is the quota plus the largest amount that may be borrowed.
	ceiling spec.Resources
	used    spec.Resources
}

// Plugin implements admit, order and reserve, and reclaims quota at reviews.
type Plugin struct {
	teams map[spec.TeamID]*account
	// demand caches what parked tasks within quota wait for.
	demand      spec.Resources
	demandAt    time.Duration
	demandValid bool
	search      preempt.Search
	mutated     bool
}

var (
	_ framework.Admitter     = (*Plugin)(nil)
	_ framework.Orderer      = (*Plugin)(nil)
	_ framework.Reserver     = (*Plugin)(nil)
	_ framework.Periodic     = (*Plugin)(nil)
	_ framework.Configurable = (*Plugin)(nil)
	_ framework.Auditor      = (*Plugin)(nil)
)

// New returns the plug-in.
func New(cfg framework.Config) framework.Plugin {
	return &Plugin{teams: map[spec.TeamID]*account{}, mutated: cfg.HasMutation("quota")}
}

// Name implements framework.Plugin.
func (*Plugin) Name() string { return Name }

// OnConfigure updates the quotas. The quota of a team with several services is
// the largest of them in each dimension.
func (p *Plugin) OnConfigure(c *framework.Cluster) {
	for _, a := range p.teams {
		a.quota = spec.Resources{}
		a.ceiling = spec.Resources{}
	}
	for _, s := range c.Services {
		a := p.accountOf(s.Team)
		a.quota = larger(a.quota, s.Quota)
		a.ceiling = larger(a.ceiling, s.Ceiling)
	}
}

// Admit refuses a task beyond its team's ceiling, and one beyond its quota that
// uses a dimension for which tasks within quota wait.
func (p *Plugin) Admit(c *framework.Cluster, t *framework.TaskInfo) framework.Status {
	if p.withinQuota(t) {
		return framework.Status{}
	}
	if !fitsLimit(p.accountOf(t.ID.Job.Team).used.Add(t.Resources), p.accountOf(t.ID.Job.Team).ceiling) {
		return framework.Refuse(Name, "the team uses its quota and all that it may borrow", framework.QuotaFreed|framework.Reconfigured)
	}
	t.Borrowed = true
	if c.Now-t.Submitted >= BorrowWait || !usesDemanded(t.Need, p.demandWithinQuota(c)) {
		return framework.Status{}
	}
	return framework.Refuse(Name, "the quota is used and others wait for theirs", framework.QuotaFreed)
}

// LatestStart bounds the wait of every task that has no deadline.
func (p *Plugin) LatestStart(_ *framework.Cluster, t *framework.TaskInfo) time.Duration {
	if t.Deadline != 0 {
		return framework.NoLatestStart
	}
	return t.Submitted + BorrowWait
}

// Reserve adds the task to its team's use. It always succeeds.
func (p *Plugin) Reserve(_ *framework.Cluster, t *framework.TaskInfo, _ *framework.Worker) framework.Status {
	a := p.accountOf(t.ID.Job.Team)
	a.used = a.used.Add(t.Resources)
	p.demandValid = false
	return framework.Status{}
}

// Unreserve subtracts the task from its team's use.
func (p *Plugin) Unreserve(_ *framework.Cluster, t *framework.TaskInfo, _ *framework.Worker) {
	p.demandValid = false
	if p.mutated {
		return
	}
	a := p.accountOf(t.ID.Job.Team)
	a.used = a.used.Sub(t.Resources)
}

// Propose moves borrowed tasks to free resources for the tasks within quota that
// have waited longer than ReclaimAfter.
func (p *Plugin) Propose(c *framework.Cluster, out []policy.Action) []policy.Action {
	c.EachParked(func(t *framework.TaskInfo, refusal framework.Status) {
		if c.Now-t.Submitted < ReclaimAfter || refusal.Dimension == Name || !p.withinQuota(t) {
			return
		}
		for _, victim := range p.search.CheapestVictims(c, t, p.reclaimCost(c)) {
			why := "a team within its quota has waited longer than 10s for room"
			out = append(out, policy.Action{Kind: policy.ActionMove, Task: victim.ID, Why: why})
		}
	})
	return out
}

// Audit asserts that the use of each team is the sum over its running tasks.
func (p *Plugin) Audit(c *framework.Cluster) {
	sums := map[spec.TeamID]spec.Resources{}
	for _, t := range c.Tasks {
		if t.Worker != nil {
			team := t.ID.Job.Team
			sums[team] = sums[team].Add(t.Resources)
		}
	}
	for team, a := range p.teams {
		invariant.Check(a.used == sums[team], invariant.InternalConsistency,
			"team %s uses %+v, the quota counts %+v", team, sums[team], a.used)
	}
}

// reclaimCost returns the cost function of preempt.Search. It allows borrowed
// batch tasks to be moved while their team is beyond its quota.
func (p *Plugin) reclaimCost(c *framework.Cluster) func(*framework.TaskInfo) (time.Duration, bool) {
	return func(t *framework.TaskInfo) (time.Duration, bool) {
		overQuota := !p.accountOf(t.ID.Job.Team).covers(spec.Resources{})
		return relief.LostWork(c, t), t.Borrowed && overQuota && t.Class == spec.Deadline
	}
}

// demandWithinQuota returns the sum of what parked tasks within quota wait
// for.
func (p *Plugin) demandWithinQuota(c *framework.Cluster) spec.Resources {
	if p.demandValid && p.demandAt == c.Now {
		return p.demand
	}
	p.demand, p.demandAt, p.demandValid = spec.Resources{}, c.Now, true
	c.EachParked(func(t *framework.TaskInfo, refusal framework.Status) {
		if refusal.Dimension != Name && refusal.Code == framework.Unschedulable && p.withinQuota(t) {
			p.demand = p.demand.Add(scarceNeed(t.Need, refusal.Dimension))
		}
	})
	return p.demand
}

// withinQuota reports whether a task fits into its team's quota now.
func (p *Plugin) withinQuota(t *framework.TaskInfo) bool {
	return p.accountOf(t.ID.Job.Team).covers(t.Resources)
}

// covers reports whether the quota covers the use and more.
func (a *account) covers(more spec.Resources) bool {
	return fitsLimit(a.used.Add(more), a.quota)
}

// fitsLimit reports whether a use is within a limit in each dimension.
func fitsLimit(use, limit spec.Resources) bool {
	return withinLimit(use.MilliCPU, limit.MilliCPU) &&
		withinLimit(use.MemoryMiB, limit.MemoryMiB) &&
		withinLimit(use.Accelerators, limit.Accelerators) &&
		withinLimit(use.Slots, limit.Slots) &&
		withinLimit(use.Connections, limit.Connections)
}

// withinLimit reports whether used is within a quota; 0 means no limit.
func withinLimit(used, quota int64) bool { return quota == 0 || used <= quota }

func (p *Plugin) accountOf(team spec.TeamID) *account {
	a := p.teams[team]
	if a == nil {
		a = &account{}
		p.teams[team] = a
	}
	return a
}

// usesDemanded reports whether a need uses a dimension in which there is demand.
func usesDemanded(need, owed spec.Resources) bool {
	return (need.MilliCPU > 0 && owed.MilliCPU > 0) ||
		(need.MemoryMiB > 0 && owed.MemoryMiB > 0) ||
		(need.Accelerators > 0 && owed.Accelerators > 0) ||
		(need.Slots > 0 && owed.Slots > 0) ||
		(need.Connections > 0 && owed.Connections > 0)
}

// scarceNeed returns the part of a need in the scarce dimension, or the whole
// need when the refusal names no resource.
func scarceNeed(need spec.Resources, dimension string) spec.Resources {
	switch spec.Dimension(dimension) {
	case spec.MilliCPU:
		return spec.Resources{MilliCPU: need.MilliCPU}
	case spec.MemoryMiB:
		return spec.Resources{MemoryMiB: need.MemoryMiB}
	case spec.Accelerators:
		return spec.Resources{Accelerators: need.Accelerators}
	case spec.Slots:
		return spec.Resources{Slots: need.Slots}
	case spec.Connections:
		return spec.Resources{Connections: need.Connections}
	default:
		return need
	}
}

// larger returns the larger amount of each dimension.
func larger(a, b spec.Resources) spec.Resources {
	return spec.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMiB:    max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
		Slots:        max(a.Slots, b.Slots),
		Connections:  max(a.Connections, b.Connections),
	}
}
