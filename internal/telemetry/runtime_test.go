package telemetry

import (
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a metric that the runtime has renamed: its figure would be 0 in
// every load line.
func TestRuntimeReaderKnowsEveryMetric(t *testing.T) {
	c := qt.New(t)
	r := NewRuntimeReader()
	before := r.Read()
	kept := make([][]byte, 0, 64)
	for range 64 {
		kept = append(kept, make([]byte, 64<<10))
	}
	runtime.GC()
	after := r.Read()
	runtime.KeepAlive(kept)
	c.Check(after.AllocatedBytes-before.AllocatedBytes >= 64*64<<10, qt.IsTrue)
	c.Check(after.Collections > before.Collections, qt.IsTrue)
	c.Check(after.Collector > before.Collector, qt.IsTrue)
	c.Check(after.LiveBytes >= 64*64<<10, qt.IsTrue)
	c.Check(after.GoalBytes >= after.LiveBytes, qt.IsTrue)
	c.Check(after.MappedBytes >= after.LiveBytes, qt.IsTrue)
	c.Check(after.Processor > 0, qt.IsTrue)
	for i := range r.samples {
		c.Check(r.samples[i].Value.Kind(), qt.Not(qt.Equals), 0, qt.Commentf("%s", runtimeSamples[i]))
	}
}
