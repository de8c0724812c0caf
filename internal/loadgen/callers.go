// Package loadgen plays callers: desks that send urgent requests and check each
// answer, and teams that submit jobs and follow them. It knows the system only
// by the callers' interface.
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
	callerTimeout  = 4 * time.Second
	callerTries    = 3
	callerRetry    = 20 * time.Millisecond
	callerConns    = 256
	maxAnswerBytes = 1 << 20
)

// Counts is how requests ended as their callers saw it.
type Counts struct {
	// Answered requests got a whole answer to themselves.
	Answered int
	// Wrong requests got an answer that is cut or belongs to another request.
	Wrong int
	// Refused requests surely did not run.
	Refused int
	// Unknown requests may have run.
	Unknown int
}

// Callers is a set of customers' desks that send urgent requests and check
// each answer. A request that surely did not run is sent again through
// another entry.
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
				c.request()
			}()
		}
	}
}

// RunSteady keeps a number of requests under way until ctx ends: each caller
// sends its next request when the last one is answered, so that the load
// follows the speed of the machine.
func (c *Callers) RunSteady(ctx context.Context, callers int) {
	for range callers {
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			for ctx.Err() == nil {
				c.request()
			}
		}()
	}
	<-ctx.Done()
}

func (c *Callers) request() {
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

// send makes one try and returns ran, not_run, unknown or wrong.
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
	answer, err := c.client.Do(request)
	if err != nil {
		return "unknown"
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return "unknown"
	}
	if answer.StatusCode != http.StatusOK {
		c.countCode(answer.Header.Get("Redwingvale-Code"))
		return answer.Header.Get("Redwingvale-Outcome")
	}
	return judge(id, body, content, answer.Header.Get(standin.ChecksumHeader))
}

// judge tells whether the answer is whole and belongs to the request.
func judge(id string, body, content []byte, checksum string) string {
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

// CodeCounts lists how often each result code other than success was seen.
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

// Quantile returns the latency below which the share q of answers lies.
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
