package node

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
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
	sequence uint64
	answers  map[uint64]int64
	// refuses names the instances that the log turns away.
	refuses map[string]bool
	// moves names the instance before whose appends the log always moves on.
	moves string
	// limits bound the records, rejects is a key that the log never takes.
	limits  jobs.Limits
	rejects string
	// rejectRepeats answers the repeat of an append as if it were not allowed.
	rejectRepeats bool
	// loseAnswers makes the next appends take effect without an answer.
	loseAnswers int
}

func newMemoryLog() *memoryLog {
	return &memoryLog{
		answers: map[uint64]int64{}, refuses: map[string]bool{},
		limits: jobs.Limits{Record: 256 << 10, Request: 2 << 20},
	}
}

// of returns the log as one instance sees it.
func (l *memoryLog) of(instance string) Log { return &logView{l, instance} }

type logView struct {
	log      *memoryLog
	instance string
}

func (v *logView) Append(_ context.Context, a Append) (int64, error) {
	l := v.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuses[v.instance] {
		return 0, ErrUnavailable
	}
	total := 0
	for _, r := range a.Records {
		total += r.EncodedBytes()
		if !l.limits.Allows(r) || r.Key == l.rejects {
			return 0, ErrRejected
		}
	}
	if total > l.limits.Request {
		return 0, ErrRejected
	}
	if v.instance == l.moves {
		l.records = append(l.records, jobs.Record{Key: "other", Value: []byte("1")})
	}
	if w := a.Writer; w != nil {
		if w.Epoch < l.epoch {
			return 0, ErrFenced
		}
		// The answers of earlier epochs are repeated too.
		if offset, ok := l.answers[w.Sequence]; ok {
			if l.rejectRepeats {
				l.rejectRepeats = false
				return 0, ErrRejected
			}
			return offset, nil
		}
		if w.Epoch == l.epoch && w.Sequence != l.sequence+1 {
			return 0, ErrFenced
		}
		l.epoch, l.sequence = w.Epoch, w.Sequence
	}
	if a.At >= 0 && a.At != int64(len(l.records)) {
		return 0, ErrMoved
	}
	offset := int64(len(l.records))
	l.records = append(l.records, a.Records...)
	if a.Writer != nil {
		l.answers[a.Writer.Sequence] = offset
	}
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return 0, ErrUnknown
	}
	return offset, nil
}

func (v *logView) Read(_ context.Context, from int64) (Batch, error) {
	l := v.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuses[v.instance] {
		return Batch{}, ErrUnavailable
	}
	return Batch{From: from, Records: slices.Clone(l.records[min(from, int64(len(l.records))):]), End: int64(len(l.records))}, nil
}

func (v *logView) Newest(ctx context.Context) (Batch, error) { return v.Read(ctx, 0) }

// moveBeforeAppend lets others write before each append of an instance.
func (l *memoryLog) moveBeforeAppend(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.moves = instance
}

func (l *memoryLog) refuse(instance string, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuses[instance] = refused
}

// fixedManifest is one version of the configuration.
type fixedManifest struct {
	mu      sync.Mutex
	version int64
	// attempts is the queue's bound; 0 stands for 2.
	attempts int
}

func (m *fixedManifest) Manifest(context.Context) (*Manifest, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &Manifest{Version: m.version, Queues: []QueueRoute{{
		Queue: planner.Queue{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: cmp.Or(m.attempts, 2), Stretch: 2, TargetLatencyMS: 1000}},
		Host:  "h", Prefix: "/q/",
	}}}, 0, nil
}

func (m *fixedManifest) Await(ctx context.Context, from int64, wait time.Duration) (*Manifest, int64, error) {
	pause(ctx, wait)
	manifest, _, err := m.Manifest(ctx)
	return manifest, from, err
}

// instantWorkers are one worker that does every task within a few
// milliseconds and counts the runs of each.
type instantWorkers struct {
	mu    sync.Mutex
	token uint64
	ended []planner.EndedTask
	count int64
	runs  map[string]int
	born  time.Time
	// others is the number of workers that are listed beside it and run nothing.
	others int
}

func newInstantWorkers() *instantWorkers {
	return &instantWorkers{runs: map[string]int{}, born: time.Now()}
}

func (w *instantWorkers) Workers(context.Context) ([]planner.WorkerInfo, int64, error) {
	infos := []planner.WorkerInfo{{
		ID: "w", Address: "w", Service: "s", Capacity: planner.Room{CPUMilli: 64_000, MemoryMB: 64_000}, BornMS: 1,
	}}
	for i := range w.others {
		infos = append(infos, planner.WorkerInfo{
			ID: planner.WorkerID(fmt.Sprintf("other-%06d", i)), Address: fmt.Sprintf("10.1.%d.%d:8547", i/250, i%250),
			Service: "another", DataCentre: "dc-1", Capacity: planner.Room{CPUMilli: 32_000, MemoryMB: 128_000},
			Labels: []string{"kind-a", fmt.Sprintf("rack-%d", i/8)}, BornMS: 1,
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
		return planner.Report{BornMS: 1, ClockMS: 1 + time.Since(w.born).Milliseconds()}, planner.Done
	}
	pause(ctx, 5*time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.Token < w.token {
		return planner.Report{}, planner.Fenced
	}
	w.token = h.Token
	w.ended = slices.DeleteFunc(w.ended, func(e planner.EndedTask) bool { return e.Number <= h.AckNumber })
	return planner.Report{BornMS: 1, ClockMS: 1 + time.Since(w.born).Milliseconds(), Ended: slices.Clone(w.ended)}, planner.Done
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

// instance is a running node of a test.
type instance struct {
	*Node
	stop context.CancelFunc
	done chan struct{}
}

// fakeWorkers plays the directory, the workers and the adviser.
type fakeWorkers interface {
	Directory
	Workers
	Adviser
}

// startInstance runs a node on free ports of the loopback interface.
func startInstance(t *testing.T, name string, log *memoryLog, operators Operators, workers fakeWorkers) *instance {
	c := qt.New(t)
	config := DefaultConfig()
	config.Instance, config.FirstStart = name, true
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	config.PeerAddr = socket.Addr().String()
	tele := telemetry.New("rwnode", name, io.Discard)
	n := New(config, Deps{Log: log.of(name), Operators: operators, Directory: workers, Workers: workers, Adviser: workers}, tele)
	ctx, stop := context.WithCancel(context.Background())
	in := &instance{Node: n, stop: stop, done: make(chan struct{})}
	server := &serverOn{socket: socket, handler: n.PeerHandler()}
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

// await waits until the state holds. The bound is far above what the
// guarantee allows, so that it does not depend on the machine's speed.
func await(t *testing.T, what string, state func() bool) {
	t.Helper()
	const bound = 60 * time.Second
	for begun := time.Now(); time.Since(begun) < bound; time.Sleep(5 * time.Millisecond) {
		if state() {
			return
		}
	}
	t.Fatalf("not reached: %s", what)
}

func leaderOf(instances ...*instance) *instance {
	for _, in := range instances {
		if in.leading() {
			return in
		}
	}
	return nil
}
