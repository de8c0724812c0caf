// Package quota limits what teams use, lets them borrow what others leave, and
// takes it back.
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
// borrower would use, and after it has waited 5 minutes in any case.
//
// Give-back: when a task within quota has waited 10 s for room, borrowed tasks
// are moved from the worker where this loses the least work.
//
// Bounds on waiting: within quota, 10 s plus one review plus the time for a
// checkpoint; beyond quota, 5 minutes plus the time until a task that fits
// ends, because by then the order of the queue no longer prefers others.
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
	// GiveBackAfter is the wait within quota after which borrowers move.
	GiveBackAfter = 10 * time.Second
	// BorrowWait is the wait after which a task is admitted beyond quota.
	BorrowWait = 5 * time.Minute
)

func init() { framework.Register(Name, New) }

// account is the quota and the use of one team.
type account struct {
	quota spec.Resources
	// ceiling is the quota with the largest borrowed amount.
	ceiling spec.Resources
	used    spec.Resources
}

// Plugin implements admit, order and reserve, and takes back at reviews.
type Plugin struct {
	teams map[spec.TeamID]*account
	// owed caches the dimensions that tasks within quota wait for.
	owed   spec.Resources
	owedAt time.Duration
	cached bool
	search preempt.Search
	broken bool
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
	return &Plugin{teams: map[spec.TeamID]*account{}, broken: cfg.IsBroken("quota")}
}

// Name implements framework.Plugin.
func (*Plugin) Name() string { return Name }

// Configured takes the quotas in. The quota of a team with several services
// is the largest of them in each dimension.
func (p *Plugin) Configured(c *framework.Cluster) {
	for _, a := range p.teams {
		a.quota = spec.Resources{}
		a.ceiling = spec.Resources{}
	}
	for _, s := range c.Services {
		a := p.of(s.Team)
		a.quota = larger(a.quota, s.Quota)
		a.ceiling = larger(a.ceiling, s.Ceiling)
	}
}

// Admit refuses to lend what tasks within quota wait for.
func (p *Plugin) Admit(c *framework.Cluster, t *framework.Item) framework.Status {
	if p.within(t) {
		return framework.Status{}
	}
	if !within(p.of(t.ID.Job.Team).used.Add(t.Resources), p.of(t.ID.Job.Team).ceiling) {
		return framework.Refuse(Name, "the team uses its quota and all that it may borrow", framework.QuotaFreed|framework.Reconfigured)
	}
	t.Borrowed = true
	if c.Now-t.Submitted >= BorrowWait || !overlaps(t.Need, p.waitingFor(c)) {
		return framework.Status{}
	}
	return framework.Refuse(Name, "the quota is used and others wait for theirs", framework.QuotaFreed)
}

// LatestStart bounds the wait of every batch task that has no deadline.
func (p *Plugin) LatestStart(_ *framework.Cluster, t *framework.Item) time.Duration {
	if t.Deadline != 0 {
		return framework.NoLatestStart
	}
	return t.Submitted + BorrowWait
}

// Reserve counts the task as its team's use. It always succeeds.
func (p *Plugin) Reserve(_ *framework.Cluster, t *framework.Item, _ *framework.Worker) framework.Status {
	a := p.of(t.ID.Job.Team)
	a.used = a.used.Add(t.Resources)
	p.cached = false
	return framework.Status{}
}

// Unreserve takes the task out of the use.
func (p *Plugin) Unreserve(_ *framework.Cluster, t *framework.Item, _ *framework.Worker) {
	p.cached = false
	if p.broken {
		return
	}
	a := p.of(t.ID.Job.Team)
	a.used = a.used.Sub(t.Resources)
}

// Cycle moves borrowers for the tasks within quota that have waited too long.
func (p *Plugin) Cycle(c *framework.Cluster, out []policy.Action) []policy.Action {
	c.EachParked(func(t *framework.Item, refusal framework.Status) {
		if c.Now-t.Submitted < GiveBackAfter || refusal.Dimension == Name || !p.within(t) {
			return
		}
		for _, victim := range p.search.Cheapest(c, t, p.borrowed(c)) {
			why := "a team within its quota has waited longer than 10s for room"
			out = append(out, policy.Action{Kind: policy.ActionMove, Task: victim.ID, Why: why})
		}
	})
	return out
}

// Audit asserts that the use of each team is the sum over its running tasks.
func (p *Plugin) Audit(c *framework.Cluster) {
	sums := map[spec.TeamID]spec.Resources{}
	for _, t := range c.Items {
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

// borrowed allows batch tasks that borrowed to be moved while their team is
// beyond its quota.
func (p *Plugin) borrowed(c *framework.Cluster) func(*framework.Item) (time.Duration, bool) {
	return func(t *framework.Item) (time.Duration, bool) {
		over := !p.of(t.ID.Job.Team).covers(spec.Resources{})
		return relief.Lost(c, t), t.Borrowed && over && t.Class == spec.Deadline
	}
}

// waitingFor returns the sum of what tasks within quota wait for.
func (p *Plugin) waitingFor(c *framework.Cluster) spec.Resources {
	if p.cached && p.owedAt == c.Now {
		return p.owed
	}
	p.owed, p.owedAt, p.cached = spec.Resources{}, c.Now, true
	c.EachParked(func(t *framework.Item, refusal framework.Status) {
		if refusal.Dimension != Name && refusal.Code == framework.Unschedulable && p.within(t) {
			p.owed = p.owed.Add(scarcePart(t.Need, refusal.Dimension))
		}
	})
	return p.owed
}

// within reports whether a task fits into its team's quota now.
func (p *Plugin) within(t *framework.Item) bool {
	return p.of(t.ID.Job.Team).covers(t.Resources)
}

// covers reports whether the quota covers the use and more.
func (a *account) covers(more spec.Resources) bool {
	return within(a.used.Add(more), a.quota)
}

// within reports whether a use is within a limit in each dimension.
func within(use, limit spec.Resources) bool {
	return inDimension(use.MilliCPU, limit.MilliCPU) &&
		inDimension(use.MemoryMiB, limit.MemoryMiB) &&
		inDimension(use.Accelerators, limit.Accelerators) &&
		inDimension(use.Slots, limit.Slots) &&
		inDimension(use.Connections, limit.Connections)
}

// inDimension reports whether used is within a quota; 0 means no limit.
func inDimension(used, quota int64) bool { return quota == 0 || used <= quota }

func (p *Plugin) of(team spec.TeamID) *account {
	a := p.teams[team]
	if a == nil {
		a = &account{}
		p.teams[team] = a
	}
	return a
}

// overlaps reports whether a need uses a dimension that others are owed.
func overlaps(need, owed spec.Resources) bool {
	return (need.MilliCPU > 0 && owed.MilliCPU > 0) ||
		(need.MemoryMiB > 0 && owed.MemoryMiB > 0) ||
		(need.Accelerators > 0 && owed.Accelerators > 0) ||
		(need.Slots > 0 && owed.Slots > 0) ||
		(need.Connections > 0 && owed.Connections > 0)
}

// scarcePart returns the part of a need in the dimension that is scarce, or
// the whole need when the refusal names no resource.
func scarcePart(need spec.Resources, dimension string) spec.Resources {
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
