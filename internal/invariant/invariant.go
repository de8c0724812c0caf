// Package invariant checks at run time, in every build, that the program keeps
// the guarantees that docs/design.md numbers P1 to P9.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Promise is the number of the guarantee that a check protects.
type Promise string

// The guarantees of docs/design.md, and P0 for internal consistency.
const (
	NeverOvercommitted  Promise = "P1"
	OnePlaceAtATime     Promise = "P2"
	ResumedOnce         Promise = "P3"
	WholeAnswer         Promise = "P4"
	TrueRefusal         Promise = "P5"
	AtMostOnce          Promise = "P6"
	LeavingGetsNothing  Promise = "P7"
	GracefulStop        Promise = "P8"
	ConfigNeverReverts  Promise = "P9"
	InternalConsistency Promise = "P0"
)

// Violation is the panic value of a failed check.
type Violation struct {
	Promise Promise
	Detail  string
}

// Error implements the error interface.
func (v *Violation) Error() string {
	return "invariant " + string(v.Promise) + " violated: " + v.Detail
}

var violations atomic.Int64

// Violations returns the number of failed checks in this process.
func Violations() int64 { return violations.Load() }

// Check panics with a Violation if ok is false. A process that has violated a
// guarantee must not make further decisions; its state is rebuilt from the log.
func Check(ok bool, promise Promise, format string, args ...any) {
	if ok {
		return
	}
	violations.Add(1)
	panic(&Violation{Promise: promise, Detail: fmt.Sprintf(format, args...)})
}
