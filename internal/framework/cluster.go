package framework

import (
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Cluster is what plug-ins see: the workers, the tasks and the services of one
// group. Plug-ins read it and change nothing but their own state.
type Cluster struct {
	// Now is the owner's monotonic time of the current call.
	Now time.Duration
	// Config is the kernel's configuration with the defaults filled in.
	Config Config
	// Lag is the current measurement lag: the largest age of a report on
	// arrival, at least Config.MeasurementLag.
	Lag time.Duration
	// Workers holds every worker ever set, in order of arrival. A worker's
	// Index is its position.
	Workers []*Worker
	// Items holds every waiting and running task in no particular but
	// reproducible order.
	Items []*Item
	// Running counts the tasks in Items that are on a worker.
	Running int
	// Services is in the order of the last Configure.
	Services []policy.Service
	// Largest is the largest capacity of a worker in each dimension.
	Largest spec.Resources
	// Kinds holds every (team, kind) seen; Item.Kind is a position in it.
	Kinds []KindKey
	// KindNames holds every kind seen in any team.
	KindNames []string

	workerByID  map[spec.WorkerID]*Worker
	itemByID    map[spec.TaskID]*Item
	serviceByID map[spec.ServiceID]int
	kindByKey   map[KindKey]kindIndex
	nameByKind  map[string]int
	profiles    []Profile
	fallback    Profile
	scorers     []Scorer
	queues      *queues
}

// KindKey identifies the jobs that behave alike.
type KindKey struct {
	Team spec.TeamID
	Kind string
}

// Worker is one worker as the kernel keeps it.
type Worker struct {
	spec.Worker
	// Index is the position in Cluster.Workers.
	Index int
	// ServiceIndex is the position of the worker's service, or -1.
	ServiceIndex int
	// Granted is held by urgent requests; Reserved by tasks.
	Granted  spec.Resources
	Reserved spec.Resources
	// Running holds the tasks on the worker in reproducible order.
	Running []*Item
	// Removed, Isolated and Probing state whether tasks may be placed.
	Removed  bool
	Isolated bool
	Probing  bool
	// Report is the newest report; ReportedAt is when it arrived.
	Report     policy.Report
	ReportedAt time.Duration
	HasReport  bool
	// UsedMiB is the memory that the newest report shows in use by tasks.
	UsedMiB int64
	// LastAction is the last throttle, move or eviction on the worker.
	LastAction time.Duration
	HasAction  bool

	dirty bool
}

// Free returns what is neither granted nor reserved. A dimension is negative
// when grants were raised above what reservations leave.
func (w *Worker) Free() spec.Resources {
	return w.Capacity.Sub(w.Granted).Sub(w.Reserved)
}

// Takes reports whether tasks may be placed on the worker.
func (w *Worker) Takes() bool {
	if w.Removed {
		return false
	}
	return !w.Isolated || (w.Probing && len(w.Running) == 0)
}

// Item is one waiting or running task as the kernel keeps it.
type Item struct {
	policy.Task
	// Kind is the position of (team, kind) in Cluster.Kinds.
	KindIndex int
	// NameIndex is the position of the kind, whatever the team, in
	// Cluster.KindNames.
	NameIndex int
	// ServiceIndex is the position of the task's service, or -1.
	ServiceIndex int
	// Need is what the task reserves: at least its declared resources.
	Need spec.Resources
	// Predicted is the predicted run time of the whole task at a safe
	// quantile; Shortest is a run time that it hardly undercuts. Zero means
	// that nothing is known.
	Predicted time.Duration
	Shortest  time.Duration
	// PeakMean and PeakVariance describe the predicted peak memory, in MiB and
	// MiB squared. They stay as they are while the task runs.
	PeakMean     float64
	PeakVariance float64
	// Worker is nil while the task waits.
	Worker *Worker
	// StartedAt is when the task was placed; StartProgress its progress then.
	StartedAt     time.Duration
	StartProgress float64
	// ThrottledTo is the processor share that a throttle left, in percent.
	ThrottledTo int
	// Throttled is set once the task was throttled, even if it no longer is.
	Throttled bool
	// Used is the newest measured use, and Peak its maximum, in processors
	// and memory.
	Used spec.Resources
	Peak spec.Resources
	// MemoryRate is the growth of the memory in use, in MiB per second.
	MemoryRate float64
	// UsedAt is when Used was measured.
	UsedAt time.Duration
	// Borrowed is set when the task was admitted beyond its team's quota.
	Borrowed bool
	// LastAction is the last throttle, move or eviction of the task.
	LastAction time.Duration
	HasAction  bool
	// Leaving is set once a move or an eviction was returned.
	Leaving bool
	// LatestStart is the task's position in the queue.
	LatestStart time.Duration

	// workedBefore is the unthrottled run time up to speedSince, when the
	// throttle last changed.
	workedBefore time.Duration
	speedSince   time.Duration

	shape   *shape
	state   itemState
	heap    *itemHeap
	heapPos int
	key     time.Duration
	seq     uint64
	allPos  int
	runPos  int
	refusal Status
}

// itemState says in which queue a task is, if any.
type itemState uint8

const (
	inActive itemState = iota + 1
	inBackoff
	inParked
	assumed
)

// Remaining returns the predicted remaining run time at a safe quantile.
func (t *Item) Remaining() time.Duration {
	return time.Duration(float64(t.Predicted) * (1 - t.Progress))
}

// newCluster returns an empty cluster whose profiles weigh the score plug-ins.
func newCluster(cfg Config, scorers []Scorer) Cluster {
	return Cluster{
		Config:      cfg,
		Lag:         cfg.MeasurementLag,
		workerByID:  map[spec.WorkerID]*Worker{},
		itemByID:    map[spec.TaskID]*Item{},
		serviceByID: map[spec.ServiceID]int{},
		kindByKey:   map[KindKey]kindIndex{},
		nameByKind:  map[string]int{},
		scorers:     scorers,
		fallback:    newProfile(policy.Service{}, scorers),
	}
}

// SetServices replaces the services and their profiles.
func (c *Cluster) SetServices(services []policy.Service) {
	c.Services = append([]policy.Service(nil), services...)
	c.serviceByID = map[spec.ServiceID]int{}
	c.profiles = c.profiles[:0]
	for i, s := range services {
		c.serviceByID[s.ID] = i
		c.profiles = append(c.profiles, newProfile(s, c.scorers))
	}
}

// Waiting returns the number of tasks that wait.
func (c *Cluster) Waiting() int { return len(c.Items) - c.Running }

// Worker returns the worker with the id, or nil.
func (c *Cluster) Worker(id spec.WorkerID) *Worker { return c.workerByID[id] }

// Item returns the task with the id, or nil.
func (c *Cluster) Item(id spec.TaskID) *Item { return c.itemByID[id] }

// ServiceIndex returns the position of a service in Services, or -1.
func (c *Cluster) ServiceIndex(id spec.ServiceID) int {
	if i, known := c.serviceByID[id]; known {
		return i
	}
	return -1
}

// Profile returns the weights that the service at a position chose; -1
// selects the balanced profile.
func (c *Cluster) Profile(serviceIndex int) *Profile {
	if serviceIndex < 0 || serviceIndex >= len(c.profiles) {
		return &c.fallback
	}
	return &c.profiles[serviceIndex]
}

// kindIndex holds the positions of a kind in Kinds and in KindNames.
type kindIndex struct{ kind, name int }

// indexKind returns the positions of (team, kind), which it adds when new.
func (c *Cluster) indexKind(team spec.TeamID, kind string) kindIndex {
	key := KindKey{Team: team, Kind: kind}
	if known, ok := c.kindByKey[key]; ok {
		return known
	}
	name, named := c.nameByKind[kind]
	if !named {
		name = len(c.KindNames)
		c.KindNames = append(c.KindNames, kind)
		c.nameByKind[kind] = name
	}
	added := kindIndex{kind: len(c.Kinds), name: name}
	c.Kinds = append(c.Kinds, key)
	c.kindByKey[key] = added
	return added
}

// EachParked calls visit with the first parked or woken task of each shape
// that was refused, and with the refusal.
func (c *Cluster) EachParked(visit func(t *Item, refusal Status)) {
	for _, s := range c.queues.closed {
		switch {
		case s.trial != nil:
			visit(s.trial, s.refusal)
		case s.parked.len() > 0:
			visit(s.parked.items[0], s.refusal)
		}
	}
}
