package node

import (
	"testing"

	"google.golang.org/protobuf/proto"

	nodev1 "redwingvale/internal/gen/redwingvale/node/v1"
	"redwingvale/internal/jobs"
	"redwingvale/internal/planner"
)

// FuzzDelegationMessages guards against malformed messages between a leader and
// its delegates that end the process: they are decoded and reach the planner
// outside of any handler that recovers from a panic.
func FuzzDelegationMessages(f *testing.F) {
	task := jobs.Task{Job: "j", Index: 1}
	report := planner.Report{StartedMS: 1, ClockMS: 2,
		Running: []planner.RunningTask{{Task: task, Run: 1, Percent: 5, Usage: 7}},
		Ended:   []planner.EndedTask{{Number: 1, Task: task, Run: 1, Kind: planner.EndDone}},
	}
	var base reportBase
	complete, difference := encodeOutcome(1, planner.Done), encodeOutcome(2, planner.Done)
	complete.Report = base.encode(1, 0, report)
	report.Running = append(report.Running, planner.RunningTask{Task: jobs.Task{Job: "j"}, Run: 1})
	difference.Report = base.encode(2, 1, report)
	outcomes, err := proto.Marshal(&nodev1.ReportCallsRequest{Epoch: 1, Outcomes: []*nodev1.CallOutcome{complete, difference}})
	if err != nil {
		f.Fatal(err)
	}
	calls, err := proto.Marshal(&nodev1.CallWorkersRequest{Epoch: 1, Calls: []*nodev1.WorkerCall{encodeCall(1, planner.Start{Worker: "w", Task: task, Run: 1}, 0)}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(outcomes)
	f.Add(calls)
	f.Fuzz(func(t *testing.T, body []byte) {
		var request nodev1.CallWorkersRequest
		if proto.Unmarshal(body, &request) == nil {
			for _, call := range request.GetCalls() {
				decodeCall(call)
			}
		}
		var reported nodev1.ReportCallsRequest
		if proto.Unmarshal(body, &reported) != nil {
			return
		}
		core := planner.New(planner.Config{LeaseMS: 4000, MaxLeaseMS: 6000, OptimisticStart: true, FirstTerm: true}, jobs.NewStateMachine(), 1, planner.Time{MS: 1})
		core.Step(planner.Time{MS: 2}, planner.QueuesChanged{Queues: []planner.Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 2}}}})
		encoded, err := jobs.EncodeJob(&jobs.Job{Queue: "q", Steps: []jobs.Step{{Count: 2, CPUMilli: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		core.Step(planner.Time{MS: 3}, planner.SubmitRequested{RequestID: 1, ID: "j", Encoded: encoded})
		core.Step(planner.Time{MS: 4}, planner.WorkersChanged{Workers: []planner.WorkerInfo{{ID: "w", Service: "s", Capacity: planner.Resources{CPUMilli: 8, MemoryMB: 8}}}})
		var held heldReport
		for i, o := range reported.GetOutcomes() {
			report, decoded := held.decode(o.GetId(), o.GetReport())
			if outcome, ok := decodeOutcome(o); ok && (decoded || outcome != planner.Done) {
				core.Step(planner.Time{MS: int64(5 + i)}, planner.HoldDone{Worker: "w", Token: 1 << 20, Outcome: outcome, Report: report})
				core.Step(planner.Time{MS: int64(5 + i)}, planner.StartDone{Worker: "w", Task: task, Run: 1, Outcome: outcome})
			}
		}
		core.Step(planner.Time{MS: 10_000}, planner.Tick{})
	})
}
