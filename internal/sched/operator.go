package sched

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"redwingvale/internal/alarm"
	"redwingvale/internal/code"
	"redwingvale/internal/ownership"
	"redwingvale/internal/spec"

	operatorv1 "redwingvale/internal/gen/redwingvale/operator/v1"
	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// runInLoop runs f in the decision loop and waits until it has run.
func (s *Sched) runInLoop(ctx context.Context, f func(*decisionLoop)) error {
	done := make(chan struct{})
	err := s.events.Put(ctx, loopCall{run: func(d *decisionLoop) {
		f(d)
		close(done)
	}})
	if err == nil && wait(ctx, done) {
		return nil
	}
	return code.New(code.Overloaded, "the decision duty does not answer in time")
}

// Instance implements operator.Source.
func (s *Sched) Instance() string { return s.config.Instance }

// Status implements operator.Source.
func (s *Sched) Status(ctx context.Context) (*operatorv1.StatusResponse, error) {
	var out *operatorv1.StatusResponse
	err := s.runInLoop(ctx, func(d *decisionLoop) { out = d.status(s.now()) })
	return out, err
}

// unknownAgeMS stands for an age that is not known.
const unknownAgeMS = -1

func (d *decisionLoop) status(now time.Duration) *operatorv1.StatusResponse {
	s := d.sched
	out := &operatorv1.StatusResponse{
		Instance:      s.config.Instance,
		Incarnation:   uint64(s.incarnation),
		DataCentre:    s.config.DataCentre,
		State:         s.state(),
		UptimeMs:      now.Milliseconds(),
		VotersVersion: d.ownership.VotersVersion(),
		ConfigOffset:  d.config.InForceOffset(),
		Alarms:        uint32(len(d.alarms.Raised())),
		Log: &operatorv1.LogStatus{
			Readable:     now-d.lastLogTail <= logReachableFor,
			SinceTailMs:  (now - d.lastLogTail).Milliseconds(),
			JournalBytes: int64(d.writer.Buffered()),
		},
	}
	voters := d.votersReading(now)
	out.Majority = voters.Reachable*2 > voters.Voters
	out.Members = d.memberStatuses(now)
	out.Log.OldestSnapshotMs = unknownAgeMS
	if age, known := d.oldestSnapshot(now); known {
		out.Log.OldestSnapshotMs = age.Milliseconds()
	}
	for _, owner := range d.ownership.Owners() {
		out.Groups = append(out.Groups, d.groupStatus(now, owner))
	}
	return out
}

func (s *Sched) state() string {
	switch {
	case s.draining.Load():
		return "draining"
	case s.Ready():
		return "ready"
	default:
		return "starting"
	}
}

func (d *decisionLoop) memberStatuses(now time.Duration) []*operatorv1.MemberStatus {
	byID := make(map[string]*recordv1.Member)
	for _, member := range d.ownership.Members() {
		byID[member.GetInstance()] = member
	}
	var out []*operatorv1.MemberStatus
	for _, peer := range d.ownership.Peers(now) {
		member := byID[string(peer.Instance)]
		out = append(out, &operatorv1.MemberStatus{
			Instance:     string(peer.Instance),
			Incarnation:  member.GetIncarnation(),
			DataCentre:   member.GetDataCentre(),
			State:        memberState(peer),
			HeardMs:      peer.SinceLastMessage.Milliseconds(),
			ConfigOffset: peer.ConfigOffset,
		})
	}
	return out
}

func memberState(peer ownership.PeerStatus) string {
	switch {
	case peer.Leaving:
		return "leaving"
	case peer.Suspected:
		return "suspected"
	case peer.Voter:
		return "active"
	default:
		return "joined"
	}
}

func (d *decisionLoop) groupStatus(now time.Duration, owner ownership.Owner) *operatorv1.GroupStatus {
	out := &operatorv1.GroupStatus{
		Group:   string(owner.Group),
		Owner:   string(owner.Owner),
		Epoch:   uint64(owner.Epoch),
		Workers: uint32(len(d.workers.inGroup(owner.Group))),
	}
	g := d.ownGroup(owner)
	if g == nil {
		return out
	}
	_, quarantined := g.core.WorkerCounts()
	out.Quarantined = uint32(quarantined)
	summary := g.core.Summary()
	out.Deciding = g.lease.Until > now
	out.WaitingTasks = uint32(summary.Waiting)
	out.RunningTasks = uint32(summary.Running)
	return out
}

