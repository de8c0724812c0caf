package main

import (
	"context"
	"fmt"
	"strings"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"

	"redwingvale/internal/code"

	operatorv1 "redwingvale/internal/gen/redwingvale/operator/v1"
)

// noTask is the default of -task: all tasks.
const noTask = -1

// explainCommand shows why a job, a task or a worker is in its state.
func explainCommand(e *environment) *ffcli.Command {
	c := newCommand(e, "explain")
	task := c.flags.Int64("task", noTask, "index of one task; all if absent")
	worker := c.flags.String("worker", "", "explain a worker instead of a job")
	return c.build("TEAM/JOB", "show why a job, a task or a worker is in its state", func(ctx context.Context, args []string) error {
		request, err := explainRequest(args, *task, *worker)
		if err != nil {
			return err
		}
		responses, err := callAll(ctx, c, func(ctx context.Context, client client) (*operatorv1.ExplainResponse, error) {
			out, err := client.Explain(ctx, connect.NewRequest(request))
			return unwrapResponse(out, err)
		})
		if err != nil {
			return err
		}
		found, err := firstResponse(responses)
		if err != nil {
			return withUnreachableStatus(err)
		}
		if c.settings.json {
			data, err := marshalProtoJSON(found)
			if err != nil {
				return err
			}
			return c.printJSON(data)
		}
		c.showExplanation(found)
		return nil
	})
}

func explainRequest(args []string, task int64, worker string) (*operatorv1.ExplainRequest, error) {
	if worker != "" {
		if len(args) > 0 {
			return nil, usageError("name a job or -worker, not both")
		}
		return &operatorv1.ExplainRequest{Worker: worker}, nil
	}
	if len(args) != 1 {
		return nil, usageError("name one job as TEAM/JOB")
	}
	team, job, ok := strings.Cut(args[0], "/")
	if !ok {
		return nil, usageError("%q is not TEAM/JOB", args[0])
	}
	out := &operatorv1.ExplainRequest{Team: team, Job: job}
	if task != noTask {
		if task < 0 || task > 1<<31 {
			return nil, usageError("-task %d is no index", task)
		}
		out.HasTask = true
		out.Task = uint32(task)
	}
	return out, nil
}

// withUnreachableStatus sets the exit code for the case that no instance was
// reached.
func withUnreachableStatus(err error) error {
	if code.Of(err) == code.HomeUnreachable {
		return &exitError{status: exitUnreachable, err: err}
	}
	return err
}

func (c *command) showExplanation(e *operatorv1.ExplainResponse) {
	text := e.GetSubject() + ": " + e.GetState()
	if e.GetGroup() != "" {
		text += fmt.Sprintf(", group %s owned by %s", e.GetGroup(), dash(e.GetOwner()))
	}
	if e.GetCode() != 0 {
		text += ", " + code.Code(e.GetCode()).String()
	}
	if e.GetDetail() != "" {
		text += ": " + e.GetDetail()
	}
	c.line("%s", text)
	for _, item := range e.GetItems() {
		c.showItem(item)
	}
	if e.GetTruncated() {
		c.line("more items exist; use -task to see one of them")
	}
}

func (c *command) showItem(item *operatorv1.Explanation) {
	text := "  " + item.GetSubject() + ": " + item.GetState()
	if item.GetWorker() != "" {
		text += " on " + item.GetWorker()
	}
	if item.GetAttempt() > 0 {
		text += fmt.Sprintf(", attempt %d, moved %d times", item.GetAttempt(), item.GetMoves())
	}
	c.line("%s", text)
	for _, reason := range item.GetReasons() {
		where := ""
		if reason.GetWorkers() > 0 {
			where = fmt.Sprintf(" (%d workers)", reason.GetWorkers())
		}
		c.line("    %s%s: %s", reason.GetDimension(), where, reason.GetDetail())
	}
}
