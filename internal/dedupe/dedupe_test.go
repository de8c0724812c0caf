package dedupe

import (
	"container/heap"
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"redwingvale/internal/code"
	"redwingvale/internal/invariant"
	"redwingvale/internal/spec"
)

var (
	seedFlag  = flag.Uint64("seed", envNumber("REDWINGVALE_SEED", 1), "seed of the random runs")
	stepsFlag = flag.Uint64("steps", envNumber("REDWINGVALE_STEPS", 30_000), "keys of the random runs")
)

func envNumber(name string, otherwise uint64) uint64 {
	n, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

// event is something that happens at a virtual time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// instance is one entry; its process may have died.
type instance struct {
	core    *Core
	self    Member
	alive   bool
	offset  time.Duration
	replies map[WaiterID]func(Reply)
	last    uint64
}

// cluster is a set of instances in virtual time, with delayed messages and
// views, that keeps the truth: how often each key has run.
type cluster struct {
	random   *rand.Rand
	now      time.Duration
	seq      int
	events   events
	entries  map[spec.InstanceID]*instance
	members  []Member
	inc      spec.Incarnation
	runs     map[string]int
	outcomes map[Reply]int
	faults   faults
	restarts int
	// leaves lets instances leave the members while they live on.
	leaves bool
}

var epoch = time.UnixMilli(1_700_000_000_000)

func newCluster(seed uint64) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(seed, 11)), entries: map[spec.InstanceID]*instance{},
		runs: map[string]int{}, outcomes: map[Reply]int{},
	}
	for i := range 5 {
		c.join(spec.InstanceID(fmt.Sprintf("e%d", i)))
	}
	return c
}

func (c *cluster) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now + d, seq: c.seq, run: run})
}

func (c *cluster) delay(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(limit)))
}

func (c *cluster) wall(i *instance) time.Time { return epoch.Add(c.now + i.offset) }

// join starts a process, in place of a dead one with the same name.
func (c *cluster) join(id spec.InstanceID) {
	c.inc++
	i := &instance{self: Member{id, c.inc}, alive: true, replies: map[WaiterID]func(Reply){}}
	i.offset = c.delay(4*time.Second) - 2*time.Second
	i.core = New(Settings{
		Self: i.self, Born: c.now, Retention: 5 * time.Minute, TakeoverWindow: time.Minute, ClockGuard: 5 * time.Second,
		MaxKeys: 1 << 20, MaxBytes: 1 << 16, MaxAnswer: 1 << 10, MaxWaiters: 8,
	})
	i.core.faults = c.faults
	c.entries[id] = i
	c.setMembers(append(c.without(id), i.self))
	i.core.SetMembers(c.now, c.wall(i), c.members)
}

func (c *cluster) without(id spec.InstanceID) []Member { return without(c.members, id) }

// setMembers lets each instance learn the members after a delay of its own.
func (c *cluster) setMembers(members []Member) {
	c.members = members
	for _, m := range members {
		i := c.entries[m.Instance]
		c.after(c.delay(300*time.Millisecond), func() {
			if i.alive {
				i.core.SetMembers(c.now, c.wall(i), c.members)
			}
		})
	}
}

// call runs at another instance after a delay; lost runs when it is dead.
func (c *cluster) call(to spec.InstanceID, run func(*instance), lost func()) {
	c.after(c.delay(10*time.Millisecond), func() {
		if i := c.entries[to]; i != nil && i.alive {
			run(i)
			return
		}
		lost()
	})
}

func (c *cluster) carryOut(i *instance, effects []Effect) {
	for _, e := range effects {
		if e.Ask != nil {
			pause := time.Duration(0)
			if e.Again {
				pause = retryPause
			}
			c.after(pause, func() { c.ask(i, e) })
			continue
		}
		if to := i.replies[e.Waiter]; to != nil {
			delete(i.replies, e.Waiter)
			c.after(c.delay(10*time.Millisecond), func() { to(e.Reply) })
		}
	}
}

func (c *cluster) ask(i *instance, e Effect) {
	findings := &Findings{Ages: map[spec.InstanceID]time.Duration{}}
	open := len(e.Ask)
	done := func() {
		if open--; open <= 0 && i.alive {
			c.carryOut(i, i.core.Asked(c.now, e.Key, *findings))
		}
	}
	if open == 0 {
		done()
	}
	for _, id := range e.Ask {
		c.call(id, func(to *instance) {
			found, moved, authoritative, effects := to.core.Ask(c.now, c.wall(to), e.Key, i.self)
			c.carryOut(to, effects)
			age := to.core.Age(c.now)
			c.after(c.delay(10*time.Millisecond), func() {
				findings.Ages[id] = age
				findings.Records = append(findings.Records, compact(found)...)
				if moved != "" {
					findings.MovedTo = moved
				}
				if authoritative && found == nil {
					findings.Authoritative = append(findings.Authoritative, id)
				}
				done()
			})
		}, func() {
			findings.Silent = append(findings.Silent, id)
			done()
		})
	}
}

