package main

import (
	"fmt"
	"sync"
	"time"
)

// rack returns the label of the i-th worker: 8 workers a rack.
func rack(i int) string { return fmt.Sprintf("r-%d", i/8+1) }

// ends: workers hold more ends than one report lists while the store is down.
func ends(r *rig, trouble bool) {
	q := &queueSpec{name: "r-invoice", host: "nony24.example", prefix: "/invoice/", service: "svc", priority: 2, attempts: 4}
	r.queues = []*queueSpec{q}
	for i := range 48 {
		kind := "a"
		if i >= 44 {
			kind = "b"
		}
		r.newWorker(fmt.Sprintf("w%02d", i), "svc", []string{kind, rack(i)}, 32000, 128000)
	}
	r.putManifest()
	r.startWorkers()
	r.newNodes(7)
	r.awaitReady()
	sleepMS(1000)
	var subs []*submission
	for i := range 32 {
		s := r.newSubmission(q, &stepSpec{Count: 250, CPU: 1000, MemMB: 100, EstimateMS: 100, Requirements: "b"})
		if !r.submit(s, i) {
			couldNotRun("a submission was not accepted")
		}
		subs = append(subs, s)
	}
	sleepMS(500)
	if trouble {
		note("store  is down")
		for _, n := range r.nodes {
			n.door.set(storeBusy)
		}
		sleepMS(4500)
		note("store  is back")
		for _, n := range r.nodes {
			n.door.set(storeServes)
		}
	}
	limit := time.Now().Add(60 * time.Second)
	starts := 0
	for i, s := range subs {
		for time.Now().Before(limit) {
			if _, state := r.state(s, i); state == "completed" {
				break
			}
			sleepMS(500)
		}
		starts += r.starts(s)
	}
	sleepMS(1000)
	say("%d tasks, %d starts", 32*250, starts)
}

// advice: the workers that may run a step are lost, and the adviser allows no
// other.
func advice(r *rig, trouble bool) {
	advised := &queueSpec{name: "r-advised", host: "nony24.example", prefix: "/advised/", service: "svc", priority: 2, attempts: 4, advised: true}
	plain := &queueSpec{name: "r-plain", host: "nony24.example", prefix: "/plain/", service: "svc", priority: 2, attempts: 4}
	r.queues = []*queueSpec{advised, plain}
	allowed := map[string]bool{"w03": true, "w19": true, "w27": true, "w40": true}
	r.adviser = newAdviser(func(id string) bool { return allowed[id] })
	for i := range 48 {
		r.newWorker(fmt.Sprintf("w%02d", i), "svc", []string{"a", rack(i)}, 32000, 128000)
	}
	r.putManifest()
	r.startWorkers()
	r.newNodes(7)
	r.awaitReady()
	sleepMS(1000)
	if trouble {
		for _, w := range r.workers {
			if allowed[w.id] {
				w.crash()
			}
		}
		sleepMS(2500)
	}
	a := r.newSubmission(advised, &stepSpec{Count: 4, CPU: 2000, MemMB: 1000, EstimateMS: 1000})
	if !r.submit(a, 0) {
		couldNotRun("the submission was not accepted")
	}
	sleepMS(2000)
	// Submissions of another queue, which every worker may run.
	var others []*submission
	for i := range 20 {
		s := r.newSubmission(plain, &stepSpec{Count: 4, CPU: 2000, MemMB: 1000, EstimateMS: 500})
		r.submit(s, i)
		others = append(others, s)
		sleepMS(500)
	}
	// finish_s after the end of the traffic.
	sleepMS(14000)
	for i, s := range others {
		if s.accepted.IsZero() {
			continue
		}
		status, state := r.state(s, i)
		switch {
		case status != 200:
			r.breach("LOST: %s was accepted and gets no answer 14 s after the end of the traffic (%d)", s.id, status)
		case state != "completed" && r.running(s) == 0:
			r.breach("LOST: %s was accepted, is %q 14 s after the end of the traffic and has nothing running, with 44 idle workers", s.id, state)
		}
	}
	for _, n := range r.nodes {
		if n.exits > 0 {
			r.breach("%s has ended by itself %d times: %s", n.name, n.exits, n.lastPanic())
		}
	}
}

// token: the workers of one rack are cut off and run on, first for 3 s and later
// for 5.5 s.
func token(r *rig, trouble bool) {
	q := &queueSpec{name: "r-invoice", host: "nony24.example", prefix: "/invoice/", service: "svc", priority: 2, attempts: 4}
	r.queues = []*queueSpec{q}
	for i := range 48 {
		r.newWorker(fmt.Sprintf("w%02d", i), "svc", []string{"a", rack(i)}, 32000, 128000)
	}
	r.putManifest()
	r.startWorkers()
	r.newNodes(7)
	r.awaitReady()
	sleepMS(1000)
	cut := func(ms int) {
		if !trouble {
			sleepMS(ms)
			return
		}
		note("rack r-2 is cut off")
		for _, w := range r.workers[8:16] {
			w.setLink(workerDark, false)
		}
		sleepMS(ms)
		note("rack r-2 is back")
		for _, w := range r.workers[8:16] {
			w.setLink(workerServes, true)
		}
	}
	// Submissions whose data are on rack r-2, 20 a second.
	var subs []*submission
	submit := func(n int) {
		for i := range n {
			s := r.newSubmission(q, &stepSpec{Count: 6, CPU: 2000, MemMB: 1000, EstimateMS: 300, Requirements: "r-2"})
			r.submit(s, i)
			subs = append(subs, s)
			sleepMS(50)
		}
	}
	done := make(chan struct{})
	go func() { submit(60); close(done) }()
	sleepMS(1000)
	cut(3000)
	<-done
	sleepMS(8000)
	cut(5500)
	sleepMS(8000)
	submit(20)
	// finish_s after the end of the traffic.
	sleepMS(14000)
	idle := map[*submission]bool{}
	for i, s := range subs {
		if _, state := r.state(s, i); !s.accepted.IsZero() && state != "completed" && r.running(s) == 0 {
			idle[s] = true
		}
	}
	for range 30 {
		sleepMS(100)
		for s := range idle {
			if r.running(s) > 0 {
				delete(idle, s)
			}
		}
	}
	for s := range idle {
		_, state := r.state(s, 0)
		r.breach("LOST: %s was accepted, is %q 14 s after the end of the traffic and has had nothing running for 3 s, with all 48 workers idle", s.id, state)
	}
}

