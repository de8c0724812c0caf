// Package record converts between domain types and the messages that stand in
// records and on the wire.
package record

import (
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// FromResources returns the message of an amount.
func FromResources(r spec.Resources) *recordv1.Resources {
	return &recordv1.Resources{
		MilliCpu:     r.MilliCPU,
		MemoryMib:    r.MemoryMiB,
		Accelerators: r.Accelerators,
		Slots:        r.Slots,
		Connections:  r.Connections,
	}
}

// ToResources returns the amount of a message; nil is zero.
func ToResources(r *recordv1.Resources) spec.Resources {
	return spec.Resources{
		MilliCPU:     r.GetMilliCpu(),
		MemoryMiB:    r.GetMemoryMib(),
		Accelerators: r.GetAccelerators(),
		Slots:        r.GetSlots(),
		Connections:  r.GetConnections(),
	}
}