// use is a caller's request with a key at an instance.
func (c *cluster) use(i *instance, key string) {
	if !i.alive {
		return
	}
	i.last++
	u := Use{
		Key: Key{"t", "s", key}, Hash: 1, Limit: 10 * time.Second,
		Executor: Executor{i.self.Instance, i.self.Incarnation, i.last},
	}
	c.register(i, u, i.core.Home(c.now, u.Key), 0)
}

func (c *cluster) register(i *instance, u Use, home spec.InstanceID, hop int) {
	if hop >= maxHops || home == "" || !i.alive {
		return
	}
	i.last++
	u.Executor.Call = i.last
	c.call(home, func(h *instance) {
		h.last++
		u.Waiter = WaiterID(h.last)
		h.replies[u.Waiter] = func(r Reply) { c.replied(i, u, home, hop, r) }
		c.carryOut(h, h.core.Use(c.now, c.wall(h), u))
	}, func() {
		c.after(retryPause, func() {
			if i.alive {
				u.MovedHere = false
				c.register(i, u, i.core.Home(c.now, u.Key), hop+1)
			}
		})
	})
}

func (c *cluster) replied(i *instance, u Use, home spec.InstanceID, hop int, r Reply) {
	if !i.alive {
		return
	}
	if r.Kind == Proceed {
		r = i.core.Executing(c.now, u, home)
		if r.Kind != Proceed {
			c.complete(i, home, Completion{Key: u.Key, Hash: 1, Executor: u.Executor, Outcome: code.NotRun}, 0)
		}
	}
	switch r.Kind {
	case Proceed:
		c.run(i, u, home)
	case Moved:
		u.MovedHere = true
		c.register(i, u, r.Home, hop+1)
	default:
		c.outcomes[Reply{Kind: r.Kind, Code: r.Code}]++
	}
}

// run carries the request out at a target; P6 is checked against the truth.
func (c *cluster) run(i *instance, u Use, home spec.InstanceID) {
	done := Completion{Key: u.Key, Hash: 1, Executor: u.Executor, Outcome: code.NotRun}
	c.outcomes[Reply{Kind: Proceed}]++
	if c.random.IntN(10) > 0 {
		c.runs[u.Key.Key]++
		invariant.Check(c.runs[u.Key.Key] == 1, invariant.AtMostOnce, "key %s has run twice", u.Key.Key)
		done.Outcome = code.Ran
		done.Answer = &Answer{Status: 200, Body: make([]byte, c.random.IntN(2000))}
		if c.random.IntN(10) == 0 {
			done.Outcome, done.Answer = code.Unknown, nil
		}
	}
	c.after(c.delay(2*time.Second), func() {
		if i.alive {
			i.core.Executed(c.now, done)
			c.complete(i, home, done, 0)
		}
	})
}

func (c *cluster) complete(i *instance, home spec.InstanceID, done Completion, try int) {
	again := func(to spec.InstanceID) {
		c.after(retryPause, func() {
			if i.alive && try < 20 {
				c.complete(i, to, done, try+1)
			}
		})
	}
	c.call(home, func(h *instance) {
		next, effects := h.core.Complete(c.now, done)
		c.carryOut(h, effects)
		if next != "" && next != home {
			again(next)
		}
	}, func() { again(i.core.Home(c.now, done.Key)) })
}

// leave removes an instance from the members while its process lives on.
func (c *cluster) leave(i *instance) {
	c.setMembers(c.without(i.self.Instance))
	c.after(c.delay(300*time.Millisecond), func() {
		if i.alive {
			i.core.SetMembers(c.now, c.wall(i), c.members)
		}
	})
	c.after(10*time.Second+c.delay(20*time.Second), func() {
		i.alive = false
		c.join(i.self.Instance)
	})
}

// stop ends an instance, by a crash, after a hand-over or by leaving the
// members, and starts it again.
func (c *cluster) stop(id spec.InstanceID) {
	i := c.entries[id]
	if !i.alive || len(c.members) < 4 || !contains(c.members, id) {
		return
	}
	c.restarts++
	if c.leaves && c.random.IntN(3) == 0 {
		c.leave(i)
		return
	}
	remove := time.Second
	if c.random.IntN(2) == 0 {
		records, effects := i.core.HandOver(c.now)
		c.carryOut(i, effects)
		for _, m := range c.without(id) {
			c.call(m.Instance, func(to *instance) {
				c.carryOut(to, to.core.TakeOver(c.now, c.wall(to), i.self, records[m.Instance], true))
			}, func() {})
		}
		remove = 3 * time.Second
		c.after(2500*time.Millisecond, func() { i.alive = false })
	} else {
		i.alive = false
	}
	c.after(remove, func() { c.setMembers(c.without(id)) })
	c.after(remove+c.delay(20*time.Second), func() { c.join(id) })
}

// newKey returns a UUIDv7 made at an instance's time, or a random key.
func (c *cluster) newKey(i *instance) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], c.random.Uint64())
	binary.BigEndian.PutUint64(id[8:], c.random.Uint64())
	if c.random.IntN(3) == 0 {
		return fmt.Sprintf("key-%x", id[:])
	}
	millis := uint64(c.wall(i).UnixMilli())
	binary.BigEndian.PutUint64(id[:8], millis<<16|0x7000|uint64(id[6]&0x0f)<<8|uint64(id[7]))
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

