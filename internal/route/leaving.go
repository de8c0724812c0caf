package route

import "time"

// leavingMarks records which sources mark a target as leaving. The target is
// leaving while any mark is set.
type leavingMarks struct {
	// stamp is the newest stamp of the instance list.
	stamp  uint64
	byList bool
	// byDials is cleared by a later successful connection.
	byDials bool
	// byNotice is cleared only by a newer entry of the instance list that is not
	// leaving.
	byNotice bool
	// since is when the first of the current marks was set.
	since time.Duration
}

func (m *leavingMarks) marked() bool { return m.byList || m.byDials || m.byNotice }

// onlyByDials reports whether a successful connection would clear the only mark.
func (m *leavingMarks) onlyByDials() bool { return m.byDials && !m.byList && !m.byNotice }

// applyListEntry applies an entry of the instance list. An entry with an older
// stamp can set a mark but does not clear any.
func (m *leavingMarks) applyListEntry(now time.Duration, leaving bool, stamp uint64) {
	if leaving {
		m.mark(now, &m.byList)
	}
	if stamp <= m.stamp {
		return
	}
	m.stamp = stamp
	if !leaving {
		m.byList = false
		m.byNotice = false
	}
}

func (m *leavingMarks) applySignal(now time.Duration, signal Signal) {
	switch signal {
	case DialsFailing:
		m.mark(now, &m.byDials)
	case DrainNotice:
		m.mark(now, &m.byNotice)
	case DialsRecovered:
		m.byDials = false
	}
}

func (m *leavingMarks) mark(now time.Duration, mark *bool) {
	if !m.marked() {
		m.since = now
	}
	*mark = true
}
