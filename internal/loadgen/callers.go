// Package loadgen simulates callers: desks that send urgent requests and check
// each response, and teams that submit jobs and track them. It uses only the
// callers' interface of the system.
package loadgen

import (
	"bytes"
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"redwingvale/internal/standin"
)

// Settings of the urgent callers.
const (
	callerTimeout    = 4 * time.Second
	callerTries      = 3
	callerRetry      = 20 * time.Millisecond
	callerConns      = 256
	maxResponseBytes = 1 << 20
)

// Counts holds the number of requests by outcome as seen by the callers.
type Counts struct {
	// Answered requests got a complete response of their own.
	Answered int
	// Wrong requests got a response that is truncated or belongs to another
	// request.
	Wrong int
	// Refused requests certainly did not run.
	Refused int
	// Unknown requests may have run.
	Unknown int
}

// Callers is a set of customers' desks that send urgent requests and check each
// response. A request that certainly did not run is retried through another
// entry.
type Callers struct {
	entries func() []string
	path    string
	client  *http.Client
	next    atomic.Uint64

	mu        sync.Mutex
	latencies []time.Duration
	counts    Counts
	codes     map[string]int
	running   sync.WaitGroup
}

// NewCallers returns callers that send requests to path at one of the entries,
// each a host:port, in turn.
func NewCallers(entries func() []string, path string) *Callers {
	transport := &http.Transport{MaxIdleConnsPerHost: callerConns}
	return &Callers{
		entries: entries,
		path:    path,
		client:  &http.Client{Transport: transport, Timeout: callerTimeout},
		codes:   make(map[string]int),
	}
}

// Run sends perSecond requests a second, evenly spaced, until ctx ends.
func (c *Callers) Run(ctx context.Context, perSecond int) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.running.Add(1)
			go func() {
				defer c.running.Done()
				c.sendWithRetries()
			}()
		}
	}
}

// RunClosedLoop runs a number of concurrent callers until ctx ends. Each sends
// its next request when the previous one has ended, so that the load adapts to
// the speed of the machine.
func (c *Callers) RunClosedLoop(ctx context.Context, callers int) {
	for range callers {
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			for ctx.Err() == nil {
				c.sendWithRetries()
			}
		}()
	}
	<-ctx.Done()
}

func (c *Callers) sendWithRetries() {
	id, err := uuid.NewV7()
	if err != nil {
		return
	}
	began := time.Now()
	outcome := "not_run"
	for try := 0; try < callerTries && outcome == "not_run"; try++ {
		if try > 0 {
			time.Sleep(callerRetry)
		}
		outcome = c.send(id.String())
	}
	c.count(outcome, time.Since(began))
}

// send makes one attempt and returns ran, not_run, unknown or wrong.
func (c *Callers) send(id string) string {
	entries := c.entries()
	if len(entries) == 0 {
		return "not_run"
	}
	entry := entries[int(c.next.Add(1))%len(entries)]
	body := []byte("meter " + id)
	request, err := http.NewRequest(http.MethodPost, "http://"+entry+c.path, bytes.NewReader(body))
	if err != nil {
		return "not_run"
	}
	request.Header.Set("Idempotency-Key", id)
	request.Header.Set(standin.RequestIDHeader, id)
	response, err := c.client.Do(request)
	if err != nil {
		return "unknown"
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return "unknown"
	}
	if response.StatusCode != http.StatusOK {
		c.countCode(response.Header.Get("Redwingvale-Code"))
		return response.Header.Get("Redwingvale-Outcome")
	}
	return checkResponse(id, body, content, response.Header.Get(standin.ChecksumHeader))
}

// checkResponse returns ran if the response is complete and belongs to the
// request, and wrong otherwise.
func checkResponse(id string, body, content []byte, checksum string) string {
	want := append([]byte(id+"\n"), body...)
	sum := strconv.FormatUint(uint64(crc32.ChecksumIEEE(content)), 16)
	if !bytes.Equal(content, want) || sum != checksum {
		return "wrong"
	}
	return "ran"
}

func (c *Callers) count(outcome string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch outcome {
	case "ran":
		c.counts.Answered++
		c.latencies = append(c.latencies, took)
	case "wrong":
		c.counts.Wrong++
	case "not_run":
		c.counts.Refused++
	default:
		c.counts.Unknown++
	}
}

func (c *Callers) countCode(code string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.codes[code]++
}

// Counts returns the counts so far.
func (c *Callers) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// CodeCounts lists how often each result code other than success was returned.
func (c *Callers) CodeCounts() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.codes))
	for name := range c.codes {
		names = append(names, name)
	}
	sort.Strings(names)
	var out strings.Builder
	for _, name := range names {
		fmt.Fprintf(&out, " %s:%d", name, c.codes[name])
	}
	return out.String()
}

// Wait returns when every request has ended.
func (c *Callers) Wait() { c.running.Wait() }

// Quantile returns the latency at quantile q of the answered requests.
func (c *Callers) Quantile(q float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.latencies) == 0 {
		return 0
	}
	sort.Slice(c.latencies, func(i, j int) bool { return c.latencies[i] < c.latencies[j] })
	return c.latencies[int(q*float64(len(c.latencies)-1))]
}

// String summarises the counts so far.
func (c *Callers) String() string {
	n := c.Counts()
	return fmt.Sprintf("answered %d, refused %d, unknown %d, wrong %d", n.Answered, n.Refused, n.Unknown, n.Wrong)
}
