package operator

import (
	"redwingvale/internal/code"
	"redwingvale/internal/spec"

	operatorv1 "redwingvale/internal/gen/redwingvale/operator/v1"
)

func checkID(name, value string) error {
	if !spec.ValidID(value) {
		return code.New(code.BadID, "%s %.40q is not an id", name, value)
	}
	return nil
}

func checkOptionalID(name, value string) error {
	if value == "" {
		return nil
	}
	return checkID(name, value)
}

func checkExplain(req *operatorv1.ExplainRequest) error {
	if req.GetWorker() != "" {
		if req.GetJob() != "" {
			return code.New(code.BadRequest, "name a job or a worker, not both")
		}
		return checkID("worker", req.GetWorker())
	}
	if err := checkID("team", req.GetTeam()); err != nil {
		return err
	}
	return checkID("job", req.GetJob())
}

// checkReason rejects a change without an actor or a reason, because both are
// part of the audit trail.
func checkReason(actor, reason string) error {
	if err := checkID("actor", actor); err != nil {
		return err
	}
	if reason == "" {
		return code.New(code.BadRequest, "a reason is required")
	}
	if len(reason) > MaxReasonBytes {
		return code.New(code.BadRequest, "the reason has %d bytes, the limit is %d", len(reason), MaxReasonBytes)
	}
	return nil
}

func checkDrain(req *operatorv1.DrainRequest, self string) error {
	if err := checkReason(req.GetActor(), req.GetReason()); err != nil {
		return err
	}
	if req.GetInstance() != self {
		return code.New(code.BadRequest, "this is instance %s, the request names %.40q", self, req.GetInstance())
	}
	return nil
}

func checkRemove(req *operatorv1.RemoveMemberRequest, self string) error {
	if err := checkReason(req.GetActor(), req.GetReason()); err != nil {
		return err
	}
	if err := checkID("instance", req.GetInstance()); err != nil {
		return err
	}
	if req.GetInstance() == self {
		return code.New(code.BadRequest, "%s answers this request, so it is not dead; use drain", self)
	}
	if req.GetIncarnation() == 0 {
		return code.New(code.BadRequest, "the incarnation of %s is required", req.GetInstance())
	}
	return nil
}
