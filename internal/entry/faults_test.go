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

// Guards against using an idle connection that no longer responds, and against
// opening more connections than granted.
func TestUnresponsiveIdleConnections(t *testing.T) {
	c := qt.New(t)
	cl := newTestCluster(t, 1)
	cl.connections = 8
	e := cl.startEntry("a", func(config *Config) { config.ProbeIntervalMS, config.ProbeTimeoutMS, config.FreshMS = 400, 200, 100 })
	target := cl.targets["w000"]
	target.delay.Store(int64(20 * time.Millisecond))
	burst := func(name string) {
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				r := send(cl.client(), "POST", callURL(e, "x"), fmt.Sprint(name, i), "", timeoutHeader, "2")
				c.Check(r.code, qt.Equals, "RW0000", qt.Commentf("%s: %s", name, r.body))
			}()
		}
		wg.Wait()
		c.Check(target.openConnections() <= 8, qt.IsTrue, qt.Commentf("%d connections", target.openConnections()))
	}
	burst("first")
	target.stallHalf()
	time.Sleep(150 * time.Millisecond)
	burst("second")
	target.stallHalf()
	before := target.probes.Load()
	cl.await("probes", func() bool { return target.probes.Load() > before })
	burst("third")
}

// Guards against sending requests to a target that announces its shutdown or is
// listed as leaving (P7).
func TestLeavingTargetsReceiveNoRequests(t *testing.T) {
	c := qt.New(t)
	cl := newTestCluster(t, 3)
	e := cl.startEntry("a", func(config *Config) { config.ProbeIntervalMS = 200 })
	client := cl.client()
	for i := range 40 {
		send(client, "POST", callURL(e, "x"), fmt.Sprint("warm", i), "")
	}
	cl.targets["w000"].unhealthy.Store(true)
	cl.updateView(func() { cl.workers[1].Leaving, cl.workers[1].ListStamp = true, 5 })
	time.Sleep(600 * time.Millisecond)
	cl.updateView(func() { cl.workers[1].Leaving, cl.workers[1].ListStamp = false, 4 })
	time.Sleep(100 * time.Millisecond)
	for i := range 40 {
		r := send(client, "POST", callURL(e, "x"), fmt.Sprint("late", i), "")
		c.Assert(r.code, qt.Equals, "RW0000")
		c.Assert(cl.targets["w002"].runCount(fmt.Sprint("late", i)), qt.Equals, 1)
	}
}

// Guards against leaving a peer's spare slots unused, and against a forwarded
// request that is forwarded again or loses its response.
func TestForwardToPeer(t *testing.T) {
	c := qt.New(t)
	cl := newTestCluster(t, 1)
	a, b := cl.startEntry("a", nil), cl.startEntry("b", nil)
	cl.await("peers", func() bool { return a.peers.knownCount() == 1 && b.peers.knownCount() == 1 })
	cl.owner.mu.Lock()
	cl.owner.failRenewalsOf = "a"
	cl.owner.mu.Unlock()
	cl.await("the end of the grants", func() bool { return a.grantedSlots() == 0 })
	cl.targets["w000"].longBodyBytes.Store(200 << 10)
	r := send(cl.client(), "POST", callURL(a, "x"), "fwd", "b", timeoutHeader, "2")
	c.Assert(r.code, qt.Equals, "RW0000", qt.Commentf("%s", r.body))
	c.Assert(len(r.body), qt.Equals, 200<<10)
	c.Assert(cl.runCount("fwd"), qt.Equals, 1)
}

// Guards against checks that would not detect a missing mechanism: the ban on
// retrying a request that may have run, and the registration of a key before
// its request is sent.
func TestMutationsAreDetected(t *testing.T) {
	c := qt.New(t)
	cl := newTestCluster(t, 3)
	e := cl.startEntry("a", nil)
	e.mutations.alwaysRetry = true
	cl.setModes(modeReset)
	before := invariant.Violations()
	r := send(cl.client(), "POST", callURL(e, "x"), "retry", "")
	c.Assert(r.err, qt.IsNotNil)
	c.Assert(invariant.Violations(), qt.Equals, before+1)
	e.mutations = mutations{ignoreKeys: true}
	cl.setModes(modeRespond)
	waitForKeyTakeover()
	key := newKey()
	for range 2 {
		send(cl.client(), "POST", callURL(e, "x"), "twice", "", keyHeader, key)
	}
	c.Assert(cl.runCount("twice"), qt.Equals, 2)
	c.Assert(cl.duplicates() > 0, qt.IsTrue)
}

// Guards against a queue that rejects requests with the wrong outcome or
// status, or that runs rejected requests.
func TestQueueIsBounded(t *testing.T) {
	c := qt.New(t)
	cl := newTestCluster(t, 1)
	cl.slots = 1
	cl.services["draft"] = ServiceSettings{QueueBound: 2}
	e := cl.startEntry("a", nil)
	cl.targets["w000"].delay.Store(int64(300 * time.Millisecond))
	codes := make(chan result, 6)
	for i := range 6 {
		go func() { codes <- send(cl.client(), "POST", callURL(e, "x"), fmt.Sprint("q", i), "") }()
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
		total += cl.runCount(fmt.Sprint("q", i))
	}
	c.Assert(total >= 1 && total <= 3, qt.IsTrue, qt.Commentf("%d ran", total))
	c.Assert(cl.targets["w000"].peak.Load(), qt.Equals, int64(1))
}
