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

var measure = flag.Bool("measure", false, "run the measurements, which take longer and mainly print figures")

const pairedRequests = 4000

// TestAddedLatency measures the latency that an entry adds to an urgent request:
// each round sends one request directly to a target, one through an entry, and
// one through an entry with an idempotency key. It guards against an entry that
// fails requests under this load; the figures are only printed.
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
	response, err := client.Do(request)
	c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, response.Body)
	c.Assert(err, qt.IsNil)
	took := time.Since(began)
	c.Assert(response.Body.Close(), qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	return took
}

// TestTakeoverTime measures the time from the kill of an instance until the
// other instances may decide about all of its groups. It guards against a
// takeover slower than the bound of 4.2 s for urgent requests.
func TestTakeoverTime(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	var took []time.Duration
	for range 7 {
		took = append(took, measureTakeover(t))
	}
	sort.Slice(took, func(a, b int) bool { return took[a] < took[b] })
	t.Logf("takeover: median=%v worst=%v of %d", took[len(took)/2], took[len(took)-1], len(took))
	qt.Assert(t, took[len(took)-1] <= takeoverBound, qt.IsTrue)
}

// measureTakeover kills one of three instances and returns the time until, for
// each of its groups, another instance has the right to decide.
func measureTakeover(t *testing.T) time.Duration {
	c, cluster, ctx := startCluster(t)
	defer cluster.Stop()
	survivors := cluster.Instances()[:2]
	victim := cluster.Instances()[2]
	lost := decidingGroups(ctx, c, victim)
	c.Assert(len(lost) > 0, qt.IsTrue)
	victim.Kill()
	began := time.Now()
	for {
		now := append(decidingGroups(ctx, c, survivors[0]), decidingGroups(ctx, c, survivors[1])...)
		if containsAll(now, lost) {
			return time.Since(began)
		}
		c.Assert(ctx.Err(), qt.IsNil)
		time.Sleep(5 * time.Millisecond)
	}
}

// decidingGroups lists the groups that an instance has the right to decide
// about.
func decidingGroups(ctx context.Context, c *qt.C, instance *local.Instance) []string {
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
