package node

import (
	"github.com/uber-go/tally/v4"

	"redwingvale/internal/overload"
)

// overloadStats show the backlog and the refusals for lack of capacity in time.
type overloadStats struct {
	scope   tally.Scope
	refused tally.Counter
	byQueue map[string]backlogGauges
}

// backlogGauges show the backlog of one queue on the leader.
type backlogGauges struct{ tasks, work, wait, refusing tally.Gauge }

// maxBacklogQueues bounds the queues whose backlog is shown: a gauge is kept for the
// life of the process, also when the configuration drops its queue.
const maxBacklogQueues = 128

func newOverloadStats(scope tally.Scope) overloadStats {
	return overloadStats{scope: scope, refused: scope.Counter("jobs_refused_overload"), byQueue: map[string]backlogGauges{}}
}

// show updates the gauges of the queues' backlogs. Those of queues that are not
// listed are set to 0.
func (s *overloadStats) show(statuses []overload.Status) {
	for _, g := range s.byQueue {
		g.show(overload.Status{})
	}
	for _, status := range statuses {
		g, ok := s.byQueue[status.Queue]
		if !ok {
			if len(s.byQueue) >= maxBacklogQueues {
				continue
			}
			scope := s.scope.Tagged(map[string]string{"queue": status.Queue})
			g = backlogGauges{scope.Gauge("backlog_tasks"), scope.Gauge("backlog_core_seconds"), scope.Gauge("backlog_wait_seconds"), scope.Gauge("overload_refusing_seconds")}
			s.byQueue[status.Queue] = g
		}
		g.show(status)
	}
}

func (g backlogGauges) show(s overload.Status) {
	g.tasks.Update(float64(s.Tasks))
	g.work.Update(float64(s.Work) / 1000)
	g.wait.Update(float64(s.WaitMS) / 1000)
	g.refusing.Update(float64(s.RefusingMS) / 1000)
}

// showBacklog updates the gauges of the queues' backlogs. It runs in the event loop.
func (n *Node) showBacklog() {
	var statuses []overload.Status
	if n.term != nil {
		statuses = n.term.core.Backlog(nil)
	}
	n.stats.overload.show(statuses)
}
