package route

import "time"

// leavingMark holds the signs that a target is leaving. Each source has its
// own mark, and the target is leaving while any mark is set.
type leavingMark struct {
	// stamp is the newest stamp of the instance list.
	stamp  uint64
	byList bool
	// byDials is cleared by a later connection that works.
	byDials bool
	// byNotice is cleared only by a newer live entry of the instance list.
	byNotice bool
	since    time.Duration
}

func (m *leavingMark) marked() bool { return m.byList || m.byDials || m.byNotice }

// onlyByDials reports whether a working connection would clear the mark.
func (m *leavingMark) onlyByDials() bool { return m.byDials && !m.byList && !m.byNotice }

// list takes an entry of the instance list in. An entry with an older stamp
// can mark the target but does not bring it back.
func (m *leavingMark) list(now time.Duration, leaving bool, stamp uint64) {
	if leaving {
		m.set(now, &m.byList)
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

func (m *leavingMark) sign(now time.Duration, sign Sign) {
	switch sign {
	case DialsFail:
		m.set(now, &m.byDials)
	case DrainNotice:
		m.set(now, &m.byNotice)
	case DialsWork:
		m.byDials = false
	}
}

func (m *leavingMark) set(now time.Duration, mark *bool) {
	if !m.marked() {
		m.since = now
	}
	*mark = true
}
