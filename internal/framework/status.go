package framework

// StatusCode is the result code of a plug-in call.
type StatusCode uint8

// The status codes in ascending order of severity.
const (
	// Success means that the plug-in has no objection.
	Success StatusCode = iota
	// Unschedulable rejects the task until a later event, see Status.RetryOn.
	Unschedulable
	// UnschedulableAndUnresolvable rejects the task until the cluster or the
	// configuration changes; freeing capacity does not help.
	UnschedulableAndUnresolvable
	// Error is an internal error of the plug-in. The task backs off.
	Error
)

// String returns the name of the code.
func (c StatusCode) String() string {
	switch c {
	case Success:
		return "success"
	case Unschedulable:
		return "unschedulable"
	case UnschedulableAndUnresolvable:
		return "unschedulable_and_unresolvable"
	default:
		return "error"
	}
}

// Event is a set of changes that can make a rejected task schedulable.
type Event uint8

// The events.
const (
	// CapacityFreed means that a worker has more free resources than before.
	CapacityFreed Event = 1 << iota
	// QuotaFreed means that a team uses less than before.
	QuotaFreed
	// HealthChanged means that a worker left quarantine or may be probed.
	HealthChanged
	// MeasurementArrived means that a report changed a prediction.
	MeasurementArrived
	// WorkersChanged means that a worker appeared or changed its capacity.
	WorkersChanged
	// Reconfigured means that a service's document changed.
	Reconfigured
)

// AnyEvent is the set of all events.
const AnyEvent = CapacityFreed | QuotaFreed | HealthChanged | MeasurementArrived | WorkersChanged | Reconfigured

// Status is the result of a plug-in call. The zero value is a success.
type Status struct {
	Code StatusCode
	// Dimension is a resource dimension or the name of the plug-in.
	Dimension string
	// Detail is a constant text, so that a status needs no allocation.
	Detail string
	// RetryOn is the set of events after which the task is tried again.
	RetryOn Event
}

// OK reports whether the code is Success.
func (s Status) OK() bool { return s.Code == Success }

// Refuse returns an Unschedulable status.
func Refuse(dimension, detail string, retryOn Event) Status {
	return Status{Code: Unschedulable, Dimension: dimension, Detail: detail, RetryOn: retryOn}
}

// RefuseUnresolvable returns an UnschedulableAndUnresolvable status, which is
// retried only after a change of the workers or of the configuration.
func RefuseUnresolvable(dimension, detail string) Status {
	return Status{
		Code:      UnschedulableAndUnresolvable,
		Dimension: dimension,
		Detail:    detail,
		RetryOn:   WorkersChanged | Reconfigured,
	}
}
