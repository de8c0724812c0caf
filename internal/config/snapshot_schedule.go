package config

import "time"

// snapshotShare is the fraction of the retention after which the next snapshot
// is due: a quarter, so that three attempts fit before the last one expires.
const snapshotShare = 4

// snapshotSchedule decides when this instance writes the next snapshot.
type snapshotSchedule struct {
	rank int
	// tailReadSent is when the newest read that reached the tail was sent.
	tailReadSent time.Duration
	tailKnown    bool
	// notBefore is a lower bound of the time at which the newest snapshot was
	// written, so its age is at most now - notBefore.
	notBefore        time.Duration
	notBeforeKnown   bool
	lastPublish      time.Duration
	awaitingReadBack bool
}

func newSnapshotSchedule() snapshotSchedule { return snapshotSchedule{rank: -1} }

// tailRead records a read that reached the tail.
func (s *snapshotSchedule) tailRead(sent time.Duration) {
	s.tailReadSent = sent
	s.tailKnown = true
}

// snapshotRead records that all parts of a snapshot were read. It was written
// after the last read that reached the tail was sent; before the first such
// read its age is unknown.
func (s *snapshotSchedule) snapshotRead() {
	s.notBefore = s.tailReadSent
	s.notBeforeKnown = s.tailKnown
	s.awaitingReadBack = false
}

func (s *snapshotSchedule) age(now time.Duration) (time.Duration, bool) {
	return now - s.notBefore, s.notBeforeKnown
}

// due reports whether this instance should write a snapshot. A snapshot of
// unknown age counts as due, because instances that restart often would
// otherwise never see a snapshot that is old enough.
func (s *snapshotSchedule) due(now time.Duration, o Options) bool {
	fresh := s.tailKnown && now-s.tailReadSent <= o.RetryAfter
	if s.rank < 0 || !fresh {
		return false
	}
	if s.awaitingReadBack && now-s.lastPublish < o.RetryAfter {
		return false
	}
	delay := time.Duration(s.rank) * o.RankDelay
	if !s.notBeforeKnown {
		return now >= delay
	}
	return now-s.notBefore >= o.Retention/snapshotShare+delay
}

// publishIfDue emits a snapshot when one is due.
func (c *Core) publishIfDue(now time.Duration) {
	if !c.complete || c.state.Len() == 0 || !c.schedule.due(now, c.options) {
		return
	}
	c.schedule.lastPublish = now
	c.schedule.awaitingReadBack = true
	c.emit(Publish{Records: c.state.Snapshot(c.inForce, c.options.PartBytes)})
}
