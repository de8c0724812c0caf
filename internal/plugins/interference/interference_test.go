package interference

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"redwingvale/internal/framework"
	"redwingvale/internal/policy"
)

// Guards against an estimator that diverges, that attributes the slowdown to the
// wrong kind, or that is as certain about an unseen kind as about a known one.
func TestModelLearnsTheSlowdownOfEachKind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slow := rapid.Float64Range(20, 200).Draw(t, "slowdown in ms")
		noise := rapid.Uint64().Draw(t, "noise seed")
		var m model
		m.initialize(10, 40)
		for i := range 600 {
			noise = noise*6364136223846793005 + 1442695040888963407
			jitter := 0.9 + 0.2*float64(noise>>40)/(1<<24)
			quiet, noisy := float64(i%3), float64(i/3%2)
			p99 := (40 + slow*noisy) * jitter
			m.learn(8, p99, []kindWeight{{0, quiet}, {1, noisy}})
		}
		below, above := m.position(8)
		got := m.kind(1).mean(below, above)
		if got < 0.75*slow || got > 1.25*slow {
			t.Fatalf("slowdown %.1f learned as %.1f", slow, got)
		}
		if quiet := m.kind(0).mean(below, above); quiet > 0.25*slow {
			t.Fatalf("the quiet kind is blamed for %.1f of %.1f", quiet, slow)
		}
		if m.kind(2).variance(below, above) <= m.kind(1).variance(below, above) {
			t.Fatal("an unseen kind is as certain as a known one")
		}
	})
}

// fixture is one worker with a task that causes interference.
type fixture struct {
	p       *Plugin
	cluster *framework.Cluster
	w       *framework.Worker
	noisy   *framework.TaskInfo
}

func newFixture() *fixture {
	s := &fixture{p: New(framework.Config{}).(*Plugin), cluster: &framework.Cluster{Lag: 5 * time.Second}}
	s.cluster.SetServices([]policy.Service{{ID: "s", TargetP99: 100 * time.Millisecond, TailWeight: 1}})
	s.w = &framework.Worker{}
	s.cluster.Workers = []*framework.Worker{s.w}
	s.noisy = &framework.TaskInfo{Worker: s.w, ThrottledTo: 100}
	s.noisy.ID.Index = 7
	s.w.Running = []*framework.TaskInfo{s.noisy}
	s.p.OnConfigure(s.cluster)
	return s
}

func (s *fixture) report(ms int) { s.reportAt(ms, 10) }

func (s *fixture) reportAt(ms int, load float64) {
	s.cluster.Now += 5 * time.Second
	s.w.ReportedAt = s.cluster.Now
	r := policy.Report{MeasuredAt: s.cluster.Now - 2*time.Second, ServiceP99: time.Duration(ms) * time.Millisecond, ServiceLoad: load}
	s.p.Observe(s.cluster, s.w, &r)
}

func (s *fixture) setSlowdown(ms float64) {
	kind := s.p.models[0].kind(0)
	for i := range kind {
		kind[i].mean = ms
	}
}

// Guards against acting on a single high reading, against escalation that skips
// the throttle, and against throttling a task that would then miss its deadline.
func TestActionsEscalateInOrder(t *testing.T) {
	c := qt.New(t)
	s := newFixture()
	for range 30 {
		s.report(50)
	}
	s.setSlowdown(300)
	s.report(350)
	c.Assert(s.p.Throttle(s.cluster, s.w, nil), qt.HasLen, 0)
	s.report(350)
	actions := s.p.Throttle(s.cluster, s.w, nil)
	c.Assert(actions, qt.HasLen, 1)
	c.Assert(actions[0].Kind, qt.Equals, policy.ActionThrottle)
	c.Assert(s.p.Evict(s.cluster, s.w, s.noisy.Need, nil), qt.HasLen, 0)
	s.noisy.ThrottledTo = minThrottle
	c.Assert(s.p.Throttle(s.cluster, s.w, nil), qt.HasLen, 0)
	moves := s.p.Evict(s.cluster, s.w, s.noisy.Need, nil)
	c.Assert(moves, qt.HasLen, 1)
	c.Assert(moves[0].Kind, qt.Equals, policy.ActionMove)
	s.noisy.Deadline, s.noisy.Predicted = s.cluster.Now+2*time.Minute, 100*time.Second
	hurried := s.p.Throttle(s.cluster, s.w, nil)
	c.Assert(hurried, qt.HasLen, 1)
	c.Assert(hurried[0].Kind, qt.Equals, policy.ActionUnthrottle)
}

// Guards against placing an unknown kind next to urgent work while it can wait,
// against never placing it, and against delaying a task past its latest start.
func TestUnknownKindsArePlacedAtLowLoadOnly(t *testing.T) {
	for _, test := range []struct {
		name   string
		load   float64
		latest time.Duration
		placed bool
	}{
		{"busy worker", 10, time.Hour, false},
		{"quiet worker", 1, time.Hour, true},
		{"busy worker, must start", 10, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newFixture()
			s.w.Running = nil
			m := &s.p.models[0]
			m.initialize(10, 60)
			for range 20 {
				s.reportAt(60, test.load)
			}
			unknown := &framework.TaskInfo{NameIndex: 3, LatestStart: test.latest}
			c.Assert(s.p.Filter(s.cluster, unknown, s.w).OK(), qt.Equals, test.placed)
		})
	}
}
