// Package health isolates workers on which every start fails, and distinguishes
// them from jobs that fail on every worker.
//
// Evidence against a worker is a failure of a job that has not failed there
// since the worker's last success, or of a job that succeeded elsewhere:
//
//	isolate when evidence >= 3 and isolated workers < max(1, workers / 4)
//	probe after 30 s * 2^(failed probes), at most 30 min; one success releases
//
// A job is faulty when it failed on 3 workers in service and never succeeded.
// Failures of a faulty job are not evidence, and its earlier evidence is
// withdrawn. Failures on an isolated worker do not count against the job, and
// those on a worker that becomes isolated are withdrawn. The loss of a worker is
// evidence against neither.
//
// Filter: a probe is a batch task with more laxity than twice its run time.
// Score: 0 on a worker where the job has failed, else 1.
package health

import (
	"time"

	"redwingvale/internal/framework"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Name is the name of the plug-in.
const Name = "health"

const (
	// evidenceToIsolate is the evidence at which a worker is isolated.
	evidenceToIsolate = 3
	// workersForFaultyJob is the number of workers on which a job must fail to be
	// faulty.
	workersForFaultyJob = 3
	// maxIsolatedDivisor is the inverse of the share of workers that may be
	// isolated: more failures at once have a common cause outside the workers.
	maxIsolatedDivisor = 4
	initialProbeDelay  = 30 * time.Second
	maxProbeDelay      = 30 * time.Minute
	// probeLaxity is the slack that a probe needs, as a multiple of its run time.
	probeLaxity = 2
	// maxJobs bounds the recorded jobs; the oldest is dropped.
	maxJobs = 8192
)

func init() { framework.Register(Name, New) }

// workerRecord is the failure record of one worker.
type workerRecord struct {
	// failed holds the jobs that failed since the last success.
	failed       []spec.JobID
	evidence     int
	isolated     bool
	probeAt      time.Duration
	failedProbes int
}

// jobRecord is the failure record of one job.
type jobRecord struct {
	failedOn  []int
	succeeded bool
	faulty    bool
}

// Plugin implements quarantine, filter and score.
type Plugin struct {
	workers []workerRecord
	jobs    map[spec.JobID]*jobRecord
	// order is a ring of the recorded jobs; next is the oldest once it is full.
	order    []spec.JobID
	next     int
	isolated int
}

var (
	_ framework.Quarantiner = (*Plugin)(nil)
	_ framework.Filterer    = (*Plugin)(nil)
	_ framework.Scorer      = (*Plugin)(nil)
	_ framework.Learner     = (*Plugin)(nil)
	_ framework.Explainer   = (*Plugin)(nil)
)

// New returns the plug-in.
func New(framework.Config) framework.Plugin {
	return &Plugin{jobs: map[spec.JobID]*jobRecord{}}
}

// Name implements framework.Plugin.
func (*Plugin) Name() string { return Name }

// Observe does nothing: only the ends of attempts are evidence.
func (*Plugin) Observe(*framework.Cluster, *framework.Worker, *policy.Report) {}

// Learn records the end of an attempt.
func (p *Plugin) Learn(c *framework.Cluster, t *framework.TaskInfo, end policy.EndKind, _ time.Duration) {
	p.grow(c)
	w := t.Worker
	switch end {
	case policy.EndDone:
		p.succeeded(w, t.ID.Job)
	case policy.EndFailed:
		p.failed(c, w, t.ID.Job)
	}
}

// succeeded clears the evidence against the worker and the job.
func (p *Plugin) succeeded(w *framework.Worker, id spec.JobID) {
	r := &p.workers[w.Index]
	r.failed, r.evidence = r.failed[:0], 0
	if r.isolated {
		r.isolated, r.failedProbes = false, 0
		p.isolated--
	}
	if j := p.jobs[id]; j != nil {
		j.succeeded, j.faulty = true, false
		return
	}
	p.recordOf(id).succeeded = true
}

// failed adds evidence against the worker and the job, unless the worker is
// isolated or the job is faulty already.
func (p *Plugin) failed(c *framework.Cluster, w *framework.Worker, id spec.JobID) {
	r := &p.workers[w.Index]
	if r.isolated {
		r.failedProbes++
		r.probeAt = c.Now + probeDelay(r.failedProbes)
		return
	}
	j := p.recordOf(id)
	if j.faulty {
		return
	}
	if !contains(r.failed, id) {
		r.failed = append(r.failed, id)
		r.evidence++
	} else if j.succeeded {
		r.evidence++
	}
	if !contains(j.failedOn, w.Index) {
		j.failedOn = append(j.failedOn, w.Index)
	}
	if !j.succeeded && len(j.failedOn) >= workersForFaultyJob {
		p.markFaulty(j, id)
	}
}

// markFaulty marks a job as faulty and withdraws its evidence against workers.
func (p *Plugin) markFaulty(j *jobRecord, id spec.JobID) {
	j.faulty = true
	for _, i := range j.failedOn {
		r := &p.workers[i]
		if r.isolated {
			continue
		}
		if at := index(r.failed, id); at >= 0 {
			r.failed = append(r.failed[:at], r.failed[at+1:]...)
			r.evidence--
		}
	}
}

// CheckWorker implements framework.Quarantiner.
func (p *Plugin) CheckWorker(c *framework.Cluster, w *framework.Worker) (framework.QuarantineDecision, string) {
	p.grow(c)
	r := &p.workers[w.Index]
	switch {
	case w.Isolated && !r.isolated:
		return framework.Release, "a probe succeeded"
	case w.Isolated && w.Probing && c.Now < r.probeAt:
		return framework.Isolate, "a probe failed"
	case w.Isolated && !w.Probing && c.Now >= r.probeAt:
		return framework.Probe, ""
	case !w.Isolated && r.evidence >= evidenceToIsolate && p.mayIsolate(c):
		p.isolate(c, w)
		return framework.Isolate, "3 starts of jobs that run elsewhere failed in a row"
	}
	return framework.NoChange, ""
}

// mayIsolate reports whether another worker may be isolated.
func (p *Plugin) mayIsolate(c *framework.Cluster) bool {
	return p.isolated < max(1, len(c.Workers)/maxIsolatedDivisor)
}

// isolate marks a worker as isolated and withdraws its failures from the jobs.
func (p *Plugin) isolate(c *framework.Cluster, w *framework.Worker) {
	r := &p.workers[w.Index]
	r.isolated, r.failedProbes = true, 0
	r.probeAt = c.Now + probeDelay(0)
	p.isolated++
	for _, id := range r.failed {
		j := p.jobs[id]
		if j == nil {
			continue
		}
		if at := index(j.failedOn, w.Index); at >= 0 {
			j.failedOn = append(j.failedOn[:at], j.failedOn[at+1:]...)
		}
	}
	r.failed, r.evidence = r.failed[:0], 0
}

// Filter keeps long-running tasks, and tasks whose deadline leaves too little
// slack, off a worker that is being probed.
func (p *Plugin) Filter(c *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) framework.Status {
	if !w.Isolated {
		return framework.Status{}
	}
	slack := time.Duration(probeLaxity * float64(t.Predicted))
	safe := t.Class == spec.Deadline && (t.Deadline == 0 || t.LatestStart-c.Now > slack)
	if safe {
		return framework.Status{}
	}
	return framework.Refuse(Name, "the worker is probed with tasks that can wait", framework.HealthChanged)
}

// Score avoids workers on which the job has failed.
func (p *Plugin) Score(_ *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) float64 {
	if len(p.jobs) == 0 {
		return 1
	}
	j := p.jobs[t.ID.Job]
	if j != nil && contains(j.failedOn, w.Index) {
		return 0
	}
	return 1
}

// Explain adds a reason when the job is faulty.
func (p *Plugin) Explain(_ *framework.Cluster, t *framework.TaskInfo, out []policy.Reason) []policy.Reason {
	j := p.jobs[t.ID.Job]
	if j == nil || !j.faulty {
		return out
	}
	return append(out, policy.Reason{
		Dimension: Name,
		Workers:   len(j.failedOn),
		Detail:    "the job failed on several workers and never succeeded",
	})
}

// recordOf returns the record of a job. A new job replaces the oldest one once
// maxJobs are recorded.
func (p *Plugin) recordOf(id spec.JobID) *jobRecord {
	if j := p.jobs[id]; j != nil {
		return j
	}
	if len(p.order) < maxJobs {
		j := &jobRecord{}
		p.jobs[id] = j
		p.order = append(p.order, id)
		return j
	}
	oldest := p.order[p.next]
	j := p.jobs[oldest]
	delete(p.jobs, oldest)
	*j = jobRecord{failedOn: j.failedOn[:0]}
	p.jobs[id] = j
	p.order[p.next] = id
	p.next = (p.next + 1) % maxJobs
	return j
}

func (p *Plugin) grow(c *framework.Cluster) {
	for len(p.workers) < len(c.Workers) {
		p.workers = append(p.workers, workerRecord{})
	}
}

// probeDelay returns the delay before the next probe.
func probeDelay(failedProbes int) time.Duration {
	return min(initialProbeDelay<<min(failedProbes, 10), maxProbeDelay)
}

func contains[T comparable](list []T, value T) bool { return index(list, value) >= 0 }

// index returns the position of a value, or -1.
func index[T comparable](list []T, value T) int {
	for i, each := range list {
		if each == value {
			return i
		}
	}
	return -1
}
