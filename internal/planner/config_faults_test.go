package planner

import (
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

const (
	// configApplyMS is the platform's time limit for a version to take effect
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

// configure gives a new leader its configuration: immediately, or with
// injectConfigFaults after a delay and sometimes with the previous version
// first.
func (sim *simulation) configure(l *leader) {
	newest := len(sim.versions) - 1
	if sim.configRNG == nil || sim.epoch == 1 {
		sim.apply(l, newest)
		return
	}
	delay := []int64{0, sim.configRNG.Int64N(1000), sim.configRNG.Int64N(9000)}[sim.configRNG.IntN(3)]
	if newest > 0 && sim.configRNG.IntN(2) == 0 {
		// An older version may be in force until the deadline has passed.
		if deadline := sim.versions[newest].at + configApplyMS; sim.now+delay/4 < deadline {
			sim.at(delay/4, func() { sim.apply(l, newest-1) })
			delay = min(delay, deadline-sim.now)
		}
	}
	sim.at(delay, func() { sim.apply(l, len(sim.versions)-1) })
}

// apply applies a version at a leader; an older one never replaces a newer one.
func (sim *simulation) apply(l *leader, n int) {
	if l.version < n {
		l.version = n
		sim.step(l, QueuesChanged{Queues: sim.versions[n].queues})
	}
}

// publish adds a new version, which the leader receives within configApplyMS.
func (sim *simulation) publish(queues []Queue) {
	sim.versions = append(sim.versions, version{sim.now, queues})
	n := len(sim.versions) - 1
	l := sim.leader
	sim.at(sim.configRNG.Int64N(configApplyMS), func() {
		// A leader without any version is still waiting for its first.
		if l.version >= 0 {
			sim.apply(l, n)
		}
	})
}

// randomVersion publishes a version with other attempt limits; sometimes it
// drops a queue that may have jobs.
func (sim *simulation) randomVersion() {
	queues := slices.Clone(sim.versions[0].queues)
	for i := range queues {
		queues[i].MaxAttempts = 1 + sim.configRNG.IntN(6)
	}
	if sim.configRNG.IntN(3) == 0 {
		queues = slices.DeleteFunc(queues, func(q Queue) bool { return q.Name == "batch" })
	}
	sim.publish(queues)
}

// injectConfigFaults lets leaders start without a configuration or with an
// older one, changes the configuration, lets some callers submit only once and
// replaces leaders while the log is down.
func (sim *simulation) injectConfigFaults() {
	sim.configRNG = rand.New(rand.NewPCG(sim.seed, 2))
	for range 5 {
		sim.at(sim.configRNG.Int64N(faultsSeconds*1000), func() {
			sim.randomVersion()
			if sim.configRNG.IntN(2) == 0 {
				sim.at(sim.configRNG.Int64N(configApplyMS), sim.elect)
			}
		})
	}
	for range 3 {
		sim.at(sim.configRNG.Int64N(faultsSeconds*1000), func() {
			down := 200 + sim.configRNG.Int64N(5000)
			sim.logDownUntil = max(sim.logDownUntil, sim.now+down)
			sim.at(sim.configRNG.Int64N(down+1), sim.elect)
		})
	}
}

// randomizeSubmission assigns a job the policy of a version that is in force
// and lets some callers submit only once. Jobs of the queue urgent, which is
// never dropped, have no policy, as recorded by an earlier release.
func (sim *simulation) randomizeSubmission(s *submittedJob) {
	if sim.configRNG == nil {
		return
	}
	s.submitOnce = sim.configRNG.IntN(3) == 0
	newest := len(sim.versions) - 1
	if newest > 0 && sim.now < sim.versions[newest].at+configApplyMS && sim.configRNG.IntN(2) == 0 {
		newest--
	}
	q := sim.versions[newest].queue(s.job.Queue)
	if q == nil || s.job.Queue == "batch" && sim.configRNG.IntN(4) == 0 {
		s.job.Queue = "urgent"
		return
	}
	policy := q.Policy
	s.job.Policy = &policy
}

// attemptLimits returns the attempt limits that may be in force for a job
// between two times: those of the versions and, where a version has dropped the
// queue, the last limit before it and the one under which the job was accepted.
func (sim *simulation) attemptLimits(job *jobs.Job, from, to int64) []int {
	var out []int
	last := 0
	for i, v := range sim.versions {
		superseded := i+1 < len(sim.versions) && sim.versions[i+1].at+configApplyMS < from
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
func (sim *simulation) maxAttempts(s Start) int {
	ordered := sim.startSentMS[runKey{s.Task, s.Run}]
	return slices.Max(sim.attemptLimits(sim.jobs[s.Task.Job].job, ordered, ordered))
}

func (sim *simulation) onListed(ends []EndedTask) {
	for _, e := range ends {
		if e.Kind != EndFailed {
			continue
		}
		t := e.Task
		if sim.spec(t).Gang {
			t.Index = 0
		}
		if sim.listedFailures[t] == nil {
			sim.listedFailures[t] = map[int]bool{}
		}
		sim.listedFailures[t][e.Run] = true
	}
}

// checkFailedJob checks that a job ends as failed only after the workers have
// listed as many failures of one task as a version in force allows.
func (sim *simulation) checkFailedJob(l *leader, d Decision) {
	if d.Event != "job_ended" || l.epoch != sim.epoch || l.core.jobs[d.Job].state != jobs.Failed {
		return
	}
	sim.failedByLeader[d.Job] = true
	failures := 0
	for t, runs := range sim.listedFailures {
		if t.Job == d.Job {
			failures = max(failures, len(runs))
		}
	}
	if limits := sim.attemptLimits(sim.jobs[d.Job].job, sim.now, sim.now); failures < slices.Min(limits) {
		sim.violate("LOST", "%s has failed after %d failures of a task, versions in force allow %v: %s", d.Job, failures, limits, d.Reason)
	}
}

// faultFreeSince returns the time since which the log is up, the worker is
// reachable and listed, and only one leader sends commands.
func (sim *simulation) faultFreeSince(f *fakeWorker) int64 {
	return max(f.downUntil, f.cutOffUntil, f.unlistedUntil, sim.logDownUntil, sim.slowLogUntil+sim.slowLogMS, sim.cutEndMS, sim.leader.sinceMS+deposedLeaderRunMS, sim.lateEndMS())
}

// checkAcks checks that the ends that a worker lists are acknowledged within
// ackBoundMS once there are no faults.
func (sim *simulation) checkAcks(f *fakeWorker) {
	for _, e := range f.ended {
		if waitedMS := sim.now - max(f.endedAt[e.Number], sim.faultFreeSince(f)); waitedMS > ackLimitMS {
			sim.violate("ACKS", "end %d of %s (%s run %d, %s) is not acknowledged after %d ms without faults", e.Number, f.info.ID, e.Task, e.Run, e.Kind, waitedMS)
			return
		}
	}
}

// handleCancelReply handles the reply to a cancellation.
func (sim *simulation) handleCancelReply(s *submittedJob, r Reply) {
	switch {
	case r.Known && s.cancelled == 0:
		s.cancelled, s.cancelDone = sim.now, true
	case !r.Known && s.accepted && !sim.earlyCancels[r.RequestID]:
		sim.violate("LOST", "%s is accepted and answered as unknown", s.job.Payload)
	case !r.Known && s.submitOnce:
		// The caller repeats a cancellation only while it repeats the
		// submission.
		s.cancelDone = true
	}
}

// checkLeftoverRuns checks that no worker still runs a task of an unknown or
// final job.
func (sim *simulation) checkLeftoverRuns() {
	for _, f := range sim.workers {
		for _, t := range sortedTasks(f.runs) {
			state, ok := sim.leader.core.State(t.Job)
			if sim.now >= f.downUntil && (!ok || state.Final()) {
				sim.violate("UNASKED", "%s run %d still runs on %s, its job is %q", t, f.runs[t].number, f.info.ID, state)
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
		sim := runSeed(*firstSeed+uint64(i), (*simulation).injectConfigFaults)
		c.Check(sim.violations, qt.HasLen, 0)
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
		{"lowest limit", "BUDGET", safeguards{lowestLimit: true}, 185},
		{"recheck failures", "LOST", safeguards{recheckFailures: true}, 1},
		{"early ends", "TWICE", safeguards{earlyEnds: true}, 1},
		{"ack unrecorded", "ACKS", safeguards{ackUnrecorded: true}, 1},
		{"stop orphans", "UNASKED", safeguards{stopOrphans: true}, 61},
	} {
		t.Run(test.name, func(t *testing.T) {
			requireViolation(t, test.first, maxSeeds, test.rule, func(sim *simulation) {
				sim.injectConfigFaults()
				sim.disable(test.disabled)
			})
		})
	}
}

// TestRandomRunsDetectDroppedSubmissions guards against checks that miss an
// accepted job that is answered as unknown: the log drops submissions that it
// has confirmed.
func TestRandomRunsDetectDroppedSubmissions(t *testing.T) {
	requireViolation(t, 1, 10, "LOST", func(sim *simulation) {
		sim.injectConfigFaults()
		sim.dropSubmissions = true
	})
}
