package node

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
	"redwingvale/internal/planner"
	"redwingvale/internal/telemetry"
)

// memoryLog is a log in memory with fenced writers.
type memoryLog struct {
	mu      sync.Mutex
	records []jobs.Record
	epoch   uint64
	// sequence is the number of the writer's last append.
	sequence  uint64
	responses map[uint64]int64
	// unavailableTo names the instances whose calls fail.
	unavailableTo map[string]bool
	// concurrentWriteFor names the instance before each of whose appends
	// another record is written.
	concurrentWriteFor string
	// limits apply to records and appends; records with rejectedKey are always
	// rejected.
	limits      jobs.Limits
	rejectedKey string
	// rejectRetry rejects the next retry of an append that has taken effect.
	rejectRetry bool
	// loseResponses is how many of the next appends take effect without a response.
	loseResponses int
	// wrap replaces the log of an instance; nil for none.
	wrap func(Log) Log
}

func newMemoryLog() *memoryLog {
	return &memoryLog{
		responses: map[uint64]int64{}, unavailableTo: map[string]bool{},
		limits: jobs.Limits{Record: 256 << 10, Request: 2 << 20},
	}
}

// forInstance returns the log as one instance sees it.
func (l *memoryLog) forInstance(instance string) Log {
	if l.wrap != nil {
		return l.wrap(&instanceLog{l, instance})
	}
	return &instanceLog{l, instance}
}

type instanceLog struct {
	log      *memoryLog
	instance string
}

func (v *instanceLog) Append(_ context.Context, a Append) (int64, error) {
	l := v.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailableTo[v.instance] {
		return 0, ErrUnavailable
	}
	total := 0
	for _, r := range a.Records {
		total += r.EncodedBytes()
		if !l.limits.Allows(r) || r.Key == l.rejectedKey {
			return 0, ErrRejected
		}
	}
	if total > l.limits.Request {
		return 0, ErrRejected
	}
	if v.instance == l.concurrentWriteFor {
		l.records = append(l.records, jobs.Record{Key: "other", Value: []byte("1")})
	}
	if w := a.Writer; w != nil {
		if w.Epoch < l.epoch {
			return 0, ErrFenced
		}
		// The responses of earlier epochs are repeated too.
		if offset, ok := l.responses[w.Sequence]; ok {
			if l.rejectRetry {
				l.rejectRetry = false
				return 0, ErrRejected
			}
			return offset, nil
		}
		if w.Epoch == l.epoch && w.Sequence != l.sequence+1 {
			return 0, ErrFenced
		}
		l.epoch, l.sequence = w.Epoch, w.Sequence
	}
	if a.ExpectedEnd >= 0 && a.ExpectedEnd != int64(len(l.records)) {
		return 0, ErrOffsetMismatch
	}
	offset := int64(len(l.records))
	l.records = append(l.records, a.Records...)
	if a.Writer != nil {
		l.responses[a.Writer.Sequence] = offset
	}
	if l.loseResponses > 0 {
		l.loseResponses--
		return 0, ErrUnknown
	}
	return offset, nil
}

func (v *instanceLog) Read(_ context.Context, from int64) (Batch, error) {
	l := v.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailableTo[v.instance] {
		return Batch{}, ErrUnavailable
	}
	return Batch{From: from, Records: slices.Clone(l.records[min(from, int64(len(l.records))):]), End: int64(len(l.records))}, nil
}

func (v *instanceLog) ReadLatest(ctx context.Context) (Batch, error) { return v.Read(ctx, 0) }

func (v *instanceLog) ReadPrefix(ctx context.Context, prefix string) ([]jobs.Record, error) {
	batch, err := v.Read(ctx, 0)
	newest := map[string]jobs.Record{}
	for _, r := range batch.Records {
		if strings.HasPrefix(r.Key, prefix) {
			newest[r.Key] = r
		}
	}
	return slices.Collect(maps.Values(newest)), err
}

// writeBeforeAppendsOf writes another record before each append of an instance.
func (l *memoryLog) writeBeforeAppendsOf(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.concurrentWriteFor = instance
}

func (l *memoryLog) setUnavailable(instance string, unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailableTo[instance] = unavailable
}

// fixedManifest is a configuration source with one version.
type fixedManifest struct {
	mu      sync.Mutex
	version int64
	// attempts is the queue's attempt limit; 0 stands for 2.
	attempts int
}

func (m *fixedManifest) Manifest(context.Context) (Change, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Change{Complete: true, Manifest: &Manifest{Version: m.version, Queues: []QueueRoute{{
		Queue: planner.Queue{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: cmp.Or(m.attempts, 2), Stretch: 2, TargetLatencyMS: 1000}},
		Host:  "h", Prefix: "/q/",
	}}}}, 0, nil
}

func (m *fixedManifest) AwaitChange(ctx context.Context, from int64, wait time.Duration) (Change, int64, error) {
	pause(ctx, wait)
	manifest, _, err := m.Manifest(ctx)
	return manifest, from, err
}

// instantWorkers is one worker that completes every task within a few
// milliseconds and counts the runs of each.
type instantWorkers struct {
	mu        sync.Mutex
	token     uint64
	ended     []planner.EndedTask
	count     int64
	runs      map[string]int
	startedAt time.Time
	// idleWorkers is the number of further workers in the directory, which run
	// nothing.
	idleWorkers int
	// withoutCapacity is set if no task fits on the worker.
	withoutCapacity bool
	// dataCentre is the worker's.
	dataCentre string
}

