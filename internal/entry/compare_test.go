package entry

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"
)

var (
	compareFlag  = flag.Bool("compare", false, "run the comparison with the round-robin baseline")
	scenarioFlag = flag.String("scenario", "", "run only the scenarios whose name contains this")
)

// The parameters of the comparison: 12 targets with 3 slots and a mean service
// time of 20 ms have a capacity of 1800 requests per second.
const (
	compareTargets     = 12
	compareSlots       = 3
	compareServiceTime = 20 * time.Millisecond
	compareRate        = 900
	compareDuration    = 5 * time.Second
	compareEventAt     = 2 * time.Second
	compareInterval    = 100 * time.Millisecond
)

// sample is the result of one request of the open-loop load.
type sample struct {
	due     time.Duration
	latency time.Duration
	ok      bool
	// incomplete is set if the caller received no complete response.
	incomplete bool
}

// loadResult holds the measurements of one run.
type loadResult struct {
	samples    []sample
	load       loadCounts
	duplicates int
	duration   time.Duration
}

// runOpenLoad sends rate requests per second at fixed times, whether or not
// earlier ones were answered. Half of them are non-idempotent. Latency is
// measured from the time at which a request was due.
func (cl *testCluster) runOpenLoad(b *balancer, rate int, timeout string, event func()) *loadResult {
	out := &loadResult{duration: compareDuration}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var wg sync.WaitGroup
	began := time.Now()
	triggered := event == nil
	for n := range int(compareDuration.Seconds() * float64(rate)) {
		due := time.Duration(n) * time.Second / time.Duration(rate)
		time.Sleep(due - time.Since(began))
		if !triggered && due >= compareEventAt {
			triggered = true
			go event()
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			method, id := "POST", fmt.Sprint("p", n)
			if n%2 == 0 {
				method, id = "GET", fmt.Sprint("g", n)
			}
			r := send(client, method, callURL(b.pick(), "x"), id, "", timeoutHeader, timeout)
			out.load.record(r, id+" "+method+" /x ")
			s := sample{due: due, latency: time.Since(began) - due, ok: r.code == "RW0000", incomplete: r.err != nil}
			mu.Lock()
			out.samples = append(out.samples, s)
			mu.Unlock()
		}()
	}
	wg.Wait()
	out.duplicates = cl.duplicatesWithPrefix("p")
	return out
}

// duplicatesWithPrefix returns the number of requests with the prefix that ran
// more than once.
func (cl *testCluster) duplicatesWithPrefix(prefix string) int {
	total := map[string]int{}
	for _, t := range cl.targets {
		t.mu.Lock()
		for id, n := range t.runs {
			total[id] += n
		}
		t.mu.Unlock()
	}
	duplicates := 0
	for id, n := range total {
		if n > 1 && strings.HasPrefix(id, prefix) {
			duplicates++
		}
	}
	return duplicates
}

// quantile returns a latency quantile of the successful requests in
// milliseconds.
func (r *loadResult) quantile(q float64) float64 {
	h := hdrhistogram.New(1, 60_000_000, 3)
	for _, s := range r.samples {
		if s.ok {
			_ = h.RecordValue(s.latency.Microseconds())
		}
	}
	return float64(h.ValueAtQuantile(q)) / 1000
}

// goodput returns the number of successful requests per second.
func (r *loadResult) goodput() float64 {
	return float64(r.load.ok.Load()) / r.duration.Seconds()
}

// recovery returns the time from the event to the end of the last interval in
// which more than 2% of the requests failed or took longer than slowThreshold.
func (r *loadResult) recovery(slowThreshold time.Duration) time.Duration {
	bins := int(compareDuration / compareInterval)
	bad, all := make([]int, bins), make([]int, bins)
	for _, s := range r.samples {
		i := min(int(s.due/compareInterval), bins-1)
		all[i]++
		if !s.ok || s.latency > slowThreshold {
			bad[i]++
		}
	}
	recovered := compareEventAt
	for i := range bins {
		if float64(bad[i]) > 0.02*float64(all[i]) && time.Duration(i)*compareInterval >= compareEventAt {
			recovered = time.Duration(i+1) * compareInterval
		}
	}
	return recovered - compareEventAt
}

// scenario is one disturbance under load.
type scenario struct {
	name    string
	rate    int
	disturb func(cl *testCluster, b *balancer, configure func(*Config))
}

func scenarios() []scenario {
	return []scenario{
		{"steady", compareRate, nil},
		{"peak at 95% of the capacity", 1710, nil},
		{"twice the capacity", 3600, nil},
		{"one slow target", compareRate, func(cl *testCluster, _ *balancer, _ func(*Config)) {
			cl.targets["w000"].delay.Store(int64(20 * compareServiceTime))
		}},
		{"one unresponsive target", compareRate, func(cl *testCluster, _ *balancer, _ func(*Config)) {
			cl.targets["w000"].mode.Store(modeUnresponsive)
		}},
		{"half of the connections unresponsive", compareRate, func(cl *testCluster, _ *balancer, _ func(*Config)) {
			for _, t := range cl.targets {
				t.stallHalf()
			}
		}},
		{"rolling restart of all entries", compareRate, func(cl *testCluster, b *balancer, configure func(*Config)) {
			for i := range 3 {
				if err := cl.restartEntry(b, i, configure); err != nil {
					cl.tb.Error(err)
				}
			}
		}},
		{"a data centre lost", compareRate, func(cl *testCluster, b *balancer, _ func(*Config)) {
			for i := range compareTargets {
				if i%3 == 2 {
					cl.targets[fmt.Sprintf("w%03d", i)].close()
				}
			}
			lost := b.entries[2]
			b.mu.Lock()
			b.entries = b.entries[:2]
			b.mu.Unlock()
			b.refresh()
			lost.stop()
			time.Sleep(time.Second)
			cl.updateView(func() { cl.members = dropMember(cl.members, lost.config.Instance) })
		}},
	}
}

