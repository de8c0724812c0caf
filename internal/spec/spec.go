// Package spec defines the domain types that all packages share: identifiers,
// resource amounts, workers, services and jobs.
package spec

import (
	"fmt"
	"regexp"
	"time"
)

// Identifiers. Each is a string that ValidID accepts.
type (
	// InstanceID names one entry instance of the system.
	InstanceID string
	// DataCentre names one data centre.
	DataCentre string
	// Rack names one rack within a data centre.
	Rack string
	// GroupID names one group of workers that has one owner at a time.
	GroupID string
	// WorkerID names one worker.
	WorkerID string
	// TeamID names one team.
	TeamID string
	// ServiceID names one service of a team.
	ServiceID string
)

// Incarnation distinguishes the runs of a process with the same InstanceID.
// A later run has a larger number.
type Incarnation uint64

// Epoch is the ownership epoch of a group; each claim increments it by one.
type Epoch uint64

// Attempt is the number of an attempt to run a task, counted from 1.
type Attempt uint32

// MaxIDLength is the maximum length of an identifier in bytes.
const MaxIDLength = 128

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:@+-]*$`)

// ValidID reports whether s is a valid identifier: 1 to MaxIDLength bytes of
// letters, digits and . _ : @ + -, starting with a letter or a digit.
func ValidID(s string) bool {
	return len(s) <= MaxIDLength && idPattern.MatchString(s)
}

// JobID identifies a job. The caller chooses Name, unique within Team.
type JobID struct {
	Team TeamID
	Name string
}

// String returns team/name.
func (id JobID) String() string { return string(id.Team) + "/" + id.Name }

// TaskID identifies one task of a job. Index counts from 0.
type TaskID struct {
	Job   JobID
	Index uint32
}

// String returns team/name#index.
func (id TaskID) String() string { return fmt.Sprintf("%s#%d", id.Job, id.Index) }

// Class is a quality-of-service class.
type Class uint8

// The classes, from the most to the least urgent.
const (
	Urgent Class = iota + 1
	LongRunning
	Deadline
)

// String returns the name of the class that documents and interfaces use.
func (c Class) String() string {
	switch c {
	case Urgent:
		return "urgent"
	case LongRunning:
		return "long_running"
	case Deadline:
		return "deadline"
	default:
		return "unknown"
	}
}

// ParseClass returns the class with the given name.
func ParseClass(name string) (Class, bool) {
	for _, c := range []Class{Urgent, LongRunning, Deadline} {
		if c.String() == name {
			return c, true
		}
	}
	return 0, false
}

// Worker is the platform's declaration of one worker.
type Worker struct {
	ID         WorkerID
	Group      GroupID
	Rack       Rack
	DataCentre DataCentre
	Capacity   Resources
	// ControlAddr is the host:port of the worker's lease API.
	ControlAddr string
	// TargetAddr is the host:port at which the service's target listens.
	TargetAddr string
	// Service names the latency-critical service whose target runs on the
	// worker.
	Service ServiceID
}

// Job is a batch or long-running job as a caller submits it.
type Job struct {
	ID      JobID
	Service ServiceID
	Class   Class
	// Kind groups similar jobs. Sizes and run times are learned per kind.
	Kind string
	// Tasks is the number of tasks, at least 1.
	Tasks uint32
	// PerTask is the amount of resources that one task reserves.
	PerTask Resources
	// RunTime is the declared run time of one task; zero for long-running jobs.
	RunTime time.Duration
	// DeadlineUnixMS is the wall-clock deadline in milliseconds, or 0.
	DeadlineUnixMS int64
	// RestartFromStart allows a task whose worker was lost to run again
	// without a checkpoint.
	RestartFromStart bool
	// Payload is passed to the worker unchanged.
	Payload []byte
}
