package entry

import (
	"math"
	"time"

	"redwingvale/internal/code"
	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
	"redwingvale/internal/spec"
)

// The limits and values of a job's fields.
const (
	maxTasks         = 100_000
	maxRunTime       = 366 * 24 * time.Hour
	maxAmount        = math.MaxInt32
	maxKindLength    = 128
	restartFromStart = "from_start"
	restartNever     = "never"
)

// jobBody is the JSON body of a submission. If per_task, run_time_s, deadline
// or restart are absent, rwsched takes them from the service's document.
type jobBody struct {
	Service string        `json:"service"`
	Class   string        `json:"class"`
	Kind    string        `json:"kind"`
	Tasks   uint32        `json:"tasks"`
	PerTask resourcesBody `json:"per_task"`
	// RunTimeS is the declared run time of one task in seconds.
	RunTimeS float64 `json:"run_time_s"`
	// Deadline is an RFC 3339 timestamp, or absent.
	Deadline string `json:"deadline"`
	// Restart is "never" or "from_start".
	Restart string `json:"restart"`
	// Payload is encoded as base64.
	Payload []byte `json:"payload"`
}

type resourcesBody struct {
	MilliCPU     int64 `json:"milli_cpu"`
	MemoryMiB    int64 `json:"memory_mib"`
	Accelerators int64 `json:"accelerators"`
	Slots        int64 `json:"slots"`
	Connections  int64 `json:"connections"`
}

// parseJob validates a complete submission before any of it is forwarded.
func parseJob(body []byte, ref *recordv1.JobRef, now time.Time) (*recordv1.JobSpec, error) {
	var b jobBody
	if err := decodeStrict(body, &b); err != nil {
		return nil, err
	}
	if !spec.ValidID(b.Service) {
		return nil, code.New(code.BadID, "service is not a valid id")
	}
	class, ok := spec.ParseClass(b.Class)
	if !ok || class == spec.Urgent {
		return nil, code.New(code.BadRequest, "class must be deadline or long_running")
	}
	if len(b.Kind) > maxKindLength || (b.Kind != "" && !spec.ValidID(b.Kind)) {
		return nil, code.New(code.BadID, "kind is not a valid id")
	}
	if b.Tasks < 1 || b.Tasks > maxTasks {
		return nil, code.New(code.BadRequest, "tasks must be 1 to %d", maxTasks)
	}
	if err := b.PerTask.validate(); err != nil {
		return nil, err
	}
	if b.Restart != "" && b.Restart != restartFromStart && b.Restart != restartNever {
		return nil, code.New(code.BadRequest, "restart must be %s or %s", restartNever, restartFromStart)
	}
	runTime, err := b.runTime()
	if err != nil {
		return nil, err
	}
	deadline, err := b.deadlineMS(now)
	if err != nil {
		return nil, err
	}
	return &recordv1.JobSpec{
		Id:               ref,
		Service:          b.Service,
		Class:            uint32(class),
		Kind:             b.Kind,
		Tasks:            b.Tasks,
		PerTask:          b.PerTask.toRecord(),
		RunTimeMs:        runTime.Milliseconds(),
		DeadlineUnixMs:   deadline,
		RestartFromStart: b.Restart == restartFromStart,
		Restart:          b.Restart,
		Payload:          b.Payload,
	}, nil
}

func (r resourcesBody) toRecord() *recordv1.Resources {
	return &recordv1.Resources{
		MilliCpu:     r.MilliCPU,
		MemoryMib:    r.MemoryMiB,
		Accelerators: r.Accelerators,
		Slots:        r.Slots,
		Connections:  r.Connections,
	}
}

// validate rejects negative and too large amounts. If all are zero, the amounts
// of the service's document apply.
func (r resourcesBody) validate() error {
	amounts := []int64{r.MilliCPU, r.MemoryMiB, r.Accelerators, r.Slots, r.Connections}
	for _, a := range amounts {
		if a < 0 || a > maxAmount {
			return code.New(code.BadResources, "each amount in per_task must be 0 to %d", maxAmount)
		}
	}
	return nil
}

// runTime validates and returns the declared run time. If it is zero, that of
// the service's document applies.
func (b jobBody) runTime() (time.Duration, error) {
	if !(b.RunTimeS >= 0 && b.RunTimeS <= maxRunTime.Seconds()) {
		return 0, code.New(code.BadRequest, "run_time_s must be 0 to %.0f", maxRunTime.Seconds())
	}
	return time.Duration(b.RunTimeS * float64(time.Second)), nil
}

// deadlineMS validates the deadline and returns it as Unix time in
// milliseconds, or 0 if it is absent.
func (b jobBody) deadlineMS(now time.Time) (int64, error) {
	if b.Deadline == "" {
		return 0, nil
	}
	at, err := time.Parse(time.RFC3339, b.Deadline)
	if err != nil {
		return 0, code.New(code.BadRequest, "deadline is not in the form of RFC 3339")
	}
	if !at.After(now) {
		return 0, code.New(code.DeadlinePast, "the deadline %s has passed", b.Deadline)
	}
	return at.UnixMilli(), nil
}