func (c *cluster) any() *instance {
	return c.entries[spec.InstanceID(fmt.Sprintf("e%d", c.random.IntN(5)))]
}

// drive uses keys several times each while instances stop and start.
func (c *cluster) drive(keys int) {
	for n := range keys {
		c.after(time.Duration(n)*20*time.Millisecond, func() {
			key := c.newKey(c.any())
			for range 1 + c.random.IntN(4) {
				spread := []time.Duration{50 * time.Millisecond, 3 * time.Second, 40 * time.Second}[c.random.IntN(3)]
				c.after(c.delay(spread), func() { c.use(c.any(), key) })
			}
		})
		if n%800 == 799 {
			c.after(time.Duration(n)*20*time.Millisecond, func() { c.stop(c.any().self.Instance) })
		}
		if n%50 == 0 {
			c.after(time.Duration(n)*20*time.Millisecond, func() {
				for k := range 5 {
					i := c.entries[spec.InstanceID(fmt.Sprintf("e%d", k))]
					c.carryOut(i, i.core.Tick(c.now))
				}
			})
		}
	}
	for len(c.events) > 0 {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
}

// Guards against a key that runs twice (P6) over crashes, planned stops and
// joins with delayed messages, views and wrong wall clocks.
func TestRandomRuns(t *testing.T) {
	c := qt.New(t)
	run := newCluster(*seedFlag)
	run.drive(int(*stepsFlag))
	c.Logf("%d restarts, outcomes %v", run.restarts, run.outcomes)
	c.Assert(len(run.runs) > int(*stepsFlag)/2, qt.IsTrue, qt.Commentf("%d keys ran", len(run.runs)))
	c.Assert(run.outcomes[Reply{Kind: Replay}] > 0, qt.IsTrue)
	for id, i := range run.entries {
		c.Assert(i.core.bytes <= 1<<16, qt.IsTrue, qt.Commentf("%s keeps %d bytes", id, i.core.bytes))
	}
}

// Guards against a key that runs twice when instances leave the members while
// their entries live on and vouch for the keys that they knew.
func TestRandomRunsWithDepartures(t *testing.T) {
	c := qt.New(t)
	run := newCluster(*seedFlag)
	run.leaves = true
	run.drive(int(*stepsFlag))
	c.Logf("%d restarts, outcomes %v", run.restarts, run.outcomes)
	c.Assert(len(run.runs) > int(*stepsFlag)/2, qt.IsTrue, qt.Commentf("%d keys ran", len(run.runs)))
}

// Guards against a key that ends as undecidable because its former home has
// left the members, although its entry lives on and knows of no use.
func TestDepartedHomeVouches(t *testing.T) {
	c := qt.New(t)
	run := newCluster(*seedFlag)
	// By then no key can be older than the start of the cluster.
	const settled = 70 * time.Second
	run.after(settled, func() { run.leave(run.entries["e0"]) })
	for n := range 400 {
		run.after(settled+time.Duration(n)*5*time.Millisecond, func() {
			key := run.newKey(run.any())
			run.use(run.entries["e1"], key)
		})
	}
	for run.now < settled+5*time.Second && len(run.events) > 0 {
		next := heap.Pop(&run.events).(event)
		run.now = next.at
		next.run()
	}
	c.Assert(run.outcomes[Reply{Kind: Proceed}], qt.Equals, 400, qt.Commentf("%v", run.outcomes))
}

// Guards against the seeds that once failed, each with its cause.
func TestRegressions(t *testing.T) {
	for _, test := range []struct {
		cause string
		seed  uint64
		keys  int
	}{
		{"a home that had lost a key to another one noted itself as the home again when its own question ended", 424242421, 103_000},
	} {
		t.Run(test.cause, func(t *testing.T) {
			got := violationOf(func() { newCluster(test.seed).drive(test.keys) })
			qt.New(t).Assert(got, qt.Equals, invariant.Promise(""))
		})
	}
}

// violationOf runs until a guarantee is broken and returns it.
func violationOf(run func()) (found invariant.Promise) {
	defer func() {
		if v, ok := recover().(*invariant.Violation); ok {
			found = v.Promise
		}
	}()
	run()
	return ""
}

// Guards against a random run that would not notice a missing rule: without
// the takeover rule, or without the memory of the executors, a key runs twice.
func TestBrokenRulesAreNoticed(t *testing.T) {
	for name, broken := range map[string]faults{
		"takeover rule":          {ignoreTakeover: true},
		"memory of the executor": {ignoreTakeover: true, ignoreLocal: true},
	} {
		t.Run(name, func(t *testing.T) {
			run := &cluster{}
			*run = *newCluster(*seedFlag)
			run.faults = broken
			for _, i := range run.entries {
				i.core.faults = broken
			}
			got := violationOf(func() { run.drive(30_000) })
			qt.New(t).Assert(got, qt.Equals, invariant.AtMostOnce)
		})
	}
}
