package framework

import (
	"time"

	"redwingvale/internal/spec"
)

// taskHeap is a binary min-heap of tasks by (key, seq). Each task holds its
// position, so that any task can be removed.
type taskHeap struct {
	tasks []*TaskInfo
}

func before(a, b *TaskInfo) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.seq < b.seq
}

func (h *taskHeap) len() int { return len(h.tasks) }

func (h *taskHeap) push(t *TaskInfo, key time.Duration) {
	t.key = key
	t.heap = h
	t.heapPos = len(h.tasks)
	h.tasks = append(h.tasks, t)
	h.up(t.heapPos)
}

func (h *taskHeap) pop() *TaskInfo {
	t := h.tasks[0]
	h.remove(t)
	return t
}

func (h *taskHeap) remove(t *TaskInfo) {
	i := t.heapPos
	last := len(h.tasks) - 1
	h.swap(i, last)
	h.tasks[last] = nil
	h.tasks = h.tasks[:last]
	t.heap = nil
	if i < last {
		h.up(i)
		h.down(i)
	}
}

func (h *taskHeap) swap(i, j int) {
	h.tasks[i], h.tasks[j] = h.tasks[j], h.tasks[i]
	h.tasks[i].heapPos = i
	h.tasks[j].heapPos = j
}

func (h *taskHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !before(h.tasks[i], h.tasks[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *taskHeap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.tasks) {
			return
		}
		if child+1 < len(h.tasks) && before(h.tasks[child+1], h.tasks[child]) {
			child++
		}
		if !before(h.tasks[child], h.tasks[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

// equivKey identifies tasks that all plug-ins treat alike except for their age.
type equivKey struct {
	team      spec.TeamID
	service   spec.ServiceID
	kind      string
	class     spec.Class
	resources spec.Resources
}

// equivClass is the equivalence class of the waiting tasks with one equivKey.
// When one of them is rejected, the class is blocked: the others are parked
// without being tried until an event activates the first, and each success
// activates the next.
type equivClass struct {
	key     equivKey
	blocked bool
	// trial is the task of a blocked class that was activated, or nil.
	trial *TaskInfo
	// parked holds the parked tasks by latest start.
	parked taskHeap
	// refusal is the status that blocked the class.
	refusal Status
	// need is the need of the rejected task.
	need spec.Resources
	// retryAt is when a task of the class is retried without an event.
	retryAt time.Duration
	// pos is the position in queues.blocked while the class is blocked.
	pos int
	// tasks counts the waiting tasks of the class.
	tasks int
}

// queues holds every waiting task: active, backing off, or parked as
// unschedulable in its equivalence class.
type queues struct {
	active  taskHeap
	backoff taskHeap
	classes map[equivKey]*equivClass
	// blocked holds the blocked classes in a reproducible order.
	blocked []*equivClass
}

// maxIdleClasses is the number of classes above which one without tasks is
// deleted. Below it, an empty class is kept so that the next task needs no
// allocation.
const maxIdleClasses = 4096

func newQueues() queues { return queues{classes: map[equivKey]*equivClass{}} }

// add puts a task into the active queue by its latest start or, when its class
// is blocked, parks it.
func (q *queues) add(t *TaskInfo) {
	if t.equiv.blocked && t.equiv.trial != t {
		t.state = stateParked
		t.refusal = t.equiv.refusal
		t.equiv.parked.push(t, t.LatestStart)
		return
	}
	t.state = stateActive
	q.active.push(t, t.LatestStart)
}

// addBackoff puts a task into the backoff queue until a given time.
func (q *queues) addBackoff(t *TaskInfo, until time.Duration) {
	t.state = stateBackoff
	q.backoff.push(t, until)
}

// flushBackoff moves the tasks whose backoff has expired out of the backoff
// queue.
func (q *queues) flushBackoff(now time.Duration) {
	for q.backoff.len() > 0 && q.backoff.tasks[0].key <= now {
		q.add(q.backoff.pop())
	}
}

// attach adds a task to its equivalence class, which it creates when needed.
func (q *queues) attach(t *TaskInfo) {
	key := equivKey{t.ID.Job.Team, t.Service, t.Task.Kind, t.Class, t.Resources}
	class := q.classes[key]
	if class == nil {
		class = &equivClass{key: key}
		q.classes[key] = class
	}
	class.tasks++
	t.equiv = class
}

// detach removes a task from its queue and its equivalence class.
func (q *queues) detach(t *TaskInfo) {
	if t.heap != nil {
		t.heap.remove(t)
	}
	class := t.equiv
	t.equiv = nil
	class.tasks--
	if class.trial == t {
		class.trial = nil
		q.activateNext(class)
	}
	if class.blocked && class.trial == nil && class.parked.len() == 0 {
		q.unblock(class)
	}
	if class.tasks == 0 && len(q.classes) > maxIdleClasses {
		delete(q.classes, class.key)
	}
}

// park blocks the task's equivalence class with a refusal and parks the task.
func (q *queues) park(t *TaskInfo, refusal Status, now, retryEvery time.Duration) {
	class := t.equiv
	if class.trial == t {
		class.trial = nil
	}
	class.refusal = refusal
	class.need = t.Need
	class.retryAt = now + retryEvery
	t.refusal = refusal
	t.state = stateParked
	class.parked.push(t, t.LatestStart)
	if !class.blocked {
		class.blocked = true
		class.pos = len(q.blocked)
		q.blocked = append(q.blocked, class)
	}
}

// activateNext moves the first parked task of a blocked class to the active
// queue, or unblocks the class when no task is parked.
func (q *queues) activateNext(class *equivClass) {
	if !class.blocked || class.trial != nil {
		return
	}
	if class.parked.len() == 0 {
		q.unblock(class)
		return
	}
	t := class.parked.pop()
	class.trial = t
	q.add(t)
}

// unblock lets new tasks of a class enter the active queue directly.
func (q *queues) unblock(class *equivClass) {
	class.blocked = false
	last := len(q.blocked) - 1
	q.blocked[class.pos] = q.blocked[last]
	q.blocked[class.pos].pos = class.pos
	q.blocked[last] = nil
	q.blocked = q.blocked[:last]
}

// activate moves the first task of each blocked class that waits for the event to
// the active queue.
func (q *queues) activate(event Event) {
	for i := len(q.blocked) - 1; i >= 0; i-- {
		class := q.blocked[i]
		if class.trial == nil && class.refusal.RetryOn&event != 0 {
			q.activateNext(class)
		}
	}
}

// activateTeam activates the blocked classes of a team that wait for QuotaFreed.
func (q *queues) activateTeam(team spec.TeamID) {
	for i := len(q.blocked) - 1; i >= 0; i-- {
		class := q.blocked[i]
		if class.trial == nil && class.refusal.RetryOn&QuotaFreed != 0 && class.key.team == team {
			q.activateNext(class)
		}
	}
}

// maxActivatedAtOnce bounds the classes that free capacity on one worker
// activates. The most urgent ones come first; all others are retried after
// RetryEvery.
const maxActivatedAtOnce = 4

// activateFitting activates the most urgent blocked classes that wait for an
// event and whose need fits the given free resources of a worker.
func (q *queues) activateFitting(event Event, free *spec.Resources) {
	var first [maxActivatedAtOnce]*equivClass
	for _, class := range q.blocked {
		if class.trial != nil || class.refusal.RetryOn&event == 0 || !fits(&class.need, free) {
			continue
		}
		insertMostUrgent(&first, class)
	}
	for _, class := range first {
		if class != nil {
			q.activateNext(class)
		}
	}
}

// insertMostUrgent keeps the classes whose first parked tasks are the most
// urgent, in order.
func insertMostUrgent(first *[maxActivatedAtOnce]*equivClass, class *equivClass) {
	for i, each := range first {
		if each == nil {
			first[i] = class
			return
		}
		if before(class.parked.tasks[0], each.parked.tasks[0]) {
			first[i], class = class, each
		}
	}
}

// activateDue activates the blocked classes whose retry time has come.
func (q *queues) activateDue(now time.Duration) {
	for i := len(q.blocked) - 1; i >= 0; i-- {
		class := q.blocked[i]
		if class.trial == nil && class.retryAt <= now {
			q.activateNext(class)
		}
	}
}
