package standin

import (
	"context"
	"sort"
	"sync"
	"time"

	"redwingvale/internal/platform"
)

// List is an instance list in which changes become visible only after a lag.
type List struct {
	mu      sync.Mutex
	lag     time.Duration
	stamp   uint64
	current map[string]platform.InstanceEntry
	history []listChange
}

type listChange struct {
	at    time.Time
	entry platform.InstanceEntry
}

// NewList returns an empty list whose changes become visible after lag.
func NewList(lag time.Duration) *List {
	return &List{lag: lag, current: make(map[string]platform.InstanceEntry)}
}

// Set records a new state of an instance. It becomes visible after the lag.
func (l *List) Set(entry platform.InstanceEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stamp++
	entry.Stamp = l.stamp
	l.history = append(l.history, listChange{at: time.Now(), entry: entry})
}

// List implements platform.InstanceList.
func (l *List) List(context.Context) ([]platform.InstanceEntry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.publishDue(time.Now())
	out := make([]platform.InstanceEntry, 0, len(l.current))
	for _, entry := range l.current {
		out = append(out, entry)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out, nil
}

// publishDue applies the changes that are older than the lag to the visible
// list.
func (l *List) publishDue(now time.Time) {
	done := 0
	for done < len(l.history) && now.Sub(l.history[done].at) >= l.lag {
		entry := l.history[done].entry
		l.current[entry.ID] = entry
		done++
	}
	l.history = l.history[done:]
}
