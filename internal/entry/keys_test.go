package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"redwingvale/internal/code"
)

// waitForKeyTakeover waits until new UUIDv7 keys are certain to be younger than
// every takeover.
func waitForKeyTakeover() { time.Sleep(250 * time.Millisecond) }

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// Guards against a repeated key that runs the request again at another entry,
// returns a different response, or is accepted with different content.
func TestKeyRunsOnce(t *testing.T) {
	c := qt.New(t)
	cl := newTestCluster(t, 3)
	var entries []*testEntry
	for _, name := range []string{"a", "b", "c"} {
		entries = append(entries, cl.startEntry(name, nil))
	}
	cl.await("all members", func() bool { return entries[0].peers.knownCount() == 2 })
	waitForKeyTakeover()
	for i := range 6 {
		key := newKey()
		for j, e := range entries {
			r := send(cl.client(), "POST", callURL(e, "pay"), fmt.Sprint("k", i), "10", keyHeader, key)
			c.Assert(r.code, qt.Equals, "RW0000", qt.Commentf("key %d at entry %d: %s", i, j, r.body))
			c.Assert(r.body, qt.Equals, fmt.Sprintf("k%d POST /pay 10", i))
		}
		c.Assert(cl.runCount(fmt.Sprint("k", i)), qt.Equals, 1)
		r := send(cl.client(), "POST", callURL(entries[0], "pay"), fmt.Sprint("k", i), "11", keyHeader, key)
		c.Assert(r.code, qt.Equals, code.DuplicateKey.String())
	}
}

// Guards against running a second request with a key while the first is in
// flight, and against a key that stays blocked after a request that did not run.
func TestKeyInFlight(t *testing.T) {
	c := qt.New(t)
	cl := newTestCluster(t, 2)
	a, b := cl.startEntry("a", nil), cl.startEntry("b", nil)
	cl.await("all members", func() bool { return a.peers.knownCount() == 1 })
	waitForKeyTakeover()
	for _, target := range cl.targets {
		target.delay.Store(int64(200 * time.Millisecond))
	}
	key := newKey()
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			e := []*testEntry{a, b}[i%2]
			r := send(cl.client(), "POST", callURL(e, "pay"), "same", "1", keyHeader, key)
			c.Check(r.code, qt.Equals, "RW0000")
		}()
	}
	wg.Wait()
	c.Assert(cl.runCount("same"), qt.Equals, 1)
	key = newKey()
	cl.setModes(modeNotRun)
	r := send(cl.client(), "POST", callURL(a, "pay"), "again", "1", keyHeader, key)
	c.Assert(r.outcome, qt.Equals, "not_run")
	cl.setModes(modeRespond)
	cl.await("the key to be free", func() bool {
		return send(cl.client(), "POST", callURL(b, "pay"), "again", "1", keyHeader, key).code == "RW0000"
	})
	c.Assert(cl.runCount("again"), qt.Equals, 1)
}

// Guards against a graceful shutdown that loses the record of executed keys,
// and against a crash after which a key that may have run is run again.
func TestKeyAfterStopAndCrash(t *testing.T) {
	c := qt.New(t)
	cl := newTestCluster(t, 2)
	a, b := cl.startEntry("a", nil), cl.startEntry("b", nil)
	cl.await("all members", func() bool { return a.peers.knownCount() == 1 })
	waitForKeyTakeover()
	keys := map[string]string{}
	for i := range 8 {
		id := fmt.Sprint("s", i)
		keys[id] = newKey()
		r := send(cl.client(), "POST", callURL(a, "pay"), id, "1", keyHeader, keys[id])
		c.Assert(r.code, qt.Equals, "RW0000")
	}
	c.Assert(a.Drain(context.Background()), qt.IsNil)
	c.Assert(<-a.done, qt.IsNil)
	for id, key := range keys {
		r := send(cl.client(), "POST", callURL(b, "pay"), id, "1", keyHeader, key)
		c.Assert(r.code, qt.Equals, "RW0000", qt.Commentf("%s", r.body))
		c.Assert(cl.runCount(id), qt.Equals, 1)
	}
	d := cl.startEntry("d", nil)
	cl.updateView(func() { cl.members = cl.members[1:] })
	cl.await("the new member", func() bool { return b.peers.knownCount() == 1 })
	waitForKeyTakeover()
	for id, key := range keys {
		r := send(cl.client(), "POST", callURL(d, "pay"), id, "1", keyHeader, key)
		c.Check(r.code, qt.Equals, "RW0000", qt.Commentf("%s", r.body))
	}
	b.stop()
	<-b.done
	cl.updateView(func() { cl.members = cl.members[len(cl.members)-1:] })
	cl.await("the crash", func() bool { return d.peers.knownCount() == 0 })
	for id, key := range keys {
		r := send(cl.client(), "POST", callURL(d, "pay"), id, "1", keyHeader, key)
		c.Check(r.outcome, qt.Not(qt.Equals), "not_run", qt.Commentf("%s", r.body))
		c.Check(cl.runCount(id), qt.Equals, 1)
	}
}
