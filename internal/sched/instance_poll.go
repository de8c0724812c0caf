package sched

import (
	"context"
	"time"

	"go.uber.org/zap"

	"redwingvale/internal/platform"
)

// listPeriod is how often the instance list is read.
const listPeriod = 500 * time.Millisecond

// listTimeout bounds one read of the instance list.
const listTimeout = 2 * time.Second

// instancesListed is the event that the instance list was read.
type instancesListed struct {
	entries []platform.InstanceEntry
}

// pollInstances reads the instance list until ctx ends. A failed read leaves
// the last known list in place.
func (s *Sched) pollInstances(ctx context.Context) {
	ticker := time.NewTicker(listPeriod)
	defer ticker.Stop()
	for {
		s.readInstances(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Sched) readInstances(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, err := s.deps.List.List(call)
	if err != nil {
		s.log.Warn("instance_list_unreadable", zap.String("error", err.Error()))
		return
	}
	s.deliver(ctx, instancesListed{entries: entries})
}
