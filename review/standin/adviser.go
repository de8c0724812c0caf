package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// adviser is the service that knows which workers may run a step.
type adviser struct {
	addr string
	// may says whether a worker may run the steps of advised queues.
	may        func(id string) bool
	decisionMS int
	periodMS   int
	validityMS int

	turn    sync.Mutex // one call at a time for each calling machine; one machine leads
	mu      sync.Mutex
	tickets map[string]time.Time // "STEP WORKER TICKET" -> end of validity
	calls   int
}

func newAdviser(may func(string) bool) *adviser {
	a := &adviser{may: may, decisionMS: 20, periodMS: 1, validityMS: 3000, tickets: map[string]time.Time{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	a.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/advise", a.advise)
	go http.Serve(l, mux)
	return a
}

func (a *adviser) advise(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.Unmarshal(body, &q) != nil || len(q.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.turn.Lock()
	defer a.turn.Unlock()
	time.Sleep(time.Duration(a.decisionMS+a.periodMS*len(q.Workers)) * time.Millisecond)
	allowed := [][2]string{}
	a.mu.Lock()
	a.calls++
	for _, id := range q.Workers {
		if a.may(id) {
			ticket := "t-" + q.Step + "-" + id
			a.tickets[q.Step+" "+id+" "+ticket] = time.Now().Add(time.Duration(a.validityMS) * time.Millisecond)
			allowed = append(allowed, [2]string{id, ticket})
		}
	}
	a.mu.Unlock()
	note("advice %s for %d workers -> %d allowed", q.Step, len(q.Workers), len(allowed))
	writeJSON(w, http.StatusOK, map[string]any{"allowed": allowed, "validityMs": a.validityMS})
}

// valid reports whether a ticket permits the task's step on a worker now.
func (a *adviser) valid(task, id, ticket string) bool {
	step := task[:strings.LastIndex(task, ".")]
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.tickets[step+" "+id+" "+ticket])
}
