package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"redwingvale/internal/spec"
	"redwingvale/internal/standin"
)

// Job is the JSON body of a submitted job, documented in docs/api.md.
type Job struct {
	Service  string  `json:"service"`
	Class    string  `json:"class"`
	Kind     string  `json:"kind"`
	Tasks    int     `json:"tasks"`
	PerTask  Amount  `json:"per_task"`
	RunTimeS float64 `json:"run_time_s,omitempty"`
	Deadline string  `json:"deadline,omitempty"`
	Restart  string  `json:"restart,omitempty"`
}

// Amount is the resources that one task of a job reserves.
type Amount struct {
	MilliCPU  int64 `json:"milli_cpu"`
	MemoryMiB int64 `json:"memory_mib"`
	Slots     int64 `json:"slots"`
}

const (
	submitTimeout = 3 * time.Second
	submitRetry   = 100 * time.Millisecond
	jobPoll       = 100 * time.Millisecond
)

// Batch submits a team's jobs through the first ready entry and tracks their
// tasks.
type Batch struct {
	team     spec.TeamID
	entries  func() []string
	client   *http.Client
	checker  *standin.Checker
	accepted map[string]Job
	names    []string
}

// NewBatch returns a Batch for a team. Which tasks have ended is taken from the
// workers' records in checker.
func NewBatch(team spec.TeamID, entries func() []string, checker *standin.Checker) *Batch {
	return &Batch{
		team:     team,
		entries:  entries,
		client:   &http.Client{Timeout: submitTimeout},
		checker:  checker,
		accepted: make(map[string]Job),
	}
}

// Submit retries the submission of a job until it is accepted or ctx ends. The
// job's id makes the submission idempotent.
func (b *Batch) Submit(ctx context.Context, name string, job Job) error {
	content, err := json.Marshal(job)
	if err != nil {
		return errors.Wrap(err, "encode job")
	}
	for {
		status := b.submitOnce(name, content)
		if status >= 200 && status < 300 {
			b.accepted[name] = job
			b.names = append(b.names, name)
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("job %s was not accepted: last status %d", name, status)
		case <-time.After(submitRetry):
		}
	}
}

func (b *Batch) submitOnce(name string, content []byte) int {
	entries := b.entries()
	if len(entries) == 0 {
		return 0
	}
	url := "http://" + entries[0] + "/v1/teams/" + string(b.team) + "/jobs/" + name
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(content))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := b.client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Missing returns the number of tasks of accepted jobs that, according to the
// workers' records, are not in the expected state: finished for deadline jobs,
// running for long-running ones.
func (b *Batch) Missing() int {
	missing := 0
	for _, name := range b.names {
		job := b.accepted[name]
		if job.Class == "long_running" {
			missing += job.Tasks - b.checker.RunningTasks(b.team, name)
			continue
		}
		missing += job.Tasks - b.checker.FinishedTasks(b.team, name)
	}
	return missing
}

// Await waits until no task is missing or ctx ends, and returns the number of
// missing tasks.
func (b *Batch) Await(ctx context.Context) int {
	for {
		missing := b.Missing()
		if missing == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return missing
		case <-time.After(jobPoll):
		}
	}
}

// maxReasons bounds the lines of ExplainMissing.
const maxReasons = 8

// ExplainMissing returns the state of tasks that have not ended, with the
// scheduler's reasons.
func (b *Batch) ExplainMissing() []string {
	var out []string
	for _, name := range b.names {
		for _, task := range b.tasks(name) {
			ended := task.State == "ended" || (task.State == "running" && b.accepted[name].Class == "long_running")
			if !ended && len(out) < maxReasons {
				out = append(out, fmt.Sprintf("%s#%d %s attempt %d: %s", name, task.Index, task.State, task.Attempt, strings.Join(task.Reasons, "; ")))
			}
		}
	}
	return out
}

type taskState struct {
	Index   int      `json:"index"`
	State   string   `json:"state"`
	Attempt int      `json:"attempt"`
	Reasons []string `json:"reasons"`
}

func (b *Batch) tasks(name string) []taskState {
	entries := b.entries()
	if len(entries) == 0 {
		return nil
	}
	response, err := b.client.Get("http://" + entries[0] + "/v1/teams/" + string(b.team) + "/jobs/" + name)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var job struct {
		Tasks []taskState `json:"tasks"`
	}
	if json.NewDecoder(response.Body).Decode(&job) != nil {
		return nil
	}
	return job.Tasks
}
