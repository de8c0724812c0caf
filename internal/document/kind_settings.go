package document

import (
	"time"

	"redwingvale/internal/spec"
)

// KindSettings are the settings of one kind of job in a document.
type KindSettings struct {
	PerTask spec.Resources
	// RunTime is the declared run time of one task; zero for a long-running
	// kind.
	RunTime          time.Duration
	RestartFromStart bool
}

// Kind returns the settings of a declared kind of a class, and false when the
// document does not declare it.
func (d *Document) Kind(class spec.Class, name string) (KindSettings, bool) {
	if class == spec.Deadline {
		kind, ok := d.DeadlineKind(name)
		return KindSettings{kind.Resources(), kind.RunTime(), kind.Restart == FromStart}, ok
	}
	if class == spec.LongRunning {
		kind, ok := d.LongRunningKind(name)
		return KindSettings{kind.Resources(), 0, kind.Restart == FromStart}, ok
	}
	return KindSettings{}, false
}
