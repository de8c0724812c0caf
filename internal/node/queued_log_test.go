package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
	"redwingvale/internal/jobs"
)

// queuedLog is a log that handles one append at a time and refuses appends once 2 s of
// work wait. An append is carried out also if its sender gives up.
type queuedLog struct {
	Log
	queue *appendQueue
}

type appendQueue struct {
	mu sync.Mutex
	// duration is what an append and a read take.
	duration time.Duration
	busyTill time.Time
	refused  int
}

// begin returns how long an append takes from now on; ok is false if it is refused.
func (q *appendQueue) begin() (wait time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if time.Until(q.busyTill) > 2*time.Second {
		q.refused++
		return 0, false
	}
	if now := time.Now(); q.busyTill.Before(now) {
		q.busyTill = now
	}
	q.busyTill = q.busyTill.Add(q.duration)
	return time.Until(q.busyTill), true
}

func (q *appendQueue) set(duration time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.duration = duration
}

func (l *queuedLog) Append(ctx context.Context, a Append) (int64, error) {
	wait, ok := l.queue.begin()
	if !ok {
		return 0, ErrUnavailable
	}
	type result struct {
		offset int64
		err    error
	}
	done := make(chan result, 1)
	time.AfterFunc(wait, func() {
		offset, err := l.Log.Append(context.Background(), a)
		done <- result{offset, err}
	})
	select {
	case r := <-done:
		return r.offset, r.err
	case <-ctx.Done():
		return 0, ErrUnknown
	}
}

func (l *queuedLog) Read(ctx context.Context, from int64) (Batch, error) {
	l.queue.mu.Lock()
	duration := l.queue.duration
	l.queue.mu.Unlock()
	pause(ctx, duration)
	return l.Log.Read(ctx, from)
}

// Guards against instances that fill the queue of a log that is slow for all with
// appends of their own, so that the leader's append is refused and, once the log is
// fast again, all members claim leadership; and against refusals that are not true.
func TestSubmissionsThroughSlowLog(t *testing.T) {
	if testing.Short() {
		t.Skip("seconds of a slow log in real time; skipped with -short")
	}
	c := qt.New(t)
	const instances, slowFor, wait = 12, 5 * time.Second, 2880 * time.Millisecond
	log, manifest, workers, queue := newMemoryLog(), &fixedManifest{version: 1}, newInstantWorkers(), &appendQueue{}
	log.wrap = func(l Log) Log { return &queuedLog{l, queue} }
	var all []*instance
	for i := range instances {
		config := DefaultConfig()
		config.CPUShare = 1 - 0.05*float64(i)
		all = append(all, startInstanceWith(t, fmt.Sprintf("n%02d", i), log, manifest, workers, config))
	}
	waitFor(t, "all are ready", func() bool {
		for _, in := range all {
			if !in.Ready() {
				return false
			}
		}
		return leaderOf(all...) != nil
	})
	queue.set(400 * time.Millisecond)
	var mu sync.Mutex
	counts := map[code.Code]int{}
	refused := map[jobs.ID]bool{}
	var callers sync.WaitGroup
	n := 0
	for begin := time.Now(); time.Since(begin) < slowFor+time.Second; time.Sleep(15 * time.Millisecond) {
		if time.Since(begin) > slowFor {
			queue.set(0)
		}
		id, in := jobs.ID(fmt.Sprintf("b%015d", n)), all[n%instances]
		n++
		callers.Add(1)
		go func() {
			defer callers.Done()
			got := (<-submitWithin(in, id, wait)).Code
			mu.Lock()
			defer mu.Unlock()
			counts[got]++
			refused[id] = code.Lookup(got).Outcome == code.NotRun
		}()
	}
	callers.Wait()
	time.Sleep(logRecoveryDelay + instances*electionStagger)
	t.Logf("%d submissions: %v, epoch %d, %d appends refused", n, counts, log.epoch, queue.refused)
	log.mu.Lock()
	defer log.mu.Unlock()
	c.Assert(log.epoch, qt.Equals, uint64(1))
	c.Assert(queue.refused, qt.Equals, 0)
	for _, r := range log.records {
		c.Check(refused[jobs.SubmissionID(r)], qt.IsFalse)
	}
	workers.mu.Lock()
	defer workers.mu.Unlock()
	for id := range refused {
		if refused[id] {
			c.Check(workers.runs[jobs.Task{Job: id}.String()], qt.Equals, 0)
		}
	}
}
