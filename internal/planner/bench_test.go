package planner

import (
	"fmt"
	"testing"

	"redwingvale/internal/jobs"
)

// newSiteSimulation returns a simulation of the size of a real site: workers of
// 32 and 48 cores that are mostly reserved by serving tasks. The batch jobs of
// submitLoad use the rest.
func newSiteSimulation(seed uint64, workers int) *simulation {
	sim := newSimulation(seed, faultRates{})
	sim.workers = nil
	for i := range workers {
		cores := 32_000
		if i%3 == 0 {
			cores = 48_000
		}
		sim.workers = append(sim.workers, &fakeWorker{
			sim: sim, clockRate: 1, clockStartMS: sim.now - 5000, startedMS: sim.now - 5000,
			runs: map[jobs.Task]*fakeRun{}, highestRun: map[jobs.Task]int{}, endedAt: map[int64]int64{},
			info: WorkerInfo{
				ID: WorkerID(fmt.Sprintf("w%03d", i)), Address: fmt.Sprint(i), Service: "s",
				Capacity: Resources{CPUMilli: cores, MemoryMB: 125_000}, Labels: []string{"a", fmt.Sprintf("r%d", i/8)},
				StartedMS: sim.now - 5000,
			},
		})
	}
	sim.step(sim.leader, WorkersChanged{Workers: sim.directory()})
	for i := range workers * 3 / 4 {
		sim.addJob(fmt.Sprintf("watch%011d", i), &jobs.Job{Queue: "watch", Steps: []jobs.Step{{
			Count: 6, CPUMilli: 6400, MemoryMB: 13_000, EstimateMS: 300, LongRunning: true,
			Image: fmt.Sprint("serve", i%5), TailTargetMS: 18_000,
		}}})
	}
	sim.run(sim.now + 3000)
	return sim
}

func (sim *simulation) addJob(id string, job *jobs.Job) {
	job.Payload = id
	sim.jobs[jobs.ID(id)] = &submittedJob{job: job}
	sim.ids = append(sim.ids, jobs.ID(id))
	sim.submit(jobs.ID(id))
}

// submitLoad submits batch jobs at a rate per second for some seconds.
func (sim *simulation) submitLoad(perSecond float64, seconds int) {
	for i := range int(perSecond * float64(seconds)) {
		sim.at(int64(float64(i)*1000/perSecond), func() {
			job := &jobs.Job{Queue: "batch"}
			for s := range 2 {
				step := jobs.Step{Count: 8, CPUMilli: 3500, MemoryMB: 6400, EstimateMS: 2200, Checkpointing: true, BestEffort: true, Image: fmt.Sprint("fill", i%9)}
				if s > 0 {
					step.After = []int{s - 1}
				}
				job.Steps = append(job.Steps, step)
			}
			sim.addJob(fmt.Sprintf("batch%011d", i), job)
		})
	}
}

// BenchmarkSite simulates ten seconds of a site's load; the time per operation
// includes both the planner and the fakes.
func BenchmarkSite(b *testing.B) {
	for _, workers := range []int{48, 490, 1100} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			for b.Loop() {
				sim := newSiteSimulation(1, workers)
				sim.submitLoad(6*float64(workers)/48, 10)
				sim.run(sim.now + 10_000)
				if len(sim.violations) > 0 {
					b.Fatal(sim.violations)
				}
				b.ReportMetric(float64(sim.starts), "starts")
				b.ReportMetric(sim.plannerTime.Seconds()/(float64(sim.now-1_000_000)/1000), "cores")
			}
		})
	}
}

// BenchmarkBacklog simulates ten seconds of twice the load that the workers can
// handle; the relevant result is the planner's own processor time, in cores.
func BenchmarkBacklog(b *testing.B) {
	for _, workers := range []int{48, 350, 1100} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			for b.Loop() {
				sim := newSiteSimulation(1, workers)
				before, startMS := sim.plannerTime, sim.now
				sim.submitLoad(16*float64(workers)/48, 10)
				sim.run(sim.now + 10_000)
				if len(sim.violations) > 0 {
					b.Fatal(sim.violations)
				}
				b.ReportMetric((sim.plannerTime-before).Seconds()/(float64(sim.now-startMS)/1000), "cores")
				b.ReportMetric(float64(sim.starts), "starts")
			}
		})
	}
}

