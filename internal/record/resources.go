// Package record converts between domain types and the protobuf messages of
// records and RPCs.
package record

import (
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// FromResources converts an amount to its message.
func FromResources(r spec.Resources) *recordv1.Resources {
	return &recordv1.Resources{
		MilliCpu:     r.MilliCPU,
		MemoryMib:    r.MemoryMiB,
		Accelerators: r.Accelerators,
		Slots:        r.Slots,
		Connections:  r.Connections,
	}
}

// ToResources converts a message to an amount; a nil message is zero.
func ToResources(r *recordv1.Resources) spec.Resources {
	return spec.Resources{
		MilliCPU:     r.GetMilliCpu(),
		MemoryMiB:    r.GetMemoryMib(),
		Accelerators: r.GetAccelerators(),
		Slots:        r.GetSlots(),
		Connections:  r.GetConnections(),
	}
}
