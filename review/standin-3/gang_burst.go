//go:build review

package main

import (
	"fmt"
	"strings"
	"time"

	"redwingvale/internal/jobs"
	"redwingvale/platform/standin"
)

// gangBurst plays case 13: gangs come to a queue with advice at the usual rate, and for
// some seconds more often.
func gangBurst(c *cluster, trouble bool) int {
	const workers, members, validity, decision, period = 64, 8, 3000, 100, 20
	const usual, factor = 1.0, 2.6
	c.verbose = false
	if err := c.startAdviser(); err != nil {
		c.line("cannot run: %v", err)
		return failed
	}
	if err := c.addWorkers(workers, 32_000); err != nil {
		c.line("cannot run: %v", err)
		return failed
	}
	standin.PutManifest(c.store, c.checker, 1, 4)
	c.adviser.decision, c.adviser.period, c.adviser.validity = decision*time.Millisecond, period*time.Millisecond, validity*time.Millisecond
	advised := map[string]any{
		"name": standin.Queue, "host": "queue.example", "pathPrefix": "/work-q1/", "service": standin.FirstService, "priority": 1, "maxAttempts": 4,
		"stretch": 2.0, "targetLatencyMs": 1000, "advice": map[string]any{"decisionMs": decision, "periodMs": period, "validityMs": validity},
	}
	c.store.Put(standin.OperatorTopic, "config", map[string]any{"version": 2, "routes": []any{advised}, "services": []map[string]any{{"name": standin.FirstService, "rejectsOverload": true}}})
	if err := c.startNodes(binary, 3); err != nil || !c.awaitReady(20*time.Second) {
		c.line("cannot run: the instances are not ready: %v", err)
		return failed
	}
	time.Sleep(time.Second)
	caller := standin.NewCaller(c.checker, 3*time.Second)
	c.line("advice: decisionMs %d, periodMs %d, validityMs %d; %d workers of 32 cores; gangs of %d tasks of 20 cores, 0.5 s", decision, period, validity, workers, members)
	var ids []jobs.ID
	begin := time.Now()
	// 6 s at the usual rate, three bursts of 4 s, 6 s at the usual rate.
	for next := begin; time.Since(begin) < 24*time.Second; {
		rate := usual
		if at := time.Since(begin).Seconds(); trouble && at >= 6 && at < 18 {
			rate *= factor
		}
		id := jobs.ID(fmt.Sprintf("9a49%012x", len(ids)))
		job := &jobs.Job{Queue: standin.Queue, Steps: []jobs.Step{{Count: members, CPUMilli: 20_000, MemoryMB: 1024, EstimateMS: 500, Gang: true}}}
		caller.Register(id, job)
		c.mu.Lock()
		c.advised[string(id)] = true
		c.mu.Unlock()
		bodies := stepBodies(job)
		bodies[0]["gang"] = true
		status, text := c.call("POST", len(ids)%len(c.nodes), "/work-q1/"+string(id), map[string]any{"spec": job.Payload, "steps": bodies})
		c.line("POST %s: %d %s", id, status, text)
		if status != 200 {
			return failed
		}
		ids = append(ids, id)
		next = next.Add(time.Duration(float64(time.Second) / rate))
		time.Sleep(time.Until(next))
	}
	c.line("end of the traffic: %d submissions accepted", len(ids))
	time.Sleep(14 * time.Second)
	begun := map[jobs.ID]bool{}
	for end := time.Now().Add(3500 * time.Millisecond); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, id := range ids {
			begun[id] = begun[id] || c.hasBegun(string(id))
		}
	}
	lost := 0
	for i, id := range ids {
		status, text := c.call("GET", i%len(c.nodes), "/work-q1/"+string(id), nil)
		c.line("GET %s: %d %s; has run: %v", id, status, text, begun[id])
		if strings.Contains(text, "queued") && !begun[id] {
			lost++
		}
	}
	c.line("calls for advice: %d, workers named: %d, tickets given: %d, starts with an invalid ticket: %d", c.adviser.calls, c.adviser.asked, c.adviser.given, c.adviser.expired)
	for _, v := range c.checker.Violations() {
		c.line("also seen by the project's checker: %s", v)
	}
	if lost > 0 {
		c.line("LOST: %d accepted gangs have had nothing running for over 3 s, 14 s after the end of the traffic, while all %d workers are idle", lost, workers)
		return broken
	}
	return held
}
