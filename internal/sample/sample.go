// Package sample runs a short sample day on a local cluster: urgent requests,
// month-end batch, watchers, a noisy neighbour, a worker that fails every task,
// the kill of an instance and a log outage. The result is computed from what
// the workers and the callers recorded.
package sample

import (
	"context"
	"embed"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"redwingvale/internal/invariant"
	"redwingvale/internal/loadgen"
	"redwingvale/internal/local"
	"redwingvale/internal/spec"
	"redwingvale/internal/standin"
)

//go:embed documents/*.toml
var documents embed.FS

// Times and loads of the day.
const (
	team         = "kagoshima-billing"
	startTimeout = 15 * time.Second
	dayLength    = 10 * time.Second
	// endTimeout bounds the wait for the last job. It expires only when a job
	// was lost, so it is generous enough for a busy machine.
	endTimeout      = 90 * time.Second
	steadyLoad      = 200
	surgeLoad       = 2000
	surgeLength     = 1500 * time.Millisecond
	serviceTimeMS   = 15
	lateTasks       = 40
	outageLength    = 2 * time.Second
	monthEndTasks   = 30
	noisyTasks      = 4
	watcherTasks    = 3
	unhealthyWorker = spec.WorkerID("w011")
)

// Result holds the figures of one sample day.
type Result struct {
	Violations int
	Lost       int
	Doubled    int
	Evictions  int
	Refused    int
	Unknown    int
	Answered   int
	UrgentP50  time.Duration
	UrgentP99  time.Duration
}

// Passed reports whether no guarantee was violated, nothing was lost and nothing
// ran more often than allowed.
func (r Result) Passed() bool { return r.Violations == 0 && r.Lost == 0 && r.Doubled == 0 }

// Line returns the result as one line of key=value pairs.
func (r Result) Line() string {
	return fmt.Sprintf("violations=%d lost=%d doubled=%d evictions=%d urgent_p99_ms=%.1f urgent_p50_ms=%.1f answered=%d refused=%d unknown=%d",
		r.Violations, r.Lost, r.Doubled, r.Evictions,
		milliseconds(r.UrgentP99), milliseconds(r.UrgentP50), r.Answered, r.Refused, r.Unknown)
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// day is one run of the sample.
type day struct {
	out     io.Writer
	began   time.Time
	cluster *local.Cluster
	callers *loadgen.Callers
	batch   *loadgen.Batch
}

// Run runs the sample day and writes its progress to out and the log lines of
// the instances to log.
func Run(ctx context.Context, out, log io.Writer) (Result, error) {
	options := local.DefaultOptions()
	options.Log = log
	options.Platform.ServiceTimeMS = serviceTimeMS
	cluster, err := local.Start(ctx, options)
	if err != nil {
		return Result{}, err
	}
	defer cluster.Stop()
	d := &day{
		out:     out,
		began:   time.Now(),
		cluster: cluster,
		callers: loadgen.NewCallers(cluster.ReadyEntries, "/v1/teams/SNK-2207/services/meter-reads/call/read"),
		batch:   loadgen.NewBatch(team, cluster.ReadyEntries, cluster.Platform.Checker),
	}
	if err := d.prepare(ctx); err != nil {
		return Result{}, err
	}
	if err := d.runIncidents(ctx); err != nil {
		return Result{}, err
	}
	return d.collectResult(ctx), nil
}

func (d *day) printProgress(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.2fs  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// prepare waits until the cluster is ready, publishes the documents and makes one
// worker unhealthy.
func (d *day) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.cluster.AwaitReady(ctx); err != nil {
		return err
	}
	d.printProgress("%d instances ready, every worker group has an owner", len(d.cluster.Instances()))
	if err := ApplyDocuments(ctx, d.cluster); err != nil {
		return err
	}
	d.printProgress("documents are in force on every instance")
	return d.cluster.Platform.SetWorkerFaults(unhealthyWorker, standin.WorkerFaults{FailEverything: true})
}

// ApplyDocuments publishes the sample's documents and waits until they are in
// force on every instance.
func ApplyDocuments(ctx context.Context, cluster *local.Cluster) error {
	files, err := documents.ReadDir("documents")
	if err != nil {
		return errors.Wrap(err, "list the sample's documents")
	}
	for _, file := range files {
		text, err := documents.ReadFile("documents/" + file.Name())
		if err != nil {
			return errors.Wrap(err, "read a sample document")
		}
		if err := cluster.Apply(ctx, text, "sample"); err != nil {
			return err
		}
	}
	return nil
}

// runIncidents submits the jobs and runs the day's incidents in order, under a
// steady load of urgent requests.
func (d *day) runIncidents(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, dayLength)
	defer cancel()
	go d.callers.Run(ctx, steadyLoad)
	if err := d.submitJobs(ctx); err != nil {
		return err
	}
	for _, next := range d.incidents() {
		if !wait(ctx, next.after) {
			break
		}
		next.run(ctx)
	}
	<-ctx.Done()
	return nil
}

