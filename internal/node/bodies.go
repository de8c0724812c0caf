package node

import (
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"
)

const (
	// bodyMemoryShare is the share of an instance's memory that the bodies of
	// callers' requests may take together while they are read and decoded.
	bodyMemoryShare = 0.125
	// bodyMemoryFactor is the memory that a body takes as a multiple of its size.
	bodyMemoryFactor = 8
)

// bodyMemory bounds the memory of callers' requests that are being read; nil without
// a bound.
type bodyMemory struct{ bytes *semaphore.Weighted }

func newBodyMemory(config Config) *bodyMemory {
	if config.MemoryMB <= 0 {
		return nil
	}
	return &bodyMemory{semaphore.NewWeighted(int64(config.MemoryMB * bodyMemoryShare * (1 << 20)))}
}

// ReserveBody reserves memory for a body of some bytes. It returns false if there is
// none now: the caller is told to come back rather than kept waiting.
func (n *Node) ReserveBody(bytes int64) (release func(), ok bool) {
	if n.bodies == nil {
		return func() {}, true
	}
	bytes = max(bytes, 1) * bodyMemoryFactor
	if !n.bodies.bytes.TryAcquire(bytes) {
		n.stats.refused.Inc(1)
		n.log("body_refused", zap.Int64("needed_bytes", bytes))
		return nil, false
	}
	return func() { n.bodies.bytes.Release(bytes) }, true
}
