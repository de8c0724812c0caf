package framework

// StatusCode says what a plug-in answers.
type StatusCode uint8

// The status codes. Their order is the order of severity.
const (
	// Success lets the task pass.
	Success StatusCode = iota
	// Unschedulable refuses now; a later event may help.
	Unschedulable
	// UnschedulableAndUnresolvable refuses until the cluster or the
	// configuration changes; freeing room does not help.
	UnschedulableAndUnresolvable
	// Error is a fault in the plug-in. The task backs off.
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

// Event is a set of changes that can make a refused task schedulable.
type Event uint8

// The events.
const (
	// RoomFreed means that a worker has more free resources than before.
	RoomFreed Event = 1 << iota
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
const AnyEvent = RoomFreed | QuotaFreed | HealthChanged | MeasurementArrived | WorkersChanged | Reconfigured

// Status is the answer of a plug-in. The zero value is a success.
type Status struct {
	Code StatusCode
	// Dimension is a resource dimension or the name of the plug-in.
	Dimension string
	// Detail is a constant text, so that an answer costs no allocation.
	Detail string
	// WakeOn is the set of events that may change the answer.
	WakeOn Event
}

// OK reports whether the status lets the task pass.
func (s Status) OK() bool { return s.Code == Success }

// Refuse returns an Unschedulable status.
func Refuse(dimension, detail string, wakeOn Event) Status {
	return Status{Code: Unschedulable, Dimension: dimension, Detail: detail, WakeOn: wakeOn}
}

// RefuseForGood returns an UnschedulableAndUnresolvable status, which only a
// change of the workers or of the configuration can lift.
func RefuseForGood(dimension, detail string) Status {
	return Status{
		Code:      UnschedulableAndUnresolvable,
		Dimension: dimension,
		Detail:    detail,
		WakeOn:    WorkersChanged | Reconfigured,
	}
}
