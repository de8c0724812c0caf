// Package datacentre places new tasks of a service only in the data centres that
// its document lists. Running tasks are not moved.
package datacentre

import (
	"redwingvale/internal/framework"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Name is the name of the plug-in.
const Name = "datacentre"

func init() { framework.Register(Name, New) }

// serviceKey identifies a service. Two teams may use the same service name.
type serviceKey struct {
	team    spec.TeamID
	service spec.ServiceID
}

// Plugin implements filter.
type Plugin struct {
	allowed map[serviceKey]*policy.DataCentres
}

var (
	_ framework.Filterer     = (*Plugin)(nil)
	_ framework.Configurable = (*Plugin)(nil)
)

// New returns the plug-in.
func New(framework.Config) framework.Plugin {
	return &Plugin{allowed: map[serviceKey]*policy.DataCentres{}}
}

// Name implements framework.Plugin.
func (*Plugin) Name() string { return Name }

// OnConfigure updates the allowed data centres of all services.
func (p *Plugin) OnConfigure(c *framework.Cluster) {
	p.allowed = make(map[serviceKey]*policy.DataCentres, len(c.Services))
	for i := range c.Services {
		s := &c.Services[i]
		p.allowed[serviceKey{s.Team, s.ID}] = &s.DataCentres
	}
}

// Filter refuses a worker in a data centre that the document does not list. A
// service without a document may run anywhere.
func (p *Plugin) Filter(_ *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) framework.Status {
	allowed := p.allowed[serviceKey{t.ID.Job.Team, t.Service}]
	if allowed == nil || allowed.Allows(w.DataCentre) {
		return framework.Status{}
	}
	return framework.RefuseUnresolvable(Name, "the service's document does not allow the worker's data centre")
}
