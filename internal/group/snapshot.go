package group

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"redwingvale/internal/fence"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// partOverhead is the space reserved in a part for the envelope and the part's
// own fields, in bytes.
const partOverhead = 4096

// snapshot returns the complete state as parts of at most maxBytes each.
func (s *state) snapshot(maxBytes int) []*recordv1.GroupSnapshot {
	b := partBuilder{state: s, limit: maxBytes - partOverhead}
	b.startPart()
	b.part.Writers = s.filter.State()
	b.part.Quarantined = s.quarantinedIDs()
	b.used = proto.Size(b.part)
	s.eachJob(b.addJob)
	for i, part := range b.parts {
		part.Part = uint32(i)
		part.Parts = uint32(len(b.parts))
	}
	return b.parts
}

func (s *state) quarantinedIDs() []string {
	out := make([]string, 0, len(s.quarantined))
	for id := range s.quarantined {
		out = append(out, string(id))
	}
	sort.Strings(out)
	return out
}

// partBuilder builds the parts of a snapshot in order.
type partBuilder struct {
	state *state
	limit int
	parts []*recordv1.GroupSnapshot
	part  *recordv1.GroupSnapshot
	used  int
}

func (b *partBuilder) startPart() {
	b.part = &recordv1.GroupSnapshot{
		Epoch:            uint64(b.state.fence.Epoch),
		Owner:            string(b.state.fence.Owner),
		OwnerIncarnation: uint64(b.state.fence.Incarnation),
		ThroughOffset:    b.state.appliedOffset,
	}
	b.parts = append(b.parts, b.part)
	b.used = 0
}

// reserve accounts for size bytes and reports whether that started a new part.
func (b *partBuilder) reserve(size int) bool {
	opened := false
	if b.used > 0 && b.used+size > b.limit {
		b.startPart()
		opened = true
	}
	b.used += size
	return opened
}

func (b *partBuilder) addJob(j *job) {
	jobState := j.snapshotState()
	b.reserve(fieldSize(jobState))
	b.part.Jobs = append(b.part.Jobs, jobState)
	for i := range j.tasks {
		t := j.tasks[i].snapshotState()
		if t == nil {
			continue
		}
		if b.reserve(fieldSize(t)) {
			jobState = &recordv1.JobState{Job: &recordv1.JobSpec{Id: j.spec.GetId()}}
			b.used += fieldSize(jobState)
			b.part.Jobs = append(b.part.Jobs, jobState)
		}
		jobState.Tasks = append(jobState.Tasks, t)
	}
}

// fieldSize returns an upper bound on the encoded size of a message as an element
// of a repeated field.
func fieldSize(m proto.Message) int { return proto.Size(m) + 8 }

func (j *job) snapshotState() *recordv1.JobState {
	return &recordv1.JobState{
		Job:         j.spec,
		ContentHash: j.contentHash,
		Cancelled:   j.cancelled,
		Code:        j.code,
		Ended:       j.ended,
		Hop:         j.hop,
		MovedTo:     string(j.movedTo),
		HandOffDone: j.handOffDone,
		FromGroup:   string(j.fromGroup),
	}
}

// snapshotState returns the task's state for a snapshot or a hand-off, or nil if
// the task is waiting and never had an attempt.
func (t *task) snapshotState() *recordv1.TaskState {
	if t.state == taskWaiting && t.attempt == 0 {
		return nil
	}
	out := &recordv1.TaskState{
		Index:      t.index,
		State:      uint32(t.state),
		Attempt:    uint32(t.attempt),
		Checkpoint: t.checkpoint,
		Progress:   t.progress,
		Moves:      t.moves,
		Code:       t.code,
		Ran:        t.ran,
		Failures:   t.failures,
	}
	if t.active() {
		out.Worker = string(t.worker)
		out.Boot = t.boot
	}
	return out
}

// restoreTask sets a task to its state in a snapshot or a hand-off.
func (j *job) restoreTask(saved *recordv1.TaskState) {
	if int(saved.GetIndex()) >= len(j.tasks) || saved.GetState() > uint32(taskEnded) {
		return
	}
	t := &j.tasks[saved.GetIndex()]
	t.state = taskState(saved.GetState())
	t.attempt = spec.Attempt(saved.GetAttempt())
	t.worker = spec.WorkerID(saved.GetWorker())
	t.boot = saved.GetBoot()
	t.checkpoint = saved.GetCheckpoint()
	t.progress = saved.GetProgress()
	t.moves = saved.GetMoves()
	t.failures = saved.GetFailures()
	t.code = saved.GetCode()
	t.ran = saved.GetRan()
	if t.active() {
		j.active++
	}
	if t.state == taskEnded {
		j.finished++
	}
}

// restore returns the state in a complete snapshot.
func restore(opts Options, parts []*recordv1.GroupSnapshot) *state {
	s := newState(opts)
	first := parts[0]
	s.fence = fence.Fence{}
	s.fence.Restore(first)
	s.filter.Restore(first.GetWriters())
	s.appliedOffset = first.GetThroughOffset()
	for _, id := range first.GetQuarantined() {
		s.quarantined[spec.WorkerID(id)] = true
	}
	for _, part := range parts {
		for _, saved := range part.GetJobs() {
			s.restoreJob(saved)
		}
	}
	return s
}

func (s *state) restoreJob(saved *recordv1.JobState) {
	j := s.jobs[jobID(saved.GetJob().GetId())]
	if j == nil {
		j = newJob(saved.GetJob(), saved.GetContentHash())
		j.cancelled = saved.GetCancelled()
		j.code = saved.GetCode()
		j.ended = saved.GetEnded()
		j.hop = saved.GetHop()
		j.movedTo = spec.GroupID(saved.GetMovedTo())
		j.handOffDone = saved.GetHandOffDone()
		j.fromGroup = spec.GroupID(saved.GetFromGroup())
		s.addJob(j)
	}
	for _, t := range saved.GetTasks() {
		j.restoreTask(t)
	}
}
