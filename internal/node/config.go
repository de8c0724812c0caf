package node

import (
	"math"
	"time"

	"redwingvale/internal/jobs"
	"redwingvale/internal/planner"
	"redwingvale/internal/settings"
)

// Config holds the settings of rwnode. The template for platforms that render
// the settings file is deploy/node.toml.tmpl.
type Config struct {
	// Instance is this instance's name.
	Instance   string `toml:"instance"`
	DataCentre string `toml:"data_centre"`
	// FirstStart is set on the first start of the deployment.
	FirstStart bool `toml:"first_start"`
	// Addresses to listen on.
	CallersAddr   string `toml:"callers_addr"`
	ReadinessAddr string `toml:"readiness_addr"`
	PeerAddr      string `toml:"peer_addr"`
	MetricsAddr   string `toml:"metrics_addr"`
	// PeerAdvertisedAddr is the address at which other instances reach PeerAddr,
	// if it differs.
	PeerAdvertisedAddr string `toml:"peer_advertised_addr"`
	// Addresses of the platform's services.
	StoreAddr  string `toml:"store_addr"`
	AdviceAddr string `toml:"advice_addr"`
	// RecordBytes and RequestBytes are the largest sizes that the store accepts
	// for one record and for all records of one append.
	RecordBytes  int64  `toml:"store_record_bytes"`
	RequestBytes int64  `toml:"store_request_bytes"`
	Bounds       Bounds `toml:"bounds"`
	// CPUShare is this instance's share of a processor, for example 0.16.
	// Instances with the most processor capacity lead.
	CPUShare float64 `toml:"cpu_share"`
	// Cores is the speed of that processor as a multiple of one core.
	Cores float64 `toml:"cores"`
	// MemoryMB is the memory beyond which the process is killed, in MB of 2^20
	// bytes; 0 if there is no limit.
	MemoryMB float64 `toml:"memory_mb"`
	// LeaseMS is how long a worker continues its runs without a renewal.
	LeaseMS int64 `toml:"lease_ms"`
	// DelegationMinWorkers is the number of workers from which on the leader
	// calls them through other instances.
	DelegationMinWorkers int `toml:"delegation_min_workers"`
	// OptimisticStart starts tasks while their submission is being recorded.
	OptimisticStart bool `toml:"optimistic_start"`
	// Overload holds the settings of the overload control.
	Overload Overload `toml:"overload"`
}

// Overload holds the settings of the overload control, which decides what waits and
// what is refused when there is more work than the workers can do in time.
type Overload struct {
	// Enabled refuses submissions for which there is no capacity in time, orders the
	// waiting steps by the value that their jobs can still earn, and limits stops.
	Enabled bool `toml:"enabled"`
}

// Bounds are the platform's limits and timeouts.
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
	// EvacuateInForceMS is the time within which a request to evacuate a data centre
	// must be in force; 0 turns evacuations off.
	EvacuateInForceMS float64 `toml:"evacuate_in_force_ms"`
	// ColdOverage and ColdSlack limit the runs of a worker that has returned cold to
	// ColdOverage times the mean of the others plus ColdSlack. There is no limit
	// unless both are above 0.
	ColdOverage float64 `toml:"cold_overage"`
	ColdSlack   float64 `toml:"cold_slack"`
}

