// Package invariant checks at run time, in every build, that the program keeps
// the guarantees that docs/design.md numbers P1 to P9.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Guarantee is the number of the guarantee that a check protects.
type Guarantee string

// The guarantees of docs/design.md, and P0 for internal consistency.
const (
	NeverOvercommitted  Guarantee = "P1"
	SingleExecution     Guarantee = "P2"
	ResumedOnce         Guarantee = "P3"
	CompleteResponse    Guarantee = "P4"
	NotRunIsTrue        Guarantee = "P5"
	AtMostOnce          Guarantee = "P6"
	NoWorkWhileLeaving  Guarantee = "P7"
	GracefulStop        Guarantee = "P8"
	ConfigNeverReverts  Guarantee = "P9"
	InternalConsistency Guarantee = "P0"
)

// Violation is the panic value of a failed check.
type Violation struct {
	Guarantee Guarantee
	Detail    string
}

// Error implements the error interface.
func (v *Violation) Error() string {
	return "invariant " + string(v.Guarantee) + " violated: " + v.Detail
}

var violations atomic.Int64

// Violations returns the number of failed checks in this process.
func Violations() int64 { return violations.Load() }

// Check panics with a Violation if ok is false. A process that has violated a
// guarantee must not make further decisions; its state is rebuilt from the log.
func Check(ok bool, guarantee Guarantee, format string, args ...any) {
	if ok {
		return
	}
	violations.Add(1)
	panic(&Violation{Guarantee: guarantee, Detail: fmt.Sprintf(format, args...)})
}
