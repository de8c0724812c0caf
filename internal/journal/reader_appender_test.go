package journal

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"redwingvale/internal/platform"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// scriptedLog returns reads from a list and then blocks like an idle log.
type scriptedLog struct {
	mu              sync.Mutex
	reads           []func(from int64) (platform.ReadResult, error)
	appendedRecords int
}

func (l *scriptedLog) Append(ctx context.Context, _ platform.Stream, records [][]byte) error {
	if len(records) == 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendedRecords += len(records)
	return nil
}

func (l *scriptedLog) Read(ctx context.Context, _ platform.Stream, from int64, _ int, _ time.Duration) (platform.ReadResult, error) {
	l.mu.Lock()
	if len(l.reads) == 0 {
		l.mu.Unlock()
		<-ctx.Done()
		return platform.ReadResult{}, ctx.Err()
	}
	next := l.reads[0]
	l.reads = l.reads[1:]
	l.mu.Unlock()
	return next(from)
}

func (l *scriptedLog) Streams(context.Context, string) ([]platform.Stream, error) { return nil, nil }

// TestReader guards against a reader that stops at an outage or at a record
// that it cannot decode, that does not detect expired offsets, or that takes
// SentAt after the read was sent.
func TestReader(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := quicktest.New(t)
	good, err := proto.Marshal(&recordv1.Envelope{Instance: "a", Sequence: 7})
	c.Assert(err, quicktest.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	var clock time.Duration
	log := &scriptedLog{reads: []func(int64) (platform.ReadResult, error){
		func(int64) (platform.ReadResult, error) { return platform.ReadResult{}, errors.New("down") },
		func(from int64) (platform.ReadResult, error) {
			c.Check(from, quicktest.Equals, int64(0))
			clock += time.Hour
			records := []platform.LogRecord{{Offset: 5, Data: []byte{0xff}}, {Offset: 6, Data: good}}
			return platform.ReadResult{Records: records, First: 5, Next: 7, AtTail: true}, nil
		},
		func(from int64) (platform.ReadResult, error) {
			c.Check(from, quicktest.Equals, int64(7))
			return platform.ReadResult{First: 5, Next: 7, AtTail: true}, nil
		},
	}}
	var got []Batch
	settings := DefaultReaderSettings()
	settings.RetryMin = time.Millisecond
	reader := NewReader(log, "group/a", 0, settings, func() time.Duration { return clock },
		func(_ context.Context, b Batch) error {
			got = append(got, b)
			if len(got) == 3 {
				cancel()
			}
			return nil
		})
	c.Assert(errors.Is(reader.Run(ctx), context.Canceled), quicktest.IsTrue)
	c.Assert(got, quicktest.HasLen, 3)
	c.Assert(got[0].Err, quicktest.ErrorMatches, "down")
	c.Assert(got[1].Expired && got[1].AtTail, quicktest.IsTrue)
	c.Assert(got[1].SentAt, quicktest.Equals, time.Duration(0))
	c.Assert(got[1].Skipped, quicktest.Equals, 1)
	c.Assert(got[1].Records, quicktest.HasLen, 1)
	c.Assert(got[1].Records[0].Envelope.GetSequence(), quicktest.Equals, uint64(7))
	c.Assert(got[2].Expired, quicktest.IsFalse)
}

// TestAppender guards against appends that are lost, block their caller, or
// outlive the appender's context.
func TestAppender(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := quicktest.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan AppendDone, 2)
	log := &scriptedLog{}
	appender := NewAppender(log, 2, 2, 20*time.Millisecond, func(_ context.Context, d AppendDone) error {
		ended <- d
		return nil
	})
	c.Assert(appender.Offer(Append{Stream: "s", Number: 1, Records: [][]byte{{1}}}), quicktest.IsTrue)
	c.Assert(appender.Offer(Append{Stream: "s", Number: 2}), quicktest.IsTrue)
	c.Assert(appender.Offer(Append{Stream: "s", Number: 3}), quicktest.IsFalse)
	stopped := make(chan error, 1)
	go func() { stopped <- appender.Run(ctx) }()
	failed := 0
	for range 2 {
		if d := <-ended; d.Err != nil {
			failed++
			c.Assert(d.Number, quicktest.Equals, uint64(2))
		}
	}
	c.Assert(failed, quicktest.Equals, 1)
	cancel()
	c.Assert(errors.Is(<-stopped, context.Canceled), quicktest.IsTrue)
	c.Assert(log.appendedRecords, quicktest.Equals, 1)
}

// TestAppendRate guards against a writer under load that exceeds its append
// rate, or whose backlog of records grows.
func TestAppendRate(t *testing.T) {
	c := quicktest.New(t)
	const streams, perSecond, seconds = 43, 600, 30
	w := NewWriter(DefaultSettings("i01", 1))
	appends, written, token := 0, 0, uint64(0)
	var logged []RecordRead
	offset := int64(0)
	for now := time.Duration(0); now < seconds*time.Second; now += time.Second / perSecond {
		token++
		stream := platform.GroupStream(spec.GroupID(fmt.Sprint(token % streams)))
		events := []Event{Write{Stream: stream, Envelope: &recordv1.Envelope{}, Token: token}}
		for _, read := range logged {
			events = append(events, read)
		}
		logged = nil
		for _, e := range events {
			for _, effect := range w.Step(now, e) {
				switch f := effect.(type) {
				case Append:
					appends++
					for _, data := range f.Records {
						offset++
						env := new(recordv1.Envelope)
						c.Assert(proto.Unmarshal(data, env), quicktest.IsNil)
						logged = append(logged, RecordRead{Stream: f.Stream, Offset: offset, Envelope: env})
					}
				case Written:
					written++
				}
			}
		}
	}
	t.Logf("%d records in %d s: %d appends, %d written", token, seconds, appends, written)
	c.Assert(appends <= 28*seconds+28, quicktest.IsTrue)
	c.Assert(int(token)-written < 3*perSecond, quicktest.IsTrue)
}
