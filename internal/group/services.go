package group

import (
	"math"
	"slices"

	"redwingvale/internal/policy"
	"redwingvale/internal/record"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// serviceKey identifies a service.
type serviceKey struct {
	team    spec.TeamID
	service spec.ServiceID
}

func (c *Core) onSetServices(e SetServices) {
	c.services = make(map[serviceKey]*policy.Service, len(e.Services))
	for i := range e.Services {
		s := &e.Services[i]
		c.services[serviceKey{s.Team, s.ID}] = s
	}
	c.servicesKnown = e.Known
	c.decider.Configure(c.now, e.Services)
}

// admitSubmission returns the job that is recorded for a submission, or the
// reason for its refusal.
func (c *Core) admitSubmission(e Submit) (*recordv1.JobSpec, error) {
	if e.Refusal != nil {
		return nil, e.Refusal
	}
	job := e.Filled
	if job == nil {
		job = e.Job
	}
	return job, c.checkJob(job)
}

// serviceOf returns the service of a job, or nil if it has no document.
func (c *Core) serviceOf(job *recordv1.JobSpec) *policy.Service {
	return c.services[serviceKey{spec.TeamID(job.GetId().GetTeam()), spec.ServiceID(job.GetService())}]
}

// allows reports whether tasks of a job may be placed in a data centre.
func (c *Core) allows(job *recordv1.JobSpec, dc spec.DataCentre) bool {
	service := c.serviceOf(job)
	return service == nil || service.DataCentres.Allows(dc)
}

// anyAllowedDataCentre reports whether a known worker or group is in a data
// centre in which the job may run, or no worker and no group is known.
func (c *Core) anyAllowedDataCentre(job *recordv1.JobSpec) bool {
	for _, info := range c.workerInfos {
		if c.allows(job, info.Worker.DataCentre) {
			return true
		}
	}
	for _, p := range c.peers {
		if c.allows(job, p.DataCentre) {
			return true
		}
	}
	return len(c.workerInfos)+len(c.peers) == 0
}

// preferredPeers returns the other groups in the order in which a job is handed
// off to them: those in the document's preferred data centres first.
func (c *Core) preferredPeers(job *recordv1.JobSpec) []Peer {
	service := c.serviceOf(job)
	if service == nil {
		return c.peers
	}
	out := slices.Clone(c.peers)
	slices.SortStableFunc(out, func(a, b Peer) int {
		return service.DataCentres.Rank(a.DataCentre) - service.DataCentres.Rank(b.DataCentre)
	})
	return out
}

// neverRunnable returns the dimension in which one task of a job exceeds every
// worker or its quota, or an empty string if the job can run.
func (c *Core) neverRunnable(job *recordv1.JobSpec) string {
	if !c.anyAllowedDataCentre(job) {
		return "datacentre"
	}
	need := record.ToResources(job.GetPerTask())
	if largest := c.largestAllowed(job); !largest.IsZero() {
		if dimension := need.FirstExceeded(largest); dimension != "" {
			return string(dimension)
		}
	}
	if service := c.serviceOf(job); service != nil {
		return string(need.FirstExceeded(unlimitedIfZero(service.Ceiling)))
	}
	return ""
}

// largestAllowed returns the largest capacity, in each dimension, of the workers
// that a job may use; it is zero if none is known.
func (c *Core) largestAllowed(job *recordv1.JobSpec) spec.Resources {
	service := c.serviceOf(job)
	if service == nil || service.DataCentres == (policy.DataCentres{}) {
		return c.largestKnown()
	}
	var out spec.Resources
	for _, info := range c.workerInfos {
		if service.DataCentres.Allows(info.Worker.DataCentre) {
			out = larger(out, info.Worker.Capacity)
		}
	}
	for _, p := range c.peers {
		if service.DataCentres.Allows(p.DataCentre) {
			out = larger(out, p.Largest)
		}
	}
	return out
}

// unlimitedIfZero replaces zeros, which mean no limit, by the largest value.
func unlimitedIfZero(limit spec.Resources) spec.Resources {
	orUnlimited := func(n int64) int64 {
		if n == 0 {
			return math.MaxInt64
		}
		return n
	}
	return spec.Resources{
		MilliCPU:     orUnlimited(limit.MilliCPU),
		MemoryMiB:    orUnlimited(limit.MemoryMiB),
		Accelerators: orUnlimited(limit.Accelerators),
		Slots:        orUnlimited(limit.Slots),
		Connections:  orUnlimited(limit.Connections),
	}
}
