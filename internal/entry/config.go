package entry

import (
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/spec"
)

// Config holds the settings of one entry process. Fields that end in MS are
// in milliseconds, fields that end in Bytes are in bytes.
type Config struct {
	// Instance names this instance; the entry and its rwsched share the name.
	Instance string `toml:"instance"`
	// Incarnation is set by the process at its start.
	Incarnation uint64 `toml:"-"`
	DataCentre  string `toml:"data_centre"`
	// Listen is the host:port for callers, PeerListen the one for entries.
	Listen     string `toml:"listen"`
	PeerListen string `toml:"peer_listen"`
	// Seed makes the choice of targets repeatable; 0 uses the incarnation.
	Seed uint64 `toml:"seed"`

	MaxBodyBytes   int64 `toml:"max_body_bytes"`
	MaxHeaderBytes int   `toml:"max_header_bytes"`
	MaxInFlight    int   `toml:"max_in_flight"`

	ReadHeaderTimeoutMS int `toml:"read_header_timeout_ms"`
	IdleTimeoutMS       int `toml:"idle_timeout_ms"`
	// UrgentLimitMS bounds an urgent request of a service without a limit.
	UrgentLimitMS int `toml:"urgent_limit_ms"`
	// BalancerWaitMS is the time for which a stopping instance still accepts
	// requests, so that the balancer can notice.
	BalancerWaitMS int `toml:"balancer_wait_ms"`
	// ViewSpreadMS is the time in which the other entries learn that this
	// instance has left the membership.
	ViewSpreadMS    int `toml:"view_spread_ms"`
	RenewIntervalMS int `toml:"renew_interval_ms"`
	// ClockRatePPM bounds the rate difference of two clocks (A6).
	ClockRatePPM int `toml:"clock_rate_ppm"`
	// IdleSlots is the number of slots per service that are wanted without load.
	IdleSlots int `toml:"idle_slots"`

	DialTimeoutMS    int    `toml:"dial_timeout_ms"`
	ProbeIntervalMS  int    `toml:"probe_interval_ms"`
	ProbeTimeoutMS   int    `toml:"probe_timeout_ms"`
	FreshMS          int    `toml:"fresh_ms"`
	HealthPath       string `toml:"health_path"`
	MinHedgeMS       int    `toml:"min_hedge_ms"`
	MaxRetries       int    `toml:"max_retries"`
	MaxAnswerBuffer  int    `toml:"max_answer_buffer_bytes"`
	QueueBound       int    `toml:"queue_bound"`
	SubmitsInFlight  int    `toml:"submits_in_flight"`
	SchedTimeoutMS   int    `toml:"sched_timeout_ms"`
	KeyRetentionMS   int    `toml:"key_retention_ms"`
	KeyClockGuardMS  int    `toml:"key_clock_guard_ms"`
	KeyTakeoverMS    int    `toml:"key_takeover_ms"`
	MaxKeys          int    `toml:"max_keys"`
	MaxKeyBytes      int    `toml:"max_key_bytes"`
	KeyHomeTimeoutMS int    `toml:"key_home_timeout_ms"`

	// Plain switches to the round-robin baseline, for comparisons.
	Baseline bool `toml:"-"`
}

// DefaultConfig returns the settings without names and addresses.
func DefaultConfig() Config {
	return Config{
		MaxBodyBytes:        1 << 20,
		MaxHeaderBytes:      64 << 10,
		MaxInFlight:         4096,
		ReadHeaderTimeoutMS: 5_000,
		IdleTimeoutMS:       120_000,
		UrgentLimitMS:       10_000,
		BalancerWaitMS:      5_000,
		ViewSpreadMS:        1_000,
		RenewIntervalMS:     300,
		ClockRatePPM:        1000,
		IdleSlots:           16,
		DialTimeoutMS:       500,
		ProbeIntervalMS:     2_000,
		ProbeTimeoutMS:      500,
		FreshMS:             1_000,
		HealthPath:          "/healthz",
		MinHedgeMS:          20,
		MaxRetries:          3,
		MaxAnswerBuffer:     64 << 10,
		QueueBound:          256,
		SubmitsInFlight:     128,
		SchedTimeoutMS:      3_000,
		KeyRetentionMS:      300_000,
		KeyClockGuardMS:     1_500,
		KeyTakeoverMS:       60_000,
		MaxKeys:             200_000,
		MaxKeyBytes:         64 << 20,
		KeyHomeTimeoutMS:    500,
	}
}

// Validate returns code.BadSettings for the first value that cannot be used.
func (c Config) Validate() error {
	if !spec.ValidID(c.Instance) {
		return code.New(code.BadSettings, "instance %q is not a valid id", c.Instance)
	}
	if c.Listen == "" || c.PeerListen == "" {
		return code.New(code.BadSettings, "listen and peer_listen must be set")
	}
	for _, setting := range c.positive() {
		if setting.value <= 0 {
			return code.New(code.BadSettings, "%s must be above 0", setting.key)
		}
	}
	return nil
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }
