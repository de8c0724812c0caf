package framework

import (
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Configurable is implemented by plug-ins that keep state per service.
// OnConfigure is called after the services were replaced and must not block.
type Configurable interface {
	Plugin
	OnConfigure(c *Cluster)
}

// plugins holds the plug-ins of one kernel by extension point, each list in
// ascending order of plug-in name.
type plugins struct {
	admit      []Admitter
	order      []Orderer
	filter     []Filterer
	score      []Scorer
	reserve    []Reserver
	throttle   []Throttler
	evict      []Evicter
	quarantine []Quarantiner
	learn      []Learner
	estimate   []Estimator
	periodic   []Periodic
	forecast   []Forecaster
	configured []Configurable
	audit      []Auditor
	explain    []Explainer
	grants     []GrantWatcher
}

// groupByExtensionPoint lists the plug-ins by the interfaces they implement.
func groupByExtensionPoint(list []Plugin) plugins {
	var p plugins
	for _, each := range list {
		p.admit = appendMatching(p.admit, each)
		p.order = appendMatching(p.order, each)
		p.filter = appendMatching(p.filter, each)
		p.score = appendMatching(p.score, each)
		p.reserve = appendMatching(p.reserve, each)
		p.throttle = appendMatching(p.throttle, each)
		p.evict = appendMatching(p.evict, each)
		p.quarantine = appendMatching(p.quarantine, each)
		p.learn = appendMatching(p.learn, each)
		p.estimate = appendMatching(p.estimate, each)
		p.periodic = appendMatching(p.periodic, each)
		p.forecast = appendMatching(p.forecast, each)
		p.configured = appendMatching(p.configured, each)
		p.audit = appendMatching(p.audit, each)
		p.explain = appendMatching(p.explain, each)
		p.grants = appendMatching(p.grants, each)
	}
	return p
}

// appendMatching appends a plug-in to list when it implements the list's interface.
func appendMatching[T Plugin](list []T, plugin Plugin) []T {
	if match, ok := plugin.(T); ok {
		return append(list, match)
	}
	return list
}

// Forecaster is implemented by plug-ins that predict when a task can no longer
// meet its deadline. It must not block.
type Forecaster interface {
	Plugin
	// MissesDeadline reports whether the task cannot meet its deadline. It must
	// return true only if this holds even when the task runs as fast as the
	// fastest task of its kind.
	MissesDeadline(c *Cluster, t *TaskInfo) bool
}

// Explainer is implemented by plug-ins that can add reasons about a waiting
// task. Explain is called on operators' requests, not for each decision; it
// must not block. It appends its reasons to out.
type Explainer interface {
	Plugin
	Explain(c *Cluster, t *TaskInfo, out []policy.Reason) []policy.Reason
}

// GrantWatcher is implemented by plug-ins that track the resources granted to
// urgent requests. OnGrantChange is called before a worker's grants change to
// granted and must not block.
type GrantWatcher interface {
	Plugin
	OnGrantChange(c *Cluster, w *Worker, granted spec.Resources)
}
