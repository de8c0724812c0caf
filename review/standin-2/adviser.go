//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"time"
)

// adviser answers which workers may run a step. It handles one call at a time, in
// turn; a call whose caller has gone is left out.
type adviser struct {
	s    *site
	addr string

	turn    chan struct{}
	mu      sync.Mutex
	waiting int
	figures map[string]advice
	tickets map[string]time.Time
	answers int
	gone    int
}

// advice holds the figures of a queue in the manifest.
type advice struct{ DecisionMS, PeriodMS, ValidityMS int }

func (a advice) manifest() map[string]any {
	return map[string]any{"decisionMs": a.DecisionMS, "periodMs": a.PeriodMS, "validityMs": a.ValidityMS}
}

func newAdviser(s *site) *adviser {
	a := &adviser{s: s, turn: make(chan struct{}, 1), figures: map[string]advice{}, tickets: map[string]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/advise", a.advise)
	a.addr, _ = serve(mux)
	return a
}

// allowed says whether a worker may run a step, which does not change: three of four
// may.
func allowed(step, worker string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(step + worker))
	return h.Sum32()%4 != 0
}

func (a *adviser) advise(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Workers) > 100 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	if a.waiting >= 32 {
		a.mu.Unlock()
		rw.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.waiting++
	a.mu.Unlock()
	asked := time.Now()
	select {
	case a.turn <- struct{}{}:
	case <-r.Context().Done():
		a.left(body.Step, len(body.Workers), asked, "before its turn")
		return
	}
	defer func() { <-a.turn }()
	sub, queue := strings.Split(body.Step, ".")[0], ""
	a.s.mu.Lock()
	if job := a.s.jobs[sub]; job != nil {
		queue = job.queue
	}
	a.s.mu.Unlock()
	a.mu.Lock()
	f := a.figures[queue]
	a.mu.Unlock()
	took := time.Duration(f.DecisionMS+f.PeriodMS*len(body.Workers)) * time.Millisecond
	select {
	case <-time.After(took):
	case <-r.Context().Done():
		a.left(body.Step, len(body.Workers), asked, fmt.Sprintf("before its answer, due after %d ms", took.Milliseconds()))
		return
	}
	rows := [][2]string{}
	a.mu.Lock()
	a.waiting--
	a.answers++
	for _, w := range body.Workers {
		if allowed(body.Step, w) {
			ticket := fmt.Sprintf("%s-%d", w, a.answers)
			a.tickets[body.Step+" "+w+" "+ticket] = time.Now().Add(time.Duration(f.ValidityMS) * time.Millisecond)
			rows = append(rows, [2]string{w, ticket})
		}
	}
	a.mu.Unlock()
	a.s.log("advice for %s on %d workers: %d allowed, after %d ms", body.Step, len(body.Workers), len(rows), time.Since(asked).Milliseconds())
	answer(rw, http.StatusOK, map[string]any{"allowed": rows, "validityMs": f.ValidityMS})
}

func (a *adviser) left(step string, workers int, asked time.Time, when string) {
	a.mu.Lock()
	a.waiting--
	a.gone++
	a.mu.Unlock()
	a.s.log("the caller for advice on %s and %d workers has gone after %d ms, %s", step, workers, time.Since(asked).Milliseconds(), when)
}

// valid reports whether a start on a queue may go on.
func (a *adviser) valid(queue, task, worker, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.figures[queue]; !ok {
		return true
	}
	step := task[:strings.LastIndex(task, ".")]
	return time.Now().Before(a.tickets[step+" "+worker+" "+ticket])
}
