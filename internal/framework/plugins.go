package framework

import (
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Configurable is implemented by plug-ins that keep state per service.
// Configured is called after the services were replaced and must not block.
type Configurable interface {
	Plugin
	Configured(c *Cluster)
}

// plugins holds the plug-ins of one kernel by extension point, each list in
// ascending order of the names.
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
	overdue    []Forecaster
	configured []Configurable
	audit      []Auditor
	explain    []Explainer
	grants     []GrantWatcher
}

// sortPlugins distributes plug-ins over the extension points.
func sortPlugins(list []Plugin) plugins {
	var p plugins
	for _, each := range list {
		p.admit = collect(p.admit, each)
		p.order = collect(p.order, each)
		p.filter = collect(p.filter, each)
		p.score = collect(p.score, each)
		p.reserve = collect(p.reserve, each)
		p.throttle = collect(p.throttle, each)
		p.evict = collect(p.evict, each)
		p.quarantine = collect(p.quarantine, each)
		p.learn = collect(p.learn, each)
		p.estimate = collect(p.estimate, each)
		p.periodic = collect(p.periodic, each)
		p.overdue = collect(p.overdue, each)
		p.configured = collect(p.configured, each)
		p.audit = collect(p.audit, each)
		p.explain = collect(p.explain, each)
		p.grants = collect(p.grants, each)
	}
	return p
}

// collect appends a plug-in to list when it implements the list's interface.
func collect[T Plugin](list []T, plugin Plugin) []T {
	if match, ok := plugin.(T); ok {
		return append(list, match)
	}
	return list
}

// Forecaster is implemented by plug-ins that know when a task cannot meet its
// deadline any more. It must not block.
type Forecaster interface {
	Plugin
	// Late reports whether the task cannot meet its deadline. A true answer
	// must hold even when the task runs as fast as such tasks ever did.
	Late(c *Cluster, t *Item) bool
}

// Explainer is implemented by plug-ins that can add reasons about a waiting
// task. Explain is called for people, not for each decision; it must not
// block. It appends its reasons to out.
type Explainer interface {
	Plugin
	Explain(c *Cluster, t *Item, out []policy.Reason) []policy.Reason
}

// GrantWatcher is implemented by plug-ins that follow what urgent requests
// hold. Granted is called before a worker's grants change to granted and must
// not block.
type GrantWatcher interface {
	Plugin
	Granted(c *Cluster, w *Worker, granted spec.Resources)
}
