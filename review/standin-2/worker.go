//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker runs tasks under a lease as the pages say. Its address and id stay over a
// crash; everything else is of one life.
type worker struct {
	s         *site
	id, addr  string
	zone, rak string
	cpu       int
	// unanswered makes the worker leave the first order of each new epoch unanswered
	// and carry it out late.
	unanswered bool

	mu     sync.Mutex
	server *http.Server
	life   *life
}

// life is the time from a start of the worker to its next crash.
type life struct {
	w      *worker
	born   time.Time
	labels []string
	over   bool

	token      int64
	lateEpoch  int64
	leaseEndMS int64
	runs       map[string]*run
	highest    map[string]int
	ends       []*end
	lastEnd    int64
	used       int
	// heldAt is when the first hold call of this life was answered.
	heldAt  time.Time
	changed chan struct{}
	beats   int
}

type run struct {
	task   string
	number int
	st     step
	began  time.Time
	stopAt time.Time
}

// end is the end of a run. It is taken note of once it is acknowledged, unless the
// worker's lease lapsed in between.
type end struct {
	n                     int64
	task                  string
	number                int
	how, worker           string
	at                    time.Time
	acknowledged, lapsed  bool
	listedAt, noteTakenAt time.Time
}

// addWorker adds a worker of a kind and boots it.
func (s *site) addWorker(kind string, index, cpu int) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{s: s, id: fmt.Sprintf("i-%08x", 0x7f3a0000+index), addr: l.Addr().String(), zone: fmt.Sprintf("zone-%d", index%3+1), rak: fmt.Sprintf("r1-%d", index/8+1), cpu: cpu}
	s.workers = append(s.workers, w)
	w.boot(l, kind)
	go w.work()
	return w, nil
}

// boot begins a life and registers the worker at once.
func (w *worker) boot(l net.Listener, kind string) {
	w.mu.Lock()
	f := &life{w: w, born: time.Now(), labels: []string{kind, w.rak}, runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{})}
	w.life = f
	w.server = &http.Server{Handler: f.handler(), ReadHeaderTimeout: time.Minute}
	server := w.server
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	w.s.log("worker %s boots at %s as kind %s, born %d", w.id, w.addr, kind, f.born.UnixMilli())
	w.beat(f)
}

// crash ends the life: connections are reset and nothing of it is left.
func (w *worker) crash() {
	w.mu.Lock()
	w.life.over = true
	server, tasks := w.server, len(w.life.runs)
	w.mu.Unlock()
	server.Close()
	w.s.log("worker %s crashes with %d runs", w.id, tasks)
}

// reboot starts the worker again, under its id and at its address.
func (w *worker) reboot(kind string) error {
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.boot(l, kind)
	return nil
}

// beat writes the worker's entry.
func (w *worker) beat(f *life) {
	w.mu.Lock()
	f.beats++
	entry := map[string]any{
		"service": "svc", "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]int{"cpu": w.cpu, "memMb": 128_000, "gpu": 0}, "labels": f.labels, "clockMs": f.clockMS(),
		"sequence": f.beats, "born": f.born.UnixMilli(),
	}
	w.mu.Unlock()
	w.s.store.Put("keyed.servers", w.id, entry)
}

