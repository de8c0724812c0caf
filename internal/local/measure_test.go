package local_test

import (
	"bytes"
	"context"
	"flag"
	"io"
	"net/http"
	"sort"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"redwingvale/internal/local"
)

var measure = flag.Bool("measure", false, "run the measurements, which take longer and have no verdict but correctness")

const pairedRequests = 4000

// TestAddedLatency measures what the entry adds to an urgent request: each
// round sends one request to a target itself, one through an entry, and one
// through an entry with an idempotency key. It guards against an entry that
// fails requests under this load; the figures are printed.
func TestAddedLatency(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	options := local.DefaultOptions()
	options.Platform.ServiceTimeMS = 1
	c, cluster, _ := startClusterWith(t, options)
	direct := "http://" + cluster.Platform.Worker("w000").Spec().TargetAddr + "/read"
	through := "http://" + cluster.Instances()[0].Entry.Addr() + urgentPath
	var times [3][]time.Duration
	client := &http.Client{Timeout: 5 * time.Second}
	for range pairedRequests {
		times[0] = append(times[0], timedPost(c, client, direct, ""))
		times[1] = append(times[1], timedPost(c, client, through, ""))
		times[2] = append(times[2], timedPost(c, client, through, uuid.Must(uuid.NewV7()).String()))
	}
	for i, name := range []string{"direct", "through an entry", "with a key"} {
		sort.Slice(times[i], func(a, b int) bool { return times[i][a] < times[i][b] })
		t.Logf("%s: p50=%v p99=%v", name, times[i][pairedRequests/2], times[i][pairedRequests*99/100])
	}
	t.Logf("added: p50=%v p99=%v; with a key p50=%v p99=%v",
		times[1][pairedRequests/2]-times[0][pairedRequests/2], times[1][pairedRequests*99/100]-times[0][pairedRequests*99/100],
		times[2][pairedRequests/2]-times[0][pairedRequests/2], times[2][pairedRequests*99/100]-times[0][pairedRequests*99/100])
}

func timedPost(c *qt.C, client *http.Client, url, key string) time.Duration {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte("meter 4711")))
	c.Assert(err, qt.IsNil)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	began := time.Now()
	answer, err := client.Do(request)
	c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, answer.Body)
	c.Assert(err, qt.IsNil)
	took := time.Since(began)
	c.Assert(answer.Body.Close(), qt.IsNil)
	c.Assert(answer.StatusCode, qt.Equals, http.StatusOK)
	return took
}

// TestTakeoverTime measures the time from the death of an instance to the
// first urgent request that starts on a worker of its groups. It guards
// against a takeover that is slower than the 4.2 s of urgent work.
func TestTakeoverTime(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	var took []time.Duration
	for range 7 {
		took = append(took, takeover(t))
	}
	sort.Slice(took, func(a, b int) bool { return took[a] < took[b] })
	t.Logf("takeover: median=%v worst=%v of %d", took[len(took)/2], took[len(took)-1], len(took))
	qt.Assert(t, took[len(took)-1] <= takeoverBound, qt.IsTrue)
}

// takeover kills one of three instances and returns the time until another
// one has the right to decide about each of its groups.
func takeover(t *testing.T) time.Duration {
	c, cluster, ctx := startCluster(t)
	defer cluster.Stop()
	survivors := cluster.Instances()[:2]
	victim := cluster.Instances()[2]
	lost := decided(ctx, c, victim)
	c.Assert(len(lost) > 0, qt.IsTrue)
	victim.Kill()
	began := time.Now()
	for {
		now := append(decided(ctx, c, survivors[0]), decided(ctx, c, survivors[1])...)
		if containsAll(now, lost) {
			return time.Since(began)
		}
		c.Assert(ctx.Err(), qt.IsNil)
		time.Sleep(5 * time.Millisecond)
	}
}

// decided lists the groups about which an instance has the right to decide.
func decided(ctx context.Context, c *qt.C, instance *local.Instance) []string {
	status, err := instance.Sched.Status(ctx)
	c.Assert(err, qt.IsNil)
	var out []string
	for _, g := range status.GetGroups() {
		if g.GetDeciding() {
			out = append(out, g.GetGroup())
		}
	}
	return out
}

func containsAll(have, want []string) bool {
	set := make(map[string]bool)
	for _, h := range have {
		set[h] = true
	}
	for _, w := range want {
		if !set[w] {
			return false
		}
	}
	return true
}
