package planner

import "redwingvale/internal/jobs"

func (sim *simulation) submit(id jobs.ID) {
	s := sim.jobs[id]
	if s.accepted || s.refusal.final {
		return
	}
	if sim.now < s.refusal.returnMS {
		sim.at(s.refusal.returnMS-sim.now, func() { sim.submit(id) })
		return
	}
	sim.sendSubmission(id)
	if !s.submitOnce {
		sim.at(1000, func() { sim.submit(id) })
	}
}

func (sim *simulation) sendSubmission(id jobs.ID) {
	s := sim.jobs[id]
	s.refusal.unanswered++
	sim.lastRequestID++
	sim.submitRequests[sim.lastRequestID] = id
	encoded, err := jobs.EncodeJob(s.job)
	if err != nil {
		sim.violate("TEST", "%v", err)
		return
	}
	s.sent++
	sim.step(sim.leader, SubmitRequested{RequestID: sim.lastRequestID, ID: id, Encoded: encoded, WaitMS: sim.waitMS()})
}

func (sim *simulation) cancel(id jobs.ID) {
	if sim.jobs[id].refusal.final {
		return
	}
	sim.lastRequestID++
	sim.cancelRequests[sim.lastRequestID] = id
	sim.jobs[id].cancelSent = true
	sim.earlyCancels[sim.lastRequestID] = !sim.jobs[id].accepted
	sim.step(sim.leader, CancelRequested{RequestID: sim.lastRequestID, ID: id, RecordUnknown: true})
	sim.at(1000, func() {
		if !sim.jobs[id].cancelDone {
			sim.cancel(id)
		}
	})
}

func (sim *simulation) reply(r Reply) {
	if id, ok := sim.submitRequests[r.RequestID]; ok && r.Accepted {
		sim.jobs[id].accepted = true
		if !sim.jobs[id].recorded {
			sim.violate("LOST", "%s is accepted before it is in the log", id)
		}
	}
	if id, ok := sim.submitRequests[r.RequestID]; ok && r.Withdrawn {
		sim.noteWithdrawn(id)
	}
	if id, ok := sim.cancelRequests[r.RequestID]; ok {
		sim.handleCancelReply(sim.jobs[id], r)
	}
}