// BenchmarkCostOfAReport measures a report of 25 runs, six of which serve, at a
// site of 1,100 workers.
func BenchmarkCostOfAReport(b *testing.B) {
	h, infos := newIdleSite(1100)
	h.step(QueuesChanged{Queues: []Queue{{Name: "q", Policy: jobs.Policy{Service: "s"}}}})
	serving := jobs.Step{Count: 6, CPUMilli: 3000, MemoryMB: 1000, LongRunning: true, Image: "serve", TailTargetMS: 20}
	batch := jobs.Step{Count: 19, CPUMilli: 500, MemoryMB: 1000, EstimateMS: 90_000, Checkpointing: true, BestEffort: true, Image: "fill"}
	report := Report{StartedMS: 7, ClockMS: 200}
	for i, step := range []jobs.Step{serving, batch} {
		id := jobs.ID(fmt.Sprintf("5c0e7a21d94b36f%d", i))
		encoded, err := jobs.EncodeJob(&jobs.Job{Queue: "q", Steps: []jobs.Step{step}})
		if err != nil {
			b.Fatal(err)
		}
		// The job's tasks are adopted by the worker that lists them.
		h.core.suspended = true
		h.step(SubmitRequested{RequestID: 1, ID: id, Encoded: encoded})
		for k := range step.Count {
			report.Running = append(report.Running, RunningTask{Task: jobs.Task{Job: id, Index: k}, Run: 1, Percent: 50, Usage: 12})
		}
	}
	h.core.suspended = false
	h.report(infos[0], report)
	if runs := len(h.core.workers[infos[0].ID].runs); runs != 25 {
		b.Fatalf("the worker has %d runs", runs)
	}
	b.ReportAllocs()
	for b.Loop() {
		h.now += 400
		report.ClockMS += 400
		for i := range report.Running {
			report.Running[i].Usage = 10 + int(h.now+int64(i))%5
			report.Running[i].Percent = min(report.Running[i].Percent+1, 99)
		}
		h.report(infos[0], report)
	}
}

// BenchmarkCostOfAStart measures the submission of a job of 16 tasks and their
// starts at a site of 1,100 workers, for each start.
func BenchmarkCostOfAStart(b *testing.B) {
	h, _ := newIdleSite(1100)
	const tasks = 16
	encoded, err := jobs.EncodeJob(&jobs.Job{Queue: "q", Steps: []jobs.Step{{Count: tasks, CPUMilli: 1, MemoryMB: 1, EstimateMS: 900}}})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		h.now += minPassIntervalMS
		for _, w := range h.core.sortedWorkers {
			w.reportedMS = h.now
		}
		h.step(SubmitRequested{RequestID: 1, ID: jobs.ID(fmt.Sprintf("5c0e%012x", n)), Encoded: encoded})
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n*tasks), "ns/start")
}

// BenchmarkCostOfALook measures the state of a job as callers see it.
func BenchmarkCostOfALook(b *testing.B) {
	h, _ := newIdleSite(8)
	encoded, err := jobs.EncodeJob(&jobs.Job{Queue: "q", Steps: []jobs.Step{{Count: 16, CPUMilli: 1, MemoryMB: 1, EstimateMS: 900}}})
	if err != nil {
		b.Fatal(err)
	}
	h.confirmWrites(h.step(SubmitRequested{RequestID: 1, ID: "j", Encoded: encoded}))
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := h.core.State("j"); !ok {
			b.Fatal("unknown job")
		}
	}
}

// submitMonthEnd submits the load of a large site's month end at a rate per
// second for some seconds: small urgent jobs, and wide best-effort jobs of many
// images.
func (sim *simulation) submitMonthEnd(perSecond float64, seconds int) {
	for i := range int(perSecond * float64(seconds)) {
		sim.at(int64(float64(i)*1000/perSecond), func() {
			step := jobs.Step{Count: 40, CPUMilli: 3500, MemoryMB: 6400, EstimateMS: 1700, Checkpointing: true, BestEffort: true, Image: fmt.Sprint("fill", i%30)}
			job := &jobs.Job{Queue: "batch"}
			if i%9 < 4 {
				job.Queue = "urgent"
				step = jobs.Step{Count: 13, CPUMilli: 6400, MemoryMB: 13_000, EstimateMS: 640}
			}
			job.Steps = append(job.Steps, step)
			step.After = []int{0}
			job.Steps = append(job.Steps, step)
			sim.addJob(fmt.Sprintf("month%011d", i), job)
		})
	}
}

// BenchmarkMonthEnd simulates ten seconds of a large site's month end.
func BenchmarkMonthEnd(b *testing.B) {
	for _, workers := range []int{490, 1100} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			for b.Loop() {
				sim := newSiteSimulation(1, workers)
				before, startMS, starts := sim.plannerTime, sim.now, sim.starts
				sim.submitMonthEnd(60*float64(workers)/1100, 10)
				sim.run(sim.now + 10_000)
				if len(sim.violations) > 0 {
					b.Fatal(sim.violations)
				}
				b.ReportMetric((sim.plannerTime-before).Seconds()/(float64(sim.now-startMS)/1000), "cores")
				b.ReportMetric(float64(sim.starts-starts), "starts")
			}
		})
	}
}