// DefaultConfig returns the settings that apply unless the file overrides them.
func DefaultConfig() Config {
	return Config{
		Cores:   1,
		LeaseMS: 4000,
		// One processor bears the calls to some 500 workers.
		DelegationMinWorkers: 600,
		OptimisticStart:      true,
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
	problems.Range("delegation_min_workers", int64(c.DelegationMinWorkers), 1, math.MaxInt32)
	problems.Range("memory_mb", int64(c.MemoryMB), 0, math.MaxInt32)
	if c.MemoryMB > 0 {
		problems.Range("memory_mb", int64(c.MemoryMB), minMemoryMB, math.MaxInt32)
	}
	problems.Range("lease_ms", c.LeaseMS, 500, math.MaxInt32)
	problems.Range("store_record_bytes", c.RecordBytes, minRecordBytes, math.MaxInt32)
	problems.Range("store_request_bytes", c.RequestBytes, c.RecordBytes, math.MaxInt32)
	problems.Range("bounds.max_lease_ms", int64(c.Bounds.MaxLeaseMS), 500, math.MaxInt32)
	problems.Range("bounds.interference_ms", int64(c.Bounds.InterferenceMS), 1000, math.MaxInt32)
	problems.Range("bounds.config_in_force_ms", int64(c.Bounds.ConfigInForceMS), 500, math.MaxInt32)
	problems.Range("bounds.grace_s", int64(c.Bounds.GraceS), 1, 3600)
	if c.Bounds.EvacuateInForceMS != 0 {
		problems.Range("bounds.evacuate_in_force_ms", int64(c.Bounds.EvacuateInForceMS), 500, math.MaxInt32)
	}
	problems.Range("bounds.cold_overage", int64(c.Bounds.ColdOverage), 0, 1000)
	problems.Range("bounds.cold_slack", int64(c.Bounds.ColdSlack), 0, math.MaxInt32)
}

// advertisedPeerAddr returns the address at which other instances reach this
// one.
func (c *Config) advertisedPeerAddr() string {
	if c.PeerAdvertisedAddr != "" {
		return c.PeerAdvertisedAddr
	}
	return c.PeerAddr
}

// milliCPU returns this instance's processor capacity in thousandths of a core.
func (c *Config) milliCPU() int { return int(c.CPUShare * c.Cores * 1000) }

// manifestMaxAge returns the age up to which the configuration is proof that
// something does not exist: the time within which a change must be in force.
func (c *Config) manifestMaxAge() time.Duration {
	return time.Duration(c.Bounds.ConfigInForceMS) * time.Millisecond
}

// manifestWait returns the limit of one read of the manifest. It leaves time for
// another read if the connection does not respond.
func (c *Config) manifestWait() time.Duration {
	return min(manifestWait, c.manifestMaxAge()/2)
}

// minRecordBytes is enough for a submission with the largest plain-text payload
// and a few steps.
const minRecordBytes = 16 << 10

// minMemoryMB holds the program and the state of a small site.
const minMemoryMB = 32

// limits returns the log's limits. The length prefix of a record counts towards
// the size of an append.
func (c *Config) limits() jobs.Limits {
	return jobs.Limits{Record: int(c.RecordBytes), Request: int(c.RequestBytes)}
}

// jobMemoryShare is the share of an instance's memory that accepted jobs may take.
// The collector lets the heap grow to twice of what is live, and the rest of the
// program, its buffers and connections need their part.
const jobMemoryShare = 0.25

// maxJobBytes returns the memory that accepted jobs may take on an instance with some
// memory, in bytes; 0 if it is not limited.
func maxJobBytes(memoryMB int) int64 { return int64(float64(memoryMB) * jobMemoryShare * (1 << 20)) }

func (c *Config) plannerConfig(firstTerm bool) planner.Config {
	return planner.Config{
		LeaseMS:           min(c.LeaseMS, int64(c.Bounds.MaxLeaseMS)),
		MaxLeaseMS:        int64(c.Bounds.MaxLeaseMS),
		GangTimeoutMS:     int64(c.Bounds.GangTimeoutMS),
		InterferenceMS:    int64(c.Bounds.InterferenceMS),
		StopTimeoutMS:     int64(c.Bounds.StopTimeoutMS),
		RestoreMS:         int64(c.Bounds.RestoreMS),
		StatusRetentionMS: int64(c.Bounds.StatusS * 1000),
		Log:               c.limits(),
		OptimisticStart:   c.OptimisticStart,
		Overload:          c.Overload.Enabled,
		FirstTerm:         firstTerm,
		LeadershipLeaseMS: milliseconds(leadershipLease),
		EvacuateMS:        int64(c.Bounds.EvacuateInForceMS),
		ColdOverage:       c.Bounds.ColdOverage,
		ColdSlack:         c.Bounds.ColdSlack,
	}
}

// Intervals and limits. Those of the election add up to the time from a leader's
// failure to the next task start by its successor: at most electionTimeout, one
// round trip to query the peers, one for the claim and one to the workers.
const (
	// tickInterval is the interval of the planner's ticks.
	tickInterval = 20 * time.Millisecond
	// suspensionThreshold is the time without a tick after which the instance
	// counts as suspended: about as long as other instances wait before they
	// elect a new leader.
	suspensionThreshold = 500 * time.Millisecond
	// heartbeatTimeout limits one heartbeat call. Three lost heartbeats in a row
	// exceed electionTimeout and start an election.
	heartbeatInterval = 200 * time.Millisecond
	heartbeatTimeout  = 400 * time.Millisecond
	electionTimeout   = 700 * time.Millisecond
	// loopStallLimit is how long the event loop of a leader may take to respond
	// before the leader sends no more heartbeats and is replaced.
	loopStallLimit = 3 * time.Second
	// standbyCount is the number of members that get a heartbeat in every round and
	// take over first. The others get one every nonStandbyRounds rounds and have
	// a longer election timeout: three of their heartbeats and the time that the
	// standbyCount need.
	standbyCount     = 6
	nonStandbyRounds = 5
	// nonStandbyRoundsWithoutLog is the same while the log does not confirm the
	// leadership.
	nonStandbyRoundsWithoutLog = 2
	nonStandbyElectionTimeout  = 3500 * time.Millisecond
	// maxStaggerRank is the rank beyond which the stagger no longer grows.
	maxStaggerRank = 20
	// firstClaimDelay lets all instances of a new deployment register, which
	// start within 0.3 s of each other, before the one with the most capacity
	// claims.
	firstClaimDelay = 600 * time.Millisecond
	// electionStagger is the delay between the claims of two successive members.
	electionStagger = 120 * time.Millisecond
	// earlyLoaders is the number of instances that read the whole log at once
	// after a restart of all: enough to elect a leader and its delegates. Weaker
	// ones wait up to lateLoadDelay, in which the log serves the stronger ones.
	earlyLoaders  = 2 * standbyCount
	lateLoadDelay = 1500 * time.Millisecond
	// claimGracePeriod is how long a claimant may take to send its first
	// heartbeat: it reads the workers' entries first, which took 2.4 s with 3,000
	// workers while 300 instances started.
	claimGracePeriod = 3 * time.Second
	// checkLeaderTimeout limits the query whether peers see the leader.
	checkLeaderTimeout = 200 * time.Millisecond
	// unconfirmedWriteLimit is how long a write of the leader may stay
	// unconfirmed before other instances may take over, if the log serves them:
	// three lost responses in a row. refusedWriteLimit is the same for writes
	// that the log refuses.
	unconfirmedWriteLimit = 1500 * time.Millisecond
	refusedWriteLimit     = 400 * time.Millisecond
	// logReadLimit is the duration of a read from which on the log counts as
	// slow; a normal read takes some 10 ms.
	logReadLimit = 120 * time.Millisecond
	// logRecoveryDelay is how long the log must serve an instance without delay,
	// after it was down or slow, before the instance regards the leader as cut off
	// from the log: in this time the leader retries its append and reports the
	// success in a heartbeat.
	logRecoveryDelay = longestAppendTimeout + retryPause + 2*heartbeatInterval
	// followInterval is the pause between a follower's reads of the log.
	followInterval = time.Second
	// leaderReadInterval is the pause between the leader's reads of the log, for
	// jobs that other instances have recorded directly.
	leaderReadInterval = 500 * time.Millisecond
	// directoryInterval is the pause between reads of the workers' entries.
	directoryInterval = 400 * time.Millisecond
	// manifestWait is how long a read of the manifest waits for a change. The
	// method manifestWait limits it to half of the time within which a change
	// must be in force.
	manifestWait = time.Second
	// retryPause is the pause after a failed call to the log.
	retryPause = 100 * time.Millisecond
	// peerTimeout limits a call to the leader, after which the instance falls
	// back to its own state and the log.
	peerTimeout = 800 * time.Millisecond
	// handOverTimeout is how long a stopping leader continues to lead until a
	// successor takes over.
	handOverTimeout = 1500 * time.Millisecond
	// returnWait is how long members that have not restarted leave a leader that is
	// stopping to those that have, if the leader changed within rollingWindow. It is
	// shorter than drainDelay, in which the leader continues to lead. A restart takes
	// some 3 s, and the next one begins 2 s later.
	returnWait    = 1500 * time.Millisecond
	rollingWindow = 30 * time.Second
	// drainDelay lets the load balancer detect that the instance is not ready:
	// two failed probes, at one probe per second.
	drainDelay = 2500 * time.Millisecond
	// answerMargin is how long before the end of the grace period a stopping instance
	// answers the requests that have no outcome.
	answerMargin = time.Second
	// graceMargin is how long before the end of the grace period the last
	// requests are interrupted.
	graceMargin = 500 * time.Millisecond
	// postMargin is how long an event may take from its arrival at the instance
	// into the ring of the event loop.
	postMargin = 50 * time.Millisecond
	// ringSize limits the events that are queued for the event loop.
	ringSize = 4096
)
