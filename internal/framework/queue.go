package framework

import (
	"time"

	"redwingvale/internal/spec"
)

// itemHeap is a binary heap of tasks by (key, seq), smallest first. Tasks know
// their position, so that any task can be removed.
type itemHeap struct {
	items []*Item
}

func before(a, b *Item) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.seq < b.seq
}

func (h *itemHeap) len() int { return len(h.items) }

func (h *itemHeap) push(t *Item, key time.Duration) {
	t.key = key
	t.heap = h
	t.heapPos = len(h.items)
	h.items = append(h.items, t)
	h.up(t.heapPos)
}

func (h *itemHeap) pop() *Item {
	t := h.items[0]
	h.remove(t)
	return t
}

func (h *itemHeap) remove(t *Item) {
	i := t.heapPos
	last := len(h.items) - 1
	h.swap(i, last)
	h.items[last] = nil
	h.items = h.items[:last]
	t.heap = nil
	if i < last {
		h.up(i)
		h.down(i)
	}
}

func (h *itemHeap) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].heapPos = i
	h.items[j].heapPos = j
}

func (h *itemHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !before(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *itemHeap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if child+1 < len(h.items) && before(h.items[child+1], h.items[child]) {
			child++
		}
		if !before(h.items[child], h.items[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

// shapeKey identifies tasks that every plug-in treats alike but for their age.
type shapeKey struct {
	team      spec.TeamID
	service   spec.ServiceID
	kind      string
	class     spec.Class
	resources spec.Resources
}

// shape is the set of waiting tasks with one shapeKey. When one of them is
// refused, the others are not tried: they park until an event wakes the first,
// and each success wakes the next.
type shape struct {
	key    shapeKey
	closed bool
	// trial is the woken task of a closed shape.
	trial *Item
	// parked holds the unschedulable tasks by latest start.
	parked itemHeap
	// refusal is the status that closed the shape.
	refusal Status
	// need is the reservation that was refused.
	need spec.Resources
	// retryAt is when the shape is tried without an event.
	retryAt time.Duration
	// pos is the position in queues.closed while the shape is closed.
	pos int
	// tasks counts the tasks of the shape that wait.
	tasks int
}

// queues holds every waiting task: active, backing off, or parked in its
// shape as unschedulable.
type queues struct {
	active  itemHeap
	backoff itemHeap
	shapes  map[shapeKey]*shape
	// closed holds the closed shapes in reproducible order.
	closed []*shape
}

// maxIdleShapes is the number of shapes above which one without tasks is
// dropped. Below it, a shape is kept so that the next task need not allocate.
const maxIdleShapes = 4096

func newQueues() queues { return queues{shapes: map[shapeKey]*shape{}} }

// add puts a task with its latest start into the active queue or, when its
// shape is closed, with the parked ones.
func (q *queues) add(t *Item) {
	if t.shape.closed && t.shape.trial != t {
		t.state = inParked
		t.refusal = t.shape.refusal
		t.shape.parked.push(t, t.LatestStart)
		return
	}
	t.state = inActive
	q.active.push(t, t.LatestStart)
}

// addBackoff keeps a task out of the active queue until a time.
func (q *queues) addBackoff(t *Item, until time.Duration) {
	t.state = inBackoff
	q.backoff.push(t, until)
}

// flushBackoff moves the tasks whose wait is over.
func (q *queues) flushBackoff(now time.Duration) {
	for q.backoff.len() > 0 && q.backoff.items[0].key <= now {
		q.add(q.backoff.pop())
	}
}

// attach finds or creates the shape of a task.
func (q *queues) attach(t *Item) {
	key := shapeKey{t.ID.Job.Team, t.Service, t.Task.Kind, t.Class, t.Resources}
	s := q.shapes[key]
	if s == nil {
		s = &shape{key: key}
		q.shapes[key] = s
	}
	s.tasks++
	t.shape = s
}

// detach takes a task out of its queue and its shape.
func (q *queues) detach(t *Item) {
	if t.heap != nil {
		t.heap.remove(t)
	}
	s := t.shape
	t.shape = nil
	s.tasks--
	if s.trial == t {
		s.trial = nil
		q.wakeNext(s)
	}
	if s.closed && s.trial == nil && s.parked.len() == 0 {
		q.open(s)
	}
	if s.tasks == 0 && len(q.shapes) > maxIdleShapes {
		delete(q.shapes, s.key)
	}
}

// park closes the task's shape with a refusal and keeps the task in it.
func (q *queues) park(t *Item, refusal Status, now, retryEvery time.Duration) {
	s := t.shape
	if s.trial == t {
		s.trial = nil
	}
	s.refusal = refusal
	s.need = t.Need
	s.retryAt = now + retryEvery
	t.refusal = refusal
	t.state = inParked
	s.parked.push(t, t.LatestStart)
	if !s.closed {
		s.closed = true
		s.pos = len(q.closed)
		q.closed = append(q.closed, s)
	}
}

// wakeNext moves the first parked task of a closed shape to the active queue.
func (q *queues) wakeNext(s *shape) {
	if !s.closed || s.trial != nil {
		return
	}
	if s.parked.len() == 0 {
		q.open(s)
		return
	}
	t := s.parked.pop()
	s.trial = t
	q.add(t)
}

// open lets the tasks of a shape use the active queue directly.
func (q *queues) open(s *shape) {
	s.closed = false
	last := len(q.closed) - 1
	q.closed[s.pos] = q.closed[last]
	q.closed[s.pos].pos = s.pos
	q.closed[last] = nil
	q.closed = q.closed[:last]
}

// wake moves the first task of each shape that the event may help.
func (q *queues) wake(event Event) {
	for i := len(q.closed) - 1; i >= 0; i-- {
		s := q.closed[i]
		if s.trial == nil && s.refusal.WakeOn&event != 0 {
			q.wakeNext(s)
		}
	}
}

// wakeTeam wakes the shapes of a team that may use less of its quota now.
func (q *queues) wakeTeam(team spec.TeamID) {
	for i := len(q.closed) - 1; i >= 0; i-- {
		s := q.closed[i]
		if s.trial == nil && s.refusal.WakeOn&QuotaFreed != 0 && s.key.team == team {
			q.wakeNext(s)
		}
	}
}

// wokenAtOnce bounds the shapes that room on one worker wakes. The most urgent
// ones come first; all others are tried again after RetryEvery.
const wokenAtOnce = 4

// wakeRoom wakes the most urgent shapes that an event about a worker with the
// given free resources may help.
func (q *queues) wakeRoom(event Event, free *spec.Resources) {
	var first [wokenAtOnce]*shape
	for _, s := range q.closed {
		if s.trial != nil || s.refusal.WakeOn&event == 0 || !fits(&s.need, free) {
			continue
		}
		insert(&first, s)
	}
	for _, s := range first {
		if s != nil {
			q.wakeNext(s)
		}
	}
}

// insert keeps the shapes with the earliest first tasks, in order.
func insert(first *[wokenAtOnce]*shape, s *shape) {
	for i, each := range first {
		if each == nil {
			first[i] = s
			return
		}
		if before(s.parked.items[0], each.parked.items[0]) {
			first[i], s = s, each
		}
	}
}

// wakeDue wakes the shapes whose retry time has come.
func (q *queues) wakeDue(now time.Duration) {
	for i := len(q.closed) - 1; i >= 0; i-- {
		s := q.closed[i]
		if s.trial == nil && s.retryAt <= now {
			q.wakeNext(s)
		}
	}
}
