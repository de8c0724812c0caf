package node

import (
	nodev1 "redwingvale/internal/gen/redwingvale/node/v1"
	"redwingvale/internal/jobs"
	"redwingvale/internal/planner"
)

// encodeCall encodes a command for a delegate. knownReport is the id of the report
// that the leader holds of the worker, or 0.
func encodeCall(id uint64, command planner.Effect, knownReport uint64) *nodev1.WorkerCall {
	call := &nodev1.WorkerCall{Id: id}
	switch e := command.(type) {
	case planner.Hold:
		call.Worker, call.Address, call.Token = string(e.Worker), e.Address, e.Token
		call.Command = &nodev1.WorkerCall_Hold{Hold: &nodev1.HoldCommand{AckNumber: e.AckNumber, LeaseEndMs: e.LeaseEndMS, WaitMs: e.WaitMS, KnownReport: knownReport}}
	case planner.Start:
		call.Worker, call.Address, call.Token = string(e.Worker), e.Address, e.Token
		call.Command = &nodev1.WorkerCall_Start{Start: &nodev1.StartCommand{
			Task: encodeTask(e.Task), Run: uint32(e.Run), Payload: e.Payload,
			LeaseEndMs: e.LeaseEndMS, Checkpoint: e.Checkpoint, Ticket: e.Ticket, DataCentre: e.DataCentre,
		}}
	case planner.Stop:
		call.Worker, call.Address, call.Token = string(e.Worker), e.Address, e.Token
		call.Command = &nodev1.WorkerCall_Stop{Stop: &nodev1.StopCommand{Task: encodeTask(e.Task), Run: uint32(e.Run)}}
	case planner.Pace:
		call.Worker, call.Address, call.Token = string(e.Worker), e.Address, e.Token
		call.Command = &nodev1.WorkerCall_Pace{Pace: &nodev1.PaceCommand{Task: encodeTask(e.Task), Run: uint32(e.Run), Percent: uint32(e.Percent)}}
	}
	return call
}

// decodeCall returns the command of a call; ok is false if it is unknown.
func decodeCall(call *nodev1.WorkerCall) (command planner.Effect, ok bool) {
	worker, address, token := planner.WorkerID(call.GetWorker()), call.GetAddress(), call.GetToken()
	switch m := call.GetCommand().(type) {
	case *nodev1.WorkerCall_Hold:
		return planner.Hold{
			Worker: worker, Address: address, Token: token,
			AckNumber: m.Hold.GetAckNumber(), LeaseEndMS: m.Hold.GetLeaseEndMs(), WaitMS: m.Hold.GetWaitMs(),
		}, true
	case *nodev1.WorkerCall_Start:
		return planner.Start{
			Worker: worker, Address: address, Token: token,
			Task: decodeTask(m.Start.GetTask()), Run: int(m.Start.GetRun()), Payload: m.Start.GetPayload(),
			LeaseEndMS: m.Start.GetLeaseEndMs(), Checkpoint: m.Start.GetCheckpoint(), Ticket: m.Start.GetTicket(), DataCentre: m.Start.GetDataCentre(),
		}, true
	case *nodev1.WorkerCall_Stop:
		return planner.Stop{Worker: worker, Address: address, Token: token, Task: decodeTask(m.Stop.GetTask()), Run: int(m.Stop.GetRun())}, true
	case *nodev1.WorkerCall_Pace:
		return planner.Pace{
			Worker: worker, Address: address, Token: token,
			Task: decodeTask(m.Pace.GetTask()), Run: int(m.Pace.GetRun()), Percent: int(m.Pace.GetPercent()),
		}, true
	}
	return nil, false
}

func encodeTask(t jobs.Task) *nodev1.TaskName {
	return &nodev1.TaskName{Job: string(t.Job), Occurrence: uint32(t.Occurrence), Step: uint32(t.Step), Index: uint32(t.Index)}
}

func decodeTask(m *nodev1.TaskName) jobs.Task {
	return jobs.Task{Job: jobs.ID(m.GetJob()), Occurrence: int(m.GetOccurrence()), Step: int(m.GetStep()), Index: int(m.GetIndex())}
}

// encodeOutcome encodes the outcome of a call other than a hold call that has
// returned a report.
func encodeOutcome(id uint64, outcome planner.Outcome) *nodev1.CallOutcome {
	return &nodev1.CallOutcome{Id: id, Outcome: uint32(outcome)}
}

// decodeOutcome returns the outcome of a call; ok is false if it is unknown.
func decodeOutcome(m *nodev1.CallOutcome) (outcome planner.Outcome, ok bool) {
	outcome = planner.Outcome(m.GetOutcome())
	return outcome, outcome.Valid()
}

func encodeRunning(r *planner.RunningTask) *nodev1.RunningTask {
	return &nodev1.RunningTask{
		Task: encodeTask(r.Task), Run: uint32(r.Run), Checkpoint: r.Checkpoint, Percent: uint32(max(r.Percent, 0)), Usage: int64(r.Usage),
	}
}

func decodeRunning(m *nodev1.RunningTask) planner.RunningTask {
	return planner.RunningTask{
		Task: decodeTask(m.GetTask()), Run: int(m.GetRun()), Checkpoint: m.GetCheckpoint(), Percent: int(m.GetPercent()), Usage: int(m.GetUsage()),
	}
}

func encodeEnded(e *planner.EndedTask) *nodev1.EndedTask {
	return &nodev1.EndedTask{Number: e.Number, Task: encodeTask(e.Task), Run: uint32(e.Run), Kind: string(e.Kind), Checkpoint: e.Checkpoint}
}

func decodeEnded(m *nodev1.EndedTask) planner.EndedTask {
	return planner.EndedTask{
		Number: m.GetNumber(), Task: decodeTask(m.GetTask()), Run: int(m.GetRun()), Kind: planner.EndKind(m.GetKind()), Checkpoint: m.GetCheckpoint(),
	}
}
