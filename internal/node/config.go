package node

import (
	"math"
	"time"

	"redwingvale/internal/jobs"
	"redwingvale/internal/planner"
	"redwingvale/internal/settings"
)

// Config holds the settings of rwnode. On a platform that fills in a template
// the file is deploy/node.toml.tmpl.
type Config struct {
	// Instance is this instance's name.
	Instance   string `toml:"instance"`
	DataCentre string `toml:"data_centre"`
	// FirstStart is set when the deployment starts for the first time.
	FirstStart bool `toml:"first_start"`
	// Addresses to listen on.
	CallersAddr   string `toml:"callers_addr"`
	ReadinessAddr string `toml:"readiness_addr"`
	PeerAddr      string `toml:"peer_addr"`
	MetricsAddr   string `toml:"metrics_addr"`
	// PeerAdvertisedAddr is where the others reach PeerAddr, if it is another
	// address.
	PeerAdvertisedAddr string `toml:"peer_advertised_addr"`
	// Addresses of the platform.
	StoreAddr  string `toml:"store_addr"`
	AdviceAddr string `toml:"advice_addr"`
	// RecordBytes and RequestBytes are the most that the store takes in one
	// record and in the records of one append.
	RecordBytes  int64  `toml:"store_record_bytes"`
	RequestBytes int64  `toml:"store_request_bytes"`
	Bounds       Bounds `toml:"bounds"`
	// CPUShare is this instance's share of a processor, for example 0.16.
	// The strongest instances lead.
	CPUShare float64 `toml:"cpu_share"`
	// Cores is how many times as fast that processor is.
	Cores float64 `toml:"cores"`
	// LeaseMS is how long a worker keeps its runs without a renewal.
	LeaseMS int64 `toml:"lease_ms"`
	// OptimisticStart starts tasks while their submission is being recorded.
	OptimisticStart bool `toml:"optimistic_start"`
}

// Bounds are the platform's bounds.
type Bounds struct {
	// MaxLeaseMS is the longest lease that a worker grants.
	MaxLeaseMS      float64 `toml:"max_lease_ms"`
	GangTimeoutMS   float64 `toml:"gang_timeout_ms"`
	InterferenceMS  float64 `toml:"interference_ms"`
	StatusS         float64 `toml:"status_s"`
	StopTimeoutMS   float64 `toml:"stop_timeout_ms"`
	RestoreMS       float64 `toml:"restore_ms"`
	GraceS          float64 `toml:"grace_s"`
	ConfigInForceMS float64 `toml:"config_in_force_ms"`
}

// DefaultConfig returns the settings before the file is read.
func DefaultConfig() Config {
	return Config{
		Cores:           1,
		LeaseMS:         4000,
		OptimisticStart: true,
		// The limits that the platform states for its store.
		RecordBytes:  256 << 10,
		RequestBytes: 2 << 20,
		Bounds: Bounds{
			MaxLeaseMS: 6000, GangTimeoutMS: 3000, InterferenceMS: 4000,
			StopTimeoutMS: 500, RestoreMS: 500, StatusS: 120, GraceS: 6, ConfigInForceMS: 2000,
		},
	}
}

// Check implements settings.Checker.
func (c *Config) Check(problems *settings.Problems) {
	problems.Required("instance", c.Instance)
	problems.Address("callers_addr", c.CallersAddr)
	problems.Address("readiness_addr", c.ReadinessAddr)
	problems.Address("peer_addr", c.PeerAddr)
	problems.Address("store_addr", c.StoreAddr)
	if c.MetricsAddr != "" {
		problems.Address("metrics_addr", c.MetricsAddr)
	}
	if c.PeerAdvertisedAddr != "" {
		problems.Address("peer_advertised_addr", c.PeerAdvertisedAddr)
	}
	problems.Range("lease_ms", c.LeaseMS, 500, math.MaxInt32)
	problems.Range("store_record_bytes", c.RecordBytes, minRecordBytes, math.MaxInt32)
	problems.Range("store_request_bytes", c.RequestBytes, c.RecordBytes, math.MaxInt32)
	problems.Range("bounds.max_lease_ms", int64(c.Bounds.MaxLeaseMS), 500, math.MaxInt32)
	problems.Range("bounds.interference_ms", int64(c.Bounds.InterferenceMS), 1000, math.MaxInt32)
	problems.Range("bounds.config_in_force_ms", int64(c.Bounds.ConfigInForceMS), 500, math.MaxInt32)
	problems.Range("bounds.grace_s", int64(c.Bounds.GraceS), 1, 3600)
}

// advertised is the address under which other instances reach this one.
func (c *Config) advertised() string {
	if c.PeerAdvertisedAddr != "" {
		return c.PeerAdvertisedAddr
	}
	return c.PeerAddr
}

// manifestBound is the age up to which the configuration says what does not
// exist: the time in which a change has to be in force.
func (c *Config) manifestBound() time.Duration {
	return time.Duration(c.Bounds.ConfigInForceMS) * time.Millisecond
}

