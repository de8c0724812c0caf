package node

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/settings"
)

// Guards against a memory limit that the process cannot run in, and against a
// settings file without one that is refused.
func TestMemoryLimitIsChecked(t *testing.T) {
	for memoryMB, refused := range map[float64]bool{0: false, 32: false, 183.5: false, -1: true, 8: true} {
		config := DefaultConfig()
		config.MemoryMB = memoryMB
		var problems settings.Problems
		config.Check(&problems)
		err := problems.Err()
		got := err != nil && strings.Contains(err.Error(), "memory_mb")
		qt.Check(t, got, qt.Equals, refused, qt.Commentf("%v MB: %v", memoryMB, err))
	}
}

// Guards against a bound that cannot be met, and against settings without
// evacuations that are refused.
func TestEvacuationBoundsAreChecked(t *testing.T) {
	for _, test := range []struct {
		bounds  Bounds
		refused string
	}{
		{Bounds{}, ""},
		{Bounds{EvacuateInForceMS: 5000, ColdOverage: 1.5, ColdSlack: 5}, ""},
		{Bounds{EvacuateInForceMS: 100}, "bounds.evacuate_in_force_ms"},
		{Bounds{EvacuateInForceMS: -1}, "bounds.evacuate_in_force_ms"},
		{Bounds{ColdOverage: -1.5}, "bounds.cold_overage"},
		{Bounds{ColdSlack: -1}, "bounds.cold_slack"},
	} {
		config := DefaultConfig()
		config.Bounds.EvacuateInForceMS, config.Bounds.ColdOverage, config.Bounds.ColdSlack = test.bounds.EvacuateInForceMS, test.bounds.ColdOverage, test.bounds.ColdSlack
		var problems settings.Problems
		config.Check(&problems)
		err := problems.Err()
		got := err != nil && strings.Contains(err.Error(), test.refused)
		qt.Check(t, got || test.refused == "" && (err == nil || !strings.Contains(err.Error(), "evacuate") && !strings.Contains(err.Error(), "cold")), qt.IsTrue, qt.Commentf("%+v: %v", test.bounds, err))
	}
}
