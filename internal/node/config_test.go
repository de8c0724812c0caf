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