// manifestWait bounds one read of the manifest: a silent connection is noticed
// in time for the next one.
func (c *Config) manifestWait() time.Duration {
	return min(manifestWait, c.manifestBound()/2)
}

// minRecordBytes holds a submission with the largest payload of plain text and
// some steps.
const minRecordBytes = 16 << 10

// limits are the log's limits. The length in front of a record counts towards
// an append.
func (c *Config) limits() jobs.Limits {
	return jobs.Limits{Record: int(c.RecordBytes), Request: int(c.RequestBytes)}
}

func (c *Config) planner(firstTerm bool) planner.Config {
	return planner.Config{
		LeaseMS:         min(c.LeaseMS, int64(c.Bounds.MaxLeaseMS)),
		MaxLeaseMS:      int64(c.Bounds.MaxLeaseMS),
		GangTimeoutMS:   int64(c.Bounds.GangTimeoutMS),
		InterferenceMS:  int64(c.Bounds.InterferenceMS),
		StopTimeoutMS:   int64(c.Bounds.StopTimeoutMS),
		RestoreMS:       int64(c.Bounds.RestoreMS),
		StatusMS:        int64(c.Bounds.StatusS * 1000),
		Log:             c.limits(),
		OptimisticStart: c.OptimisticStart,
		FirstTerm:       firstTerm,
	}
}

// Times of the duties. Those of the election add up to the time from a
// leader's death to the next start of its work: at most electAfter, one round
// for the check, one for the claim and one to the workers.
const (
	// tickInterval is the planner's clock.
	tickInterval = 20 * time.Millisecond
	// suspendedAfter without a tick means that the instance has stood still for
	// about as long as others wait before they elect a new leader.
	suspendedAfter = 500 * time.Millisecond
	// heartbeatInterval and heartbeatTimeout: three lost heartbeats in a row
	// start an election.
	heartbeatInterval = 200 * time.Millisecond
	heartbeatTimeout  = 400 * time.Millisecond
	electAfter        = 700 * time.Millisecond
	// standbys is how many members hear the leader in every round and take over
	// first. The others hear it every distantRounds rounds and wait for longer:
	// three of their heartbeats and the time that the standbys need.
	standbys          = 6
	distantRounds     = 5
	distantElectAfter = 3500 * time.Millisecond
	// maxStaggered bounds the members that wait for one another.
	maxStaggered = 20
	// firstClaimAfter lets all instances of a new deployment register, which
	// start within 0.3 s of each other, before the strongest one claims.
	firstClaimAfter = 600 * time.Millisecond
	// electStagger separates the claims of two members.
	electStagger = 120 * time.Millisecond
	// claimGrace is how long a claimant may take to its first heartbeat: it reads
	// the workers' entries before, which took 2.4 s with 3,000 workers while 300
	// instances started.
	claimGrace = 3 * time.Second
	// checkTimeout bounds the question whether others hear the leader.
	checkTimeout = 200 * time.Millisecond
	// firstAppendTimeout bounds the first attempt of an append, which takes some
	// 15 ms, and appendTimeout the further ones, for a log that is slow. An
	// append is repeated under its sequence number.
	firstAppendTimeout = 350 * time.Millisecond
	appendTimeout      = 900 * time.Millisecond
	// logSilence is how long the leader's write may stay unconfirmed before
	// others may take over, if the log serves them: three lost answers in a
	// row. logRefused is the same for refusals.
	logSilence = 1500 * time.Millisecond
	logRefused = 400 * time.Millisecond
	// logFast bounds the time of a read of a log that serves well; an ordinary
	// one takes some 10 ms.
	logFast = 120 * time.Millisecond
	// logBackAfter is how long a log that was out must serve an instance before
	// that takes the leader for cut off: the leader repeats its append meanwhile
	// and says so in a heartbeat.
	logBackAfter = appendTimeout + retryPause + 2*heartbeatInterval
	// followInterval is the pause between a follower's reads of the log.
	followInterval = time.Second
	// leaderReadInterval is the pause between the leader's reads, which find
	// jobs that other instances have recorded themselves.
	leaderReadInterval = 500 * time.Millisecond
	// directoryInterval is the pause between reads of the workers' entries.
	directoryInterval = 400 * time.Millisecond
	// manifestWait is how long a read of the manifest waits for a change, at most
	// half of the time in which a change has to be in force.
	manifestWait = time.Second
	// retryPause is the pause after a failed call to the log.
	retryPause = 100 * time.Millisecond
	// peerTimeout bounds a call to the leader before the instance helps itself.
	peerTimeout = 800 * time.Millisecond
	// handOverTime is how long a stopping leader leads on while a successor
	// takes over.
	handOverTime = 1500 * time.Millisecond
	// drainTime lets the balancer notice that the instance is not ready: two
	// missed probes, one a second.
	drainTime = 2500 * time.Millisecond
	// graceMargin is left of the grace time when the last requests are cut.
	graceMargin = 500 * time.Millisecond
	// ringSize bounds the events that wait for the loop.
	ringSize = 4096
)
