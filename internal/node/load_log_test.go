package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
	"redwingvale/internal/planner"
	"redwingvale/internal/ring"
	"redwingvale/internal/telemetry"
)

// racingLog is a log that calls duringNewest between the next listing of the
// newest records and its return.
type racingLog struct {
	Log
	duringNewest func()
}

func (l *racingLog) ReadLatest(ctx context.Context) (Batch, error) {
	batch, err := l.Log.ReadLatest(ctx)
	if duringNewest := l.duringNewest; duringNewest != nil {
		l.duringNewest = nil
		duringNewest()
	}
	return batch, err
}

// startLoop returns an instance of which only the event loop runs.
func startLoop(t *testing.T, log Log) *Node {
	t.Helper()
	tele := telemetry.New("rwnode", "a", io.Discard)
	config := DefaultConfig()
	config.Instance = "a"
	n := New(config, Deps{Log: log}, tele)
	n.lastActiveMS = n.now().MS
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); n.loop(ctx) }()
	t.Cleanup(func() {
		stop()
		<-done
		tele.Close()
	})
	return n
}

// Guards against a listing of the newest records that arrives after newer records
// have been applied, as when two goroutines load at once: a completed job must
// not become active again, or its tasks would start once more.
func TestLoadNeverReverts(t *testing.T) {
	for _, leading := range []bool{false, true} {
		t.Run(fmt.Sprint("leading=", leading), func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			log := newMemoryLog()
			racing := &racingLog{Log: log.forInstance("a")}
			n := startLoop(t, racing)
			if leading {
				n.post(ctx, dutyRequests, func() {
					termCtx, stop := context.WithCancel(ctx)
					n.term = &term{
						epoch: 1, core: planner.New(n.config.plannerConfig(true), n.stateMachine, 1, n.now()),
						ctx: termCtx, stop: stop, writes: ring.New[planner.Write](1),
					}
				})
			}
			id := jobs.ID("0000000000000001")
			spec := &jobs.Job{Queue: "q", Steps: []jobs.Step{{Count: 1, CPUMilli: 100}}}
			encoded, err := jobs.EncodeJob(spec)
			c.Assert(err, qt.IsNil)
			progress := jobs.NewProgress(spec)
			progress.State = jobs.Active
			active, err := jobs.ProgressRecord(id, progress)
			c.Assert(err, qt.IsNil)
			progress.State = jobs.Completed
			progress.SetDone(spec, jobs.Task{Job: id})
			completed, err := jobs.ProgressRecord(id, progress)
			c.Assert(err, qt.IsNil)

			writer := log.forInstance("b")
			_, err = writer.Append(ctx, Append{Records: []jobs.Record{jobs.SubmissionRecord(id, encoded), active}, ExpectedEnd: -1})
			c.Assert(err, qt.IsNil)
			racing.duringNewest = func() {
				_, err := writer.Append(ctx, Append{Records: []jobs.Record{completed}, ExpectedEnd: -1})
				c.Check(err, qt.IsNil)
				_, err = n.catchUp(ctx)
				c.Check(err, qt.IsNil)
			}
			c.Assert(n.loadLog(ctx), qt.IsNil)
			state, err := runInLoop(ctx, n, dutyRequests, func() jobs.State { return n.stateMachine.SubmittedEntry(id).State() })
			c.Assert(err, qt.IsNil)
			c.Assert(state, qt.Equals, jobs.Completed)
		})
	}
}

// emptyReadLog is a log whose reads return no records before its end.
type emptyReadLog struct{ Log }

func (l emptyReadLog) Read(ctx context.Context, from int64) (Batch, error) {
	batch, err := l.Log.Read(ctx, from)
	batch.Records = nil
	return batch, err
}

// Guards against a read without records that counts as the end of the log: a job
// would be reported as unknown, and a term would begin without its jobs.
func TestEmptyReadIsNotLogEnd(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	log := newMemoryLog()
	n := startLoop(t, emptyReadLog{log.forInstance("a")})
	_, err := n.catchUp(ctx)
	c.Assert(err, qt.IsNil)
	_, err = log.forInstance("b").Append(ctx, Append{Records: []jobs.Record{{Key: "other", Value: []byte("1")}}, ExpectedEnd: -1})
	c.Assert(err, qt.IsNil)
	_, err = n.catchUp(ctx)
	c.Assert(err, qt.ErrorIs, ErrUnavailable)
}

// Guards against a restart of all instances in which the weak ones read the whole
// log before any strong one has: on the large site the first leader began its
// term four seconds after the instances were back.
func TestWeakInstanceLoadsLate(t *testing.T) {
	c := qt.New(t)
	log := newMemoryLog()
	for i := range earlyLoaders {
		value, err := json.Marshal(member{Peer: "p", MilliCPU: 800})
		c.Assert(err, qt.IsNil)
		log.records = append(log.records, jobs.Record{Key: fmt.Sprint(memberPrefix, "strong-", i), Value: value})
	}
	members := func() []jobs.Record {
		records, err := log.forInstance("a").ReadPrefix(context.Background(), memberPrefix)
		c.Assert(err, qt.IsNil)
		return records
	}
	n := startLoop(t, log.forInstance("a"))
	n.config.CPUShare = 0.8
	c.Assert(n.loadsLate(members()), qt.IsFalse)
	n.config.CPUShare = 0.1
	c.Assert(n.loadsLate(members()), qt.IsTrue)

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	start := time.Now()
	n.awaitLoadTurn(ctx, 100*time.Millisecond)
	c.Assert(time.Since(start) >= 100*time.Millisecond, qt.IsTrue)
	// While a leader sends heartbeats, the log is not short of bandwidth.
	_, err := runInLoop(ctx, n, dutyRequests, func() bool { n.lastHeartbeat.epoch = 1; return true })
	c.Assert(err, qt.IsNil)
	n.awaitLoadTurn(ctx, time.Hour)

	log.records = log.records[1:]
	c.Assert(n.loadsLate(members()), qt.IsFalse)
}
