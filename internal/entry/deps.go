package entry

import (
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
	"redwingvale/internal/gen/redwingvale/sched/v1/schedv1connect"
	"redwingvale/internal/spec"
)

// ServiceSettings is the part of a service's document that the request path
// needs.
type ServiceSettings struct {
	// Idempotent states that a repeated request does no harm.
	Idempotent bool
	// NoUrgent states that the service answers no urgent requests.
	NoUrgent bool
	// UrgentLimit bounds a request from its arrival to its answer; zero uses
	// the entry's default.
	UrgentLimit time.Duration
	// QuotaSlots is the number of concurrent urgent requests over all entries
	// that the team has without borrowing; zero means no limit.
	QuotaSlots int
	// QueueBound is the number of waiting requests per entry; zero uses the
	// entry's default.
	QueueBound int
	// Weight is the team's share under contention; zero means 1.
	Weight float64
}

// Services resolves names from the current configuration. Its methods are
// called from many goroutines and must not block.
type Services interface {
	// Resolve returns the team with this name or account code. Errors:
	// code.UnknownTeam, code.AmbiguousAlias, code.ConfigUnread.
	Resolve(name string) (spec.TeamID, error)
	// Service returns the settings of a service of the team. Errors:
	// code.UnknownService, code.ConfigUnread.
	Service(team spec.TeamID, service spec.ServiceID) (ServiceSettings, error)
}

// Deps are what an entry needs from its process.
type Deps struct {
	Log   *zap.Logger
	Scope tally.Scope
	// Sched returns a client for the rwsched at host:port.
	Sched func(addr string) schedv1connect.SchedServiceClient
	// OwnSched is the client of the rwsched on the same instance.
	OwnSched schedv1connect.SchedServiceClient
	Services Services
	// OnView, if set, receives each new view of members, owners, workers and
	// configuration, from one goroutine.
	OnView func(*schedv1.GetViewResponse)
}
