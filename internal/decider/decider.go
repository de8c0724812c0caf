// Package decider builds the Decider of a worker group from all plug-ins.
package decider

import (
	"github.com/cespare/xxhash/v2"

	"redwingvale/internal/framework"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"

	// Registers every plug-in.
	_ "redwingvale/internal/plugins/all"
)

// New returns the Decider of a group. The group's name seeds the choice between
// equal workers, so that groups do not all choose the same workers.
func New(id spec.GroupID) policy.Decider {
	kernel, err := framework.New(framework.Config{Seed: xxhash.Sum64String(string(id))})
	if err != nil {
		// The list of plug-ins is fixed when the program is built.
		panic(err)
	}
	return kernel
}
