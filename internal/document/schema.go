// Package document defines the service document: one TOML file per service in
// which a team configures the service.
//
// Parse validates a document strictly and reports all problems at once, each
// with its line, key, value and remedy. Effect describes the effects of a
// changed document. Policy returns the part of a document that placement uses.
package document

import (
	"time"

	"redwingvale/internal/spec"
)

// Document is the parsed document of one service. Fields keep the names and
// units of the TOML keys; docs/configuration.md describes each.
type Document struct {
	Team         string   `toml:"team"`
	Service      string   `toml:"service"`
	Region       string   `toml:"region"`
	DataCentres  []string `toml:"data_centres"`
	AccountCodes []string `toml:"account_codes"`
	UTCOffset    string   `toml:"utc_offset"`
	NeverLose    []string `toml:"never_lose"`

	Quota       Quota         `toml:"quota"`
	Weights     Weights       `toml:"weights"`
	Urgent      *Urgent       `toml:"urgent"`
	Deadline    []Deadline    `toml:"deadline"`
	LongRunning []LongRunning `toml:"long_running"`
}

// Amount is a resource amount in a document.
type Amount struct {
	MilliCPU     int64 `toml:"milli_cpu"`
	MemoryMiB    int64 `toml:"memory_mib"`
	Accelerators int64 `toml:"accelerators"`
	Slots        int64 `toml:"slots"`
	Connections  int64 `toml:"connections"`
}

// Resources returns the amount as the domain type.
func (a Amount) Resources() spec.Resources {
	return spec.Resources{
		MilliCPU:     a.MilliCPU,
		MemoryMiB:    a.MemoryMiB,
		Accelerators: a.Accelerators,
		Slots:        a.Slots,
		Connections:  a.Connections,
	}
}

// Quota bounds what the team may reserve. Zero in a dimension means no limit.
type Quota struct {
	Amount
	// Borrow lets the team use idle capacity above its quota.
	Borrow bool `toml:"borrow"`
	// BorrowPercent bounds the borrowed part in percent of the quota.
	BorrowPercent int64 `toml:"borrow_percent"`
}

// Weights are the weights of tail latency and evictions in placement. Their sum
// is 1.
type Weights struct {
	Tail      float64 `toml:"tail"`
	Evictions float64 `toml:"evictions"`
}

// Urgent describes the latency-critical requests of a service.
type Urgent struct {
	TimeLimitMS         int64 `toml:"time_limit_ms"`
	QueueLimit          int64 `toml:"queue_limit"`
	IdempotentByDefault bool  `toml:"idempotent_by_default"`
	TargetP99MS         int64 `toml:"target_p99_ms"`
}

// TimeLimit returns the time limit of a request.
func (u Urgent) TimeLimit() time.Duration {
	return time.Duration(u.TimeLimitMS) * time.Millisecond
}

// TargetP99 returns the target tail latency, or 0 for none.
func (u Urgent) TargetP99() time.Duration {
	return time.Duration(u.TargetP99MS) * time.Millisecond
}

// Restart states what happens to a task whose worker was lost.
type Restart string

// The restart policies.
const (
	// FromCheckpoint resumes from the newest checkpoint. Without a checkpoint
	// the task ends with an unknown outcome.
	FromCheckpoint Restart = "from_checkpoint"
	// FromStart runs the task again from its beginning.
	FromStart Restart = "from_start"
)

// Deadline is one kind of batch job with a deadline.
type Deadline struct {
	Kind string `toml:"kind"`
	Amount
	RunTimeS int64   `toml:"run_time_s"`
	Restart  Restart `toml:"restart"`
	// PostingDeadline is a time of day HH:MM at the document's utc_offset by
	// which a job without a deadline of its own must finish, or empty.
	PostingDeadline string `toml:"posting_deadline"`
}

// RunTime returns the declared run time of one task.
func (d Deadline) RunTime() time.Duration {
	return time.Duration(d.RunTimeS) * time.Second
}

// LongRunning is one kind of job that runs until it is cancelled.
type LongRunning struct {
	Kind string `toml:"kind"`
	Amount
	Restart        Restart `toml:"restart"`
	MaxMovesPerDay int64   `toml:"max_moves_per_day"`
}

// TeamID returns the team as the domain type.
func (d *Document) TeamID() spec.TeamID { return spec.TeamID(d.Team) }

// ServiceID returns the service as the domain type.
func (d *Document) ServiceID() spec.ServiceID { return spec.ServiceID(d.Service) }
