package planner

import "redwingvale/internal/jobs"

// Accepted work has to be done, so what it takes of the memory is bounded at the
// submission: every instance may have to lead, and holds all of it then.

// JobBytes returns the memory that jobs take at this leader, in bytes.
func (c *Core) JobBytes() int64 {
	return c.stateMachine.Footprint() + c.extraBytes + c.unrecordedBytes
}

// Fits reports whether jobs may take some more bytes.
func (c *Core) Fits(bytes int64) bool {
	return c.config.MaxJobBytes <= 0 || c.JobBytes()+bytes <= c.config.MaxJobBytes
}

// noteUnrecorded counts the memory of a job until the log holds its submission.
func (c *Core) noteUnrecorded(j *job) {
	j.unrecordedBytes = j.spec.Footprint() + int64(len(j.encoded))
	c.unrecordedBytes += j.unrecordedBytes
}

func (c *Core) noteRecorded(j *job) {
	c.unrecordedBytes -= j.unrecordedBytes
	j.unrecordedBytes = 0
}

const (
	// drainSpanMS is the time over which the rate of released memory is averaged.
	drainSpanMS = 10_000
	// Bounds of the delay after which a refused submission is to be repeated. The
	// longer one applies while nothing is released.
	minRetryAfterMS = 1000
	maxRetryAfterMS = 30_000
)

// drainMeter measures how fast ended jobs release memory.
type drainMeter struct {
	lastMS      int64
	bytes       int64
	bytesPerMS  float64
	initialized bool
}

// observe adds the memory that an ended job has released.
func (d *drainMeter) observe(nowMS, bytes int64) {
	if !d.initialized {
		d.initialized, d.lastMS = true, nowMS
	}
	d.bytes += bytes
	d.update(nowMS)
}

// update takes what was released since the last span into the rate.
func (d *drainMeter) update(nowMS int64) {
	elapsed := nowMS - d.lastMS
	if !d.initialized || elapsed < drainSpanMS/10 {
		return
	}
	weight := min(float64(elapsed)/drainSpanMS, 1)
	d.bytesPerMS += weight * (float64(d.bytes)/float64(elapsed) - d.bytesPerMS)
	d.lastMS, d.bytes = nowMS, 0
}

// retryAfterMS returns when enough memory for a submission is expected to be free.
func (c *Core) retryAfterMS(missing int64) int64 {
	c.drain.update(c.now.MS)
	if c.drain.bytesPerMS <= 0 {
		return maxRetryAfterMS
	}
	return min(max(int64(float64(missing)/c.drain.bytesPerMS), minRetryAfterMS), maxRetryAfterMS)
}

// refuseFull refuses a submission for which there is no memory. Nothing of it has
// been recorded or started.
func (c *Core) refuseFull(e SubmitRequested, spec *jobs.Job) {
	needed := spec.Footprint()
	reply := Reply{RequestID: e.RequestID, Full: true}
	reason := "no memory for the job now"
	if needed > c.config.MaxJobBytes {
		reply.TooLarge = true
		reason = "the job needs more memory than jobs may take"
	} else {
		reply.RetryAfterMS = c.retryAfterMS(c.JobBytes() + needed - c.config.MaxJobBytes)
	}
	c.emit(Decision{Event: "submission_refused", Job: e.ID, Reason: reason, Details: []Detail{
		{Name: "needed_bytes", Number: needed}, {Name: "used_bytes", Number: c.JobBytes()}, {Name: "limit_bytes", Number: c.config.MaxJobBytes},
		{Name: "retry_after_ms", Number: reply.RetryAfterMS},
	}})
	c.emit(reply)
}
