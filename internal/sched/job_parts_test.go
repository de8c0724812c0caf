package sched

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// Guards against a division that omits or duplicates a task, or differs between
// a submission and its resubmission.
func TestDivideCoversEachTaskOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Uint32Range(1, 100_000).Draw(t, "tasks")
		job := &recordv1.JobSpec{Id: &recordv1.JobRef{Team: "t", Name: "j"}, Tasks: total}
		next := uint32(0)
		names := make(map[string]bool)
		parts := divide(job)
		for _, part := range parts {
			if part.GetFirstIndex() != next {
				t.Fatalf("part starts at task %d, want %d", part.GetFirstIndex(), next)
			}
			next += part.GetTasks()
			names[part.GetId().GetName()] = true
		}
		if next != total || len(names) != len(parts) || len(parts) > maxParts {
			t.Fatalf("%d tasks covered of %d, %d names for %d parts", next, total, len(names), len(parts))
		}
	})
}

// Guards against a job that is reported as ended while a part still runs, or
// as done while a part has failed.
func TestJoinedState(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		parts []string
		want  string
	}{
		{[]string{stateDone, stateDone}, stateDone},
		{[]string{stateDone, stateRunning}, stateRunning},
		{[]string{stateDone, stateFailed}, stateFailed},
		{[]string{stateFailed, stateRunning}, stateRunning},
		{[]string{stateDone, stateWaiting}, stateWaiting},
		{[]string{stateAccepted, stateAccepted}, stateAccepted},
		{[]string{stateDone, stateCancelled}, stateCancelled},
	} {
		var responses []*schedv1.JobResponse
		for _, state := range test.parts {
			responses = append(responses, &schedv1.JobResponse{State: state, Job: &recordv1.JobSpec{}})
		}
		c.Check(joinResponses(responses).GetState(), qt.Equals, test.want, qt.Commentf("%v", test.parts))
	}
}
