package node

import (
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"redwingvale/internal/planner"
	"redwingvale/internal/telemetry"
)

// duty is a kind of work of the event loop.
type duty int

// The duties. Reports are the outcomes of hold calls, outcomes those of all other
// calls to workers.
const (
	dutyTick duty = iota
	dutyRequests
	dutyReports
	dutyOutcomes
	dutyLog
	dutyMembers
	dutyCount
)

var dutyNames = [dutyCount]string{"tick", "requests", "reports", "outcomes", "log", "members"}

// loopEvent is an event of the event loop.
type loopEvent struct {
	duty   duty
	posted time.Time
	run    func()
}

// dutyOf returns the duty that an event of the planner belongs to.
func dutyOf(e planner.Event) duty {
	switch e.(type) {
	case planner.HoldDone:
		return dutyReports
	case planner.StartDone, planner.StopDone, planner.PaceDone, planner.AdviceDone:
		return dutyOutcomes
	case planner.Tick:
		return dutyTick
	case planner.SubmitRequested, planner.CancelRequested:
		return dutyRequests
	case planner.RecordsRead, planner.WriteDone, planner.WriteRejected:
		return dutyLog
	}
	return dutyMembers
}

const (
	// loadInterval is the interval at which the load is reported.
	loadInterval = 5 * time.Second
	// lagWarning is the delay of an event from which on an instance that does not
	// lead logs its load too.
	lagWarning = 200 * time.Millisecond
)

// loadMeter measures what the event loop does and how far it is behind. The event
// loop owns it.
type loadMeter struct {
	runtime    *telemetry.RuntimeReader
	last       telemetry.RuntimeUsage
	lastBusy   [dutyCount]time.Duration
	lastPlan   [dutyCount]time.Duration
	lastWork   planner.Work
	reportedMS int64

	// busy is the time by duty since the start, planning the part of it that the
	// planner took, by the duty of its event.
	busy     [dutyCount]time.Duration
	events   [dutyCount]int64
	planning [dutyCount]time.Duration
	// steps counts the planner's events by duty since the last report.
	steps [dutyCount]int64
	// maxLagMS is the longest delay of an event since the last report, tickLagMS
	// that since the last tick.
	maxLagMS, tickLagMS int64
	// maxDelegateLagMS is the longest time since the last report that a probe of a
	// delegate took, maxOutcomeWaitMS that for which an outcome waited here until
	// the leader had it.
	maxDelegateLagMS int64
	maxOutcomeWaitMS atomic.Int64

	lag         tally.Histogram
	delegateLag tally.Histogram
	outcomeWait tally.Histogram
	busyMicros  [dutyCount]tally.Counter
	planMicros  [dutyCount]tally.Counter
	collections tally.Counter
	collectorUS tally.Counter
	assistUS    tally.Counter
	allocated   tally.Counter
	liveBytes   tally.Gauge
	goalBytes   tally.Gauge
	mappedBytes tally.Gauge
}

func newLoadMeter(scope tally.Scope) *loadMeter {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)
	m := &loadMeter{
		runtime:     telemetry.NewRuntimeReader(),
		lag:         scope.Histogram("loop_lag_seconds", buckets),
		delegateLag: scope.Histogram("delegate_lag_seconds", buckets),
		outcomeWait: scope.Histogram("outcome_wait_seconds", buckets),
		collections: scope.Counter("gc_collections"),
		collectorUS: scope.Counter("gc_microseconds"),
		assistUS:    scope.Counter("gc_assist_microseconds"),
		allocated:   scope.Counter("allocated_bytes"),
		liveBytes:   scope.Gauge("heap_live_bytes"),
		goalBytes:   scope.Gauge("heap_goal_bytes"),
		mappedBytes: scope.Gauge("memory_mapped_bytes"),
	}
	for d := range dutyCount {
		tagged := scope.Tagged(map[string]string{"duty": dutyNames[d]})
		m.busyMicros[d] = tagged.Counter("loop_busy_microseconds")
		m.planMicros[d] = tagged.Counter("planner_microseconds")
	}
	m.last = m.runtime.Read()
	return m
}

// handled notes that an event has been handled.
func (m *loadMeter) handled(d duty, took time.Duration) {
	m.busy[d] += took
	m.events[d]++
}

// planned notes that the planner has handled an event.
func (m *loadMeter) planned(d duty, took time.Duration) {
	m.planning[d] += took
	m.steps[d]++
}

// delayed notes how long an event has waited.
func (m *loadMeter) delayed(lag time.Duration) {
	m.maxLagMS = max(m.maxLagMS, lag.Milliseconds())
	m.tickLagMS = max(m.tickLagMS, lag.Milliseconds())
	m.lag.RecordDuration(lag)
}

