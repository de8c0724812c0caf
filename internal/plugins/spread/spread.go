// Package spread places the tasks of a job on different racks and data centres,
// so that the loss of a rack takes few of them.
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

// The shares of the score that the rack and the data centre have.
const (
	rackShare       = 0.7
	dataCentreShare = 0.3
)

func init() { framework.Register(Name, New) }

// place is where tasks of one job run.
type place struct {
	dataCentre spec.DataCentre
	rack       spec.Rack
	tasks      int
}

// footprint is the list of places of one job, in order of first use.
type footprint struct {
	places []place
	tasks  int
}

// Plugin implements score and reserve.
type Plugin struct {
	jobs map[spec.JobID]*footprint
	// free holds footprints for reuse.
	free []*footprint
	// last caches the job that Score looked up last.
	last      spec.JobID
	lastPrint *footprint
}

var (
	_ framework.Scorer   = (*Plugin)(nil)
	_ framework.Reserver = (*Plugin)(nil)
)

// New returns the plug-in.
func New(framework.Config) framework.Plugin {
	return &Plugin{jobs: map[spec.JobID]*footprint{}}
}

// Name implements framework.Plugin.
func (*Plugin) Name() string { return Name }

// Score prefers racks and data centres with few tasks of the job.
func (p *Plugin) Score(_ *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) float64 {
	if p.last != t.ID.Job {
		p.last, p.lastPrint = t.ID.Job, p.jobs[t.ID.Job]
	}
	if p.lastPrint == nil {
		return 1
	}
	rack, dataCentre := p.lastPrint.count(w)
	return rackShare/float64(1+rack) + dataCentreShare/float64(1+dataCentre)
}

// Reserve counts the task. It always succeeds.
func (p *Plugin) Reserve(_ *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) framework.Status {
	f := p.jobs[t.ID.Job]
	if f == nil {
		f = p.newFootprint()
		p.jobs[t.ID.Job] = f
		p.forgetLast()
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
		p.forgetLast()
		p.free = append(p.free, f)
	}
}

// newFootprint returns an empty footprint.
func (p *Plugin) newFootprint() *footprint {
	last := len(p.free) - 1
	if last < 0 {
		return &footprint{}
	}
	f := p.free[last]
	p.free = p.free[:last]
	f.places = f.places[:0]
	return f
}

func (p *Plugin) forgetLast() { p.last, p.lastPrint = spec.JobID{}, nil }

// count returns the tasks in the worker's rack and data centre.
func (f *footprint) count(w *framework.Worker) (rack, dataCentre int) {
	for i := range f.places {
		each := &f.places[i]
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

// add changes the count of the worker's place.
func (f *footprint) add(w *framework.Worker, tasks int) {
	f.tasks += tasks
	for i := range f.places {
		if f.places[i].dataCentre == w.DataCentre && f.places[i].rack == w.Rack {
			f.places[i].tasks += tasks
			return
		}
	}
	f.places = append(f.places, place{w.DataCentre, w.Rack, tasks})
}
