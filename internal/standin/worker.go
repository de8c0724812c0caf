package standin

import (
	"context"
	"fmt"
	"math"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"redwingvale/internal/platform"
	"redwingvale/internal/spec"
)

// WorkerFaults are the faults of one worker.
type WorkerFaults struct {
	// FailEverything makes each task fail before running.
	FailEverything bool `json:"fail_everything" toml:"fail_everything"`
	// Unreachable makes the control interface and the target unresponsive.
	Unreachable bool `json:"unreachable" toml:"unreachable"`
	// SlowFactor multiplies the service time of the target; 0 means 1.
	SlowFactor float64 `json:"slow_factor" toml:"slow_factor"`
	// SilentConnections makes the target stop responding on the currently open
	// connections, while new ones work.
	SilentConnections bool `json:"silent_connections" toml:"silent_connections"`
}

// slowdownPerTask is what one running task of a noisy kind adds to the factor
// that stretches the service time of the worker's target.
const slowdownPerTask = 1.5

// NoisyKind is the kind of batch task that slows the target on the same worker.
const NoisyKind = "noisy"

// leavingGrace is how long a worker may still get new requests and tasks after
// the instance list first shows it as leaving.
const leavingGrace = 2 * time.Second

// reportLag is the age of usage measurements in a worker's report.
const reportLag = 300 * time.Millisecond

type runningTask struct {
	command    platform.Command
	progress   float64
	checkpoint string
	state      platform.TaskState
	ran        bool
	detail     string
	leaseEnd   time.Duration
	throttle   int
}

type taskKey struct {
	task    spec.TaskID
	attempt spec.Attempt
}

type reading struct {
	at   time.Duration
	p99  time.Duration
	load float64
}

// Worker is a stand-in of one worker: it runs tasks under leases on its own
// clock and counts the slots that its target uses.
type Worker struct {
	mu          sync.Mutex
	spec        spec.Worker
	checker     *Checker
	boot        int
	bootedAt    time.Time
	lastAdvance time.Duration
	epoch       spec.Epoch
	tasks       map[taskKey]*runningTask
	inFlight    int64
	faults      WorkerFaults
	latencies   []time.Duration
	readings    []reading
	// A leaving worker must get no new requests or tasks after leavingFrom.
	leaving     bool
	leavingFrom time.Time
}

// NewWorker returns a running worker without tasks.
func NewWorker(w spec.Worker, checker *Checker) *Worker {
	return &Worker{
		spec:     w,
		checker:  checker,
		boot:     1,
		bootedAt: time.Now(),
		tasks:    make(map[taskKey]*runningTask),
	}
}

// SetFaults replaces the worker's faults.
func (w *Worker) SetFaults(faults WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = faults
}

// Faults returns the worker's faults.
func (w *Worker) Faults() WorkerFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// Restart ends every task immediately and resets the worker's clock and epoch.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for _, key := range w.sortedKeys() {
		if w.tasks[key].state == platform.TaskRunning {
			w.checker.taskEnded(key.task, endWorkerRestart)
		}
	}
	w.tasks = make(map[taskKey]*runningTask)
	w.boot++
	w.bootedAt = time.Now()
	w.lastAdvance = 0
	w.epoch = 0
}

// Tick advances the worker to the current time: tasks progress, leases expire
// and readings are taken.
func (w *Worker) Tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.measure()
}

func (w *Worker) setLeaving(leaving bool, from time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
	w.leavingFrom = from
}

func (w *Worker) checkLeaving(what string) {
	if w.leaving && time.Now().After(w.leavingFrom) {
		w.checker.newWorkOnLeaving(w.spec.ID, what)
	}
}

func (w *Worker) bootID() string { return fmt.Sprintf("%s-%d", w.spec.ID, w.boot) }

func (w *Worker) clock() time.Duration { return time.Since(w.bootedAt) }

// advance updates every running task to the current time.
func (w *Worker) advance() {
	now := w.clock()
	elapsed := now - w.lastAdvance
	w.lastAdvance = now
	for _, key := range w.sortedKeys() {
		task := w.tasks[key]
		if task.state == platform.TaskRunning {
			w.advanceTask(key, task, now, elapsed)
		}
	}
}

func (w *Worker) advanceTask(key taskKey, task *runningTask, now, elapsed time.Duration) {
	if now >= task.leaseEnd {
		task.state = platform.TaskStopped
		task.detail = "lease lapsed"
		w.checker.taskEnded(key.task, endLeaseExpired)
		return
	}
	if task.command.RunTime <= 0 {
		return
	}
	speed := float64(task.throttle) / 100
	task.progress += speed * float64(elapsed) / float64(task.command.RunTime)
	if task.progress >= 1 {
		task.progress = 1
		task.state = platform.TaskDone
		w.checker.taskEnded(key.task, endDone)
	}
}

