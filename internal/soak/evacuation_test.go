package soak

import (
	"context"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Checks the guarantees while zones are evacuated beside other faults, with calls to
// workers through other instances, which decline them by their own reading.
func TestSoakEvacuatesZones(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	o := testOptions(t, 5)
	o.Zones, o.WorkersPerRack, o.Workers, o.Delegates = 3, 3, 9, true
	result, err := Run(context.Background(), o)
	c.Assert(err, qt.IsNil)
	t.Log(result)
	c.Assert(result.Violations, qt.HasLen, 0)
	c.Assert(result.Completed > 0, qt.IsTrue)
}

// Guards against a soak that does not detect starts in an evacuated zone: the
// settings of these instances turn evacuations off.
func TestSoakDetectsIgnoredEvacuations(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	o := testOptions(t, 5)
	o.Zones, o.WorkersPerRack, o.Workers, o.KillAll = 3, 3, 9, false
	o.IgnoreEvacuations, o.StopOnViolation = true, true
	result, err := Run(context.Background(), o)
	c.Assert(err, qt.IsNil)
	t.Log(result)
	c.Assert(slices.ContainsFunc(result.Violations, func(s string) bool { return strings.HasPrefix(s, "EVAC") }), qt.IsTrue, qt.Commentf("%v", result.Violations))
}
