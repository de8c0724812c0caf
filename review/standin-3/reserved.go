//go:build review

package main

import (
	"fmt"
	"strings"
	"time"

	"redwingvale/internal/jobs"
	"redwingvale/platform/standin"
)

// reservedWorkers plays case 11: lasting submissions with one task on each worker, the
// loss of one worker, and ordinary submissions after it.
func reservedWorkers(c *cluster, trouble bool) int {
	const workers = 8
	if err := c.addWorkers(workers, 32_000); err != nil {
		c.line("cannot run: %v", err)
		return failed
	}
	standin.PutManifest(c.store, c.checker, 1, 4)
	if err := c.startNodes(binary, 3); err != nil {
		c.line("cannot run: %v", err)
		return failed
	}
	if !c.awaitReady(20 * time.Second) {
		c.line("cannot run: the instances are not ready")
		return failed
	}
	caller := standin.NewCaller(c.checker, 3*time.Second)
	submit := func(id jobs.ID, job *jobs.Job) bool {
		caller.Register(id, job)
		body := map[string]any{"spec": job.Payload, "steps": stepBodies(job)}
		for attempt := range 5 {
			status, text := c.call("POST", attempt%len(c.nodes), "/work-"+job.Queue+"/"+string(id), body)
			c.line("POST %s to n%d: %d %s", id, attempt%len(c.nodes), status, text)
			if status == 200 {
				return true
			}
		}
		return false
	}
	var lasting []jobs.ID
	for i := range workers {
		id := jobs.ID(fmt.Sprintf("1a57%012x", i))
		job := &jobs.Job{Queue: standin.UrgentQueue, Steps: []jobs.Step{{Count: workers, CPUMilli: 1000, MemoryMB: 512, EstimateMS: 320, MaxPerWorker: 1, LongRunning: true}}}
		if !submit(id, job) {
			c.line("cannot run: a lasting submission was not accepted")
			return failed
		}
		lasting = append(lasting, id)
	}
	allRun := func() bool {
		for _, id := range lasting {
			if !c.checker.AllRunning(id) {
				return false
			}
		}
		return true
	}
	for end := time.Now().Add(15 * time.Second); !allRun(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			c.line("cannot run: not all lasting tasks run")
			return failed
		}
	}
	c.line("all %d tasks of %d lasting submissions run", workers*workers, workers)
	time.Sleep(3 * time.Second)
	if trouble {
		c.workers[workers-1].Crash(0, true)
		c.line("worker w%d is lost for good: 1 of %d", workers-1, workers)
	}
	time.Sleep(8 * time.Second)
	// The traffic after the loss: ordinary submissions, four of each.
	var ordinary []jobs.ID
	for i := range 8 {
		id := jobs.ID(fmt.Sprintf("0bad%012x", i))
		job := &jobs.Job{Queue: standin.Queue, Steps: []jobs.Step{{Count: 4, CPUMilli: 1000, MemoryMB: 512, EstimateMS: 500}}}
		if !submit(id, job) {
			c.line("cannot run: an ordinary submission was not accepted")
			return failed
		}
		ordinary = append(ordinary, id)
		time.Sleep(300 * time.Millisecond)
	}
	left := workers
	if trouble {
		left--
	}
	c.line("end of the traffic; %d workers of 32 cores run %d lasting tasks of 1 core each", left, left*workers)
	// finish_s is 14 s. Then each submission is observed for 3 s more.
	time.Sleep(14 * time.Second)
	begin := time.Now()
	idle := map[jobs.ID]bool{}
	for _, id := range ordinary {
		idle[id] = true
	}
	for time.Since(begin) < 3500*time.Millisecond {
		for _, id := range ordinary {
			if c.hasBegun(string(id)) {
				idle[id] = false
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	lost := 0
	for i, id := range ordinary {
		status, text := c.call("GET", i%len(c.nodes), "/work-"+standin.Queue+"/"+string(id), nil)
		done := c.checker.AllDone(id)
		c.line("GET %s from n%d: %d %s; has run: %v, done: %v", id, i%len(c.nodes), status, text, c.hasBegun(string(id)), done)
		if !done && idle[id] && (strings.Contains(text, "queued") || strings.Contains(text, "active")) {
			lost++
		}
	}
	for _, v := range c.checker.Violations() {
		c.line("also seen by the project's checker: %s", v)
	}
	if lost > 0 {
		c.line("LOST: %d accepted submissions have had nothing running for over 3 s, 14 s after the end of the traffic, though %d of %d cores are free", lost, left*(32-workers), left*32)
		return broken
	}
	return held
}

func stepBodies(job *jobs.Job) []map[string]any {
	var out []map[string]any
	for _, s := range job.Steps {
		body := map[string]any{"count": s.Count, "cpu": s.CPUMilli, "memMb": s.MemoryMB, "estimateMs": s.EstimateMS}
		if s.MaxPerWorker > 0 {
			body["antiAffinity"] = s.MaxPerWorker
		}
		if s.LongRunning {
			body["longRunning"] = true
		}
		out = append(out, body)
	}
	return out
}