// Do executes a command batch, as documented at platform.Workers.
func (w *Worker) Do(_ context.Context, batch platform.CommandBatch) (platform.WorkerReport, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.Unreachable {
		return platform.WorkerReport{}, errors.Newf("worker %s does not answer", w.spec.ID)
	}
	w.advance()
	if batch.Epoch < w.epoch {
		report := w.report()
		report.Fenced = true
		return report, nil
	}
	if batch.Boot != "" && batch.Boot != w.bootID() {
		return w.report(), nil
	}
	w.epoch = batch.Epoch
	for _, command := range batch.Commands {
		w.execute(command)
	}
	w.checkCapacity()
	return w.report(), nil
}

func (w *Worker) execute(command platform.Command) {
	key := taskKey{task: command.Task, attempt: command.Attempt}
	if command.Kind == platform.CommandStart {
		w.start(key, command)
		return
	}
	task, ok := w.tasks[key]
	if !ok {
		return
	}
	switch command.Kind {
	case platform.CommandRenew:
		task.leaseEnd = max(task.leaseEnd, command.LeaseEnd)
	case platform.CommandCheckpoint:
		task.saveCheckpoint(key)
	case platform.CommandThrottle:
		task.throttle = command.ThrottlePercent
	case platform.CommandStop:
		w.stop(key, task)
	case platform.CommandForget:
		if task.state != platform.TaskRunning {
			delete(w.tasks, key)
		}
	}
}

func (w *Worker) start(key taskKey, command platform.Command) {
	if _, known := w.tasks[key]; known {
		return
	}
	task := &runningTask{command: command, leaseEnd: command.LeaseEnd, throttle: 100}
	w.tasks[key] = task
	if w.clock() > command.StartBy {
		task.state = platform.TaskRefused
		task.detail = "start came after the latest start time"
		return
	}
	if w.faults.FailEverything {
		task.state = platform.TaskFailed
		task.detail = "the task could not be started"
		w.checker.startFailed()
		return
	}
	w.checkLeaving("task")
	task.state = platform.TaskRunning
	task.ran = true
	task.checkpoint = command.Checkpoint
	task.progress = progressOf(command.Checkpoint)
	w.checker.taskStarted(key.task, key.attempt, w.spec.ID)
}

func (w *Worker) stop(key taskKey, task *runningTask) {
	if task.state != platform.TaskRunning {
		return
	}
	task.saveCheckpoint(key)
	task.state = platform.TaskStopped
	task.detail = "stopped"
	w.checker.taskEnded(key.task, endStopped)
}

// saveCheckpoint sets the name of a checkpoint, which encodes the progress.
func (t *runningTask) saveCheckpoint(key taskKey) {
	millionths := int(math.Round(t.progress * 1e6))
	t.checkpoint = fmt.Sprintf("%s/%d@%d", key.task, key.attempt, millionths)
}

func progressOf(checkpoint string) float64 {
	for i := len(checkpoint) - 1; i >= 0; i-- {
		if checkpoint[i] != '@' {
			continue
		}
		var millionths int
		if _, err := fmt.Sscanf(checkpoint[i+1:], "%d", &millionths); err != nil {
			return 0
		}
		return float64(millionths) / 1e6
	}
	return 0
}

// used returns the resources of the running tasks and the requests in flight.
func (w *Worker) used() spec.Resources {
	var total spec.Resources
	for _, key := range w.sortedKeys() {
		if task := w.tasks[key]; task.state == platform.TaskRunning {
			total = total.Add(task.command.Resources)
		}
	}
	total.Slots += w.inFlight
	return total
}

func (w *Worker) checkCapacity() {
	used := w.used()
	if !used.Fits(w.spec.Capacity) {
		w.checker.overcommitted(w.spec.ID, used, w.spec.Capacity)
	}
}

func (w *Worker) report() platform.WorkerReport {
	now := w.clock()
	out := platform.WorkerReport{
		Worker: w.spec.ID,
		Boot:   w.bootID(),
		Clock:  now,
		Epoch:  w.epoch,
	}
	for _, key := range w.sortedKeys() {
		out.Tasks = append(out.Tasks, w.taskReport(key, now))
	}
	lagged := w.laggedReading(now)
	out.ServiceP99 = lagged.p99
	out.ServiceLoad = lagged.load
	out.MeasuredAt = lagged.at
	return out
}

func (w *Worker) taskReport(key taskKey, now time.Duration) platform.TaskReport {
	task := w.tasks[key]
	report := platform.TaskReport{
		Task:       key.task,
		Attempt:    key.attempt,
		State:      task.state,
		LeaseEnd:   task.leaseEnd,
		Checkpoint: task.checkpoint,
		Progress:   task.progress,
		Ran:        task.ran,
		Detail:     task.detail,
		MeasuredAt: max(0, now-reportLag),
	}
	if task.state == platform.TaskRunning {
		report.MilliCPU = task.command.Resources.MilliCPU
		report.MemoryMiB = task.command.Resources.MemoryMiB
	}
	return report
}

func (w *Worker) sortedKeys() []taskKey {
	keys := make([]taskKey, 0, len(w.tasks))
	for key := range w.tasks {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := keys[i], keys[j]
		if a.task != b.task {
			return a.task.String() < b.task.String()
		}
		return a.attempt < b.attempt
	})
	return keys
}
