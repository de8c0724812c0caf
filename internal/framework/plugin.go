// Package framework is the scheduling kernel. It implements policy.Decider
// and calls the registered plug-ins at eight named extension points: admit,
// order, filter, score, reserve, throttle, evict and quarantine.
//
// All methods of a kernel and of its plug-ins are called from one goroutine.
// No plug-in may block, read a clock, start a goroutine or let a decision
// depend on the iteration order of a map.
package framework

import (
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Plugin is implemented by every plug-in, together with one or more of the
// interfaces below. Name returns the Name constant of the plug-in's package.
type Plugin interface {
	Name() string
}

// Admitter is the extension point admit.
type Admitter interface {
	Plugin
	// Admit is called each time the kernel takes a task from the active queue,
	// before it filters workers. It must not block. A status other than success
	// parks the task until one of the status's events.
	Admit(c *Cluster, t *TaskInfo) Status
}

// Orderer is the extension point order.
type Orderer interface {
	Plugin
	// LatestStart is called when a task enters a queue. It returns the time on
	// the owner's monotonic clock by which the task should start; the earliest
	// time of all plug-ins orders the queue. It must not block. A plug-in that
	// sets no limit for the task returns NoLatestStart.
	LatestStart(c *Cluster, t *TaskInfo) time.Duration
}

// NoLatestStart is returned by an Orderer that sets no limit for a task.
const NoLatestStart = time.Duration(1<<63 - 1)

// Filterer is the extension point filter.
type Filterer interface {
	Plugin
	// Filter is called for each candidate worker of a task. It must not block
	// and must not allocate on success. A status other than success removes
	// the worker from the candidates of this decision.
	Filter(c *Cluster, t *TaskInfo, w *Worker) Status
}

// Scorer is the extension point score.
type Scorer interface {
	Plugin
	// Score is called for each candidate that passed every filter. It returns
	// 0 (worst) to 1 (best); the profile's weight multiplies it. It must not
	// block or allocate.
	Score(c *Cluster, t *TaskInfo, w *Worker) float64
}

// Reserver is the extension point reserve.
type Reserver interface {
	Plugin
	// Reserve is called once a worker is chosen, or restored after a takeover.
	// It must not block. A status other than success undoes the placement: the
	// kernel calls Unreserve on the plug-ins that have reserved, in reverse
	// order. A restored task runs already, so its Reserve must succeed.
	Reserve(c *Cluster, t *TaskInfo, w *Worker) Status
	// Unreserve is called when the task ends or its placement is undone. It
	// must not block and cannot fail.
	Unreserve(c *Cluster, t *TaskInfo, w *Worker)
}

// Throttler is the extension point throttle.
type Throttler interface {
	Plugin
	// Throttle is called from Review for each worker with a new report. It
	// must not block. It appends its proposals to out. A proposal that the
	// kernel drops, because the task had an action within the measurement lag,
	// may be repeated at a later review.
	Throttle(c *Cluster, w *Worker, out []policy.Action) []policy.Action
}

// Evicter is the extension point evict.
type Evicter interface {
	Plugin
	// Evict is called from Review (with a zero need) for each worker with a
	// new report, and from Relieve with the resources that urgent requests
	// need. It must not block. It appends proposals to out, best first; the
	// kernel takes as many as are needed.
	Evict(c *Cluster, w *Worker, need spec.Resources, out []policy.Action) []policy.Action
}

// QuarantineDecision is what a Quarantiner decides about a worker.
type QuarantineDecision uint8

// The quarantine decisions.
const (
	// NoChange keeps the worker's current state.
	NoChange QuarantineDecision = iota
	// Isolate stops placing on the worker.
	Isolate
	// Probe lets the kernel place one task on an isolated worker.
	Probe
	// Release returns the worker to service.
	Release
)

// Quarantiner is the extension point quarantine.
type Quarantiner interface {
	Plugin
	// CheckWorker is called after each end of an attempt on the worker and at each
	// review. It must not block. The reason is used only with a decision other
	// than NoChange.
	CheckWorker(c *Cluster, w *Worker) (verdict QuarantineDecision, reason string)
}

// Learner is implemented by plug-ins that learn from reports and ended
// attempts. It is not an extension point: it changes no decision by itself.
type Learner interface {
	Plugin
	// Observe is called with each report that is newer than the last one of
	// its worker. It must not block.
	Observe(c *Cluster, w *Worker, r *policy.Report)
	// Learn is called when an attempt ends, before Unreserve. It must not block.
	Learn(c *Cluster, t *TaskInfo, end policy.EndKind, ran time.Duration)
}

// Estimator is implemented by plug-ins that predict what a task needs. It sets
// Need or Predicted of the task. It is called when a task enters a queue and
// each time it is taken from the active queue, and must not block.
type Estimator interface {
	Plugin
	Estimate(c *Cluster, t *TaskInfo)
}

// Periodic is implemented by plug-ins that propose actions independently of
// the report of a single worker. Propose is called once per review and must
// not block. It appends its proposals to out.
type Periodic interface {
	Plugin
	Propose(c *Cluster, out []policy.Action) []policy.Action
}
