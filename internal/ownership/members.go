package ownership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"redwingvale/internal/journal"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// maxVoterSets bounds the remembered history of voter sets. An owner that
// could not read its group's stream during more changes than that loses its
// peer lease.
const maxVoterSets = 16

// voterSet is one version of the voters, in log order.
type voterSet struct {
	version uint64
	voters  []spec.InstanceID
	// knownAt is when this instance learned the version.
	knownAt time.Duration
}

// membership is the state that the members stream defines. All readers of the
// same prefix of the stream have the same members and version.
type membership struct {
	members []*recordv1.Member
	version uint64
	// through is the offset of the last record that was applied.
	through int64
	filter  *journal.Filter
	// sets holds the newest versions, newest last, without gaps.
	sets []voterSet
	// awaiting states that records have expired, so that a snapshot is needed
	// before held records can be applied.
	awaiting bool
	held     []MembersRecord
	// snapshotAt is when the newest snapshot was read.
	snapshotAt time.Duration
}

func newMembership() *membership {
	m := &membership{through: -1, filter: journal.NewFilter()}
	m.remember(0)
	return m
}

// expire makes the membership wait for a snapshot.
func (m *membership) expire() {
	m.awaiting = true
	m.held = nil
}

// apply takes the next record in and reports whether anything changed.
func (m *membership) apply(now time.Duration, e MembersRecord) bool {
	if e.Offset <= m.through || !m.filter.Accept(e.Envelope) {
		return false
	}
	record := e.Envelope.GetMembers()
	if m.awaiting && record.GetSnapshot() == nil {
		m.held = append(m.held, e)
		return false
	}
	if snapshot := record.GetSnapshot(); snapshot != nil {
		return m.applySnapshot(now, e.Offset, snapshot)
	}
	m.through = e.Offset
	return m.applyChange(now, record)
}

func (m *membership) applyChange(now time.Duration, record *recordv1.MembersRecord) bool {
	switch kind := record.GetKind().(type) {
	case *recordv1.MembersRecord_Join:
		return m.join(kind.Join)
	case *recordv1.MembersRecord_Activate:
		return m.activate(now, kind.Activate)
	case *recordv1.MembersRecord_Remove:
		r := kind.Remove
		return m.remove(now, r.GetInstance(), r.GetIncarnation(), r.GetBaseVersion())
	case *recordv1.MembersRecord_Leave:
		l := kind.Leave
		return m.remove(now, l.GetInstance(), l.GetIncarnation(), l.GetBaseVersion())
	}
	return false
}

// applySnapshot is needed only by a reader that missed expired records. The
// held records that the snapshot does not include are applied after it.
func (m *membership) applySnapshot(now time.Duration, offset int64, s *recordv1.MembersSnapshot) bool {
	m.snapshotAt = now
	if !m.awaiting {
		m.through = offset
		return false
	}
	m.awaiting = false
	m.replace(now, s.GetMembers(), s.GetVersion())
	held := m.held
	m.held = nil
	for _, e := range held {
		if e.Offset > s.GetThroughOffset() {
			m.applyChange(now, e.Envelope.GetMembers())
		}
	}
	m.through = offset
	return true
}

// adopt takes over what a peer has read further in the stream.
func (m *membership) adopt(now time.Duration, members []*recordv1.Member, version uint64, through int64) bool {
	if through <= m.through || version < m.version || len(members) == 0 {
		return false
	}
	m.awaiting = false
	m.held = nil
	m.replace(now, members, version)
	m.through = through
	return true
}

func (m *membership) replace(now time.Duration, members []*recordv1.Member, version uint64) {
	m.members = nil
	for _, member := range members {
		m.members = append(m.members, proto.Clone(member).(*recordv1.Member))
	}
	if version == m.version {
		return
	}
	if version != m.version+1 {
		m.sets = nil
	}
	m.version = version
	m.remember(now)
}

