package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"redwingvale/internal/jobs"
	"redwingvale/platform/standin"
)

const (
	// memoryPoll is the interval at which the processes' memory is read.
	memoryPoll = 100 * time.Millisecond
	// In fillMemory callers submit for fillTime, and give up earlier after
	// fillRefusals refusals; the leader falls fillTakeovers times meanwhile.
	fillTime      = 20 * time.Second
	fillRefusals  = 40
	fillTakeovers = 3
	// nowhereLabel is a label that no worker has: its jobs wait until they are
	// cancelled.
	nowhereLabel = "nowhere"
)

// watchMemory kills a process that exceeds its memory, as the platform does. No
// amount of accepted work may bring that about.
func (r *run) watchMemory(ctx context.Context) {
	limit := int64(r.options.memoryMB()) << 20
	for ; ctx.Err() == nil; sleep(ctx, memoryPoll) {
		for _, in := range r.instances {
			bytes := residentBytes(in.pid())
			r.peakBytes.Store(max(r.peakBytes.Load(), bytes))
			if bytes > limit && in.running() {
				r.checker.ReportViolation("MEMORY: %s takes %d MB, it may take %d", in.name, bytes>>20, limit>>20)
				in.signal(syscall.SIGKILL)
			}
		}
	}
}

// residentBytes returns the resident memory of a process, or 0 if it has ended.
func residentBytes(pid int) int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(content))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// fillMemory submits jobs that cannot run until they are refused, while one leader
// after the other is killed. Then all are cancelled, and the instances accept again.
func (r *run) fillMemory(ctx context.Context, rng *rand.Rand) {
	leader := r.awaitLeader(ctx, nil)
	filling, stop := context.WithTimeout(ctx, fillTime)
	defer stop()
	var mu sync.Mutex
	var accepted []jobs.ID
	refused := 0
	var callers sync.WaitGroup
	for _, c := range r.clients {
		callerRNG := rand.New(rand.NewPCG(r.options.Seed, rng.Uint64()))
		callers.Go(func() {
			for refusals := 0; refusals < fillRefusals && filling.Err() == nil; {
				id := r.registerJob(largeJob(callerRNG))
				ok := c.Submit(ctx, r.pickAddress(callerRNG), id)
				mu.Lock()
				if ok {
					accepted = append(accepted, id)
				} else {
					refusals++
					refused++
				}
				mu.Unlock()
			}
		})
	}
	for range fillTakeovers {
		sleep(ctx, fillTime/(fillTakeovers+1))
		if leader == nil {
			break
		}
		r.faults.Add(1)
		r.logFault(0, "leader %s is killed", leader.name)
		_ = leader.stop(syscall.SIGKILL, gracePeriod)
		next := r.awaitLeader(ctx, leader)
		r.restart(leader, rng)
		leader = next
	}
	callers.Wait()
	r.logFault(0, "%d jobs accepted, %d submissions without success, at most %d MB", len(accepted), refused, r.peakBytes.Load()>>20)
	if refused < fillRefusals {
		r.checker.ReportViolation("MEMORY: %d jobs were accepted and %d refused: the bound was not reached", len(accepted), refused)
	}
	slots := make(chan struct{}, clientCount)
	for i, id := range accepted {
		slots <- struct{}{}
		callers.Go(func() {
			r.cancel(ctx, r.clients[i%clientCount], id, rand.New(rand.NewPCG(r.options.Seed, uint64(i))))
			<-slots
		})
	}
	callers.Wait()
	for end := time.Now().Add(leaderWait); ctx.Err() == nil; sleep(ctx, retryPause) {
		job := &jobs.Job{Queue: standin.Queue, Steps: []jobs.Step{{Count: 100, CPUMilli: 100, MemoryMB: 10, EstimateMS: 100}}}
		if id := r.registerJob(job); r.clients[0].Submit(ctx, r.pickAddress(rng), id) {
			return
		}
		if time.Now().After(end) {
			r.checker.ReportViolation("MEMORY: no submission is accepted %s after all others were cancelled", leaderWait)
			return
		}
	}
}

// largeJob returns a job that takes memory by its tasks, its steps, its payload or
// the occurrences that are due.
func largeJob(rng *rand.Rand) *jobs.Job {
	step := jobs.Step{Count: 1, CPUMilli: 100, Label: nowhereLabel}
	job := &jobs.Job{Queue: standin.Queue, Payload: strings.Repeat("p", jobs.MaxPayloadBytes)}
	switch rng.IntN(5) {
	case 0:
		step.Count = 1000 + rng.IntN(jobs.MaxTasksPerStep-1000)
	case 1:
		step.Image = strings.Repeat("i", 1000)
		for range jobs.MaxSteps - 1 {
			job.Steps = append(job.Steps, step)
		}
	case 2:
		step.Count = 10
		job.Repeat, job.StartAtMS, job.IntervalMS = 8760, time.Now().UnixMilli()+3_600_000, 3_600_000
	case 3:
		step.Count = 10
		job.Repeat, job.StartAtMS, job.IntervalMS = 8760, time.Now().UnixMilli(), 1
	}
	job.Steps = append(job.Steps, step)
	return job
}
