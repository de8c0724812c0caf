// Package audit derives an audit trail from the records of the log: who did
// what, when and why. There is no other store of audit data.
//
// Records older than the log's retention are missing. While the log is
// unavailable, instances buffer new records in memory; the records appear
// later, or never if the instance stops before it has written them. Result
// reports both.
package audit

import (
	"time"
)

// Standing states whether a record had an effect.
type Standing string

// The values of Standing.
const (
	// Valid records had the effect that What states.
	Valid Standing = "valid"
	// Void records had no effect, for example after a change of ownership.
	Void Standing = "void"
	// Recorded records are in the log, but the stream does not show whether
	// they had an effect: members records, and records of a group before the
	// oldest remaining record that names its owner.
	Recorded Standing = "recorded"
)

// Entry is one line of the audit trail.
type Entry struct {
	// When is the wall clock of the writer, which may be wrong; Offset gives
	// the order within a stream.
	When   time.Time `json:"when"`
	Stream string    `json:"stream"`
	Offset int64     `json:"offset"`
	// Actor is the operator, team or instance that requested the action.
	Actor    string   `json:"actor"`
	Instance string   `json:"instance"`
	Kind     string   `json:"kind"`
	Team     string   `json:"team,omitempty"`
	Service  string   `json:"service,omitempty"`
	Job      string   `json:"job,omitempty"`
	Task     *uint32  `json:"task,omitempty"`
	Worker   string   `json:"worker,omitempty"`
	What     string   `json:"what"`
	Why      string   `json:"why"`
	Standing Standing `json:"standing"`
}

// Query selects entries. Empty fields select everything.
type Query struct {
	// Since and Until bound When: Since is included, Until is not.
	Since, Until time.Time
	Actor        string
	Team         string
	Job          string
	Worker       string
	// Kind is a kind of record, for example apply or job_cancelled.
	Kind string
	// Streams restricts the streams to those with this prefix.
	Streams string
	// WithVoid includes void records.
	WithVoid bool
	// Limit bounds the entries; the newest are kept. 0 means DefaultLimit.
	Limit int
}

// Matches reports whether the query selects an entry.
func (q Query) Matches(e Entry) bool {
	switch {
	case !q.Since.IsZero() && e.When.Before(q.Since):
		return false
	case !q.Until.IsZero() && !e.When.Before(q.Until):
		return false
	case q.Actor != "" && q.Actor != e.Actor:
		return false
	case q.Team != "" && q.Team != e.Team:
		return false
	case q.Job != "" && q.Job != e.Job:
		return false
	case q.Worker != "" && q.Worker != e.Worker:
		return false
	case q.Kind != "" && q.Kind != e.Kind:
		return false
	default:
		return q.WithVoid || e.Standing != Void
	}
}

// limit returns the largest number of entries.
func (q Query) limit() int {
	if q.Limit <= 0 {
		return DefaultLimit
	}
	return min(q.Limit, MaxLimit)
}
