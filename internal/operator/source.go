// Package operator serves the operators' interface of rwsched: status,
// explanations, alarms, drain, removal of members, and the services with the
// configuration in force on each instance.
//
// The server listens on its own address, separate from the callers' interface.
// It validates and limits each request and passes it to a Source.
package operator

import (
	"context"

	operatorv1 "redwingvale/internal/gen/redwingvale/operator/v1"
)

// Source executes the operators' requests. Methods are called from several
// goroutines at once and must return soon after ctx ends. Errors should carry a
// result code; one without is reported as code.Internal.
type Source interface {
	// Status returns the state of this instance and its view of the others.
	Status(ctx context.Context) (*operatorv1.StatusResponse, error)
	// Explain states why a job, a task or a worker is in its state.
	Explain(ctx context.Context, req *operatorv1.ExplainRequest) (*operatorv1.ExplainResponse, error)
	// Alarms returns the raised alarms, and also the cleared ones if cleared is
	// set.
	Alarms(ctx context.Context, cleared bool) ([]*operatorv1.Alarm, error)
	// Instance returns the name of this instance.
	Instance() string
	// Drain starts the planned stop of this instance; a repeat is harmless.
	Drain(ctx context.Context, actor, reason string) (*operatorv1.DrainResponse, error)
	// RemoveMember returns when the removal has been read back from the log.
	RemoveMember(ctx context.Context, req *operatorv1.RemoveMemberRequest) (*operatorv1.RemoveMemberResponse, error)
	// Services returns the services of a team, or of all teams for "", and
	// the configuration offset of each active member.
	Services(ctx context.Context, team string, withDocuments bool) (*operatorv1.ListServicesResponse, error)
}
