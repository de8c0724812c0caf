// Package standin provides small stand-ins of the platform: the log service,
// the instance list, workers that run tasks under leases, and targets that
// answer urgent requests. They record what actually ran, so that a test can
// check the guarantees independently of the scheduler.
package standin

import (
	"fmt"
	"strings"
	"sync"

	"redwingvale/internal/spec"
)

// Counters holds what the stand-ins have counted.
type Counters struct {
	// Violations lists the violations, each with the guarantee's number.
	Violations []string `json:"violations"`
	// Starts counts attempts that started running.
	Starts int `json:"starts"`
	// Done counts tasks that finished.
	Done int `json:"done"`
	// Failed counts attempts that failed before running.
	Failed int `json:"failed"`
	// Evictions counts attempts that were stopped before they finished.
	Evictions int `json:"evictions"`
	// LapsedLeases counts attempts that a worker stopped because their lease was
	// not renewed in time.
	LapsedLeases int `json:"lapsed_leases"`
	// Doubled counts tasks and requests that ran more often than allowed.
	Doubled int `json:"doubled"`
	// Requests counts urgent requests that a target ran.
	Requests int `json:"requests"`
}

type taskHistory struct {
	runningOn   spec.WorkerID
	lastAttempt spec.Attempt
	finished    int
	runs        int
}

// Checker records what workers and targets actually ran and checks the
// guarantees P1, P2, P3, P6 and P7 against it.
type Checker struct {
	mu       sync.Mutex
	counters Counters
	tasks    map[spec.TaskID]*taskHistory
	requests map[string]int
}

// NewChecker returns an empty Checker.
func NewChecker() *Checker {
	return &Checker{
		tasks:    make(map[spec.TaskID]*taskHistory),
		requests: make(map[string]int),
	}
}

// Counters returns a copy of the counters.
func (t *Checker) Counters() Counters {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.counters
	out.Violations = append([]string(nil), t.counters.Violations...)
	return out
}

// FinishedTasks returns the number of tasks of a submitted job, in all of its
// parts, that have finished at least once.
func (t *Checker) FinishedTasks(team spec.TeamID, job string) int {
	return t.countTasks(team, job, func(h *taskHistory) bool { return h.finished > 0 })
}

// RunningTasks returns the number of tasks of a submitted job that are running.
func (t *Checker) RunningTasks(team spec.TeamID, job string) int {
	return t.countTasks(team, job, func(h *taskHistory) bool { return h.runningOn != "" })
}

func (t *Checker) countTasks(team spec.TeamID, job string, match func(*taskHistory) bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for id, h := range t.tasks {
		whole := id.Job.Name == job || strings.HasPrefix(id.Job.Name, job+".part-")
		if id.Job.Team == team && whole && match(h) {
			n++
		}
	}
	return n
}

// RequestRuns returns how often targets ran the request with this id.
func (t *Checker) RequestRuns(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests[id]
}

func (t *Checker) addViolation(format string, args ...any) {
	t.counters.Violations = append(t.counters.Violations, fmt.Sprintf(format, args...))
}

func (t *Checker) taskStarted(id spec.TaskID, attempt spec.Attempt, worker spec.WorkerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.tasks[id]
	if !ok {
		h = &taskHistory{}
		t.tasks[id] = h
	}
	if h.runningOn != "" {
		t.addViolation("P2 task %s started on %s while it runs on %s", id, worker, h.runningOn)
	}
	if attempt <= h.lastAttempt {
		t.addViolation("P3 task %s attempt %d started after attempt %d", id, attempt, h.lastAttempt)
	}
	if h.finished > 0 {
		t.counters.Doubled++
		t.addViolation("P3 task %s started again after it had finished", id)
	}
	h.runningOn = worker
	h.lastAttempt = attempt
	h.runs++
	t.counters.Starts++
}

type taskEnd uint8

const (
	endDone taskEnd = iota
	endStopped
	endLeaseExpired
	endWorkerRestart
)

// startFailed counts an attempt that failed before running.
func (t *Checker) startFailed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.Failed++
}

func (t *Checker) taskEnded(id spec.TaskID, how taskEnd) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.tasks[id]
	h.runningOn = ""
	switch how {
	case endDone:
		h.finished++
		t.counters.Done++
	case endStopped:
		t.counters.Evictions++
	case endLeaseExpired:
		t.counters.LapsedLeases++
	}
}

func (t *Checker) overcommitted(worker spec.WorkerID, used, capacity spec.Resources) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addViolation("P1 worker %s uses %+v of %+v", worker, used, capacity)
}

func (t *Checker) tooManyConnections(worker spec.WorkerID, open int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addViolation("P1 worker %s has %d open connections", worker, open)
}

func (t *Checker) newWorkOnLeaving(worker spec.WorkerID, what string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addViolation("P7 leaving worker %s got a new %s", worker, what)
}

// requestRan counts one run of a request. A second run is a violation only if
// the request is not idempotent.
func (t *Checker) requestRan(id string, idempotent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.Requests++
	if id == "" {
		return
	}
	t.requests[id]++
	if t.requests[id] > 1 && !idempotent {
		t.counters.Doubled++
		t.addViolation("P6 request %s ran %d times", id, t.requests[id])
	}
}
