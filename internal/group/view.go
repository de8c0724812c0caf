package group

import (
	"fmt"
	"sort"
	"strconv"

	"github.com/cockroachdb/errors"

	"redwingvale/internal/code"
	"redwingvale/internal/spec"

	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// maxViewTasks bounds the tasks listed in the response about a job.
const maxViewTasks = 1000

// reply sends the state of a job, or forwards the caller to the group to
// which the job moved.
func (c *Core) reply(request Request, j *job) {
	reply := Reply{Request: request, Code: code.OK, Response: c.view(j)}
	if j.movedTo != "" {
		reply.Forward = j.movedTo
	}
	c.emit(reply)
}

func (c *Core) refuse(request Request, err error) {
	var coded *code.Error
	detail := ""
	if errors.As(err, &coded) {
		detail = coded.Detail
	}
	c.emit(Reply{
		Request:  request,
		Code:     code.Of(err),
		Response: &schedv1.JobResponse{Code: int32(code.Of(err)), Detail: detail, Group: string(c.opts.Group)},
	})
}

func (c *Core) view(j *job) *schedv1.JobResponse {
	out := &schedv1.JobResponse{
		Job:   j.spec,
		State: j.stateName(),
		Group: string(c.opts.Group),
		Code:  j.code,
	}
	if j.movedTo != "" {
		out.Group = string(j.movedTo)
	}
	for i := range j.tasks[:min(len(j.tasks), maxViewTasks)] {
		out.Tasks = append(out.Tasks, c.taskView(&j.tasks[i]))
	}
	return out
}

func (c *Core) taskView(t *task) *schedv1.TaskView {
	out := &schedv1.TaskView{
		Index:    t.index,
		State:    t.state.String(),
		Attempt:  uint32(t.attempt),
		Progress: t.progress,
		Moves:    t.moves,
		Code:     t.code,
	}
	if t.active() {
		out.Worker = string(t.worker)
	}
	if t.attemptState != nil {
		out.Progress = max(t.progress, t.attemptState.progress)
	}
	if t.state == taskEnded {
		return out
	}
	for _, r := range c.decider.Explain(t.id()) {
		out.Reasons = append(out.Reasons, fmt.Sprintf("%s: %s (%d workers)", r.Dimension, r.Detail, r.Workers))
		out.Explanations = append(out.Explanations, &schedv1.TaskReason{
			Dimension: r.Dimension, Workers: uint32(r.Workers), Detail: r.Detail,
		})
	}
	return out
}

func (j *job) stateName() string {
	switch {
	case j.movedTo != "":
		return "moved"
	case j.cancelled:
		return "cancelled"
	case j.ended && j.code == int32(code.OK):
		return "done"
	case j.ended:
		return "failed"
	case j.active > 0:
		return "running"
	case j.finished > 0 || j.pendingIntents > 0:
		return "waiting"
	default:
		return "accepted"
	}
}

func itoa[T ~int | ~uint64 | ~uint32](n T) string { return strconv.FormatUint(uint64(n), 10) }

func formatBool(b bool) string { return strconv.FormatBool(b) }

func sortedJobs[V any](m map[spec.JobID]V) []spec.JobID {
	out := make([]spec.JobID, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Team != out[j].Team {
			return out[i].Team < out[j].Team
		}
		return out[i].Name < out[j].Name
	})
	return out
}