// work advances the runs and renews the entry until the run of the case ends.
func (w *worker) work() {
	lastBeat := time.Now()
	for {
		select {
		case <-w.s.done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		w.mu.Lock()
		f := w.life
		if !f.over {
			f.advance()
		}
		due := !f.over && time.Since(lastBeat) >= heartbeat
		w.mu.Unlock()
		if due {
			lastBeat = time.Now()
			w.beat(f)
		}
	}
}

func (f *life) clockMS() int64 { return time.Since(f.born).Milliseconds() + 1 }

func (f *life) advance() {
	lapsed := f.clockMS() > f.leaseEndMS
	for _, e := range f.ends {
		e.lapsed = e.lapsed || lapsed
	}
	for task, r := range f.runs {
		switch {
		case lapsed:
			f.finish(task, "lapsed")
		case !r.stopAt.IsZero():
			if time.Now().After(r.stopAt) {
				f.finish(task, "stopped")
			}
		case time.Since(r.began) >= r.st.work && r.st.fails:
			f.finish(task, "failed")
		case time.Since(r.began) >= r.st.work:
			f.finish(task, "done")
		}
	}
}

func (f *life) finish(task, how string) {
	r := f.runs[task]
	delete(f.runs, task)
	f.used -= r.st.CPU
	f.lastEnd++
	e := &end{n: f.lastEnd, task: task, number: r.number, how: how, worker: f.w.id, at: time.Now()}
	f.ends = append(f.ends, e)
	f.highest[task] = max(f.highest[task], r.number)
	f.w.s.ended(e)
	close(f.changed)
	f.changed = make(chan struct{})
}

type command struct {
	Task         string `json:"task"`
	RunID        int    `json:"runId"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	AckCursor    int64  `json:"ackCursor"`
	WaitMS       int64  `json:"waitMs"`
	Percent      int    `json:"percent"`
	Ticket       string `json:"ticket"`
}

func (f *life) handler() http.Handler {
	mux := http.NewServeMux()
	// lateOrder carries an order of a new epoch out late, and leaves it unanswered.
	lateOrder := func(c command, r *http.Request, carryOut func(command) (int, string)) bool {
		f.w.mu.Lock()
		late := f.w.unanswered && f.token > 0 && c.FencingToken>>20 > f.token>>20 && c.FencingToken>>20 > f.lateEpoch
		if late {
			f.lateEpoch = c.FencingToken >> 20
		}
		f.w.mu.Unlock()
		if !late {
			return false
		}
		f.w.s.log("worker %s leaves an order of epoch %d (%s) unanswered", f.w.id, c.FencingToken>>20, r.URL.Path)
		time.AfterFunc(2*time.Second, func() {
			f.w.mu.Lock()
			defer f.w.mu.Unlock()
			if status, _ := f.fenced(c); status == 0 {
				_, _ = carryOut(c)
			}
		})
		<-r.Context().Done()
		return true
	}
	order := func(path string, carryOut func(command) (int, string)) {
		mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) {
			var c command
			if !f.receive(rw, r, &c) || lateOrder(c, r, carryOut) {
				return
			}
			f.w.mu.Lock()
			status, reason := f.fenced(c)
			if status == 0 {
				status, reason = carryOut(c)
			}
			body := map[string]any{"clockMs": f.clockMS(), "born": f.born.UnixMilli()}
			f.w.mu.Unlock()
			if reason != "" {
				body["reason"] = reason
			}
			answer(rw, status, body)
		})
	}
	order("/api/run-start", f.startTask)
	order("/api/run-stop", f.stopTask)
	order("/api/pace", func(command) (int, string) { return http.StatusOK, "" })
	mux.HandleFunc("POST /api/hold", func(rw http.ResponseWriter, r *http.Request) {
		var c command
		if f.receive(rw, r, &c) && !lateOrder(c, r, func(c command) (int, string) { f.extend(c.DeadlineMS); return http.StatusOK, "" }) {
			f.hold(rw, r, c)
		}
	})
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	return mux
}

func answer(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (f *life) receive(rw http.ResponseWriter, r *http.Request, c *command) bool {
	if json.NewDecoder(r.Body).Decode(c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return false
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != f.w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

// fenced returns 409 for an order with a lower epoch number than one seen before.
func (f *life) fenced(c command) (int, string) {
	if c.FencingToken < f.token {
		return http.StatusConflict, "fence"
	}
	f.token = c.FencingToken
	return 0, ""
}

func (f *life) extend(deadlineMS int64) {
	f.leaseEndMS = max(f.leaseEndMS, min(deadlineMS, f.clockMS()+maxLeaseMS))
}

func (f *life) startTask(c command) (int, string) {
	st, queue, ok := f.w.s.stepOf(c.Task)
	if !ok {
		f.w.s.unasked(f.w.id, c.Task)
		return http.StatusBadRequest, ""
	}
	r := f.runs[c.Task]
	switch {
	case r != nil && r.number == c.RunID:
		f.extend(c.DeadlineMS)
		return http.StatusOK, ""
	case r != nil, c.RunID <= f.highest[c.Task]:
		f.extend(c.DeadlineMS)
		return http.StatusConflict, "old"
	case c.DeadlineMS <= f.clockMS():
		return http.StatusConflict, "late"
	case f.used+st.CPU > f.w.cpu:
		f.extend(c.DeadlineMS)
		return http.StatusConflict, "room"
	case !f.w.s.adviser.valid(queue, c.Task, f.w.id, c.Ticket):
		return http.StatusConflict, "ticket"
	}
	f.extend(c.DeadlineMS)
	f.runs[c.Task] = &run{task: c.Task, number: c.RunID, st: st, began: time.Now()}
	f.used += st.CPU
	f.w.s.started(f, c, st)
	return http.StatusOK, ""
}

func (f *life) stopTask(c command) (int, string) {
	f.highest[c.Task] = max(f.highest[c.Task], c.RunID)
	if r := f.runs[c.Task]; r != nil && r.number <= c.RunID && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTimeout / 3)
	}
	return http.StatusOK, ""
}

func (f *life) hold(rw http.ResponseWriter, r *http.Request, c command) {
	limit := time.After(time.Duration(min(c.WaitMS, 2000)) * time.Millisecond)
	f.w.mu.Lock()
	if status, reason := f.fenced(c); status != 0 {
		f.w.mu.Unlock()
		answer(rw, status, map[string]any{"reason": reason, "clockMs": f.clockMS(), "born": f.born.UnixMilli()})
		return
	}
	f.extend(c.DeadlineMS)
	f.ends = slices.DeleteFunc(f.ends, func(e *end) bool {
		if e.n > c.AckCursor {
			return false
		}
		e.acknowledged, e.noteTakenAt = true, time.Now()
		return true
	})
	for waiting := c.WaitMS > 0; waiting && len(f.ends) == 0; {
		changed := f.changed
		f.w.mu.Unlock()
		select {
		case <-changed:
		case <-limit:
			waiting = false
		case <-r.Context().Done():
			return
		}
		f.w.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range f.runs {
		running = append(running, []any{r.task, r.number, "", int(min(99, 100*time.Since(r.began)/max(r.st.work, 1))), r.st.CPU})
	}
	for _, e := range f.ends[:min(len(f.ends), 500)] {
		if e.listedAt.IsZero() {
			e.listedAt = time.Now()
		}
		finished = append(finished, []any{e.n, e.task, e.number, e.how, ""})
	}
	body := map[string]any{"clockMs": f.clockMS(), "born": f.born.UnixMilli(), "running": running, "finished": finished}
	if f.heldAt.IsZero() {
		f.heldAt = time.Now()
		f.w.s.log("worker %s answers the first hold of the life born %d", f.w.id, f.born.UnixMilli())
	}
	f.w.mu.Unlock()
	answer(rw, http.StatusOK, body)
}

// stepOf returns the step of a task that a client has submitted, and its queue.
func (s *site) stepOf(task string) (step, string, bool) {
	parts := strings.Split(task, ".")
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := s.jobs[parts[0]]
	if sub == nil || len(parts) != 4 {
		return step{}, "", false
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil || n < 0 || n >= len(sub.steps) {
		return step{}, "", false
	}
	return sub.steps[n], sub.queue, true
}

func (s *site) unasked(worker, task string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logLocked("worker %s is told to start %s, which nobody sent", worker, task)
}

// started notes a start, and checks that the worker has the required label. The
// caller holds the worker's lock.
func (s *site) started(f *life, c command, st step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := s.jobs[strings.Split(c.Task, ".")[0]]
	sub.starts++
	if sub.startedAt == nil {
		sub.startedAt = map[string][]time.Time{}
	}
	sub.startedAt[c.Task] = append(sub.startedAt[c.Task], time.Now())
	if sub.firstStart.IsZero() {
		sub.firstStart = time.Now()
		s.logLocked("first start of %s (%s): %s run %d on %s", sub.id, sub.queue, c.Task, c.RunID, f.w.id)
	}
	if st.Requirements != "" && !slices.Contains(f.labels, st.Requirements) {
		told := "the system has not heard from this life yet"
		if !f.heldAt.IsZero() {
			told = fmt.Sprintf("%d ms after this life answered its first hold", time.Since(f.heldAt).Milliseconds())
		}
		text := fmt.Sprintf("%s run %d, which requires %q, starts on %s, labels %v, born %d, %d ms after its boot, %s", c.Task, c.RunID, st.Requirements, f.w.id, f.labels, f.born.UnixMilli(), f.clockMS(), told)
		if f.heldAt.IsZero() {
			// The order may have been on its way.
			s.logLocked("not counted: %s", text)
			return
		}
		s.violationLocked("ROUTE: %s", text)
	}
}

// ended notes the end of a run.
func (s *site) ended(e *end) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends = append(s.ends, e)
	sub := s.jobs[strings.Split(e.task, ".")[0]]
	if e.how == "failed" {
		if sub.failures == nil {
			sub.failures = map[string]int{}
		}
		sub.failures[e.task]++
	}
}
