package spec

// Resources holds an amount for each resource dimension of a worker.
type Resources struct {
	// MilliCPU counts thousandths of a processor core.
	MilliCPU int64
	// MemoryMiB counts mebibytes.
	MemoryMiB int64
	// Accelerators counts whole devices.
	Accelerators int64
	// Slots counts concurrent requests or batch slot shares.
	Slots int64
	// Connections counts open connections to the worker.
	Connections int64
}

// Dimension names one field of Resources.
type Dimension string

// The dimensions, in the order in which FirstExceeded compares them.
const (
	MilliCPU     Dimension = "milli_cpu"
	MemoryMiB    Dimension = "memory_mib"
	Accelerators Dimension = "accelerators"
	Slots        Dimension = "slots"
	Connections  Dimension = "connections"
)

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU + o.MilliCPU,
		MemoryMiB:    r.MemoryMiB + o.MemoryMiB,
		Accelerators: r.Accelerators + o.Accelerators,
		Slots:        r.Slots + o.Slots,
		Connections:  r.Connections + o.Connections,
	}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU - o.MilliCPU,
		MemoryMiB:    r.MemoryMiB - o.MemoryMiB,
		Accelerators: r.Accelerators - o.Accelerators,
		Slots:        r.Slots - o.Slots,
		Connections:  r.Connections - o.Connections,
	}
}

// Scale returns r with each dimension multiplied by n.
func (r Resources) Scale(n int64) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU * n,
		MemoryMiB:    r.MemoryMiB * n,
		Accelerators: r.Accelerators * n,
		Slots:        r.Slots * n,
		Connections:  r.Connections * n,
	}
}

// Max returns the larger of r and o in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		MilliCPU:     max(r.MilliCPU, o.MilliCPU),
		MemoryMiB:    max(r.MemoryMiB, o.MemoryMiB),
		Accelerators: max(r.Accelerators, o.Accelerators),
		Slots:        max(r.Slots, o.Slots),
		Connections:  max(r.Connections, o.Connections),
	}
}

// FirstExceeded returns the first dimension in which r exceeds limit, or ""
// when r fits within limit.
func (r Resources) FirstExceeded(limit Resources) Dimension {
	switch {
	case r.MilliCPU > limit.MilliCPU:
		return MilliCPU
	case r.MemoryMiB > limit.MemoryMiB:
		return MemoryMiB
	case r.Accelerators > limit.Accelerators:
		return Accelerators
	case r.Slots > limit.Slots:
		return Slots
	case r.Connections > limit.Connections:
		return Connections
	default:
		return ""
	}
}

// Fits reports whether r is within limit in every dimension.
func (r Resources) Fits(limit Resources) bool { return r.FirstExceeded(limit) == "" }

// NonNegative reports whether no dimension is below zero.
func (r Resources) NonNegative() bool { return (Resources{}).Fits(r) }

// IsZero reports whether every dimension is zero.
func (r Resources) IsZero() bool { return r == Resources{} }