func (m *membership) snapshot() *recordv1.MembersSnapshot {
	return &recordv1.MembersSnapshot{Members: m.copies(), Version: m.version, ThroughOffset: m.through}
}

// copies returns the members in log order; the caller may keep them.
func (m *membership) copies() []*recordv1.Member {
	out := make([]*recordv1.Member, len(m.members))
	for i, member := range m.members {
		out[i] = proto.Clone(member).(*recordv1.Member)
	}
	return out
}

// join adds a member, or puts a newer incarnation in the place of an older
// one without a change of the voter set.
func (m *membership) join(j *recordv1.Join) bool {
	member := proto.Clone(j.GetMember()).(*recordv1.Member)
	known := m.find(spec.InstanceID(member.GetInstance()))
	if known == nil {
		member.Active = false
		m.members = append(m.members, member)
		return true
	}
	if member.GetIncarnation() <= known.GetIncarnation() {
		return false
	}
	member.Active = known.GetActive()
	m.members[m.index(known)] = member
	return true
}

// activate is valid for one joined member, or for several while there are no
// voters.
func (m *membership) activate(now time.Duration, a *recordv1.Activate) bool {
	if a.GetBaseVersion() != m.version || len(a.GetInstances()) == 0 {
		return false
	}
	if len(a.GetInstances()) > 1 && len(m.voters()) > 0 {
		return false
	}
	for _, id := range a.GetInstances() {
		member := m.find(spec.InstanceID(id))
		if member == nil || member.GetActive() {
			return false
		}
	}
	for _, id := range a.GetInstances() {
		m.find(spec.InstanceID(id)).Active = true
	}
	m.nextVersion(now)
	return true
}

func (m *membership) remove(now time.Duration, id string, incarnation, base uint64) bool {
	member := m.find(spec.InstanceID(id))
	if member == nil || member.GetIncarnation() != incarnation || base != m.version {
		return false
	}
	at := m.index(member)
	m.members = append(m.members[:at:at], m.members[at+1:]...)
	if member.GetActive() {
		m.nextVersion(now)
	}
	return true
}

func (m *membership) nextVersion(now time.Duration) {
	m.version++
	m.remember(now)
}

func (m *membership) remember(now time.Duration) {
	m.sets = append(m.sets, voterSet{version: m.version, voters: m.voters(), knownAt: now})
	if len(m.sets) > maxVoterSets {
		m.sets = m.sets[1:]
	}
}

func (m *membership) voters() []spec.InstanceID {
	var out []spec.InstanceID
	for _, member := range m.members {
		if member.GetActive() {
			out = append(out, spec.InstanceID(member.GetInstance()))
		}
	}
	return out
}

func (m *membership) find(id spec.InstanceID) *recordv1.Member {
	for _, member := range m.members {
		if member.GetInstance() == string(id) {
			return member
		}
	}
	return nil
}

func (m *membership) index(member *recordv1.Member) int {
	for i := range m.members {
		if m.members[i] == member {
			return i
		}
	}
	return -1
}

// isVoter reports whether the instance is an active member.
func (m *membership) isVoter(id spec.InstanceID) bool {
	return m.find(id).GetActive()
}

// current returns the newest voter set.
func (m *membership) current() voterSet { return m.sets[len(m.sets)-1] }

// versionAt returns the version that this instance knew at a time, or the
// oldest that it remembers.
func (m *membership) versionAt(at time.Duration) uint64 {
	for i := len(m.sets) - 1; i > 0; i-- {
		if m.sets[i].knownAt <= at {
			return m.sets[i].version
		}
	}
	return m.sets[0].version
}

// since returns all voter sets from the version on. ok is false when some
// are no longer remembered.
func (m *membership) since(version uint64) (sets []voterSet, ok bool) {
	for i := range m.sets {
		if m.sets[i].version == version {
			return m.sets[i:], true
		}
	}
	return nil, false
}
