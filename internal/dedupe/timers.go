package dedupe

import (
	"container/heap"
	"time"
)

// timer is the time at which a key is checked for expiry.
type timer struct {
	at  time.Duration
	seq uint64
	key Key
}

// timers orders timers by time, then by the order in which they were set.
type timers struct {
	heap timerHeap
	seq  uint64
}

func (t *timers) add(at time.Duration, key Key) {
	t.seq++
	heap.Push(&t.heap, timer{at: at, seq: t.seq, key: key})
}

// popDue removes and returns the next key whose timer is due.
func (t *timers) popDue(now time.Duration) (Key, bool) {
	if len(t.heap) == 0 || t.heap[0].at > now {
		return Key{}, false
	}
	next := heap.Pop(&t.heap).(timer)
	return next.key, true
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := len(old) - 1
	item := old[last]
	*h = old[:last]
	return item
}