func newInstantWorkers() *instantWorkers {
	return &instantWorkers{runs: map[string]int{}, startedAt: time.Now()}
}

func (w *instantWorkers) Workers(context.Context) ([]planner.WorkerInfo, int64, error) {
	infos := []planner.WorkerInfo{{
		ID: "w", Address: "w", Service: "s", Capacity: planner.Resources{CPUMilli: 64_000, MemoryMB: 64_000}, StartedMS: 1,
	}}
	infos[0].DataCentre = w.dataCentre
	if w.withoutCapacity {
		infos[0].Capacity = planner.Resources{}
	}
	for i := range w.idleWorkers {
		infos = append(infos, planner.WorkerInfo{
			ID: planner.WorkerID(fmt.Sprintf("other-%06d", i)), Address: fmt.Sprintf("10.1.%d.%d:8547", i/250, i%250),
			Service: "another", DataCentre: "dc-1", Capacity: planner.Resources{CPUMilli: 32_000, MemoryMB: 128_000},
			Labels: []string{"kind-a", fmt.Sprintf("rack-%d", i/8)}, StartedMS: 1,
		})
	}
	return infos, 0, nil
}

func (w *instantWorkers) Changes(ctx context.Context, _ int64) ([]planner.WorkerInfo, int64, error) {
	return w.Workers(ctx)
}

func (w *instantWorkers) Hold(ctx context.Context, h planner.Hold) (planner.Report, planner.Outcome) {
	if h.Worker != "w" {
		pause(ctx, max(time.Duration(h.WaitMS)*time.Millisecond, 100*time.Millisecond))
		return planner.Report{StartedMS: 1, ClockMS: 1 + time.Since(w.startedAt).Milliseconds()}, planner.Done
	}
	pause(ctx, 5*time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.Token < w.token {
		return planner.Report{}, planner.Fenced
	}
	w.token = h.Token
	w.ended = slices.DeleteFunc(w.ended, func(e planner.EndedTask) bool { return e.Number <= h.AckNumber })
	return planner.Report{StartedMS: 1, ClockMS: 1 + time.Since(w.startedAt).Milliseconds(), Ended: slices.Clone(w.ended)}, planner.Done
}

func (w *instantWorkers) Start(_ context.Context, s planner.Start) planner.Outcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.Token < w.token {
		return planner.Fenced
	}
	w.token = s.Token
	w.runs[s.Task.String()]++
	w.count++
	w.ended = append(w.ended, planner.EndedTask{Number: w.count, Task: s.Task, Run: s.Run, Kind: planner.EndDone})
	return planner.Done
}

func (w *instantWorkers) Stop(context.Context, planner.Stop) planner.Outcome { return planner.Done }
func (w *instantWorkers) Pace(context.Context, planner.Pace) planner.Outcome { return planner.Done }

func (w *instantWorkers) Advise(_ context.Context, a planner.Advise) planner.AdviceDone {
	return planner.AdviceDone{Step: a.Step, Outcome: planner.Invalid}
}

// instance is a node that a test runs.
type instance struct {
	*Node
	stop context.CancelFunc
	done chan struct{}
}

// fakeWorkers stands in for the directory, the workers and the adviser.
type fakeWorkers interface {
	Directory
	Workers
	Adviser
}

// startInstance runs a node on free ports of the loopback interface.
func startInstance(t *testing.T, name string, log *memoryLog, manifests ManifestSource, workers fakeWorkers) *instance {
	return startInstanceWith(t, name, log, manifests, workers, DefaultConfig())
}

func startInstanceWith(t *testing.T, name string, log *memoryLog, manifests ManifestSource, workers fakeWorkers, config Config) *instance {
	c := qt.New(t)
	config.Instance, config.FirstStart = name, true
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	config.PeerAddr = listener.Addr().String()
	tele := telemetry.New("rwnode", name, io.Discard)
	n := New(config, Deps{Log: log.forInstance(name), Manifests: manifests, Directory: workers, Workers: workers, Adviser: workers}, tele)
	ctx, stop := context.WithCancel(context.Background())
	in := &instance{Node: n, stop: stop, done: make(chan struct{})}
	server := &peerTestServer{listener: listener, handler: n.PeerHandler()}
	go server.run(ctx)
	go func() {
		defer close(in.done)
		if err := n.Run(ctx); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}()
	t.Cleanup(func() {
		stop()
		<-in.done
		tele.Close()
	})
	return in
}

// waitFor waits until holds returns true. The limit is far above what the
// guarantee allows, so that it does not depend on the machine's speed.
func waitFor(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	const limit = 60 * time.Second
	for start := time.Now(); time.Since(start) < limit; time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not reached: %s", condition)
}

func leaderOf(instances ...*instance) *instance {
	for _, in := range instances {
		if in.isLeader() {
			return in
		}
	}
	return nil
}

// leaderAndFollower starts two instances and waits until one of them leads.
func leaderAndFollower(t *testing.T) (log *memoryLog, leader, follower *instance) {
	t.Helper()
	log = newMemoryLog()
	manifest, workers := &fixedManifest{version: 1}, newInstantWorkers()
	a := startInstance(t, "a", log, manifest, workers)
	b := startInstance(t, "b", log, manifest, workers)
	waitFor(t, "both are ready", func() bool { return a.Ready() && b.Ready() && leaderOf(a, b) != nil })
	if b.isLeader() {
		return log, b, a
	}
	return log, a, b
}
