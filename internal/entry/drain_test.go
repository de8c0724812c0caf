package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// balancer sends requests to the entries that were ready when it last looked.
type balancer struct {
	mu      sync.Mutex
	entries []*testEntry
	ready   atomic.Pointer[[]*testEntry]
	next    atomic.Uint64
}

// look is the balancer's periodic check.
func (b *balancer) look() {
	b.mu.Lock()
	defer b.mu.Unlock()
	ready := make([]*testEntry, 0, len(b.entries))
	for _, e := range b.entries {
		if e.Ready() {
			ready = append(ready, e)
		}
	}
	b.ready.Store(&ready)
}

func (b *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		b.look()
		time.Sleep(20 * time.Millisecond)
	}
}

func (b *balancer) pick() *testEntry {
	ready := *b.ready.Load()
	return ready[b.next.Add(1)%uint64(len(ready))]
}

func (b *balancer) replace(old, new *testEntry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, e := range b.entries {
		if e == old {
			b.entries[i] = new
		}
	}
}

// startFleet starts n entries behind a balancer.
func (w *world) startFleet(ctx context.Context, n int, edit func(*Config)) *balancer {
	b := &balancer{}
	for i := range n {
		b.entries = append(b.entries, w.startEntry(fmt.Sprintf("e%d", i), edit))
	}
	b.look()
	go b.run(ctx)
	return b
}

// restart replaces one entry by a new process with the same name.
func (w *world) restart(b *balancer, i int, edit func(*Config)) error {
	old := b.entries[i%len(b.entries)]
	name := old.config.Instance
	if err := old.Drain(context.Background()); err != nil {
		return err
	}
	if err := <-old.done; err != nil {
		return err
	}
	w.change(func() { w.members = dropMember(w.members, name) })
	b.replace(old, w.startEntry(name, edit))
	return nil
}

func dropMember(members []*recordv1.Member, name string) []*recordv1.Member {
	var out []*recordv1.Member
	for _, m := range members {
		if m.GetInstance() != name {
			out = append(out, m)
		}
	}
	return out
}

// tally is the judgement of all requests of a load.
type loadTally struct {
	sent, good, refused, unknown, cut, wrong atomic.Int64
	// first holds the first answers that were not good.
	first sync.Map
}

func (l *loadTally) String() string {
	return fmt.Sprintf("sent %d good %d refused %d unknown %d cut %d wrong %d",
		l.sent.Load(), l.good.Load(), l.refused.Load(), l.unknown.Load(), l.cut.Load(), l.wrong.Load())
}

// problems lists one answer of each code that was not good.
func (l *loadTally) problems() string {
	out := ""
	l.first.Range(func(_, text any) bool {
		out += text.(string) + "\n"
		return true
	})
	return out
}

// judge classifies an answer by what the caller sees.
func (l *loadTally) judge(r result, want string) {
	l.sent.Add(1)
	if r.err != nil || r.code != "RW0000" {
		l.first.LoadOrStore(r.code, fmt.Sprint(r.err, r.body))
	}
	switch {
	case r.err != nil:
		l.cut.Add(1)
	case r.code == "RW0000" && r.body == want:
		l.good.Add(1)
	case r.code == "RW0000":
		l.wrong.Add(1)
	case r.outcome == "not_run":
		l.refused.Add(1)
	default:
		l.unknown.Add(1)
	}
}

// doubled counts the requests that ran more than once.
func (w *world) doubled() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := map[string]int{}
	for _, t := range w.targets {
		t.mu.Lock()
		for id, n := range t.runs {
			total[id] += n
		}
		t.mu.Unlock()
	}
	doubled := 0
	for _, n := range total {
		if n > 1 {
			doubled++
		}
	}
	return doubled
}

// Guards against a planned stop that cuts, refuses or doubles a request.
func TestRollingRestart(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 4)
	for _, target := range w.targets {
		target.delay.Store(int64(5 * time.Millisecond))
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	// Long enough for a caller that the machine has held up after its choice.
	patient := func(config *Config) { config.BalancerWaitMS = 1000 }
	b := w.startFleet(ctx, 3, patient)
	settleKeys()
	var load loadTally
	var all sync.WaitGroup
	for i := range 8 {
		all.Add(1)
		go func() {
			defer all.Done()
			w.loop(ctx, b, i, &load)
		}()
	}
	for i := range *restartsFlag {
		c.Assert(w.restart(b, i, patient), qt.IsNil)
	}
	stop()
	all.Wait()
	c.Logf("%d restarts: %s", *restartsFlag, &load)
	c.Assert(load.sent.Load() > 100, qt.IsTrue)
	c.Assert(load.good.Load(), qt.Equals, load.sent.Load(), qt.Commentf("%s\n%s", &load, load.problems()))
	c.Assert(w.doubled(), qt.Equals, 0)
}

// loop sends one request after the other, each third one with a key.
func (w *world) loop(ctx context.Context, b *balancer, caller int, load *loadTally) {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("c%d-%d", caller, n)
		var headers []string
		if n%3 == 0 {
			headers = []string{keyHeader, newKey()}
		}
		r := send(client, "POST", callURL(b.pick(), "x"), id, "b", headers...)
		load.judge(r, id+" POST /x b")
	}
}