// runScenario runs one scenario in a new test cluster.
func runScenario(t *testing.T, s scenario, baseline bool) *loadResult {
	cl := newTestCluster(t, compareTargets)
	cl.slots = compareSlots
	for _, target := range cl.targets {
		target.delay.Store(int64(compareServiceTime))
		target.exponential.Store(true)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	configure := func(config *Config) { config.Baseline = baseline }
	b := cl.startEntries(ctx, 3, configure)
	waitForKeyTakeover()
	var event func()
	var disturbance sync.WaitGroup
	if s.disturb != nil {
		disturbance.Add(1)
		event = func() {
			defer disturbance.Done()
			s.disturb(cl, b, configure)
		}
	}
	out := cl.runOpenLoad(b, s.rate, "1", event)
	disturbance.Wait()
	for _, e := range b.entries {
		e.stop()
		<-e.done
	}
	return out
}

// Compares the request path with the round-robin baseline in the same run. It
// fails only if the request path returns a wrong body or runs a non-idempotent
// request twice; the other figures are printed.
func TestCompare(t *testing.T) {
	if !*compareFlag {
		t.Skip("needs -compare")
	}
	c := qt.New(t)
	slow := map[bool]time.Duration{}
	for _, s := range scenarios() {
		if !strings.Contains(s.name, *scenarioFlag) {
			continue
		}
		for _, baseline := range []bool{true, false} {
			name := map[bool]string{true: "round robin", false: "redwingvale"}[baseline]
			out := runScenario(t, s, baseline)
			if s.name == "steady" {
				slow[baseline] = time.Duration(3 * out.quantile(99) * float64(time.Millisecond))
			}
			fmt.Printf("%-32s %-12s p50 %6.1f p99 %7.1f p99.9 %7.1f ms goodput %6.0f/s recovery %5.1f s doubled %d %s\n",
				s.name, name, out.quantile(50), out.quantile(99), out.quantile(99.9), out.goodput(),
				out.recovery(max(slow[baseline], 100*time.Millisecond)).Seconds(), out.duplicates, &out.load)
			if !baseline {
				c.Check(out.load.wrongBody.Load(), qt.Equals, int64(0))
				c.Check(out.duplicates, qt.Equals, 0)
			}
		}
	}
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// runRawLoad sends requests over raw connections at a fixed rate. It returns
// the number of successful requests and the processor time used.
func runRawLoad(addr, path string, rate, conns int, duration time.Duration) (good int64, cpu time.Duration) {
	var count atomic.Int64
	var wg sync.WaitGroup
	before := cpuTime()
	began := time.Now()
	for i := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				return
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			request := []byte("POST " + path + " HTTP/1.1\r\nHost: x\r\nX-Id: b\r\nContent-Length: 5\r\n\r\nhello")
			interval := time.Duration(conns) * time.Second / time.Duration(rate)
			for due := interval * time.Duration(i) / time.Duration(conns); due < duration; due += interval {
				time.Sleep(due - time.Since(began))
				if _, err := conn.Write(request); err != nil {
					return
				}
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				if resp.StatusCode == http.StatusOK {
					count.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	return count.Load(), cpuTime() - before
}

// Measures the throughput and the processor time of one entry, as the difference
// between requests through the entry and requests directly to the targets.
func TestThroughput(t *testing.T) {
	if !*compareFlag {
		t.Skip("needs -compare")
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(4))
	const rate, conns, length = 10_500, 64, 5 * time.Second
	cl := newTestCluster(t, 24)
	e := cl.startEntry("a", nil)
	runRawLoad(cl.targets["w000"].addr(), "/x", rate, conns, time.Second)
	direct, directCPU := runRawLoad(cl.targets["w000"].addr(), "/x", rate, conns, length)
	runRawLoad(e.Addr(), "/v1/teams/desk/services/draft/call/x", rate, conns, time.Second)
	through, throughCPU := runRawLoad(e.Addr(), "/v1/teams/desk/services/draft/call/x", rate, conns, length)
	perDirect := directCPU.Seconds() * 1e6 / float64(direct)
	perThrough := throughCPU.Seconds() * 1e6 / float64(through)
	fmt.Printf("direct %.0f/s %.1f µs, through the entry %.0f/s %.1f µs: %.1f µs of processor time for the entry\n",
		float64(direct)/length.Seconds(), perDirect, float64(through)/length.Seconds(), perThrough, perThrough-perDirect)
}