// Explain implements operator.Source.
func (s *Sched) Explain(ctx context.Context, req *operatorv1.ExplainRequest) (*operatorv1.ExplainResponse, error) {
	if req.GetWorker() != "" {
		return s.explainWorker(ctx, req.GetWorker())
	}
	job, err := s.findJob(ctx, &recordv1.JobRef{Team: req.GetTeam(), Name: req.GetJob()})
	if err != nil {
		return nil, err
	}
	out := &operatorv1.ExplainResponse{
		Subject: req.GetTeam() + "/" + req.GetJob(),
		State:   job.GetState(),
		Group:   job.GetGroup(),
		Owner:   s.ownerName(spec.GroupID(job.GetGroup())),
		Code:    job.GetCode(),
		Detail:  job.GetDetail(),
	}
	for _, task := range job.GetTasks() {
		if req.GetHasTask() && task.GetIndex() != req.GetTask() {
			continue
		}
		out.Items = append(out.Items, explainTask(jobID(job.GetJob().GetId()), task))
	}
	return out, nil
}

// Alarms implements operator.Source.
func (s *Sched) Alarms(ctx context.Context, cleared bool) ([]*operatorv1.Alarm, error) {
	var out []*operatorv1.Alarm
	err := s.runInLoop(ctx, func(d *decisionLoop) {
		all := d.alarms.Raised()
		if cleared {
			all = append(all, d.alarms.Cleared()...)
		}
		for _, a := range all {
			out = append(out, alarmMessage(s.config.Instance, s.now(), a))
		}
	})
	return out, err
}

func alarmMessage(instance string, now time.Duration, a alarm.Alarm) *operatorv1.Alarm {
	return &operatorv1.Alarm{
		Cause:    string(a.Cause),
		Subject:  a.Subject,
		Severity: string(a.Severity),
		Detail:   a.Detail,
		Action:   a.Action,
		AgeMs:    (now - a.RaisedAt).Milliseconds(),
		Cleared:  a.Cleared,
		Instance: instance,
	}
}

// Drain implements operator.Source. The process exits when the leave is
// complete.
func (s *Sched) Drain(_ context.Context, actor, reason string) (*operatorv1.DrainResponse, error) {
	s.log.Info("drain_requested", zap.String("actor", actor), zap.String("reason", reason))
	s.drainAttribution.CompareAndSwap(nil, &attribution{actor: actor, reason: reason})
	if s.draining.CompareAndSwap(false, true) {
		s.drainOnce.Do(func() { close(s.drainRequested) })
	}
	view := s.view.current.Load()
	left := uint32(0)
	for _, g := range view.GetGroups() {
		if g.GetOwner() == s.config.Instance {
			left++
		}
	}
	return &operatorv1.DrainResponse{State: "draining", GroupsLeft: left}, nil
}

// DrainRequested returns a channel that is closed when a planned stop is
// requested.
func (s *Sched) DrainRequested() <-chan struct{} { return s.drainRequested }

// StopInstance implements the SchedService.
func (s *Sched) StopInstance(ctx context.Context, call *connect.Request[schedv1.StopInstanceRequest]) (*connect.Response[schedv1.StopInstanceResponse], error) {
	if call.Msg.GetInstance() != s.config.Instance {
		return nil, connect.NewError(connect.CodeInvalidArgument, code.New(code.BadRequest, "this is instance %s", s.config.Instance))
	}
	s.log.Info("stop_requested_by_entry")
	err := s.Leave(ctx)
	s.drainOnce.Do(func() { close(s.drainRequested) })
	if err != nil {
		return nil, connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	return connect.NewResponse(&schedv1.StopInstanceResponse{}), nil
}

// Services implements operator.Source.
func (s *Sched) Services(ctx context.Context, team string, withDocuments bool) (*operatorv1.ListServicesResponse, error) {
	out := &operatorv1.ListServicesResponse{}
	err := s.runInLoop(ctx, func(d *decisionLoop) {
		for _, revision := range d.config.State().Revisions() {
			if team == "" || team == revision.GetTeam() {
				out.Services = append(out.Services, serviceStatus(revision, withDocuments))
			}
		}
		for _, peer := range d.ownership.Peers(s.now()) {
			if peer.Voter {
				out.Instances = append(out.Instances, &operatorv1.InstanceConfig{
					Instance:     string(peer.Instance),
					ConfigOffset: peer.ConfigOffset,
					HeardMs:      peer.SinceLastMessage.Milliseconds(),
				})
			}
		}
	})
	return out, err
}

func serviceStatus(revision *recordv1.ServiceRevision, withDocument bool) *operatorv1.ServiceStatus {
	out := &operatorv1.ServiceStatus{
		Team:     revision.GetTeam(),
		Service:  revision.GetService(),
		Revision: revision.GetRevision(),
		Author:   revision.GetAuthor(),
		UnixMs:   revision.GetUnixMs(),
		ApplyId:  revision.GetApplyId(),
	}
	if withDocument {
		out.Document = revision.GetDocument()
	}
	return out
}
