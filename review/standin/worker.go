package main

import (
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the small site, as in the settings of the nodes.
const (
	holdMaxMS       = 6000
	stopMS          = 100 // at most stopTimeoutMs, 200
	gangTimeoutMS   = 3000
	checkpointEvery = 500
	heartbeatMS     = 1500
	endsPerReport   = 500
)

// workerMode is how a worker's link treats the calls that arrive.
type workerMode int

const (
	workerServes workerMode = iota
	// workerDark: the worker has crashed or is cut off; no call reaches it.
	workerDark
	// workerMute: calls reach the worker and are carried out; the answers are
	// lost. New connections can't be opened.
	workerMute
)

// worker is one life of a worker: it carries out orders as PROTOCOL.md says.
type worker struct {
	rig     *rig
	id      string
	service string
	labels  []string
	addr    string
	cpu     int
	memMB   int

	mu      sync.Mutex
	mode    workerMode
	up      bool
	born    time.Time
	token   uint64
	lease   int64 // on the worker's clock
	runs    map[string]*taskRun
	highest map[string]int
	ends    []taskEnd
	lastEnd int64
	acked   int64
	// lapsed is when the lease was last over.
	lapsed  time.Time
	changed chan struct{}
	// lastBeat is when its entry last reached the store; listed is whether the
	// store holds it.
	lastBeat time.Time
	listed   bool
	sequence int
	// beats is whether its heartbeats reach the store.
	beats  bool
	tokens map[string]time.Time // tickets of the adviser
	refuse bool                 // answers run-start with 503
}

type taskRun struct {
	task    string
	run     int
	step    *stepSpec
	need    float64 // ms of work
	worked  float64
	saved   string
	stopAt  time.Time
	began   time.Time
	started time.Time
}

type taskEnd struct {
	n     int64
	task  string
	run   int
	how   string
	saved string
	at    time.Time
}

func (r *rig) newWorker(id, service string, labels []string, cpu, memMB int) *worker {
	w := &worker{rig: r, id: id, service: service, labels: labels, cpu: cpu, memMB: memMB, beats: true}
	w.birth()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	w.addr = l.Addr().String()
	mux := http.NewServeMux()
	for path, serve := range map[string]func(http.ResponseWriter, *http.Request, order){
		"/api/run-start": w.start, "/api/run-stop": w.stop, "/api/hold": w.hold, "/api/pace": w.pace,
	} {
		mux.HandleFunc("POST "+path, w.guard(path, serve))
	}
	go http.Serve(l, mux)
	r.workers = append(r.workers, w)
	return w
}

// birth starts a new life of the worker.
func (w *worker) birth() {
	w.up, w.born, w.token, w.lease, w.lastEnd, w.acked = true, time.Now(), 0, 0, 0, 0
	w.runs, w.highest, w.ends, w.changed = map[string]*taskRun{}, map[string]int{}, nil, make(chan struct{})
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// crash ends the worker's life: its runs end, and it answers nothing more.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.runs {
		w.rig.runOver(w, t, "crash")
	}
	w.runs = map[string]*taskRun{}
	w.up, w.mode, w.beats = false, workerDark, false
	note("worker %s crashes", w.id)
}

func (w *worker) setLink(m workerMode, beats bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mode, w.beats = m, beats
}

type order struct {
	Task         string `json:"task"`
	RunID        int    `json:"runId"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	Checkpoint   string `json:"checkpoint"`
	Ticket       string `json:"ticket"`
	AckCursor    int64  `json:"ackCursor"`
	WaitMS       int64  `json:"waitMs"`
	Percent      int    `json:"percent"`
}

// guard applies the link's mode and the boot that the caller expects.
func (w *worker) guard(path string, serve func(http.ResponseWriter, *http.Request, order)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		w.mu.Lock()
		mode := w.mode
		w.mu.Unlock()
		if mode == workerDark {
			<-r.Context().Done()
			return
		}
		var o order
		if json.Unmarshal(body, &o) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if mode == workerMute {
			o.WaitMS = 0
			serve(&lostAnswer{}, r, o)
			<-r.Context().Done()
			return
		}
		serve(rw, r, o)
	}
}

// lostAnswer swallows an answer.
type lostAnswer struct{ header http.Header }

func (l *lostAnswer) Header() http.Header {
	if l.header == nil {
		l.header = http.Header{}
	}
	return l.header
}
func (l *lostAnswer) Write(b []byte) (int, error) { return len(b), nil }
func (l *lostAnswer) WriteHeader(int)             {}

// fenced reports whether the order's token is lower than the highest seen. The
// caller holds the lock.
func (w *worker) fenced(o order) bool {
	if o.FencingToken < w.token {
		return true
	}
	w.token = o.FencingToken
	return false
}

func (w *worker) extend(deadline int64) {
	w.lease = max(w.lease, min(deadline, w.clock()+holdMaxMS))
}

// answer returns the body of an answer with the given fields. The caller holds
// the lock.
func (w *worker) answer(pairs ...any) map[string]any {
	out := map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli()}
	for i := 0; i+1 < len(pairs); i += 2 {
		out[pairs[i].(string)] = pairs[i+1]
	}
	return out
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request, o order) {
	w.mu.Lock()
	status, reason := w.startNow(o)
	answer := w.answer()
	if reason != "" {
		answer["reason"] = reason
	}
	note("order  %s start %s run=%d token=%d -> %d %s", w.id, o.Task, o.RunID, o.FencingToken, status, reason)
	w.mu.Unlock()
	writeJSON(rw, status, answer)
}

func (w *worker) startNow(o order) (int, string) {
	if w.refuse {
		return http.StatusServiceUnavailable, ""
	}
	if w.fenced(o) {
		return http.StatusConflict, "fence"
	}
	step, sub := w.rig.stepOf(o.Task)
	if step == nil || o.Spec != sub.spec {
		w.rig.breach("UNASKED: %s is told to start %s, which no client sent like that", w.id, o.Task)
		return http.StatusBadRequest, ""
	}
	if t := w.runs[o.Task]; t != nil && t.run == o.RunID {
		w.extend(o.DeadlineMS)
		return http.StatusOK, ""
	}
	used, usedMem := 0, 0
	for _, t := range w.runs {
		if !t.step.Fills {
			used += t.step.CPU
		}
		usedMem += t.step.MemMB
	}
	need := step.CPU
	if step.Fills {
		need = 0
	}
	switch {
	case o.RunID <= w.highest[o.Task] || w.runs[o.Task] != nil:
		w.extend(o.DeadlineMS)
		return http.StatusConflict, "old"
	case o.DeadlineMS <= w.clock():
		return http.StatusConflict, "late"
	case sub.queue.advised && !w.rig.adviser.valid(o.Task, w.id, o.Ticket):
		return http.StatusConflict, "ticket"
	case used+need > w.cpu || usedMem+step.MemMB > w.memMB:
		if w.rig.guards {
			w.extend(o.DeadlineMS)
			return http.StatusConflict, "room"
		}
		w.rig.breach("LIMIT: %s starts %s with %d of %d in use, %d more", w.id, o.Task, used, w.cpu, need)
	}
	w.extend(o.DeadlineMS)
	work := float64(step.workMS)
	if work == 0 {
		work = float64(step.EstimateMS)
	}
	t := &taskRun{task: o.Task, run: o.RunID, step: step, need: work, began: time.Now()}
	if o.Checkpoint != "" {
		done, _ := strconv.ParseFloat(strings.TrimPrefix(o.Checkpoint, "at"), 64)
		t.worked, t.saved = done, o.Checkpoint
	}
	w.runs[o.Task] = t
	w.rig.runBegun(w, t)
	return http.StatusOK, ""
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request, o order) {
	w.mu.Lock()
	status, reason := http.StatusOK, ""
	switch t := w.runs[o.Task]; {
	case w.fenced(o):
		status, reason = http.StatusConflict, "fence"
	case t != nil && t.run <= o.RunID:
		if t.stopAt.IsZero() {
			t.stopAt = time.Now().Add(stopMS * time.Millisecond)
		}
	case t == nil:
		w.highest[o.Task] = max(w.highest[o.Task], o.RunID)
	}
	answer := w.answer()
	if reason != "" {
		answer["reason"] = reason
	}
	note("order  %s stop %s run=%d token=%d -> %d %s", w.id, o.Task, o.RunID, o.FencingToken, status, reason)
	w.mu.Unlock()
	writeJSON(rw, status, answer)
}

func (w *worker) pace(rw http.ResponseWriter, r *http.Request, o order) {
	w.mu.Lock()
	status, answer := http.StatusOK, w.answer()
	if w.fenced(o) {
		status, answer = http.StatusConflict, w.answer("reason", "fence")
	}
	w.mu.Unlock()
	writeJSON(rw, status, answer)
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	over := time.After(time.Duration(o.WaitMS) * time.Millisecond)
	w.mu.Lock()
	if w.fenced(o) {
		answer := w.answer("reason", "fence")
		note("order  %s hold token=%d -> 409 fence (highest seen: %d)", w.id, o.FencingToken, w.token)
		w.mu.Unlock()
		writeJSON(rw, http.StatusConflict, answer)
		return
	}
	w.extend(o.DeadlineMS)
	if o.AckCursor > w.acked {
		w.acked = o.AckCursor
		for len(w.ends) > 0 && w.ends[0].n <= o.AckCursor {
			w.rig.taken(w, w.ends[0])
			w.ends = w.ends[1:]
		}
	}
	for waiting := o.WaitMS > 0; waiting && len(w.ends) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-over:
			waiting = false
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, t := range w.runs {
		percent := 100
		if !t.step.LongRunning {
			percent = int(100 * min(t.worked/math.Max(t.need, 1), 0.99))
		} else if time.Since(t.began) < 300*time.Millisecond {
			percent = 50
		}
		running = append(running, []any{t.task, t.run, t.saved, percent, t.step.CPU})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	for i, e := range w.ends {
		if i == endsPerReport {
			break
		}
		finished = append(finished, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	unlisted := len(w.ends) - len(finished)
	if unlisted > 0 {
		note("report %s running=%d finished=%d (%d more ends wait for the next report)", w.id, len(running), len(finished), unlisted)
	}
	answer := w.answer("running", running, "finished", finished)
	lost := w.mode != workerServes
	w.mu.Unlock()
	if lost {
		<-r.Context().Done()
		return
	}
	writeJSON(rw, http.StatusOK, answer)
}

// live advances the worker's runs and sends its heartbeats until stop closes.
func (w *worker) live(stop <-chan struct{}) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for last := time.Now(); ; {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			w.mu.Lock()
			w.advance(now.Sub(last))
			last = now
			beat := w.up && w.beats && now.Sub(w.lastBeat) >= heartbeatMS*time.Millisecond
			if beat {
				w.lastBeat, w.listed = now, true
				w.sequence++
			}
			// The platform removes an entry after three heartbeat intervals of silence.
			gone := w.listed && !beat && now.Sub(w.lastBeat) > 3*heartbeatMS*time.Millisecond
			if gone {
				w.listed = false
			}
			sequence, clock, born := w.sequence, w.clock(), w.born
			w.mu.Unlock()
			if beat {
				w.rig.store.put("keyed.servers", w.id, map[string]any{
					"service": w.service, "address": w.addr, "zone": "z-a", "version": "v1", "slots": 8, "state": "ready",
					"coldRemainingMs": 0, "capacity": map[string]int{"cpu": w.cpu, "memMb": w.memMB, "gpu": 0},
					"labels": w.labels, "clockMs": clock, "sequence": sequence, "born": born.UnixMilli(),
				})
			}
			if gone {
				note("store  removes the entry of %s", w.id)
				w.rig.store.put("keyed.servers", w.id, nil)
			}
		}
	}
}

func (w *worker) advance(d time.Duration) {
	if !w.up {
		return
	}
	ms := float64(d.Microseconds()) / 1000
	if w.clock() > w.lease {
		w.lapsed = time.Now()
	}
	var names []string
	for name := range w.runs {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		t := w.runs[name]
		if t == nil {
			continue
		}
		if !t.step.Gang || w.rig.gangTogether(t) {
			t.worked += ms
		}
		if t.step.Checkpointing {
			if n := int(t.worked) / checkpointEvery; n > 0 {
				t.saved = "at" + strconv.Itoa(n*checkpointEvery)
			}
		}
		switch {
		case w.clock() > w.lease:
			w.end(t, "lapsed")
		case !t.stopAt.IsZero() && time.Now().After(t.stopAt):
			w.end(t, "stopped")
		case t.worked >= t.need && w.rig.fails(w, t):
			w.end(t, "failed")
		case !t.step.LongRunning && t.worked >= t.need:
			w.end(t, "done")
		}
	}
}

// end ends a run. The caller holds the lock.
func (w *worker) end(t *taskRun, how string) {
	delete(w.runs, t.task)
	w.highest[t.task] = max(w.highest[t.task], t.run)
	w.lastEnd++
	e := taskEnd{w.lastEnd, t.task, t.run, how, "", time.Now()}
	if t.step.Checkpointing {
		e.saved = t.saved
	}
	w.ends = append(w.ends, e)
	w.rig.runOver(w, t, how)
	close(w.changed)
	w.changed = make(chan struct{})
}
