// Package fit prevents overcommitted workers and balances the use of processors
// and memory on each worker.
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

// Filter refuses a worker without enough free resources.
func (Plugin) Filter(_ *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) framework.Status {
	return checkCapacity(t, w)
}

// Score prefers a worker on which the free shares of processors and memory would
// be similar.
func (Plugin) Score(_ *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) float64 {
	free := w.Free()
	cpu := share(free.MilliCPU-t.Need.MilliCPU, w.Capacity.MilliCPU)
	memory := share(free.MemoryMiB-t.Need.MemoryMiB, w.Capacity.MemoryMiB)
	return 1 - math.Abs(cpu-memory)
}

// Reserve refuses when the worker no longer has enough free resources.
func (Plugin) Reserve(_ *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) framework.Status {
	return checkCapacity(t, w)
}

// Unreserve does nothing: the kernel accounts for the reservations.
func (Plugin) Unreserve(*framework.Cluster, *framework.TaskInfo, *framework.Worker) {}

// checkCapacity refuses when the need exceeds the free amount of a dimension.
func checkCapacity(t *framework.TaskInfo, w *framework.Worker) framework.Status {
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
