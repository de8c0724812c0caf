//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"redwingvale/internal/jobs"
	"redwingvale/platform/standin"
)

// adviser is the service at the address under advice: it handles one call at a time,
// in turn, allows three of four workers for a step, and gives tickets that expire.
type adviser struct {
	c *cluster

	turn sync.Mutex

	mu                           sync.Mutex
	waiting                      int
	decision, period, validity   time.Duration
	tickets                      map[string]time.Time
	calls, asked, expired, given int
}

const maxWaitingCalls = 32

// allows reports whether a step may run on a worker. It doesn't change.
func allows(step, worker string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(step + " " + worker))
	return h.Sum32()%4 != 0
}

func (a *adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil || len(call.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	if a.waiting >= maxWaitingCalls {
		a.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.waiting++
	a.mu.Unlock()
	arrived := time.Now()
	a.turn.Lock()
	defer a.turn.Unlock()
	a.mu.Lock()
	a.waiting--
	takes := a.decision + time.Duration(len(call.Workers))*a.period
	a.mu.Unlock()
	if r.Context().Err() != nil {
		return
	}
	time.Sleep(takes)
	a.mu.Lock()
	defer a.mu.Unlock()
	allowed := [][2]string{}
	for _, worker := range call.Workers {
		if allows(call.Step, worker) {
			a.given++
			ticket := fmt.Sprintf("t%d", a.given)
			a.tickets[call.Step+" "+worker+" "+ticket] = time.Now().Add(a.validity)
			allowed = append(allowed, [2]string{worker, ticket})
		}
	}
	a.calls++
	a.asked += len(call.Workers)
	a.c.line("advise %s: %d workers, %d allowed, answered after %d ms", call.Step, len(call.Workers), len(allowed), time.Since(arrived).Milliseconds())
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"allowed": allowed, "validityMs": a.validity.Milliseconds()})
}

// valid reports whether a ticket allows a start of a task on a worker now.
func (a *adviser) valid(task, worker, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	step := task[:strings.LastIndex(task, ".")]
	ok := time.Now().Before(a.tickets[step+" "+worker+" "+ticket])
	if !ok {
		a.expired++
	}
	return ok
}

func (c *cluster) startAdviser() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	c.adviser = &adviser{c: c, tickets: map[string]time.Time{}}
	c.adviceAddr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.Handle("POST /api/advise", c.adviser)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return nil
}

// advisedGang plays case 14: the manifest adds a queue with advice, and a gang is
// submitted to it.
func advisedGang(c *cluster, trouble bool) int {
	const workers, members, validity = 64, 22, 3000
	c.verbose = false
	if err := c.startAdviser(); err != nil {
		c.line("cannot run: %v", err)
		return failed
	}
	if err := c.addWorkers(workers, 32_000); err != nil {
		c.line("cannot run: %v", err)
		return failed
	}
	// The project's checker learns the queues and their services.
	standin.PutManifest(c.store, c.checker, 1, 4)
	route := func(name string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": "queue.example", "pathPrefix": "/work-" + name + "/", "service": standin.FirstService,
			"priority": priority, "maxAttempts": 4, "stretch": 2.0, "targetLatencyMs": 1000,
		}
	}
	services := []map[string]any{{"name": standin.FirstService, "rejectsOverload": true}}
	c.store.Put(standin.OperatorTopic, "config", map[string]any{"version": 2, "routes": []any{route(standin.UrgentQueue, 0)}, "services": services})
	if err := c.startNodes(binary, 3); err != nil || !c.awaitReady(20*time.Second) {
		c.line("cannot run: the instances are not ready: %v", err)
		return failed
	}
	time.Sleep(2 * time.Second)
	decision, period := 200, 20
	if trouble {
		period = 100
	}
	c.adviser.mu.Lock()
	c.adviser.decision, c.adviser.period, c.adviser.validity = time.Duration(decision)*time.Millisecond, time.Duration(period)*time.Millisecond, validity*time.Millisecond
	c.adviser.mu.Unlock()
	advised := route(standin.Queue, 1)
	advised["advice"] = map[string]any{"decisionMs": decision, "periodMs": period, "validityMs": validity}
	c.store.Put(standin.OperatorTopic, "config", map[string]any{"version": 5, "routes": []any{route(standin.UrgentQueue, 0), advised}, "services": services})
	c.line("version 5 adds a queue with advice: decisionMs %d, periodMs %d, validityMs %d; %d workers of 32 cores, all idle", decision, period, validity, workers)
	time.Sleep(3 * time.Second)
	caller := standin.NewCaller(c.checker, 3*time.Second)
	submit := func(id jobs.ID, steps ...jobs.Step) bool {
		job := &jobs.Job{Queue: standin.Queue, Steps: steps}
		caller.Register(id, job)
		c.mu.Lock()
		c.advised[string(id)] = true
		c.mu.Unlock()
		bodies := stepBodies(job)
		for i := range steps {
			if steps[i].Gang {
				bodies[i]["gang"] = true
			}
		}
		status, text := c.call("POST", 0, "/work-q1/"+string(id), map[string]any{"spec": job.Payload, "steps": bodies})
		c.line("POST %s: %d %s", id, status, text)
		return status == 200
	}
	plain, gang := jobs.ID("0addce0000000001"), jobs.ID("0addce0000000002")
	if !submit(plain, jobs.Step{Count: 4, CPUMilli: 1000, MemoryMB: 512, EstimateMS: 500}) {
		return failed
	}
	time.Sleep(5 * time.Second)
	if !submit(gang, jobs.Step{Count: members, CPUMilli: 20_000, MemoryMB: 1024, EstimateMS: 1000, Gang: true}) {
		return failed
	}
	able := 0
	for _, w := range c.workers {
		if allows(string(gang)+".0.0", w.ID()) {
			able++
		}
	}
	c.line("the gang has %d members of 20 cores; the policy allows %d of the %d idle workers", members, able, workers)
	time.Sleep(30 * time.Second)
	_, first := c.call("GET", 1, "/work-q1/"+string(plain), nil)
	_, second := c.call("GET", 2, "/work-q1/"+string(gang), nil)
	c.line("GET %s: %s; GET %s: %s; has run: %v", plain, first, gang, second, c.hasBegun(string(gang)))
	c.line("calls for advice: %d, workers named: %d, tickets given: %d, starts with an invalid ticket: %d", c.adviser.calls, c.adviser.asked, c.adviser.given, c.adviser.expired)
	for _, v := range c.checker.Violations() {
		c.line("also seen by the project's checker: %s", v)
	}
	if first != `{"state":"completed"}` {
		c.line("cannot run: the plain submission was not completed")
		return failed
	}
	if !c.hasBegun(string(gang)) && second == `{"state":"queued"}` {
		c.line("LOST: the gang has had nothing running for 30 s, with room for it twice over on the idle workers that the policy allows")
		return broken
	}
	return held
}