// suspect: four workers of one rack fail all that they start for 6.5 s. After
// that, submissions that last come for that rack.
func suspect(r *rig, trouble bool) {
	q := &queueSpec{name: "r-invoice", host: "nony24.example", prefix: "/invoice/", service: "svc", priority: 2, attempts: 4}
	watch := &queueSpec{name: "r-watch", host: "nony24.example", prefix: "/watch/", service: "svc", priority: 0, attempts: 2}
	r.queues = []*queueSpec{q, watch}
	for i := range 48 {
		r.newWorker(fmt.Sprintf("w%02d", i), "svc", []string{"a", rack(i)}, 32000, 128000)
	}
	var mu sync.Mutex
	grey := false
	r.fails = func(w *worker, t *taskRun) bool {
		mu.Lock()
		defer mu.Unlock()
		return grey && w.id >= "w12" && w.id <= "w15"
	}
	set := func(on bool) {
		mu.Lock()
		grey = on && trouble
		mu.Unlock()
		note("w12 to w15 fail all that they start: %v", on && trouble)
	}
	r.putManifest()
	r.startWorkers()
	r.newNodes(7)
	r.awaitReady()
	sleepMS(1000)
	set(true)
	for i := range 60 {
		s := r.newSubmission(q, &stepSpec{Count: 8, CPU: 2300, MemMB: 1000, EstimateMS: 500, Requirements: "r-2"})
		r.submit(s, i)
		sleepMS(90)
	}
	sleepMS(500)
	set(false)
	sleepMS(2000)
	// 8 submissions of 6 tasks that last, 6.4 cores each: the rack holds 40 tasks.
	var subs []*submission
	for i := range 6 {
		s := r.newSubmission(watch, &stepSpec{Count: 6, CPU: 6400, MemMB: 13000, EstimateMS: 300, Requirements: "r-2", LongRunning: true, Image: "i1"})
		r.submit(s, i)
		subs = append(subs, s)
		sleepMS(300)
	}
	sleepMS(14000)
	for i, s := range subs {
		if r.running(s) > 0 || s.accepted.IsZero() {
			continue
		}
		sleepMS(3000)
		_, state := r.state(s, i)
		free, fits := 0, 0
		for _, w := range r.workers[8:16] {
			w.mu.Lock()
			left := w.cpu
			for _, t := range w.runs {
				left -= t.step.CPU
			}
			w.mu.Unlock()
			free += left
			fits += left / 6400
		}
		if r.running(s) == 0 && fits >= 12 {
			r.breach("LOST: %s was accepted, is %q after 14 s and has had nothing running for 3 s, while its rack has %d of 256000 free: room for %d such tasks", s.id, state, free, fits)
		}
	}
}

// pending: the workers of one kind are lost for good; submissions that need it
// wait.
func pending(r *rig, trouble bool) {
	q := &queueSpec{name: "r-invoice", host: "nony24.example", prefix: "/invoice/", service: "svc", priority: 2, attempts: 4}
	r.queues = []*queueSpec{q}
	for i := range 48 {
		kind := "a"
		if i >= 42 {
			kind = "b"
		}
		r.newWorker(fmt.Sprintf("w%02d", i), "svc", []string{kind, rack(i)}, 32000, 128000)
	}
	r.putManifest()
	r.startWorkers()
	r.newNodes(7)
	r.awaitReady()
	sleepMS(2000)
	// The leader has used these workers before.
	for i := range 8 {
		s := r.newSubmission(q, &stepSpec{Count: 6, CPU: 2300, MemMB: 1000, EstimateMS: 300, Requirements: "b"})
		r.submit(s, i)
	}
	sleepMS(1000)
	if trouble {
		for _, w := range r.workers[42:] {
			w.crash()
		}
	}
	var subs []*submission
	for i := range 8 {
		s := r.newSubmission(q, &stepSpec{Count: 4, CPU: 2300, MemMB: 1000, EstimateMS: 500, Requirements: "b"})
		r.submit(s, i)
		subs = append(subs, s)
		sleepMS(100)
	}
	// visible_ms + 2 s after they were accepted.
	for i := range 20 {
		sleepMS(500)
		waiting := 0
		asked := time.Now()
		for _, s := range subs {
			if !s.accepted.IsZero() && asked.Sub(s.accepted) > 5*time.Second && r.starts(s) == 0 {
				waiting++
			}
		}
		status, answer := r.request(r.nodes[i%7], q, "GET", "", nil)
		given, _ := answer["pendingJobs"].(float64)
		if status == 200 && int(given)*2 < waiting {
			r.breach("MIXED: pendingJobs is %d, and %d submissions were accepted over 5 s before and haven't begun", int(given), waiting)
		}
	}
}
