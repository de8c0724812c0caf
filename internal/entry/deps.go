package entry

import (
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
	"redwingvale/internal/gen/redwingvale/sched/v1/schedv1connect"
	"redwingvale/internal/spec"
)

// ServiceSettings holds the parts of a service's document that the request path
// uses.
type ServiceSettings struct {
	// Idempotent is set if all requests to the service may be repeated safely.
	Idempotent bool
	// NoUrgent is set if the service does not accept urgent requests.
	NoUrgent bool
	// UrgentLimit is the time limit of a request from its arrival to its
	// response; zero uses the entry's default.
	UrgentLimit time.Duration
	// QuotaSlots is the team's number of concurrent urgent requests across all
	// entries without borrowing; zero means no limit.
	QuotaSlots int
	// QueueBound is the maximum number of waiting requests per entry; zero uses
	// the entry's default.
	QueueBound int
	// Weight is the team's share under contention; zero means 1.
	Weight float64
}

// Services looks up teams and services in the current configuration. Its
// methods are called concurrently and must not block.
type Services interface {
	// Resolve returns the team with this name or account code. Errors:
	// code.UnknownTeam, code.AmbiguousAlias, code.ConfigUnread.
	Resolve(name string) (spec.TeamID, error)
	// Service returns the settings of a service of the team. Errors:
	// code.UnknownService, code.ConfigUnread.
	Service(team spec.TeamID, service spec.ServiceID) (ServiceSettings, error)
}

// Deps holds the dependencies of an entry that its process provides.
type Deps struct {
	Log   *zap.Logger
	Scope tally.Scope
	// Sched returns a client for the rwsched at host:port.
	Sched func(addr string) schedv1connect.SchedServiceClient
	// OwnSched is the client for the rwsched on the same instance.
	OwnSched schedv1connect.SchedServiceClient
	Services Services
	// OnView, if set, is called with each new view of members, owners, workers
	// and configuration. All calls come from a single goroutine.
	OnView func(*schedv1.GetViewResponse)
}
