package admit

import (
	"time"

	"redwingvale/internal/spec"
)

// classes is the order in which classes are served.
var classes = []spec.Class{spec.Urgent, spec.LongRunning, spec.Deadline}

// queue holds the waiting requests of one team and class in order of arrival.
// Requests that were removed stay until they reach an end.
type queue struct {
	items []*waiting
	gone  int
}

func (t *team) queueOf(class spec.Class) *queue {
	q := t.queues[class]
	if q == nil {
		q = &queue{}
		t.queues[class] = q
	}
	return q
}

func (q *queue) len() int { return len(q.items) - q.gone }

func (q *queue) push(w *waiting) { q.items = append(q.items, w) }

// trim drops removed requests at both ends.
func (q *queue) trim() {
	for len(q.items) > 0 && q.items[0].gone {
		q.items[0] = nil
		q.items = q.items[1:]
		q.gone--
	}
	for len(q.items) > 0 && q.items[len(q.items)-1].gone {
		q.items = q.items[:len(q.items)-1]
		q.gone--
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

// overload tells a standing queue from a burst: the queue is overloaded when
// the delay of the started requests stayed above the target for an interval.
type overload struct {
	active bool
	above  bool
	since  time.Duration
}

// observe takes the wait of the request that waited for the longest time in.
func (o *overload) observe(now, wait, target time.Duration, s Settings) {
	if wait <= target {
		o.active = false
		o.above = false
		return
	}
	if !o.above {
		o.above = true
		o.since = now
	}
	if now-o.since >= s.DelayInterval {
		o.active = true
	}
}

// serviceTimeWeight is the weight of a new sample in the mean.
const serviceTimeWeight = 0.05

// serviceTime is the weighted mean of the time that a request holds a slot.
type serviceTime struct{ nanoseconds float64 }

func (s *serviceTime) learn(ran time.Duration) {
	if s.nanoseconds == 0 {
		s.nanoseconds = float64(ran)
		return
	}
	s.nanoseconds += serviceTimeWeight * (float64(ran) - s.nanoseconds)
}

func (s *serviceTime) mean() time.Duration { return time.Duration(s.nanoseconds) }
