package group

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"redwingvale/internal/fence"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// partSlack is room in a part for the envelope and the part's own fields, in
// bytes.
const partSlack = 4096

// snapshot returns the whole state as parts of at most maxBytes each.
func (s *state) snapshot(maxBytes int) []*recordv1.GroupSnapshot {
	b := partBuilder{state: s, limit: maxBytes - partSlack}
	b.open()
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

// partBuilder fills parts one after the other.
type partBuilder struct {
	state *state
	limit int
	parts []*recordv1.GroupSnapshot
	part  *recordv1.GroupSnapshot
	used  int
}

func (b *partBuilder) open() {
	b.part = &recordv1.GroupSnapshot{
		Epoch:            uint64(b.state.fence.Epoch),
		Owner:            string(b.state.fence.Owner),
		OwnerIncarnation: uint64(b.state.fence.Incarnation),
		ThroughOffset:    b.state.applied,
	}
	b.parts = append(b.parts, b.part)
	b.used = 0
}

// take makes room for size bytes and reports whether a new part was opened.
func (b *partBuilder) take(size int) bool {
	opened := false
	if b.used > 0 && b.used+size > b.limit {
		b.open()
		opened = true
	}
	b.used += size
	return opened
}

func (b *partBuilder) addJob(j *job) {
	stated := j.header()
	b.take(fieldSize(stated))
	b.part.Jobs = append(b.part.Jobs, stated)
	for i := range j.tasks {
		t := j.tasks[i].stated()
		if t == nil {
			continue
		}
		if b.take(fieldSize(t)) {
			stated = &recordv1.JobState{Job: &recordv1.JobSpec{Id: j.spec.GetId()}}
			b.used += fieldSize(stated)
			b.part.Jobs = append(b.part.Jobs, stated)
		}
		stated.Tasks = append(stated.Tasks, t)
	}
}

// fieldSize bounds the encoded size of a message as a repeated field.
func fieldSize(m proto.Message) int { return proto.Size(m) + 8 }

func (j *job) header() *recordv1.JobState {
	return &recordv1.JobState{
		Job:         j.spec,
		ContentHash: j.hash,
		Cancelled:   j.cancelled,
		Code:        j.code,
		Ended:       j.ended,
		Hop:         j.hop,
		MovedTo:     string(j.movedTo),
		HandOffDone: j.moveDone,
		FromGroup:   string(j.from),
	}
}

// stated returns the task for a snapshot or a hand-off, or nil for one that
// waits and never had an attempt.
func (t *task) stated() *recordv1.TaskState {
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

// restoreTask sets a task as a snapshot or a hand-off states it.
func (j *job) restoreTask(stated *recordv1.TaskState) {
	if int(stated.GetIndex()) >= len(j.tasks) || stated.GetState() > uint32(taskEnded) {
		return
	}
	t := &j.tasks[stated.GetIndex()]
	t.state = taskState(stated.GetState())
	t.attempt = spec.Attempt(stated.GetAttempt())
	t.worker = spec.WorkerID(stated.GetWorker())
	t.boot = stated.GetBoot()
	t.checkpoint = stated.GetCheckpoint()
	t.progress = stated.GetProgress()
	t.moves = stated.GetMoves()
	t.failures = stated.GetFailures()
	t.code = stated.GetCode()
	t.ran = stated.GetRan()
	if t.active() {
		j.active++
	}
	if t.state == taskEnded {
		j.finished++
	}
}

// restore replaces the state with that of a complete snapshot.
func restore(opts Options, parts []*recordv1.GroupSnapshot) *state {
	s := newState(opts)
	first := parts[0]
	s.fence = fence.Fence{}
	s.fence.Restore(first)
	s.filter.Restore(first.GetWriters())
	s.applied = first.GetThroughOffset()
	for _, id := range first.GetQuarantined() {
		s.quarantined[spec.WorkerID(id)] = true
	}
	for _, part := range parts {
		for _, stated := range part.GetJobs() {
			s.restoreJob(stated)
		}
	}
	return s
}

func (s *state) restoreJob(stated *recordv1.JobState) {
	j := s.jobs[jobID(stated.GetJob().GetId())]
	if j == nil {
		j = newJob(stated.GetJob(), stated.GetContentHash())
		j.cancelled = stated.GetCancelled()
		j.code = stated.GetCode()
		j.ended = stated.GetEnded()
		j.hop = stated.GetHop()
		j.movedTo = spec.GroupID(stated.GetMovedTo())
		j.moveDone = stated.GetHandOffDone()
		j.from = spec.GroupID(stated.GetFromGroup())
		s.addJob(j)
	}
	for _, t := range stated.GetTasks() {
		j.restoreTask(t)
	}
}
