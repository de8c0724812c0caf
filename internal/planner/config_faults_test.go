package planner

import (
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

const (
	// configApplyMS is the platform's bound for a version to take effect
	// everywhere (configApplyMs).
	configApplyMS = 2000
	// deposedLeaderRunMS is how long a deposed leader continues in these runs.
	deposedLeaderRunMS = 2000
)

// version is a version of the configuration.
type version struct {
	at     int64
	queues []Queue
}

func (v version) queue(name string) *Queue {
	for i := range v.queues {
		if v.queues[i].Name == name {
			return &v.queues[i]
		}
	}
	return nil
}

type runKey struct {
	task jobs.Task
	run  int
}

// configure gives a new leader its configuration: at once, or with
// injectConfigFaults after a delay and sometimes with the previous version
// first.
func (w *simulation) configure(l *leader) {
	newest := len(w.versions) - 1
	if w.configRNG == nil || w.epoch == 1 {
		w.apply(l, newest)
		return
	}
	delay := []int64{0, w.configRNG.Int64N(1000), w.configRNG.Int64N(9000)}[w.configRNG.IntN(3)]
	if newest > 0 && w.configRNG.IntN(2) == 0 {
		// An older version may be in force until the bound has passed.
		if bound := w.versions[newest].at + configApplyMS; w.now+delay/4 < bound {
			w.at(delay/4, func() { w.apply(l, newest-1) })
			delay = min(delay, bound-w.now)
		}
	}
	w.at(delay, func() { w.apply(l, len(w.versions)-1) })
}

// apply applies a version at a leader; an older one never replaces a newer one.
func (w *simulation) apply(l *leader, n int) {
	if l.version < n {
		l.version = n
		w.step(l, QueuesChanged{Queues: w.versions[n].queues})
	}
}

// publish adds a new version, which the leader receives within the bound.
func (w *simulation) publish(queues []Queue) {
	w.versions = append(w.versions, version{w.now, queues})
	n := len(w.versions) - 1
	l := w.leader
	w.at(w.configRNG.Int64N(configApplyMS), func() {
		// A leader without any version is still waiting for its first.
		if l.version >= 0 {
			w.apply(l, n)
		}
	})
}

// randomVersion publishes a version with other attempt limits; sometimes it
// drops a queue that may have jobs.
func (w *simulation) randomVersion() {
	queues := slices.Clone(w.versions[0].queues)
	for i := range queues {
		queues[i].MaxAttempts = 1 + w.configRNG.IntN(6)
	}
	if w.configRNG.IntN(3) == 0 {
		queues = slices.DeleteFunc(queues, func(q Queue) bool { return q.Name == "batch" })
	}
	w.publish(queues)
}

// injectConfigFaults lets leaders start without a configuration or with an
// older one, changes the configuration, lets some callers submit only once and
// replaces leaders while the log is down.
func (w *simulation) injectConfigFaults() {
	w.configRNG = rand.New(rand.NewPCG(w.seed, 2))
	for range 5 {
		w.at(w.configRNG.Int64N(faultsSeconds*1000), func() {
			w.randomVersion()
			if w.configRNG.IntN(2) == 0 {
				w.at(w.configRNG.Int64N(configApplyMS), w.elect)
			}
		})
	}
	for range 3 {
		w.at(w.configRNG.Int64N(faultsSeconds*1000), func() {
			down := 200 + w.configRNG.Int64N(5000)
			w.logDownUntil = max(w.logDownUntil, w.now+down)
			w.at(w.configRNG.Int64N(down+1), w.elect)
		})
	}
}

// randomizeSubmission assigns a job the policy of a version that is in force
// and lets some callers submit only once. Jobs of the queue urgent, which is
// never dropped, have no policy, as recorded by an earlier release.
func (w *simulation) randomizeSubmission(s *submittedJob) {
	if w.configRNG == nil {
		return
	}
	s.submitOnce = w.configRNG.IntN(3) == 0
	newest := len(w.versions) - 1
	if newest > 0 && w.now < w.versions[newest].at+configApplyMS && w.configRNG.IntN(2) == 0 {
		newest--
	}
	q := w.versions[newest].queue(s.job.Queue)
	if q == nil || s.job.Queue == "batch" && w.configRNG.IntN(4) == 0 {
		s.job.Queue = "urgent"
		return
	}
	policy := q.Policy
	s.job.Policy = &policy
}

// attemptLimits returns the attempt limits that may be in force for a job
// between two times: those of the versions and, where a version has dropped the
// queue, the last limit before it and the one under which the job was accepted.
func (w *simulation) attemptLimits(job *jobs.Job, from, to int64) []int {
	var out []int
	last := 0
	for i, v := range w.versions {
		superseded := i+1 < len(w.versions) && w.versions[i+1].at+configApplyMS < from
		q := v.queue(job.Queue)
		switch {
		case v.at > to:
		case superseded && q != nil:
			last = q.MaxAttempts
		case superseded:
		case q != nil:
			last = q.MaxAttempts
			out = append(out, last)
		default:
			out = append(out, last)
			if job.Policy != nil {
				out = append(out, job.Policy.MaxAttempts)
			}
		}
	}
	return out
}

// maxAttempts returns the highest number of failures that a version in force
// since a start was sent allows.
func (w *simulation) maxAttempts(s Start) int {
	ordered := w.startSentMS[runKey{s.Task, s.Run}]
	return slices.Max(w.attemptLimits(w.jobs[s.Task.Job].job, ordered, ordered))
}

func (w *simulation) onListed(ends []EndedTask) {
	for _, e := range ends {
		if e.Kind != EndFailed {
			continue
		}
		t := e.Task
		if w.spec(t).Gang {
			t.Index = 0
		}
		if w.listedFailures[t] == nil {
			w.listedFailures[t] = map[int]bool{}
		}
		w.listedFailures[t][e.Run] = true
	}
}

// checkFailedJob checks that a job ends as failed only after the workers have
// listed as many failures of one task as a version in force allows.
func (w *simulation) checkFailedJob(l *leader, d Decision) {
	if d.Event != "job_ended" || l.epoch != w.epoch || l.core.jobs[d.Job].state != jobs.Failed {
		return
	}
	w.failedByLeader[d.Job] = true
	failures := 0
	for t, runs := range w.listedFailures {
		if t.Job == d.Job {
			failures = max(failures, len(runs))
		}
	}
	if bounds := w.attemptLimits(w.jobs[d.Job].job, w.now, w.now); failures < slices.Min(bounds) {
		w.violate("LOST", "%s has failed after %d failures of a task, versions in force allow %v: %s", d.Job, failures, bounds, d.Reason)
	}
}

// faultFreeSince returns the time since which the log is up, the worker is
// reachable and listed, and only one leader sends commands.
func (w *simulation) faultFreeSince(f *fakeWorker) int64 {
	return max(f.downUntil, f.cutOffUntil, f.unlistedUntil, w.logDownUntil, w.leader.sinceMS+deposedLeaderRunMS)
}

// checkAcks checks that the ends that a worker lists are acknowledged within
// ackBoundMS once there are no faults.
func (w *simulation) checkAcks(f *fakeWorker) {
	for _, e := range f.ended {
		if waitedMS := w.now - max(f.endedAt[e.Number], w.faultFreeSince(f)); waitedMS > ackBoundMS {
			w.violate("ACKS", "end %d of %s (%s run %d, %s) is not acknowledged after %d ms without faults", e.Number, f.info.ID, e.Task, e.Run, e.Kind, waitedMS)
			return
		}
	}
}

// cancelAnswered handles the reply to a cancellation.
func (w *simulation) cancelAnswered(s *submittedJob, r Reply) {
	switch {
	case r.Known && s.cancelled == 0:
		s.cancelled, s.cancelDone = w.now, true
	case !r.Known && s.accepted:
		w.violate("LOST", "%s is accepted and answered as unknown", s.job.Payload)
	case !r.Known && s.submitOnce:
		// The caller repeats a cancellation only while it repeats the
		// submission.
		s.cancelDone = true
	}
}

// checkLeftoverRuns checks that no worker still runs a task of an unknown or
// final job.
func (w *simulation) checkLeftoverRuns() {
	for _, f := range w.workers {
		for _, t := range sortedTasks(f.runs) {
			state, ok := w.leader.core.State(t.Job)
			if w.now >= f.downUntil && (!ok || state.Final()) {
				w.violate("UNASKED", "%s run %d still runs on %s, its job is %q", t, f.runs[t].number, f.info.ID, state)
			}
		}
	}
}

// TestRandomRunsBeforeConfiguration guards against decisions by a leader that
// has no configuration or an outdated one, against endless waits for work that
// a caller or a leader has abandoned, and against late acknowledgements.
func TestRandomRunsBeforeConfiguration(t *testing.T) {
	c := qt.New(t)
	for i := range *seedCount {
		w := runSeed(*firstSeed+uint64(i), (*simulation).injectConfigFaults)
		c.Check(w.violations, qt.HasLen, 0)
	}
}

// TestDisabledSafeguardsBeforeConfiguration disables the safeguard against each
// failure of TestRandomRunsBeforeConfiguration: its seeds must detect it.
func TestDisabledSafeguardsBeforeConfiguration(t *testing.T) {
	const maxSeeds = 60
	for _, test := range []struct {
		name, rule string
		disabled   safeguards
		// first is the first seed: rarer faults show only in some seeds.
		first uint64
	}{
		{"confirmed limit", "LOST", safeguards{confirmedLimit: true}, 1},
		{"lowest limit", "BUDGET", safeguards{lowestLimit: true}, 60},
		{"recheck failures", "LOST", safeguards{recheckFailures: true}, 1},
		{"early ends", "TWICE", safeguards{earlyEnds: true}, 1},
		{"ack unrecorded", "ACKS", safeguards{ackUnrecorded: true}, 1},
		{"stop orphans", "UNASKED", safeguards{stopOrphans: true}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			requireViolation(t, test.first, maxSeeds, test.rule, func(w *simulation) {
				w.injectConfigFaults()
				w.disable(test.disabled)
			})
		})
	}
}

// TestRandomRunsDetectDroppedSubmissions guards against checks that miss an
// accepted job that is answered as unknown: the log drops submissions that it
// has confirmed.
func TestRandomRunsDetectDroppedSubmissions(t *testing.T) {
	requireViolation(t, 1, 10, "LOST", func(w *simulation) {
		w.injectConfigFaults()
		w.dropSubmissions = true
	})
}
