package health

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/framework"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// fixture is a cluster of eight workers with only this plug-in.
type fixture struct {
	p       *Plugin
	cluster *framework.Cluster
}

func newFixture() *fixture {
	b := &fixture{p: New(framework.Config{}).(*Plugin), cluster: &framework.Cluster{}}
	for i := range 8 {
		b.cluster.Workers = append(b.cluster.Workers, &framework.Worker{Index: i})
	}
	return b
}

// end reports the end of an attempt and applies the decision as the kernel does.
func (b *fixture) end(worker int, job string, end policy.EndKind) {
	w := b.cluster.Workers[worker]
	t := &framework.TaskInfo{Task: policy.Task{ID: spec.TaskID{Job: spec.JobID{Team: "t", Name: job}}}, Worker: w}
	b.p.Learn(b.cluster, t, end, time.Second)
	b.checkWorker(w)
}

func (b *fixture) checkWorker(w *framework.Worker) {
	verdict, _ := b.p.CheckWorker(b.cluster, w)
	switch verdict {
	case framework.Isolate:
		w.Isolated, w.Probing = true, false
	case framework.Probe:
		w.Probing = true
	case framework.Release:
		w.Isolated, w.Probing = false, false
	}
}

func (b *fixture) isolated() string {
	out := ""
	for i, w := range b.cluster.Workers {
		if w.Isolated {
			out += fmt.Sprint(i)
		}
	}
	return out
}

// isolationCases are sequences of ends and the workers that they isolate.
var isolationCases = []struct {
	name string
	run  func(b *fixture)
	want string
}{
	{"three jobs fail on one worker", func(b *fixture) {
		for i := range 3 {
			b.end(0, fmt.Sprint("j", i), policy.EndFailed)
		}
	}, "0"},
	{"a success in between", func(b *fixture) {
		for i := range 6 {
			b.end(0, fmt.Sprint("j", i), policy.EndFailed)
			if i == 1 || i == 3 {
				b.end(0, "good", policy.EndDone)
			}
		}
	}, ""},
	{"one job fails everywhere", func(b *fixture) {
		for i := range 24 {
			b.end(i%8, "bad", policy.EndFailed)
		}
	}, ""},
	{"several jobs fail everywhere", func(b *fixture) {
		for i := range 40 {
			b.end(i%8, fmt.Sprint("bad", i/8), policy.EndFailed)
		}
	}, ""},
	{"a job that runs elsewhere", func(b *fixture) {
		b.end(1, "good", policy.EndDone)
		for range 3 {
			b.end(0, "good", policy.EndFailed)
		}
	}, "0"},
	{"a rack is lost", func(b *fixture) {
		for i := range 40 {
			b.end(i%8, fmt.Sprint("j", i), policy.EndLost)
		}
	}, ""},
	{"everything fails", func(b *fixture) {
		for i := range 80 {
			b.end(i/10, fmt.Sprint("j", i), policy.EndFailed)
		}
	}, "01"},
}

// Guards against wrong attribution of failures: a faulty worker that is not
// isolated, healthy workers isolated because of a faulty job or a lost rack, and
// a common cause that isolates most workers.
func TestIsolatesOnlyFaultyWorkers(t *testing.T) {
	for _, test := range isolationCases {
		t.Run(test.name, func(t *testing.T) {
			b := newFixture()
			test.run(b)
			qt.Assert(t, b.isolated(), qt.Equals, test.want)
		})
	}
}

// Guards against a worker that stays isolated after it was repaired, and against
// another probe immediately after a failed one.
func TestSuccessfulProbeReleasesWorker(t *testing.T) {
	c := qt.New(t)
	b := newFixture()
	w := b.cluster.Workers[0]
	for i := range 3 {
		b.end(0, fmt.Sprint("j", i), policy.EndFailed)
	}
	b.checkWorker(w)
	c.Assert(w.Probing, qt.IsFalse)
	b.cluster.Now = initialProbeDelay
	b.checkWorker(w)
	c.Assert(w.Probing, qt.IsTrue)
	b.end(0, "probe", policy.EndFailed)
	c.Assert(w.Probing, qt.IsFalse)
	b.cluster.Now += initialProbeDelay
	b.checkWorker(w)
	c.Assert(w.Probing, qt.IsFalse)
	b.cluster.Now += initialProbeDelay
	b.checkWorker(w)
	c.Assert(w.Probing, qt.IsTrue)
	b.end(0, "probe", policy.EndDone)
	c.Assert(w.Isolated, qt.IsFalse)
}
