// Package runtimes predicts run times from the run times of finished tasks of
// the same team and kind.
//
// With the ratios run time / declared run time of the last 64 finished tasks,
// or the run times in seconds themselves where none is declared:
//
//	Predicted = declared * UpperQuantile(0.9), the declared run time without history
//	Shortest  = declared * 0.8 * smallest ratio, from 8 finished tasks on
//
// A task that resumed from a checkpoint counts as run time / remaining share.
package runtimes

import (
	"time"

	"redwingvale/internal/framework"
	"redwingvale/internal/plugins/sample"
	"redwingvale/internal/policy"
)

// Name is the name of the plug-in.
const Name = "runtimes"

const (
	// quantile is the share of tasks that should run no longer than predicted.
	quantile = 0.9
	// shortestMargin allows for a task faster than all earlier ones.
	shortestMargin = 0.8
	// minSamplesForShortest is the number of finished tasks that Shortest needs.
	minSamplesForShortest = 8
	// minRemainingShare is the smallest remaining share from which a ratio is
	// computed; below it the error of the progress dominates.
	minRemainingShare = 0.2
)

func init() { framework.Register(Name, New) }

// Plugin learns and estimates run times.
type Plugin struct {
	// Both are indexed by TaskInfo.KindIndex; tasks with and without a declared
	// run time have separate windows.
	declared   []sample.Window
	undeclared []sample.Window
}

var (
	_ framework.Learner   = (*Plugin)(nil)
	_ framework.Estimator = (*Plugin)(nil)
)

// New returns the plug-in.
func New(framework.Config) framework.Plugin { return &Plugin{} }

// Name implements framework.Plugin.
func (*Plugin) Name() string { return Name }

// Observe does nothing: the kernel records the progress.
func (*Plugin) Observe(*framework.Cluster, *framework.Worker, *policy.Report) {}

// Learn adds the run time of a finished task that was never throttled.
func (p *Plugin) Learn(c *framework.Cluster, t *framework.TaskInfo, end policy.EndKind, ran time.Duration) {
	left := 1 - t.StartProgress
	if end != policy.EndDone || left < minRemainingShare || ran <= 0 || t.Throttled {
		return
	}
	window, unit := p.window(c, t)
	window.Add(float64(ran) / left / float64(unit))
}

// Estimate sets Predicted and Shortest.
func (p *Plugin) Estimate(c *framework.Cluster, t *framework.TaskInfo) {
	window, unit := p.window(c, t)
	if window.Len() == 0 {
		return
	}
	t.Predicted = time.Duration(float64(unit) * window.UpperQuantile(quantile))
	if window.Len() >= minSamplesForShortest {
		t.Shortest = time.Duration(float64(unit) * shortestMargin * window.Min())
	}
}

// window returns the history of a task's kind and the unit of its values.
func (p *Plugin) window(c *framework.Cluster, t *framework.TaskInfo) (*sample.Window, time.Duration) {
	for len(p.declared) < len(c.Kinds) {
		p.declared = append(p.declared, sample.Window{})
		p.undeclared = append(p.undeclared, sample.Window{})
	}
	if t.RunTime > 0 {
		return &p.declared[t.KindIndex], t.RunTime
	}
	return &p.undeclared[t.KindIndex], time.Second
}
