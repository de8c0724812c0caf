// Package sched implements the rwsched process: it feeds events to the pure
// decision cores and executes their effects.
package sched

import (
	"net"
	"time"

	"redwingvale/internal/settings"
	"redwingvale/internal/spec"
)

// Config is the settings of one rwsched.
type Config struct {
	// Instance names the instance; it stays the same across restarts.
	Instance string `toml:"instance"`
	// DataCentre is where the instance runs.
	DataCentre string `toml:"data_centre"`
	// PeerAddr is the host:port at which peers and entries reach rwsched.
	PeerAddr string `toml:"peer_addr"`
	// EntryPeerAddr is the host:port at which peers reach this instance's
	// rwentry.
	EntryPeerAddr string `toml:"entry_peer_addr"`
	// OperatorAddr is the host:port of the operators' interface.
	OperatorAddr string `toml:"operator_addr"`
	// OpsAddr is the host:port of health, readiness and metrics.
	OpsAddr string `toml:"ops_addr"`
	// PlatformURL is the base URL of the log service and instance list.
	PlatformURL string `toml:"platform_url"`
	// OwnershipLeaseMS is the duration of an ownership lease.
	OwnershipLeaseMS int64 `toml:"ownership_lease_ms"`
	// TaskLeaseMS is how long a task runs beyond the owner's ownership lease.
	TaskLeaseMS int64 `toml:"task_lease_ms"`
	// UrgentLimitMS is the largest time limit of an urgent request.
	UrgentLimitMS int64 `toml:"urgent_limit_ms"`
	// ListLagMS is the lag bound of the instance list.
	ListLagMS int64 `toml:"list_lag_ms"`
	// LogRetentionS is how long the log keeps records.
	LogRetentionS int64 `toml:"log_retention_s"`
	// HandOffAfterMS is how long a job waits in a group that cannot place it
	// before it is handed to another group.
	HandOffAfterMS int64 `toml:"hand_off_after_ms"`
	// AppendsPerSecond is this instance's share of the log's capacity.
	AppendsPerSecond float64 `toml:"appends_per_second"`
}

// DefaultConfig returns the defaults of the settings that have one.
func DefaultConfig() Config {
	return Config{
		OwnershipLeaseMS: 1200,
		TaskLeaseMS:      20_000,
		UrgentLimitMS:    10_000,
		ListLagMS:        30_000,
		LogRetentionS:    3600,
		HandOffAfterMS:   5_000,
		AppendsPerSecond: 28,
	}
}

// Bounds of the settings.
const (
	minLeaseMS    = 200
	maxLeaseMS    = 10_000
	maxTaskLease  = 600_000
	maxLimitMS    = 600_000
	maxRetentionS = 30 * 24 * 3600
)

// Check implements settings.Checker.
func (c *Config) Check(p *settings.Problems) {
	c.checkIdentity(p)
	p.Address("peer_addr", c.PeerAddr)
	p.Address("entry_peer_addr", c.EntryPeerAddr)
	p.Address("operator_addr", c.OperatorAddr)
	p.Address("ops_addr", c.OpsAddr)
	p.Required("platform_url", c.PlatformURL)
	p.Range("ownership_lease_ms", c.OwnershipLeaseMS, minLeaseMS, maxLeaseMS)
	p.Range("task_lease_ms", c.TaskLeaseMS, minLeaseMS, maxTaskLease)
	p.Range("urgent_limit_ms", c.UrgentLimitMS, minLeaseMS, maxLimitMS)
	p.Range("list_lag_ms", c.ListLagMS, 0, maxLimitMS)
	p.Range("hand_off_after_ms", c.HandOffAfterMS, minLeaseMS, maxLimitMS)
	p.Range("log_retention_s", c.LogRetentionS, 1, maxRetentionS)
	if c.AppendsPerSecond <= 0 {
		p.Add("appends_per_second", c.AppendsPerSecond, "a number above 0")
	}
	if c.PeerAddr == c.OperatorAddr {
		p.Add("operator_addr", c.OperatorAddr, "an address other than peer_addr")
	}
}

func (c *Config) checkIdentity(p *settings.Problems) {
	if !spec.ValidID(c.Instance) {
		p.Add("instance", c.Instance, "1 to 128 letters, digits and . _ : @ + -")
	}
	if !spec.ValidID(c.DataCentre) {
		p.Add("data_centre", c.DataCentre, "1 to 128 letters, digits and . _ : @ + -")
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Sockets are the listeners of one rwsched, opened before it starts so that
// the addresses that it announces are known.
type Sockets struct {
	Peer     net.Listener
	Operator net.Listener
	Ops      net.Listener
}
