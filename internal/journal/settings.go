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
	// MaxBatchDelay is how long a record may wait in the queue for its batch to
	// fill up.
	MaxBatchDelay time.Duration
	// MaxBufferBytes bounds the encoded size of the records of all streams that
	// were not read back yet.
	MaxBufferBytes int
	// ReservedBytes is the part of MaxBufferBytes that only Priority records
	// may use, so that submissions cannot block claims and task ends.
	ReservedBytes int
	// AppendsPerSecond and AppendBurst are the rate and the size of the token
	// bucket that limits the appends of the instance.
	AppendsPerSecond float64
	AppendBurst      float64
	// ReadBackTimeout is the time after which a batch that was not read back is
	// appended again. It doubles with each attempt.
	ReadBackTimeout time.Duration
	// RetryMin is the first delay after a failed append; it doubles too.
	RetryMin time.Duration
	// RetryMax bounds ReadBackTimeout and the retry delay.
	RetryMax time.Duration
}

// DefaultSettings returns the settings of one instance in a deployment of
// seven.
func DefaultSettings(id spec.InstanceID, incarnation spec.Incarnation) Settings {
	return Settings{
		Instance:         id,
		Incarnation:      incarnation,
		MaxBatchBytes:    256 << 10,
		MaxBatchDelay:    20 * time.Millisecond,
		MaxBufferBytes:   16 << 20,
		ReservedBytes:    2 << 20,
		AppendsPerSecond: 28,
		AppendBurst:      28,
		ReadBackTimeout:  time.Second,
		RetryMin:         100 * time.Millisecond,
		RetryMax:         5 * time.Second,
	}
}
