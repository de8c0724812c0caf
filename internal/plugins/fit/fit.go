// Package fit keeps a worker from being overcommitted and keeps its processors
// and memory balanced.
//
// Filter and reserve, in each dimension d (millicores, MiB, accelerators,
// slots, connections):
//
//	need_d <= capacity_d - granted_d - reserved_d
//
// Score, with the used share u_d = (granted_d + reserved_d + need_d) / capacity_d:
//
//	1 - |u_processors - u_memory|
package fit

import (
	"math"

	"redwingvale/internal/framework"
)

// Name is the name of the plug-in.
const Name = "fit"

func init() { framework.Register(Name, New) }

// Plugin implements admit, filter, score and reserve.
type Plugin struct{}

var (
	_ framework.Admitter = Plugin{}
	_ framework.Filterer = Plugin{}
	_ framework.Scorer   = Plugin{}
	_ framework.Reserver = Plugin{}
)

// New returns the plug-in.
func New(framework.Config) framework.Plugin { return Plugin{} }

// Name implements framework.Plugin.
func (Plugin) Name() string { return Name }

// Admit refuses a task that is larger than every worker.
func (Plugin) Admit(c *framework.Cluster, t *framework.TaskInfo) framework.Status {
	d := t.Need.FirstExceeded(c.Largest)
	if d == "" {
		return framework.Status{}
	}
	return framework.RefuseUnresolvable(string(d), "more than the largest worker has")
}

// Filter refuses a worker without room.
func (Plugin) Filter(_ *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) framework.Status {
	return room(t, w)
}

// Score prefers a worker whose processors and memory are used alike.
func (Plugin) Score(_ *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) float64 {
	free := w.Free()
	cpu := share(free.MilliCPU-t.Need.MilliCPU, w.Capacity.MilliCPU)
	memory := share(free.MemoryMiB-t.Need.MemoryMiB, w.Capacity.MemoryMiB)
	return 1 - math.Abs(cpu-memory)
}

// Reserve refuses when the room is gone.
func (Plugin) Reserve(_ *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) framework.Status {
	return room(t, w)
}

// Unreserve does nothing: the kernel keeps the reservations.
func (Plugin) Unreserve(*framework.Cluster, *framework.TaskInfo, *framework.Worker) {}

// room refuses when the need exceeds what is free in a dimension.
func room(t *framework.TaskInfo, w *framework.Worker) framework.Status {
	d := t.Need.FirstExceeded(w.Free())
	if d == "" {
		return framework.Status{}
	}
	return framework.Refuse(string(d), "not enough is free", framework.CapacityFreed|framework.WorkersChanged)
}

// share returns part/whole, or 0 when the whole is 0.
func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
