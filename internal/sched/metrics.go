package sched

import "github.com/uber-go/tally/v4"

// metrics are the gauges of the decision loop.
type metrics struct {
	groupsFollowed tally.Gauge
	groupsOwned    tally.Gauge
	journalBytes   tally.Gauge
	eventsWaiting  tally.Gauge
	recordsWaiting tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		groupsFollowed: scope.Gauge("groups_followed"),
		groupsOwned:    scope.Gauge("groups_owned"),
		journalBytes:   scope.Gauge("journal_bytes"),
		eventsWaiting:  scope.Gauge("events_waiting"),
		recordsWaiting: scope.Gauge("records_waiting"),
	}
}

func (m *metrics) observe(d *decisionLoop) {
	owned := 0
	for _, g := range d.groups {
		if g.lease.Until > 0 {
			owned++
		}
	}
	m.groupsFollowed.Update(float64(len(d.groups)))
	m.groupsOwned.Update(float64(owned))
	m.journalBytes.Update(float64(d.writer.Buffered()))
	m.eventsWaiting.Update(float64(d.sched.events.Len()))
	m.recordsWaiting.Update(float64(len(d.pendingWrites)))
}
