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

// Job is the JSON body of a submitted job, as docs/api.md describes it.
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

// Amount is what one task of a job reserves.
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

// Batch submits jobs and follows them through any ready entry.
type Batch struct {
	team     spec.TeamID
	entries  func() []string
	client   *http.Client
	truth    *standin.Truth
	accepted map[string]Job
	order    []string
}

// NewBatch returns a team's batch work. The workers' own records, truth, tell
// what has ended.
func NewBatch(team spec.TeamID, entries func() []string, truth *standin.Truth) *Batch {
	return &Batch{
		team:     team,
		entries:  entries,
		client:   &http.Client{Timeout: submitTimeout},
		truth:    truth,
		accepted: make(map[string]Job),
	}
}

// Submit repeats the submission of a job until it is accepted or ctx ends. The
// job's id makes a repeat harmless.
func (b *Batch) Submit(ctx context.Context, name string, job Job) error {
	content, err := json.Marshal(job)
	if err != nil {
		return errors.Wrap(err, "encode job")
	}
	for {
		status := b.put(name, content)
		if status >= 200 && status < 300 {
			b.accepted[name] = job
			b.order = append(b.order, name)
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("job %s was not accepted: last status %d", name, status)
		case <-time.After(submitRetry):
		}
	}
}

func (b *Batch) put(name string, content []byte) int {
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
	answer, err := b.client.Do(request)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

// Missing returns the number of tasks of accepted jobs that have not ended as
// they should: finished for deadline jobs, running for long-running ones. The
// workers' own records decide.
func (b *Batch) Missing() int {
	missing := 0
	for _, name := range b.order {
		job := b.accepted[name]
		if job.Class == "long_running" {
			missing += job.Tasks - b.truth.RunningTasks(b.team, name)
			continue
		}
		missing += job.Tasks - b.truth.FinishedTasks(b.team, name)
	}
	return missing
}

// Await waits until nothing is missing or ctx ends, and returns what is
// missing then.
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
// reasons that the scheduler gives.
func (b *Batch) ExplainMissing() []string {
	var out []string
	for _, name := range b.order {
		for _, task := range b.tasks(name) {
			ended := task.State == "ended" || (task.State == "running" && b.accepted[name].Class == "long_running")
			if !ended && len(out) < maxReasons {
				out = append(out, fmt.Sprintf("%s#%d %s attempt %d: %s", name, task.Index, task.State, task.Attempt, strings.Join(task.Reasons, "; ")))
			}
		}
	}
	return out
}

type taskAnswer struct {
	Index   int      `json:"index"`
	State   string   `json:"state"`
	Attempt int      `json:"attempt"`
	Reasons []string `json:"reasons"`
}

func (b *Batch) tasks(name string) []taskAnswer {
	entries := b.entries()
	if len(entries) == 0 {
		return nil
	}
	answer, err := b.client.Get("http://" + entries[0] + "/v1/teams/" + string(b.team) + "/jobs/" + name)
	if err != nil {
		return nil
	}
	defer func() { _ = answer.Body.Close() }()
	var job struct {
		Tasks []taskAnswer `json:"tasks"`
	}
	if json.NewDecoder(answer.Body).Decode(&job) != nil {
		return nil
	}
	return job.Tasks
}
