// Package spread places the tasks of a job in different racks and data centres,
// so that the loss of a rack affects few of them.
//
// Score, with n_rack and n_dc tasks of the job already in the worker's rack
// and data centre:
//
//	0.7 / (1 + n_rack) + 0.3 / (1 + n_dc)
package spread

import (
	"redwingvale/internal/framework"
	"redwingvale/internal/spec"
)

// Name is the name of the plug-in.
const Name = "spread"

// The shares of the rack and of the data centre in the score.
const (
	rackShare       = 0.7
	dataCentreShare = 0.3
)

func init() { framework.Register(Name, New) }

// location is the number of tasks of one job in a rack.
type location struct {
	dataCentre spec.DataCentre
	rack       spec.Rack
	tasks      int
}

// jobLocations holds the locations of one job in order of first use.
type jobLocations struct {
	locations []location
	tasks     int
}

// Plugin implements score and reserve.
type Plugin struct {
	jobs map[spec.JobID]*jobLocations
	// free holds jobLocations for reuse.
	free []*jobLocations
	// lastJob and lastLocations cache the last lookup of Score.
	lastJob       spec.JobID
	lastLocations *jobLocations
}

var (
	_ framework.Scorer   = (*Plugin)(nil)
	_ framework.Reserver = (*Plugin)(nil)
)

// New returns the plug-in.
func New(framework.Config) framework.Plugin {
	return &Plugin{jobs: map[spec.JobID]*jobLocations{}}
}

// Name implements framework.Plugin.
func (*Plugin) Name() string { return Name }

// Score prefers racks and data centres with few tasks of the job.
func (p *Plugin) Score(_ *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) float64 {
	if p.lastJob != t.ID.Job {
		p.lastJob, p.lastLocations = t.ID.Job, p.jobs[t.ID.Job]
	}
	if p.lastLocations == nil {
		return 1
	}
	rack, dataCentre := p.lastLocations.count(w)
	return rackShare/float64(1+rack) + dataCentreShare/float64(1+dataCentre)
}

// Reserve counts the task. It always succeeds.
func (p *Plugin) Reserve(_ *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) framework.Status {
	f := p.jobs[t.ID.Job]
	if f == nil {
		f = p.newJobLocations()
		p.jobs[t.ID.Job] = f
		p.clearCache()
	}
	f.add(w, 1)
	return framework.Status{}
}

// Unreserve takes the task out of the count.
func (p *Plugin) Unreserve(_ *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) {
	f := p.jobs[t.ID.Job]
	if f == nil {
		return
	}
	f.add(w, -1)
	if f.tasks == 0 {
		delete(p.jobs, t.ID.Job)
		p.clearCache()
		p.free = append(p.free, f)
	}
}

// newJobLocations returns empty jobLocations.
func (p *Plugin) newJobLocations() *jobLocations {
	last := len(p.free) - 1
	if last < 0 {
		return &jobLocations{}
	}
	f := p.free[last]
	p.free = p.free[:last]
	f.locations = f.locations[:0]
	return f
}

func (p *Plugin) clearCache() { p.lastJob, p.lastLocations = spec.JobID{}, nil }

// count returns the number of tasks in the worker's rack and data centre.
func (f *jobLocations) count(w *framework.Worker) (rack, dataCentre int) {
	for i := range f.locations {
		each := &f.locations[i]
		if each.dataCentre != w.DataCentre {
			continue
		}
		dataCentre += each.tasks
		if each.rack == w.Rack {
			rack += each.tasks
		}
	}
	return rack, dataCentre
}

// add adds to the number of tasks at the worker's location.
func (f *jobLocations) add(w *framework.Worker, tasks int) {
	f.tasks += tasks
	for i := range f.locations {
		if f.locations[i].dataCentre == w.DataCentre && f.locations[i].rack == w.Rack {
			f.locations[i].tasks += tasks
			return
		}
	}
	f.locations = append(f.locations, location{w.DataCentre, w.Rack, tasks})
}
