package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"redwingvale/internal/jobs"
	"redwingvale/internal/telemetry"
)

const (
	// slowDirectAppend is the duration from which on a direct append counts as a
	// sign that the log has no room for them.
	slowDirectAppend = 300 * time.Millisecond
	// An instance makes no direct append for directPause after one that failed or
	// was slow, and for twice as long after each further one: the log handles one
	// append at a time, and the leader's append records the submissions of all.
	directPause    = time.Second
	maxDirectPause = 4 * time.Second
	// maxDirectRecords bounds the records of one direct append.
	maxDirectRecords = 400
	// leaveInterval is how often a record that waits for a direct append looks
	// whether it still has to.
	leaveInterval = 60 * time.Millisecond
)

// errDirectPaused is the error of a record that is not appended because the log is
// slow or failing.
var errDirectPaused = errors.Mark(errors.New("direct appends pause"), ErrUnavailable)

// directRecord is a record that waits for a direct append.
type directRecord struct {
	record jobs.Record
	result chan error
}

// directAppender appends records without the leader: one append at a time, with all
// the records that wait.
type directAppender struct {
	log    Log
	limits jobs.Limits
	now    func() time.Time
	failed func(err error, records int)

	timer appendTimer

	mu      sync.Mutex
	waiting []*directRecord
	running bool
	// pause is the length of the last pause, or 0 after an append that was
	// answered fast; pausedUntil is when it ends.
	pause       time.Duration
	pausedUntil time.Time
}

func (n *Node) newDirectAppender() *directAppender {
	return &directAppender{
		log: n.deps.Log, limits: n.config.limits(), now: time.Now,
		failed: func(err error, records int) {
			n.stats.logErrors.Inc(1)
			n.tele.Log.Warn("direct_append_failed", append(telemetry.ErrorFields(err), zap.Int("records", records))...)
		},
	}
}

// append appends a record together with others that wait. While the record is in no
// append that has been sent, it is taken back when ctx ends or unneeded returns true,
// and the error says that it was not written.
func (d *directAppender) append(ctx context.Context, r jobs.Record, unneeded func() bool) error {
	entry := &directRecord{record: r, result: make(chan error, 1)}
	d.mu.Lock()
	if d.now().Before(d.pausedUntil) {
		d.mu.Unlock()
		return errDirectPaused
	}
	d.waiting = append(d.waiting, entry)
	if !d.running {
		d.running = true
		go d.run()
	}
	d.mu.Unlock()
	ticker := time.NewTicker(leaveInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-entry.result:
			return err
		case <-ctx.Done():
			if d.takeBack(entry) {
				return errors.Mark(ctx.Err(), ErrUnavailable)
			}
			return errors.Mark(ctx.Err(), ErrUnknown)
		case <-ticker.C:
			if unneeded() && d.takeBack(entry) {
				return errors.Mark(errors.New("the leader is back"), ErrUnavailable)
			}
		}
	}
}

// takeBack removes a record that waits, and reports whether it still waited.
func (d *directAppender) takeBack(entry *directRecord) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := slices.Index(d.waiting, entry)
	if i < 0 {
		return false
	}
	d.waiting = slices.Delete(d.waiting, i, i+1)
	return true
}

// run appends what waits until nothing does.
func (d *directAppender) run() {
	for {
		batch := d.next()
		if len(batch) == 0 {
			return
		}
		d.send(batch)
	}
}

// next returns the records of the next append, within the limits of the log. During a
// pause it refuses all that wait.
func (d *directAppender) next() []*directRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.now().Before(d.pausedUntil) {
		for _, entry := range d.waiting {
			entry.result <- errDirectPaused
		}
		d.waiting = nil
	}
	count, bytes := 0, 0
	for count < len(d.waiting) && count < maxDirectRecords {
		bytes += d.waiting[count].record.EncodedBytes()
		if count > 0 && d.limits.Request > 0 && bytes > d.limits.Request {
			break
		}
		count++
	}
	batch := slices.Clone(d.waiting[:count])
	d.waiting = slices.Delete(d.waiting, 0, count)
	d.running = count > 0
	return batch
}

// send makes one append. Of an append that the log rejects, each half is sent again,
// so that one record delays no other.
func (d *directAppender) send(batch []*directRecord) {
	records := make([]jobs.Record, len(batch))
	for i, entry := range batch {
		records[i] = entry.record
	}
	// The callers of the records wait for different times, so none of them limits
	// the append.
	ctx, cancel := context.WithTimeout(context.Background(), d.timer.limit())
	start := d.now()
	_, err := d.log.Append(ctx, Append{Records: records, ExpectedEnd: -1})
	cancel()
	took := d.now().Sub(start)
	switch {
	case err == nil, errors.Is(err, ErrRejected):
		d.timer.answered(took)
	case errors.Is(err, ErrUnknown):
		d.timer.notAnswered()
	}
	if err != nil {
		d.failed(err, len(records))
	}
	if errors.Is(err, ErrRejected) && len(batch) > 1 {
		d.send(batch[:len(batch)/2])
		d.send(batch[len(batch)/2:])
		return
	}
	d.noteAppend(err, took)
	for _, entry := range batch {
		entry.result <- err
	}
}

// noteAppend starts a pause after an append that failed or was slow.
func (d *directAppender) noteAppend(err error, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if (err == nil || errors.Is(err, ErrRejected)) && took <= slowDirectAppend {
		d.pause = 0
		return
	}
	d.pause = min(max(2*d.pause, directPause), maxDirectPause)
	d.pausedUntil = d.now().Add(d.pause)
}

// recordDirectly appends a record to the log without the leader.
func (n *Node) recordDirectly(ctx context.Context, r jobs.Record) error {
	if n.lastLogReadMS.Load() == 0 {
		return ErrUnavailable
	}
	return n.direct.append(ctx, r, func() bool { return n.leaderAlive(n.leader.Load()) })
}