type incident struct {
	after time.Duration
	run   func(context.Context)
}

// incidents returns the day's incidents, each with the delay before it.
func (d *day) incidents() []incident {
	return []incident{
		{time.Second, d.killInstance},
		{2500 * time.Millisecond, d.startOutage},
		{outageLength, d.endOutage},
		{200 * time.Millisecond, d.submitLateRun},
		{700 * time.Millisecond, d.surge},
	}
}

func (d *day) submitJobs(ctx context.Context) error {
	deadline := time.Now().Add(dayLength).UTC().Format(time.RFC3339)
	jobs := []struct {
		name string
		body loadgen.Job
	}{
		{"watchers", loadgen.Job{Service: "ledger-watch", Class: "long_running", Kind: "watcher", Tasks: watcherTasks,
			PerTask: loadgen.Amount{MilliCPU: 500, MemoryMiB: 1024, Slots: 1}, Restart: "from_start"}},
		{"month-end", loadgen.Job{Service: "tariff-invoices", Class: "deadline", Kind: "month-end", Tasks: monthEndTasks,
			PerTask: loadgen.Amount{MilliCPU: 4000, MemoryMiB: 8192, Slots: 2}, RunTimeS: 1, Deadline: deadline}},
		{"noisy", loadgen.Job{Service: "tariff-invoices", Class: "deadline", Kind: standin.NoisyKind, Tasks: noisyTasks,
			PerTask: loadgen.Amount{MilliCPU: 2000, MemoryMiB: 4096, Slots: 1}, RunTimeS: 5, Restart: "from_start"}},
	}
	for _, job := range jobs {
		if err := d.batch.Submit(ctx, job.name, job.body); err != nil {
			return err
		}
		d.printProgress("job %s accepted: %d tasks", job.name, job.body.Tasks)
	}
	return nil
}

// submitLateRun fills the workers with batch tasks, so that the following surge
// needs slots that these tasks hold.
func (d *day) submitLateRun(ctx context.Context) {
	deadline := time.Now().Add(dayLength).UTC().Format(time.RFC3339)
	job := loadgen.Job{Service: "tariff-invoices", Class: "deadline", Kind: "month-end", Tasks: lateTasks,
		PerTask: loadgen.Amount{MilliCPU: 4000, MemoryMiB: 8192, Slots: 2}, RunTimeS: 1.5, Deadline: deadline}
	if err := d.batch.Submit(ctx, "late-run", job); err != nil {
		d.printProgress("late run not accepted: %v", err)
		return
	}
	d.printProgress("job late-run accepted: %d tasks", lateTasks)
}

func (d *day) killInstance(context.Context) {
	victim := d.cluster.Instances()[1]
	victim.Kill()
	d.printProgress("instance %s killed; %s", victim.Name, d.callers)
}

func (d *day) startOutage(context.Context) {
	d.cluster.Platform.Log.SetFaults(standin.LogFaults{Down: true})
	d.printProgress("log service down; %s", d.callers)
}

func (d *day) endOutage(context.Context) {
	d.cluster.Platform.Log.SetFaults(standin.LogFaults{})
	d.printProgress("log service up again; %s", d.callers)
}

func (d *day) surge(ctx context.Context) {
	d.printProgress("surge to %d urgent requests a second", surgeLoad)
	limited, cancel := context.WithTimeout(ctx, surgeLength)
	defer cancel()
	d.callers.Run(limited, surgeLoad)
	d.printProgress("surge over; %s", d.callers)
}

// collectResult waits until the requests and jobs have ended, and returns the
// result.
func (d *day) collectResult(ctx context.Context) Result {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	d.callers.Wait()
	lost := d.batch.Await(ctx)
	counts := d.callers.Counts()
	counters := d.cluster.Platform.Checker.Counters()
	d.printProgress("end of the day; %s", d.callers)
	d.printProgress("result codes of refused and unknown tries:%s", d.callers.CodeCounts())
	d.printProgress("workers: %d starts, %d tasks done, %d failed attempts, %d evictions, %d lapsed leases",
		counters.Starts, counters.Done, counters.Failed, counters.Evictions, counters.LapsedLeases)
	if lost > 0 {
		for _, line := range d.batch.ExplainMissing() {
			d.printProgress("not ended: %s", line)
		}
	}
	for _, violation := range counters.Violations {
		d.printProgress("violation: %s", violation)
	}
	return Result{
		Violations: len(counters.Violations) + counts.Wrong + int(invariant.Violations()),
		Lost:       lost,
		Doubled:    counters.Doubled,
		Evictions:  counters.Evictions,
		Refused:    counts.Refused,
		Unknown:    counts.Unknown,
		Answered:   counts.Answered,
		UrgentP50:  d.callers.Quantile(0.5),
		UrgentP99:  d.callers.Quantile(0.99),
	}
}

// wait waits for d and reports whether ctx has not ended before.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
