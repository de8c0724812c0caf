package ownership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"redwingvale/internal/journal"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// maxVoterSets limits the history of voter sets. An owner that could not read
// its group's stream during more changes than that loses its peer lease.
const maxVoterSets = 16

// voterSet is one version of the voter set, in log order.
type voterSet struct {
	version uint64
	voters  []spec.InstanceID
	// knownAt is when this instance first applied the version.
	knownAt time.Duration
}

// membership is the state replayed from the members stream. All readers of the
// same prefix of the stream have the same members and version.
type membership struct {
	members []*recordv1.Member
	version uint64
	// lastOffset is the offset of the last record that was applied.
	lastOffset int64
	filter     *journal.DuplicateFilter
	// voterSets holds the newest versions, newest last, without gaps.
	voterSets []voterSet
	// awaitingSnapshot states that records have expired, so that a snapshot is
	// needed before the deferred records can be applied.
	awaitingSnapshot bool
	deferred         []MembersRecord
	// snapshotAt is when the newest snapshot was read.
	snapshotAt time.Duration
}

func newMembership() *membership {
	m := &membership{lastOffset: -1, filter: journal.NewDuplicateFilter()}
	m.addVoterSet(0)
	return m
}

// requireSnapshot defers further records until a snapshot has been read.
func (m *membership) requireSnapshot() {
	m.awaitingSnapshot = true
	m.deferred = nil
}

// apply applies the next record and reports whether anything changed.
func (m *membership) apply(now time.Duration, e MembersRecord) bool {
	if e.Offset <= m.lastOffset || !m.filter.Accept(e.Envelope) {
		return false
	}
	record := e.Envelope.GetMembers()
	if m.awaitingSnapshot && record.GetSnapshot() == nil {
		m.deferred = append(m.deferred, e)
		return false
	}
	if snapshot := record.GetSnapshot(); snapshot != nil {
		return m.applySnapshot(now, e.Offset, snapshot)
	}
	m.lastOffset = e.Offset
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

// applySnapshot restores the state for a reader that missed expired records,
// then applies the deferred records that the snapshot does not include. Other
// readers only record that the snapshot exists.
func (m *membership) applySnapshot(now time.Duration, offset int64, s *recordv1.MembersSnapshot) bool {
	m.snapshotAt = now
	if !m.awaitingSnapshot {
		m.lastOffset = offset
		return false
	}
	m.awaitingSnapshot = false
	m.replace(now, s.GetMembers(), s.GetVersion())
	deferred := m.deferred
	m.deferred = nil
	for _, e := range deferred {
		if e.Offset > s.GetThroughOffset() {
			m.applyChange(now, e.Envelope.GetMembers())
		}
	}
	m.lastOffset = offset
	return true
}

// adopt replaces the state with that of a peer that has read further in the
// stream.
func (m *membership) adopt(now time.Duration, members []*recordv1.Member, version uint64, through int64) bool {
	if through <= m.lastOffset || version < m.version || len(members) == 0 {
		return false
	}
	m.awaitingSnapshot = false
	m.deferred = nil
	m.replace(now, members, version)
	m.lastOffset = through
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
		m.voterSets = nil
	}
	m.version = version
	m.addVoterSet(now)
}

func (m *membership) snapshot() *recordv1.MembersSnapshot {
	return &recordv1.MembersSnapshot{Members: m.copyMembers(), Version: m.version, ThroughOffset: m.lastOffset}
}

// copyMembers returns copies of the members in log order.
func (m *membership) copyMembers() []*recordv1.Member {
	out := make([]*recordv1.Member, len(m.members))
	for i, member := range m.members {
		out[i] = proto.Clone(member).(*recordv1.Member)
	}
	return out
}

// join adds a member, or replaces an older incarnation by a newer one without
// changing the voter set.
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

// activate makes members voters. It is valid for one joined member, or for
// several while there are no voters.
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
	m.advanceVersion(now)
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
		m.advanceVersion(now)
	}
	return true
}

func (m *membership) advanceVersion(now time.Duration) {
	m.version++
	m.addVoterSet(now)
}

func (m *membership) addVoterSet(now time.Duration) {
	m.voterSets = append(m.voterSets, voterSet{version: m.version, voters: m.voters(), knownAt: now})
	if len(m.voterSets) > maxVoterSets {
		m.voterSets = m.voterSets[1:]
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
func (m *membership) current() voterSet { return m.voterSets[len(m.voterSets)-1] }

// voterSetsSince returns the voter sets from the one that this instance knew at
// the given time to the current one. ok is false when the history no longer
// reaches back that far.
func (m *membership) voterSetsSince(at time.Duration) (sets []voterSet, ok bool) {
	for i := len(m.voterSets) - 1; i >= 0; i-- {
		if m.voterSets[i].knownAt <= at {
			return m.voterSets[i:], true
		}
	}
	return nil, false
}
