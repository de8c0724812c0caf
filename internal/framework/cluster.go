package framework

import (
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Cluster is the view that plug-ins have of the workers, the tasks and the
// services of one group. Plug-ins read it and modify only their own state.
type Cluster struct {
	// Now is the owner's monotonic time of the current call.
	Now time.Duration
	// Config is the kernel's configuration with the defaults filled in.
	Config Config
	// Lag is the current measurement lag: the largest age of a report on
	// arrival, at least Config.MeasurementLag.
	Lag time.Duration
	// Workers holds every worker that was ever set, in order of arrival. The
	// position of a worker is its Index.
	Workers []*Worker
	// Tasks holds every waiting and running task in an unspecified but
	// reproducible order.
	Tasks []*TaskInfo
	// Running counts the entries of Tasks that are on a worker.
	Running int
	// Services holds the services in the order of the last Configure.
	Services []policy.Service
	// Largest is the largest capacity of a worker in each dimension.
	Largest spec.Resources
	// Kinds holds every (team, kind) seen; TaskInfo.KindIndex is a position in
	// it.
	Kinds []KindKey
	// KindNames holds every kind seen in any team.
	KindNames []string

	workerByID  map[spec.WorkerID]*Worker
	taskByID    map[spec.TaskID]*TaskInfo
	serviceByID map[spec.ServiceID]int
	kindByKey   map[KindKey]kindPosition
	nameByKind  map[string]int
	profiles    []Profile
	fallback    Profile
	scorers     []Scorer
	queues      *queues
}

// KindKey identifies jobs that are expected to behave alike.
type KindKey struct {
	Team spec.TeamID
	Kind string
}

// Worker is the kernel's state of one worker.
type Worker struct {
	spec.Worker
	// Index is the position in Cluster.Workers.
	Index int
	// ServiceIndex is the position of the worker's service, or -1.
	ServiceIndex int
	// Granted is held by urgent requests, Reserved by tasks.
	Granted  spec.Resources
	Reserved spec.Resources
	// Running holds the tasks on the worker in a reproducible order.
	Running []*TaskInfo
	// Removed, Isolated and Probing decide whether tasks may be placed.
	Removed  bool
	Isolated bool
	Probing  bool
	// Report is the newest report; ReportedAt is when it arrived.
	Report     policy.Report
	ReportedAt time.Duration
	HasReport  bool
	// UsedMiB is the memory in use by tasks according to the newest report.
	UsedMiB int64
	// LastAction is the last throttle, move or eviction on the worker.
	LastAction time.Duration
	HasAction  bool

	dirty bool
}

// Free returns the resources that are neither granted nor reserved. A dimension
// is negative when grants were raised above what the reservations leave free.
func (w *Worker) Free() spec.Resources {
	return w.Capacity.Sub(w.Granted).Sub(w.Reserved)
}

// Schedulable reports whether tasks may be placed on the worker. An isolated
// worker takes one probe at a time.
func (w *Worker) Schedulable() bool {
	if w.Removed {
		return false
	}
	return !w.Isolated || (w.Probing && len(w.Running) == 0)
}

// TaskInfo is the kernel's state of one waiting or running task.
type TaskInfo struct {
	policy.Task
	// KindIndex is the position of (team, kind) in Cluster.Kinds.
	KindIndex int
	// NameIndex is the position of the kind, regardless of the team, in
	// Cluster.KindNames.
	NameIndex int
	// ServiceIndex is the position of the task's service, or -1.
	ServiceIndex int
	// Need is what the task reserves, at least its declared resources.
	Need spec.Resources
	// Predicted is the predicted run time of the whole task at a safe
	// quantile; Shortest is a lower bound that it is unlikely to undercut. Zero
	// means unknown.
	Predicted time.Duration
	Shortest  time.Duration
	// PeakMean and PeakVariance describe the predicted peak memory, in MiB and
	// MiB squared. They do not change while the task runs.
	PeakMean     float64
	PeakVariance float64
	// Worker is nil while the task waits.
	Worker *Worker
	// StartedAt is when the task was placed; StartProgress is its progress at
	// that time.
	StartedAt     time.Duration
	StartProgress float64
	// ThrottledTo is the processor share that the throttle allows, in percent.
	ThrottledTo int
	// Throttled states that the task is or was throttled.
	Throttled bool
	// Used is the newest measured use of processors and memory, Peak its
	// maximum.
	Used spec.Resources
	Peak spec.Resources
	// MemoryRate is the growth of the memory in use, in MiB per second.
	MemoryRate float64
	// UsedAt is when Used was measured.
	UsedAt time.Duration
	// Borrowed states that the task was admitted beyond its team's quota.
	Borrowed bool
	// LastAction is the last throttle, move or eviction of the task.
	LastAction time.Duration
	HasAction  bool
	// Stopping states that a move or an eviction of the task was returned.
	Stopping bool
	// LatestStart is the task's position in the queue.
	LatestStart time.Duration

	// effectiveBefore is the effective run time up to throttleChangedAt, when
	// the throttle last changed.
	effectiveBefore   time.Duration
	throttleChangedAt time.Duration

	equiv   *equivClass
	state   taskState
	heap    *taskHeap
	heapPos int
	key     time.Duration
	seq     uint64
	allPos  int
	runPos  int
	refusal Status
}

// taskState states in which queue a task is, if any.
type taskState uint8

const (
	stateActive taskState = iota + 1
	stateBackoff
	stateParked
	statePlaced
)

// Remaining returns the predicted remaining run time at a safe quantile.
func (t *TaskInfo) Remaining() time.Duration {
	return time.Duration(float64(t.Predicted) * (1 - t.Progress))
}

// newCluster returns an empty cluster with profiles for the score plug-ins.
func newCluster(cfg Config, scorers []Scorer) Cluster {
	return Cluster{
		Config:      cfg,
		Lag:         cfg.MeasurementLag,
		workerByID:  map[spec.WorkerID]*Worker{},
		taskByID:    map[spec.TaskID]*TaskInfo{},
		serviceByID: map[spec.ServiceID]int{},
		kindByKey:   map[KindKey]kindPosition{},
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
func (c *Cluster) Waiting() int { return len(c.Tasks) - c.Running }

// Worker returns the worker with the id, or nil.
func (c *Cluster) Worker(id spec.WorkerID) *Worker { return c.workerByID[id] }

// Task returns the task with the id, or nil.
func (c *Cluster) Task(id spec.TaskID) *TaskInfo { return c.taskByID[id] }

// ServiceIndex returns the position of a service in Services, or -1.
func (c *Cluster) ServiceIndex(id spec.ServiceID) int {
	if i, known := c.serviceByID[id]; known {
		return i
	}
	return -1
}

// Profile returns the profile of the service at a position in Services; -1
// returns the balanced profile.
func (c *Cluster) Profile(serviceIndex int) *Profile {
	if serviceIndex < 0 || serviceIndex >= len(c.profiles) {
		return &c.fallback
	}
	return &c.profiles[serviceIndex]
}

// kindPosition holds the positions of a kind in Kinds and in KindNames.
type kindPosition struct{ kind, name int }

// indexKind returns the positions of (team, kind), adding it when it is new.
func (c *Cluster) indexKind(team spec.TeamID, kind string) kindPosition {
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
	added := kindPosition{kind: len(c.Kinds), name: name}
	c.Kinds = append(c.Kinds, key)
	c.kindByKey[key] = added
	return added
}

// EachParked calls visit once for each blocked equivalence class, with its
// activated task or else its first parked task, and with the refusal.
func (c *Cluster) EachParked(visit func(t *TaskInfo, refusal Status)) {
	for _, class := range c.queues.blocked {
		switch {
		case class.trial != nil:
			visit(class.trial, class.refusal)
		case class.parked.len() > 0:
			visit(class.parked.tasks[0], class.refusal)
		}
	}
}
