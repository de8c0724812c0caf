package framework

import "time"

// Config holds the settings of a kernel. The zero value of a field selects
// its default.
type Config struct {
	// Seed seeds the choice of candidates and between workers of equal score.
	Seed uint64
	// Plugins lists the plug-ins by name; nil means all registered ones.
	Plugins []string
	// Candidates is the maximum number of workers scored for one task.
	Candidates int
	// MeasurementLag is the minimum time between two actions on one task. When
	// reports are older than this on arrival, their age is used instead.
	MeasurementLag time.Duration
	// ActionsPerReview bounds the moves and evictions of one review, so that
	// the loss of a rack does not start a wave of evictions.
	ActionsPerReview int
	// RetryEvery is how often a parked task is retried without an event.
	RetryEvery time.Duration
	// LongRunMovesPerDay bounds the moves of a long-running task whose service
	// sets no bound.
	LongRunMovesPerDay int

	// mutation names a mechanism that is switched off. Only tests set it, to
	// show that the invariant checks detect the fault.
	mutation string
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

// HasMutation reports whether a test has switched a mechanism off.
func (c Config) HasMutation(mechanism string) bool { return c.mutation == mechanism }
