package entry

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/invariant"
)

var restartsFlag = flag.Int("restarts", 6, "planned stops in TestRollingRestart")

// Guards against an idle connection that has gone silent and is used, and
// against more connections than granted.
func TestSilentIdleConnections(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 1)
	w.conns = 8
	e := w.startEntry("a", func(config *Config) { config.ProbeIntervalMS, config.ProbeTimeoutMS, config.FreshMS = 400, 200, 100 })
	target := w.targets["w000"]
	target.delay.Store(int64(20 * time.Millisecond))
	burst := func(name string) {
		var all sync.WaitGroup
		for i := range 8 {
			all.Add(1)
			go func() {
				defer all.Done()
				r := send(w.client(), "POST", callURL(e, "x"), fmt.Sprint(name, i), "", timeoutHeader, "2")
				c.Check(r.code, qt.Equals, "RW0000", qt.Commentf("%s: %s", name, r.body))
			}()
		}
		all.Wait()
		c.Check(target.open() <= 8, qt.IsTrue, qt.Commentf("%d connections", target.open()))
	}
	burst("first")
	target.silence()
	time.Sleep(150 * time.Millisecond)
	burst("second")
	target.silence()
	before := target.probes.Load()
	w.await("probes", func() bool { return target.probes.Load() > before })
	burst("third")
}

// Guards against a target that announces its stop, or is listed as leaving,
// and still receives requests (P7).
func TestLeavingTargetsReceiveNothing(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 3)
	e := w.startEntry("a", func(config *Config) { config.ProbeIntervalMS = 200 })
	client := w.client()
	for i := range 40 {
		send(client, "POST", callURL(e, "x"), fmt.Sprint("warm", i), "")
	}
	w.targets["w000"].unhealthy.Store(true)
	w.change(func() { w.workers[1].Leaving, w.workers[1].ListStamp = true, 5 })
	time.Sleep(600 * time.Millisecond)
	w.change(func() { w.workers[1].Leaving, w.workers[1].ListStamp = false, 4 })
	time.Sleep(100 * time.Millisecond)
	for i := range 40 {
		r := send(client, "POST", callURL(e, "x"), fmt.Sprint("late", i), "")
		c.Assert(r.code, qt.Equals, "RW0000")
		c.Assert(w.targets["w002"].count(fmt.Sprint("late", i)), qt.Equals, 1)
	}
}

// Guards against a peer's spare slots that are not used, and against a forward
// that is forwarded again or loses its answer.
func TestForwardToPeer(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 1)
	a, b := w.startEntry("a", nil), w.startEntry("b", nil)
	w.await("peers", func() bool { return a.peers.known() == 1 && b.peers.known() == 1 })
	w.owner.mu.Lock()
	w.owner.refuse = "a"
	w.owner.mu.Unlock()
	w.await("the end of the grants", func() bool { return a.grantedSlots() == 0 })
	w.targets["w000"].long.Store(200 << 10)
	r := send(w.client(), "POST", callURL(a, "x"), "fwd", "b", timeoutHeader, "2")
	c.Assert(r.code, qt.Equals, "RW0000", qt.Commentf("%s", r.body))
	c.Assert(len(r.body), qt.Equals, 200<<10)
	c.Assert(w.runs("fwd"), qt.Equals, 1)
}

// Guards against checks that would not notice a missing rule: a retry of a
// request that may have run, and a dispatch before the key is registered.
func TestBrokenRulesAreNoticed(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 3)
	e := w.startEntry("a", nil)
	e.faults.retryAlways = true
	w.setAll(modeReset)
	before := invariant.Violations()
	r := send(w.client(), "POST", callURL(e, "x"), "retry", "")
	c.Assert(r.err, qt.IsNotNil)
	c.Assert(invariant.Violations(), qt.Equals, before+1)
	e.faults = faults{ignoreKeys: true}
	w.setAll(modeAnswer)
	settleKeys()
	key := newKey()
	for range 2 {
		send(w.client(), "POST", callURL(e, "x"), "twice", "", keyHeader, key)
	}
	c.Assert(w.runs("twice"), qt.Equals, 2)
	c.Assert(w.doubled() > 0, qt.IsTrue)
}

// Guards against a queue that refuses with the wrong code, or runs requests
// that it has refused.
func TestQueueIsBounded(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 1)
	w.slots = 1
	w.services["draft"] = ServiceSettings{QueueBound: 2}
	e := w.startEntry("a", nil)
	w.targets["w000"].delay.Store(int64(300 * time.Millisecond))
	codes := make(chan result, 6)
	for i := range 6 {
		go func() { codes <- send(w.client(), "POST", callURL(e, "x"), fmt.Sprint("q", i), "") }()
	}
	for range 6 {
		r := <-codes
		if r.code == "RW0000" {
			continue
		}
		c.Check(r.outcome, qt.Equals, "not_run")
		c.Check(r.status == 429 || r.status == 503, qt.IsTrue, qt.Commentf("%s", r.code))
	}
	total := 0
	for i := range 6 {
		total += w.runs(fmt.Sprint("q", i))
	}
	c.Assert(total >= 1 && total <= 3, qt.IsTrue, qt.Commentf("%d ran", total))
	c.Assert(w.targets["w000"].peak.Load(), qt.Equals, int64(1))
}
