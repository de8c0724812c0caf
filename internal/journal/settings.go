package journal

import (
	"time"

	"redwingvale/internal/spec"
)

// Settings bounds what a Writer buffers and sends.
type Settings struct {
	Instance    spec.InstanceID
	Incarnation spec.Incarnation
	// MaxBatchBytes bounds the encoded bytes of one append. A single larger
	// record is sent alone.
	MaxBatchBytes int
	// BatchTime is how long a record may wait for others to join its batch.
	BatchTime time.Duration
	// MaxBufferBytes bounds the encoded records of all streams that were not
	// read back yet.
	MaxBufferBytes int
	// ReservedBytes is the part of MaxBufferBytes that only Priority records
	// may use, so that submits cannot shut out claims and task ends.
	ReservedBytes int
	// AppendsPerSecond and AppendBurst are the token bucket of the instance.
	AppendsPerSecond float64
	AppendBurst      float64
	// ReadBackLimit is how long after an append the batch may take to be
	// read back before it is appended again. It doubles with each attempt.
	ReadBackLimit time.Duration
	// RetryMin is the first wait after a failed append; it doubles too.
	RetryMin time.Duration
	// RetryMax bounds both waits.
	RetryMax time.Duration
}

// DefaultSettings returns the settings for one of seven instances.
func DefaultSettings(id spec.InstanceID, incarnation spec.Incarnation) Settings {
	return Settings{
		Instance:         id,
		Incarnation:      incarnation,
		MaxBatchBytes:    256 << 10,
		BatchTime:        20 * time.Millisecond,
		MaxBufferBytes:   16 << 20,
		ReservedBytes:    2 << 20,
		AppendsPerSecond: 28,
		AppendBurst:      28,
		ReadBackLimit:    time.Second,
		RetryMin:         100 * time.Millisecond,
		RetryMax:         5 * time.Second,
	}
}
