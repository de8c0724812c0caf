package admit

import (
	"time"

	"redwingvale/internal/spec"
)

// classOrder is the order in which classes are served.
var classOrder = []spec.Class{spec.Urgent, spec.LongRunning, spec.Deadline}

// queue holds the waiting requests of one team and class in order of arrival.
// Removed requests stay until they are first or last.
type queue struct {
	items   []*waiting
	removed int
}

func (t *team) queueOf(class spec.Class) *queue {
	q := t.queues[class]
	if q == nil {
		q = &queue{}
		t.queues[class] = q
	}
	return q
}

func (q *queue) len() int { return len(q.items) - q.removed }

func (q *queue) push(w *waiting) { q.items = append(q.items, w) }

// trim drops removed requests at both ends.
func (q *queue) trim() {
	for len(q.items) > 0 && q.items[0].removed {
		q.items[0] = nil
		q.items = q.items[1:]
		q.removed--
	}
	for len(q.items) > 0 && q.items[len(q.items)-1].removed {
		q.items = q.items[:len(q.items)-1]
		q.removed--
	}
}

func (q *queue) oldest() *waiting {
	q.trim()
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

func (q *queue) newest() *waiting {
	q.trim()
	if len(q.items) == 0 {
		return nil
	}
	return q.items[len(q.items)-1]
}

// overload distinguishes a standing queue from a burst: the queue is overloaded
// once the longest wait has stayed above the target for an interval.
type overload struct {
	active      bool
	aboveTarget bool
	aboveSince  time.Duration
}

// observe updates the state with the longest wait of the waiting requests.
func (o *overload) observe(now, wait, target time.Duration, s Settings) {
	if wait <= target {
		o.active = false
		o.aboveTarget = false
		return
	}
	if !o.aboveTarget {
		o.aboveTarget = true
		o.aboveSince = now
	}
	if now-o.aboveSince >= s.DelayInterval {
		o.active = true
	}
}

// serviceTimeWeight is the weight of a new sample in the mean.
const serviceTimeWeight = 0.05

// serviceTime is the exponentially weighted mean of the time that a request
// holds a slot.
type serviceTime struct{ nanoseconds float64 }

func (s *serviceTime) addSample(ran time.Duration) {
	if s.nanoseconds == 0 {
		s.nanoseconds = float64(ran)
		return
	}
	s.nanoseconds += serviceTimeWeight * (float64(ran) - s.nanoseconds)
}

func (s *serviceTime) mean() time.Duration { return time.Duration(s.nanoseconds) }
