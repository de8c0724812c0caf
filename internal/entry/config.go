package entry

import (
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/spec"
)

// Config holds the settings of an entry process. Fields ending in MS are in
// milliseconds, fields ending in Bytes in bytes.
type Config struct {
	// Instance is the name of this instance, which the entry shares with its
	// rwsched.
	Instance string `toml:"instance"`
	// Incarnation is set by the process at its start.
	Incarnation uint64 `toml:"-"`
	DataCentre  string `toml:"data_centre"`
	// Listen is the host:port for callers, PeerListen that for other entries.
	Listen     string `toml:"listen"`
	PeerListen string `toml:"peer_listen"`
	// Seed makes the choice of targets reproducible; 0 uses the incarnation.
	Seed uint64 `toml:"seed"`

	MaxBodyBytes   int64 `toml:"max_body_bytes"`
	MaxHeaderBytes int   `toml:"max_header_bytes"`
	MaxInFlight    int   `toml:"max_in_flight"`

	ReadHeaderTimeoutMS int `toml:"read_header_timeout_ms"`
	IdleTimeoutMS       int `toml:"idle_timeout_ms"`
	// UrgentLimitMS is the time limit of urgent requests to services that do
	// not define one.
	UrgentLimitMS int `toml:"urgent_limit_ms"`
	// BalancerWaitMS is how long a stopping instance still accepts requests
	// after it has withdrawn its readiness, until the load balancer has
	// detected that.
	BalancerWaitMS int `toml:"balancer_wait_ms"`
	// ViewSpreadMS is the time that the other entries need to receive a view in
	// which this instance has left the membership.
	ViewSpreadMS    int `toml:"view_spread_ms"`
	RenewIntervalMS int `toml:"renew_interval_ms"`
	// ClockRatePPM is the largest rate difference between two clocks, in parts
	// per million (assumption A6).
	ClockRatePPM int `toml:"clock_rate_ppm"`
	// IdleSlots is the number of slots per service to request without load.
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

	// Baseline replaces the routing by the round-robin baseline, for comparisons.
	Baseline bool `toml:"-"`
}

// DefaultConfig returns the default settings. Names and addresses are not set.
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

// Validate returns code.BadSettings for the first invalid value.
func (c Config) Validate() error {
	if !spec.ValidID(c.Instance) {
		return code.New(code.BadSettings, "instance %q is not a valid id", c.Instance)
	}
	if c.Listen == "" || c.PeerListen == "" {
		return code.New(code.BadSettings, "listen and peer_listen must be set")
	}
	for _, setting := range c.positiveSettings() {
		if setting.value <= 0 {
			return code.New(code.BadSettings, "%s must be above 0", setting.key)
		}
	}
	return nil
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }
