package planner

import (
	"fmt"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestInterferenceOfManyImages guards against images that share a column of the
// model: on a large site thirty images run beside serving tasks, and a harmless
// one must not be held back for a harmful one.
func TestInterferenceOfManyImages(t *testing.T) {
	c := qt.New(t)
	im := newInterferenceModel()
	for i := range 30 {
		im.column(fmt.Sprint("image", i))
	}
	loud, quiet := im.column("image28"), im.column("image29")
	model := im.model("serve")
	for i := range 600 {
		use := make(bestEffortUse, 31)
		rise := 0.0
		if i%2 == 0 {
			use[loud], rise = 0.2, math.Log(3)
		} else {
			use[quiet] = 0.2
		}
		model.observe(use, rise)
	}
	c.Assert(model.coefficient(loud) > 4*model.coefficient(quiet), qt.IsTrue, qt.Commentf("loud %.2f, quiet %.2f", model.coefficient(loud), model.coefficient(quiet)))
}

// TestImagesAreBounded guards against a model that grows with the images that callers
// name: it keeps the ones looked up last, in memory and in its record.
func TestImagesAreBounded(t *testing.T) {
	c := qt.New(t)
	im := newInterferenceModel()
	used := im.model("used")
	before := heapBytes()
	for i := range 5000 {
		im.column(fmt.Sprint("filler", i))
		im.model(fmt.Sprint("serve", i))
		c.Assert(im.model("used") == used, qt.IsTrue)
	}
	grown := heapBytes() - before
	c.Check(grown < 8<<20, qt.IsTrue, qt.Commentf("%d bytes", grown))
	value, err := im.record()
	c.Assert(err, qt.IsNil)
	c.Assert(len(value) < 128<<10, qt.IsTrue, qt.Commentf("%d bytes", len(value)))
	restored := newInterferenceModel()
	c.Assert(restored.restore(value), qt.IsNil)
	c.Assert(len(restored.serving), qt.Equals, maxServingImages)
	c.Assert(restored.column("filler7"), qt.Equals, im.column("filler7"))
}