// probed notes how long a delegate took for a probe.
func (m *loadMeter) probed(lagMS int64) {
	m.maxDelegateLagMS = max(m.maxDelegateLagMS, lagMS)
	m.delegateLag.RecordDuration(millisecondsDuration(lagMS))
}

// reported notes how long the oldest outcome of a batch waited for the leader. Any
// goroutine may call it.
func (m *loadMeter) reported(waitMS int64) {
	for {
		highest := m.maxOutcomeWaitMS.Load()
		if waitMS <= highest || m.maxOutcomeWaitMS.CompareAndSwap(highest, waitMS) {
			break
		}
	}
	m.outcomeWait.RecordDuration(millisecondsDuration(waitMS))
}

// late reports whether an event, or an outcome for the leader, has waited for long.
func (m *loadMeter) late() bool {
	return max(m.maxLagMS, m.maxOutcomeWaitMS.Load()) >= milliseconds(lagWarning)
}

// lagSinceTick returns the longest delay of an event since the last tick.
func (m *loadMeter) lagSinceTick() int64 {
	lagMS := m.tickLagMS
	m.tickLagMS = 0
	return lagMS
}

// due reports whether the load is to be reported.
func (m *loadMeter) due(nowMS int64) bool {
	return nowMS-m.reportedMS >= milliseconds(loadInterval)
}

// report updates the metrics and returns the fields of the log line that describe
// the time since the last report.
func (m *loadMeter) report(nowMS int64, queued int, work planner.Work) []zap.Field {
	usage := m.runtime.Read()
	m.collections.Inc(int64(usage.Collections - m.last.Collections))
	m.collectorUS.Inc((usage.Collector - m.last.Collector).Microseconds())
	m.assistUS.Inc((usage.Assist - m.last.Assist).Microseconds())
	m.allocated.Inc(int64(usage.AllocatedBytes - m.last.AllocatedBytes))
	m.liveBytes.Update(float64(usage.LiveBytes))
	m.goalBytes.Update(float64(usage.GoalBytes))
	m.mappedBytes.Update(float64(usage.MappedBytes))
	fields := []zap.Field{
		zap.Int64("interval_ms", nowMS-m.reportedMS),
		zap.Int64("lag_max_ms", m.maxLagMS),
		zap.Int64("delegate_lag_max_ms", m.maxDelegateLagMS),
		zap.Int64("outcome_wait_max_ms", m.maxOutcomeWaitMS.Swap(0)),
		zap.Int("queued", queued),
		zap.Int64("processor_ms", (usage.Processor - m.last.Processor).Milliseconds()),
	}
	for d := range dutyCount {
		took := m.busy[d] - m.lastBusy[d]
		m.busyMicros[d].Inc(took.Microseconds())
		planned := m.planning[d] - m.lastPlan[d]
		m.planMicros[d].Inc(planned.Microseconds())
		fields = append(fields,
			zap.Int64(dutyNames[d], m.events[d]),
			zap.Int64(dutyNames[d]+"_ms", took.Milliseconds()),
			zap.Int64(dutyNames[d]+"_planner", m.steps[d]),
			zap.Int64(dutyNames[d]+"_planner_ms", planned.Milliseconds()))
		m.events[d], m.steps[d] = 0, 0
	}
	fields = append(fields,
		zap.Int64("passes", work.Passes-m.lastWork.Passes),
		zap.Int64("steps_tried", work.StepsTried-m.lastWork.StepsTried),
		zap.Int64("workers_checked", work.WorkersChecked-m.lastWork.WorkersChecked),
		zap.Int("steps_waiting", work.StepsWaiting))
	m.lastWork = work
	const mb = 1 << 20
	fields = append(fields,
		zap.Uint64("gc_cycles", usage.Collections-m.last.Collections),
		zap.Int64("gc_ms", (usage.Collector-m.last.Collector).Milliseconds()),
		zap.Int64("gc_assist_ms", (usage.Assist-m.last.Assist).Milliseconds()),
		zap.Uint64("allocated_mb", (usage.AllocatedBytes-m.last.AllocatedBytes)/mb),
		zap.Uint64("heap_live_mb", usage.LiveBytes/mb),
		zap.Uint64("heap_goal_mb", usage.GoalBytes/mb),
		zap.Uint64("memory_mb", usage.MappedBytes/mb),
	)
	m.last, m.lastBusy, m.lastPlan = usage, m.busy, m.planning
	m.reportedMS, m.maxLagMS, m.maxDelegateLagMS = nowMS, 0, 0
	return fields
}
