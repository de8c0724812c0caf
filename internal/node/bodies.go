package node

import (
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"redwingvale/internal/code"
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
type bodyMemory struct {
	limit int64
	bytes *semaphore.Weighted
}

func newBodyMemory(config Config) *bodyMemory {
	if config.MemoryMB <= 0 {
		return nil
	}
	limit := int64(config.MemoryMB * bodyMemoryShare * (1 << 20))
	return &bodyMemory{limit, semaphore.NewWeighted(limit)}
}

// ReserveBody reserves memory for some bytes of a body. It does not wait: if there is
// none now the code is Overloaded, and BodyTooLarge if there never is.
func (n *Node) ReserveBody(bytes int64) (release func(), c code.Code) {
	if n.bodies == nil {
		return func() {}, code.OK
	}
	bytes = max(bytes, 1) * bodyMemoryFactor
	if n.bodies.bytes.TryAcquire(bytes) {
		return func() { n.bodies.bytes.Release(bytes) }, code.OK
	}
	c = code.Overloaded
	if bytes > n.bodies.limit {
		c = code.BodyTooLarge
	}
	n.stats.refused.Inc(1)
	n.log("body_refused", zap.Int64("needed_bytes", bytes), zap.String("code", c.String()))
	return nil, c
}
