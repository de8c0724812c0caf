package framework

import "time"

// Config holds the settings of a kernel. The zero value of a field selects
// its default.
type Config struct {
	// Seed breaks ties between equal workers and chooses the candidates.
	Seed uint64
	// Plugins names the plug-ins; nil means all that are registered.
	Plugins []string
	// Candidates is the largest number of workers scored for one task.
	Candidates int
	// MeasurementLag is the smallest time between two actions on one task.
	// When reports are older than this on arrival, their age is used.
	MeasurementLag time.Duration
	// ActionsPerReview bounds the moves and evictions of one review, so that
	// the loss of a rack does not start a wave of evictions.
	ActionsPerReview int
	// RetryEvery is how often a parked task is tried without an event.
	RetryEvery time.Duration
	// LongRunMovesPerDay bounds the moves of a long-running task whose service
	// does not state a number.
	LongRunMovesPerDay int

	// broken switches one mechanism off. Only tests set it, to show that the
	// invariants notice the loss of the mechanism.
	broken string
}

// The defaults of Config.
const (
	DefaultCandidates         = 8
	DefaultMeasurementLag     = 5 * time.Second
	DefaultActionsPerReview   = 8
	DefaultRetryEvery         = 5 * time.Second
	DefaultLongRunMovesPerDay = 4
)

// withDefaults returns c with the defaults filled in.
func (c Config) withDefaults() Config {
	if c.Candidates == 0 {
		c.Candidates = DefaultCandidates
	}
	if c.MeasurementLag == 0 {
		c.MeasurementLag = DefaultMeasurementLag
	}
	if c.ActionsPerReview == 0 {
		c.ActionsPerReview = DefaultActionsPerReview
	}
	if c.RetryEvery == 0 {
		c.RetryEvery = DefaultRetryEvery
	}
	if c.LongRunMovesPerDay == 0 {
		c.LongRunMovesPerDay = DefaultLongRunMovesPerDay
	}
	return c
}

// IsBroken reports whether a test has switched a mechanism off.
func (c Config) IsBroken(mechanism string) bool { return c.broken == mechanism }
