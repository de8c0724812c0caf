package journal

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"redwingvale/internal/delay"
	"redwingvale/internal/platform"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// Record is one decoded record.
type Record struct {
	Offset   int64
	Envelope *recordv1.Envelope
}

// Batch is the result of one read. When Err is set, only Stream and SentAt are
// valid.
type Batch struct {
	Stream platform.Stream
	// SentAt is the monotonic time before the read was sent. A lease that the
	// read renews starts at it.
	SentAt time.Duration
	// AtTail states that the read reached the tail of the stream.
	AtTail bool
	// First is the oldest offset that the log still keeps, Next the next offset
	// to read.
	First   int64
	Next    int64
	Records []Record
	// Expired states that the log dropped records before they were read. The
	// state must then be restored from a snapshot.
	Expired bool
	// Skipped counts records that could not be decoded.
	Skipped int
	Err     error
}

// ReaderSettings bounds the reads of a Reader.
type ReaderSettings struct {
	// MaxRecords is the largest number of records of one read.
	MaxRecords int
	// LongPoll is the longest time for which the log may hold a read open at
	// the tail. It must be well below the ownership lease, which starts at SentAt.
	LongPoll time.Duration
	// CallTimeout bounds a read in addition to LongPoll.
	CallTimeout time.Duration
	// IdleInterval is the least time between two reads that return no records,
	// for a log that does not hold reads open.
	IdleInterval time.Duration
	// RetryMin and RetryMax bound the jittered wait after a failed read.
	RetryMin time.Duration
	RetryMax time.Duration
}

// DefaultReaderSettings returns settings for an ownership lease of 1.2 s.
func DefaultReaderSettings() ReaderSettings {
	return ReaderSettings{
		MaxRecords:   1000,
		LongPoll:     300 * time.Millisecond,
		CallTimeout:  5 * time.Second,
		IdleInterval: 20 * time.Millisecond,
		RetryMin:     50 * time.Millisecond,
		RetryMax:     time.Second,
	}
}

// Reader reads one stream continuously.
type Reader struct {
	log      platform.Log
	stream   platform.Stream
	settings ReaderSettings
	clock    func() time.Duration
	deliver  func(context.Context, Batch) error
	next     int64
	failures int
}

// NewReader returns a reader that starts at offset from. clock returns the
// monotonic time since the start of the process. deliver hands a batch to the
// goroutine that applies it, in order; it may block until its context ends.
func NewReader(log platform.Log, stream platform.Stream, from int64, settings ReaderSettings,
	clock func() time.Duration, deliver func(context.Context, Batch) error,
) *Reader {
	return &Reader{log: log, stream: stream, settings: settings, clock: clock, deliver: deliver, next: from}
}

// Run reads until ctx ends or deliver fails, and returns that error.
func (r *Reader) Run(ctx context.Context) error {
	for {
		batch := r.read(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := r.deliver(ctx, batch); err != nil {
			return err
		}
		if err := delay.Wait(ctx, r.delayAfter(batch)); err != nil {
			return err
		}
	}
}

// delayAfter returns how long to wait before the next read.
func (r *Reader) delayAfter(batch Batch) time.Duration {
	if batch.Err != nil {
		r.failures++
		return r.retryDelay()
	}
	r.failures = 0
	if len(batch.Records) > 0 || batch.Skipped > 0 {
		return 0
	}
	return r.settings.IdleInterval - (r.clock() - batch.SentAt)
}

func (r *Reader) read(ctx context.Context) Batch {
	limited, cancel := context.WithTimeout(ctx, r.settings.LongPoll+r.settings.CallTimeout)
	defer cancel()
	batch := Batch{Stream: r.stream, SentAt: r.clock()}
	result, err := r.log.Read(limited, r.stream, r.next, r.settings.MaxRecords, r.settings.LongPoll)
	if err != nil {
		batch.Err = err
		return batch
	}
	batch.AtTail = result.AtTail
	batch.First = result.First
	batch.Next = max(result.Next, result.First, r.next)
	batch.Expired = result.First > r.next
	for _, raw := range result.Records {
		if raw.Offset < r.next {
			continue
		}
		batch.add(raw)
		batch.Next = max(batch.Next, raw.Offset+1)
	}
	r.next = batch.Next
	return batch
}

func (b *Batch) add(raw platform.LogRecord) {
	env := new(recordv1.Envelope)
	if err := proto.Unmarshal(raw.Data, env); err != nil {
		b.Skipped++
		return
	}
	b.Records = append(b.Records, Record{Offset: raw.Offset, Envelope: env})
}

// retryDelay returns an exponential backoff with a jitter between half and all
// of it, so that the readers do not retry at the same time.
func (r *Reader) retryDelay() time.Duration {
	wait := r.settings.RetryMin
	for i := 1; i < r.failures && wait < r.settings.RetryMax; i++ {
		wait *= 2
	}
	wait = min(wait, r.settings.RetryMax)
	return wait/2 + rand.N(wait/2+1)
}
