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

// balancer selects among the entries that were ready at its last check.
type balancer struct {
	mu      sync.Mutex
	entries []*testEntry
	ready   atomic.Pointer[[]*testEntry]
	next    atomic.Uint64
}

// refresh checks which entries are ready.
func (b *balancer) refresh() {
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
		b.refresh()
		time.Sleep(20 * time.Millisecond)
	}
}

func (b *balancer) pick() *testEntry {
	ready := *b.ready.Load()
	return ready[b.next.Add(1)%uint64(len(ready))]
}

func (b *balancer) replace(old, replacement *testEntry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, e := range b.entries {
		if e == old {
			b.entries[i] = replacement
		}
	}
}

// startEntries starts n entries behind a balancer.
func (cl *testCluster) startEntries(ctx context.Context, n int, configure func(*Config)) *balancer {
	b := &balancer{}
	for i := range n {
		b.entries = append(b.entries, cl.startEntry(fmt.Sprintf("e%d", i), configure))
	}
	b.refresh()
	go b.run(ctx)
	return b
}

// restartEntry drains one entry and replaces it by a new one with the same name.
func (cl *testCluster) restartEntry(b *balancer, i int, configure func(*Config)) error {
	old := b.entries[i%len(b.entries)]
	name := old.config.Instance
	if err := old.Drain(context.Background()); err != nil {
		return err
	}
	if err := <-old.done; err != nil {
		return err
	}
	cl.updateView(func() { cl.members = dropMember(cl.members, name) })
	b.replace(old, cl.startEntry(name, configure))
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

// loadCounts counts the requests of a load by their result.
type loadCounts struct {
	sent, ok, rejected, unknown, incomplete, wrongBody atomic.Int64
	// examples holds the first failed response of each code.
	examples sync.Map
}

func (l *loadCounts) String() string {
	return fmt.Sprintf("sent %d good %d refused %d unknown %d cut %d wrong %d",
		l.sent.Load(), l.ok.Load(), l.rejected.Load(), l.unknown.Load(), l.incomplete.Load(), l.wrongBody.Load())
}

// failureExamples lists one failed response of each code.
func (l *loadCounts) failureExamples() string {
	out := ""
	l.examples.Range(func(_, text any) bool {
		out += text.(string) + "\n"
		return true
	})
	return out
}

// record counts a response by what the caller received.
func (l *loadCounts) record(r result, want string) {
	l.sent.Add(1)
	if r.err != nil || r.code != "RW0000" {
		l.examples.LoadOrStore(r.code, fmt.Sprint(r.err, r.body))
	}
	switch {
	case r.err != nil:
		l.incomplete.Add(1)
	case r.code == "RW0000" && r.body == want:
		l.ok.Add(1)
	case r.code == "RW0000":
		l.wrongBody.Add(1)
	case r.outcome == "not_run":
		l.rejected.Add(1)
	default:
		l.unknown.Add(1)
	}
}

// duplicates returns the number of requests that ran more than once.
func (cl *testCluster) duplicates() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	total := map[string]int{}
	for _, t := range cl.targets {
		t.mu.Lock()
		for id, n := range t.runs {
			total[id] += n
		}
		t.mu.Unlock()
	}
	duplicates := 0
	for _, n := range total {
		if n > 1 {
			duplicates++
		}
	}
	return duplicates
}

// Guards against a graceful shutdown that truncates, rejects or duplicates a
// request.
func TestRollingRestart(t *testing.T) {
	c := qt.New(t)
	cl := newTestCluster(t, 4)
	for _, target := range cl.targets {
		target.delay.Store(int64(5 * time.Millisecond))
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	// Long enough for a caller that is delayed by the machine between picking an
	// entry and sending its request.
	setBalancerWait := func(config *Config) { config.BalancerWaitMS = 1000 }
	b := cl.startEntries(ctx, 3, setBalancerWait)
	waitForKeyTakeover()
	var load loadCounts
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			cl.sendLoop(ctx, b, i, &load)
		}()
	}
	for i := range *restartsFlag {
		c.Assert(cl.restartEntry(b, i, setBalancerWait), qt.IsNil)
	}
	stop()
	wg.Wait()
	c.Logf("%d restarts: %s", *restartsFlag, &load)
	c.Assert(load.sent.Load() > 100, qt.IsTrue)
	c.Assert(load.ok.Load(), qt.Equals, load.sent.Load(), qt.Commentf("%s\n%s", &load, load.failureExamples()))
	c.Assert(cl.duplicates(), qt.Equals, 0)
}

// sendLoop sends requests sequentially, every third one with a key.
func (cl *testCluster) sendLoop(ctx context.Context, b *balancer, caller int, load *loadCounts) {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("c%d-%d", caller, n)
		var headers []string
		if n%3 == 0 {
			headers = []string{keyHeader, newKey()}
		}
		r := send(client, "POST", callURL(b.pick(), "x"), id, "b", headers...)
		load.record(r, id+" POST /x b")
	}
}
