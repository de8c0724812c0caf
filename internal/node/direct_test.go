package node

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// steppedLog is a log whose appends wait for their outcome.
type steppedLog struct {
	Log
	began    chan []jobs.Record
	outcomes chan error
}

func (l *steppedLog) Append(_ context.Context, a Append) (int64, error) {
	l.began <- a.Records
	return 0, <-l.outcomes
}

// testClock is a clock that a test sets.
type testClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *testClock) read() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *testClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// directHarness plays the log and the callers of a directAppender.
type directHarness struct {
	*directAppender
	log     *steppedLog
	clock   *testClock
	results chan error
}

func newDirectHarness() *directHarness {
	log, clock := &steppedLog{began: make(chan []jobs.Record), outcomes: make(chan error)}, &testClock{now: time.Unix(1, 0)}
	return &directHarness{
		directAppender: &directAppender{log: log, limits: jobs.Limits{Request: 1 << 20}, now: clock.read, failed: func(error, int) {}},
		log:            log, clock: clock, results: make(chan error, 100),
	}
}

func (h *directHarness) add(ctx context.Context, key string) {
	go func() {
		h.results <- h.append(ctx, jobs.Record{Key: key}, func() bool { return false })
	}()
}

func (h *directHarness) waitForQueue(t *testing.T, length int) {
	waitFor(t, "the records wait", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.waiting) == length
	})
}

// Guards against many small appends that fill the log's queue: what waits during an
// append shares the next one.
func TestDirectAppendsAreShared(t *testing.T) {
	c := qt.New(t)
	h := newDirectHarness()
	ctx, cancel := context.WithCancel(context.Background())
	h.add(ctx, "first")
	c.Assert(<-h.log.began, qt.HasLen, 1)
	for range 5 {
		h.add(context.Background(), "next")
	}
	h.waitForQueue(t, 5)
	// A record that has been sent may be written; one that waits is not.
	cancel()
	c.Assert(errors.Is(<-h.results, ErrUnknown), qt.IsTrue)
	h.add(ctx, "late")
	c.Assert(errors.Is(<-h.results, ErrUnavailable), qt.IsTrue)
	h.log.outcomes <- nil
	c.Assert(<-h.log.began, qt.HasLen, 5)
	h.log.outcomes <- nil
	for range 5 {
		c.Assert(<-h.results, qt.IsNil)
	}
}

// Guards against direct appends that go on while the log fails or is slow, and against
// records that are given up although they were not sent.
func TestDirectAppendsPause(t *testing.T) {
	c := qt.New(t)
	h := newDirectHarness()
	for i, outcome := range []error{ErrUnavailable, ErrUnknown, nil, ErrUnavailable} {
		h.add(context.Background(), "sent")
		<-h.log.began
		h.add(context.Background(), "waits")
		h.waitForQueue(t, 1)
		h.clock.advance(slowDirectAppend + time.Millisecond)
		h.log.outcomes <- outcome
		got := []error{<-h.results, <-h.results}
		if !errors.Is(got[0], errDirectPaused) {
			got[0], got[1] = got[1], got[0]
		}
		c.Check(errors.Is(got[0], errDirectPaused) && errors.Is(got[0], ErrUnavailable), qt.IsTrue)
		c.Check(errors.Is(got[1], outcome) || outcome == nil && got[1] == nil, qt.IsTrue)
		pause := min(directPause<<i, maxDirectPause)
		h.clock.advance(pause - time.Millisecond)
		h.add(context.Background(), "refused")
		c.Check(errors.Is(<-h.results, errDirectPaused), qt.IsTrue)
		h.clock.advance(time.Millisecond)
	}
	h.add(context.Background(), "fast")
	<-h.log.began
	h.log.outcomes <- nil
	c.Assert(<-h.results, qt.IsNil)
	c.Assert(h.pause, qt.Equals, time.Duration(0))
}

// Guards against a record that the log rejects and that keeps the records from the log
// which share its append.
func TestRejectedDirectRecordStandsAlone(t *testing.T) {
	c := qt.New(t)
	h := newDirectHarness()
	h.add(context.Background(), "first")
	<-h.log.began
	for _, key := range []string{"good", "good", "bad", "good"} {
		h.add(context.Background(), key)
	}
	h.waitForQueue(t, 4)
	h.log.outcomes <- nil
	done := make(chan struct{})
	go func() {
		defer close(done)
		for sent := 0; sent < 4; {
			records := <-h.log.began
			var outcome error
			for _, r := range records {
				if r.Key == "bad" {
					outcome = ErrRejected
				}
			}
			if outcome == nil || len(records) == 1 {
				sent += len(records)
			}
			h.log.outcomes <- outcome
		}
	}()
	rejected := 0
	for range 5 {
		if err := <-h.results; errors.Is(err, ErrRejected) {
			rejected++
		} else {
			c.Check(err, qt.IsNil)
		}
	}
	<-done
	c.Assert(rejected, qt.Equals, 1)
}
