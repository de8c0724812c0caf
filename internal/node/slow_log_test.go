package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
	"redwingvale/internal/jobs"
)

// troubledLog is a log whose appends are answered late, never or refused. An append
// that is answered late or never takes effect at once.
type troubledLog struct {
	Log
	mu sync.Mutex
	// trouble decides about an append; nil for none.
	trouble func(Append) appendTrouble
	appends []Append
}

type appendTrouble struct {
	refused, silent bool
	delay           time.Duration
}

func (l *troubledLog) set(trouble func(Append) appendTrouble) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trouble, l.appends = trouble, nil
}

// sent returns the appends since the last call of set that hold a submission.
func (l *troubledLog) sent() (out []Append) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.appends {
		for _, r := range a.Records {
			if jobs.SubmissionID(r) != "" {
				out = append(out, a)
				break
			}
		}
	}
	return out
}

// written returns the leader's appends since the last call of set.
func (l *troubledLog) written() []Append {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.appends), func(a Append) bool { return a.Writer == nil })
}

// keysOf returns the keys of the records of appends.
func keysOf(appends []Append) (out [][]string) {
	for _, a := range appends {
		var keys []string
		for _, r := range a.Records {
			keys = append(keys, r.Key)
		}
		out = append(out, keys)
	}
	return out
}

func (l *troubledLog) Append(ctx context.Context, a Append) (int64, error) {
	l.mu.Lock()
	var t appendTrouble
	if l.trouble != nil {
		t = l.trouble(a)
	}
	l.appends = append(l.appends, a)
	l.mu.Unlock()
	if t.refused {
		return 0, ErrUnavailable
	}
	offset, err := l.Log.Append(ctx, a)
	if t.silent {
		<-ctx.Done()
	}
	pause(ctx, t.delay)
	if ctx.Err() != nil {
		return 0, ErrUnknown
	}
	return offset, err
}

// withTrouble starts instances on troubled logs and waits until the first one leads.
func withTrouble(t *testing.T, names ...string) (instances []*instance, logs []*troubledLog) {
	t.Helper()
	log, manifest, workers := newMemoryLog(), &fixedManifest{version: 1}, newInstantWorkers()
	log.wrap = func(l Log) Log {
		logs = append(logs, &troubledLog{Log: l})
		return logs[len(logs)-1]
	}
	for i, name := range names {
		config := DefaultConfig()
		config.CPUShare = 1 / float64(1+i)
		in := startInstanceWith(t, name, log, manifest, workers, config)
		instances = append(instances, in)
		waitFor(t, "the instance is ready and the first one leads", func() bool { return in.Ready() && instances[0].isLeader() })
	}
	return instances, logs
}

// Guards against a leader that gives its append up and repeats it while the log is
// only slow, which makes the log slower still: once it has measured the log, it
// sends each append once. An append without a response is repeated as the same one.
func TestSlowAppendIsSentOnce(t *testing.T) {
	c := qt.New(t)
	instances, logs := withTrouble(t, "n")
	in, log := instances[0], logs[0]
	late := func(Append) appendTrouble { return appendTrouble{delay: 600 * time.Millisecond} }
	var once sync.Once
	log.set(func(a Append) (t appendTrouble) {
		t = late(a)
		if a.Writer != nil {
			once.Do(func() { t = appendTrouble{silent: true} })
		}
		return t
	})
	c.Assert(submitOne(in, "a000000000000001", job(1)), qt.Equals, code.OK)
	// The leader may have another record to write before the submission: the first
	// append that it sends is the one without a response.
	first := log.written()
	c.Assert(len(first) > 1, qt.IsTrue)
	c.Assert(*first[1].Writer, qt.Equals, *first[0].Writer, qt.Commentf("appends: %v", keysOf(first)))
	for _, a := range log.sent() {
		c.Assert(*a.Writer, qt.Equals, *log.sent()[0].Writer)
	}
	log.set(late)
	c.Assert(submitOne(in, "a000000000000002", job(1)), qt.Equals, code.OK)
	c.Assert(log.sent(), qt.HasLen, 1)
	c.Assert(in.isLeader(), qt.IsTrue)
}

// Guards against appends of all instances that take the log's time from the leader's
// append: while heartbeats arrive, submissions wait for the leader.
func TestSubmissionsWaitForLivingLeader(t *testing.T) {
	c := qt.New(t)
	instances, logs := withTrouble(t, "leader", "follower")
	for _, l := range logs {
		l.set(func(Append) appendTrouble { return appendTrouble{delay: 1300 * time.Millisecond} })
	}
	results := make(chan code.Code, 8)
	for i := range cap(results) {
		go func() { results <- submitOne(instances[1], jobs.ID(fmt.Sprintf("a%015d", i)), job(1)) }()
	}
	for range cap(results) {
		c.Check(<-results, qt.Equals, code.OK)
	}
	c.Assert(logs[1].sent(), qt.HasLen, 0)
}

// silentProxy is a proxy of an address. The connections that are opened while silent
// is above 0 receive nothing.
type silentProxy struct {
	listener net.Listener
	silent   atomic.Int32
}

func newSilentProxy(t *testing.T, target func() string) *silentProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.New(t).Assert(err, qt.IsNil)
	p := &silentProxy{listener: listener}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			if p.silent.Load() > 0 {
				p.silent.Add(-1)
				go func() { _, _ = io.Copy(io.Discard, in) }()
				continue
			}
			out, err := net.Dial("tcp", target())
			if err != nil {
				in.Close()
				continue
			}
			for _, pair := range [][2]net.Conn{{in, out}, {out, in}} {
				go func() {
					_, _ = io.Copy(pair[0], pair[1])
					pair[0].Close()
				}()
			}
		}
	}()
	return p
}

// Guards against a submission that waits for a connection to a living leader which
// stays silent permanently.
func TestSilentConnectionDoesNotHoldSubmission(t *testing.T) {
	c := qt.New(t)
	log, manifest, workers := newMemoryLog(), &fixedManifest{version: 1}, newInstantWorkers()
	var leader *instance
	proxy := newSilentProxy(t, func() string { return leader.config.PeerAddr })
	config := DefaultConfig()
	config.CPUShare, config.PeerAdvertisedAddr = 1, proxy.listener.Addr().String()
	leader = startInstanceWith(t, "leader", log, manifest, workers, config)
	waitFor(t, "the instance leads", func() bool { return leader.Ready() && leader.isLeader() })
	follower := startInstance(t, "follower", log, manifest, workers)
	waitFor(t, "the other instance is ready", follower.Ready)
	proxy.silent.Store(1)
	start := time.Now()
	c.Assert(submitOne(follower, "a000000000000001", job(1)), qt.Equals, code.OK)
	c.Assert(proxy.silent.Load(), qt.Equals, int32(0))
	c.Assert(time.Since(start) >= peerTimeout, qt.IsTrue)
	c.Assert(follower.isLeader(), qt.IsFalse)
}
