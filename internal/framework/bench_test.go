package framework_test

import (
	"fmt"
	"testing"
	"time"

	"redwingvale/internal/framework"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// BenchmarkPlace measures one placement in a steady state: a task is enqueued
// and placed, and an earlier one ends. 1,710 tasks run for every 100 workers, so
// that the larger case is the design scale of 41,100.
func BenchmarkPlace(b *testing.B) {
	for _, workers := range []int{240, 2400} {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			k, ring := newSteadyKernel(b, workers)
			now := time.Hour
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += time.Millisecond
				old := &ring[i%len(ring)]
				k.Ended(now, old.ID, policy.EndDone, time.Minute)
				old.Submitted = now
				old.Deadline = now + time.Hour
				k.Enqueue(now, *old)
				if len(k.Schedule(now, 1)) != 1 {
					b.Fatalf("iteration %d: not placed: %+v", i, k.Explain(old.ID))
				}
			}
		})
	}
}

// BenchmarkBacklog measures one end and the placement that it makes possible
// while the cluster is full and 36,000 tasks of 560 teams wait.
func BenchmarkBacklog(b *testing.B) {
	const workers = 2400
	k, ring := newSteadyKernel(b, workers)
	for i := range workers {
		id := spec.WorkerID(fmt.Sprint("w", i))
		k.SetGranted(time.Hour, id, spec.Resources{Slots: 24 - int64(len(k.Running(id)))})
	}
	services := benchServices()
	waiting := make([]policy.Task, 36000)
	for i := range waiting {
		waiting[i] = benchTask(len(ring)+i, services)
		k.Enqueue(time.Hour, waiting[i])
	}
	now := time.Hour
	for len(k.Schedule(now, 1000)) > 0 {
		now += time.Millisecond
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += time.Millisecond
		old := &ring[i%len(ring)]
		k.Ended(now, old.ID, policy.EndDone, time.Minute)
		for _, p := range k.Schedule(now, 8) {
			placed := k.Task(p.Task)
			ring[i%len(ring)] = placed
		}
		old = &waiting[i%len(waiting)]
		old.ID.Index += 1 << 20
		k.Enqueue(now, *old)
	}
}

// benchTeams is the number of teams at the design scale.
const benchTeams = 560

func benchServices() []policy.Service {
	var services []policy.Service
	for i := range benchTeams {
		services = append(services, policy.Service{
			Team: spec.TeamID(fmt.Sprint("team", i)), ID: spec.ServiceID(fmt.Sprint("service", i)),
			TailWeight: float64(i % 3), EvictionWeight: 1, TargetP99: 100 * time.Millisecond,
			Quota: spec.Resources{MilliCPU: 400000, Slots: 400},
		})
	}
	return services
}

// newSteadyKernel returns a kernel that has running tasks and reports.
func newSteadyKernel(b *testing.B, workers int) (*framework.Kernel, []policy.Task) {
	k, err := framework.New(framework.Config{Seed: 1})
	if err != nil {
		b.Fatal(err)
	}
	services := benchServices()
	k.Configure(0, services)
	for i := range workers {
		k.SetWorker(0, spec.Worker{
			ID: spec.WorkerID(fmt.Sprint("w", i)), Rack: spec.Rack(fmt.Sprint("r", i/8)),
			DataCentre: spec.DataCentre(fmt.Sprint("d", i%6)), Service: services[i%benchTeams].ID,
			Capacity: spec.Resources{MilliCPU: 64000, MemoryMiB: 250000, Accelerators: int64(i % 4), Slots: 24, Connections: 60},
		})
		k.SetGranted(0, spec.WorkerID(fmt.Sprint("w", i)), spec.Resources{Slots: 2, Connections: 8})
	}
	tasks := make([]policy.Task, workers*411/24)
	for i := range tasks {
		tasks[i] = benchTask(i, services)
		k.Enqueue(0, tasks[i])
	}
	placed := 0
	for now := time.Second; placed < len(tasks) && now < time.Minute; now += time.Second {
		placed += len(k.Schedule(now, 2000))
	}
	for round := range 10 {
		observeAll(k, workers, time.Minute+time.Duration(round)*5*time.Second)
	}
	if placed != len(tasks) {
		b.Fatalf("%d of %d tasks run", placed, len(tasks))
	}
	return k, tasks
}

// observeAll passes one report of each worker, without interference, to the
// kernel.
func observeAll(k *framework.Kernel, workers int, now time.Duration) {
	for i := range workers {
		r := policy.Report{
			Worker: spec.WorkerID(fmt.Sprint("w", i)), MeasuredAt: now - 3*time.Second,
			ServiceP99: 40 * time.Millisecond, ServiceLoad: float64(i % 20),
		}
		for _, t := range k.Running(r.Worker) {
			r.Tasks = append(r.Tasks, policy.TaskUsage{Task: t, MilliCPU: 2000, MemoryMiB: 5000})
		}
		k.Observe(now, r)
	}
	k.Review(now)
}

func benchTask(i int, services []policy.Service) policy.Task {
	s := services[i%benchTeams]
	return policy.Task{
		ID:      spec.TaskID{Job: spec.JobID{Team: s.Team, Name: fmt.Sprint("job", i/4)}, Index: uint32(i)},
		Attempt: 1, Service: s.ID, Class: spec.Deadline, Kind: fmt.Sprint("kind", i%5),
		Resources: spec.Resources{MilliCPU: 2000, MemoryMiB: 6000, Slots: 1},
		RunTime:   time.Minute, Deadline: time.Hour,
	}
}
