package config

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"redwingvale/internal/platform"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// fakeLog is an in-memory log with a retention that loses responses, delays
// writes and has outages.
type fakeLog struct {
	rng        *rand.Rand
	records    []platform.LogRecord
	appendedAt []time.Duration
	first      int
	delayed    [][]byte
	downUntil  time.Duration
}

func (l *fakeLog) add(now time.Duration, data []byte) {
	l.records = append(l.records, platform.LogRecord{Offset: int64(len(l.records)), Data: data})
	l.appendedAt = append(l.appendedAt, now)
}

// append returns whether the writer gets a response that the write succeeded.
func (l *fakeLog) append(now time.Duration, data []byte) bool {
	if now < l.downUntil {
		return false
	}
	switch l.rng.IntN(10) {
	case 0: // the write is lost
		return false
	case 1: // the write succeeds, the response is lost
		l.add(now, data)
		return false
	case 2: // the write is delayed
		l.delayed = append(l.delayed, data)
		return false
	default:
		l.add(now, data)
		return true
	}
}

func (l *fakeLog) advance(now time.Duration) {
	for l.first < len(l.appendedAt) && now-l.appendedAt[l.first] > runRetention {
		l.first++
	}
	if len(l.delayed) > 0 && l.rng.IntN(20) == 0 && now >= l.downUntil {
		l.add(now, l.delayed[0])
		l.delayed = l.delayed[1:]
	}
}

func (l *fakeLog) read(from int64, limit int) platform.ReadResult {
	start := max(int(from), l.first)
	end := min(start+limit, len(l.records))
	return platform.ReadResult{
		Records: l.records[start:end], First: int64(l.first), Next: int64(end), AtTail: end == len(l.records),
	}
}

// referenceModel is a second, plain implementation of the outcomes, with an
// unlimited history and no snapshots.
type referenceModel struct {
	next         int64
	current      map[Key]string
	revision     map[Key]uint64
	accountCodes map[Key]string
	accepted     map[string]uint64
	refused      map[string]bool
	// states holds the revision and apply id of each service by offset.
	states []map[Key]string
}

func newReferenceModel() *referenceModel {
	return &referenceModel{current: map[Key]string{}, revision: map[Key]uint64{}, accountCodes: map[Key]string{}, accepted: map[string]uint64{}, refused: map[string]bool{}}
}

func (m *referenceModel) replay(l *fakeLog) {
	for ; m.next < int64(len(l.records)); m.next++ {
		env := &recordv1.Envelope{}
		_ = proto.Unmarshal(l.records[m.next].Data, env)
		if apply := env.GetConfig().GetApply(); apply != nil {
			m.apply(apply)
		}
		m.states = append(m.states, m.current)
	}
}

func (m *referenceModel) apply(a *recordv1.Apply) {
	id := a.GetApplyId()
	key := KeyOf(a)
	account, valid := parseTestDocument(a.GetDocument())
	if m.accepted[id] > 0 || m.refused[id] || m.revision[key] > a.GetBaseRevision() {
		return
	}
	if !valid || m.revision[key] != a.GetBaseRevision() || m.codeInUse(key, account) {
		m.refused[id] = true
		return
	}
	m.revision[key]++
	m.accepted[id] = m.revision[key]
	m.accountCodes[key] = account
	next := map[Key]string{key: fmt.Sprintf("%d %s", m.revision[key], id)}
	for k, v := range m.current {
		if k != key {
			next[k] = v
		}
	}
	m.current = next
}

func (m *referenceModel) codeInUse(key Key, account string) bool {
	for other, code := range m.accountCodes {
		if other.Team != key.Team && code == account && account != "" {
			return true
		}
	}
	return false
}

// testDocument returns a document; an empty account lists no code.
func testDocument(key Key, account string, limit int, valid bool) []byte {
	queueLimit := limit
	if !valid {
		queueLimit = -1
	}
	list := ""
	if account != "" {
		list = fmt.Sprintf("%q", account)
	}
	return fmt.Appendf(nil, "team = %q\nservice = %q\nregion = \"r\"\ndata_centres = [\"a\"]\naccount_codes = [%s]\n[urgent]\ntime_limit_ms = 1000\nqueue_limit = %d\n",
		key.Team, key.Service, list, queueLimit)
}

// parseTestDocument parses a document of testDocument without the parser under
// test.
func parseTestDocument(text []byte) (account string, valid bool) {
	var team, service, codes string
	var queueLimit int
	_, _ = fmt.Sscanf(string(text), "team = %q\nservice = %q\nregion = \"r\"\ndata_centres = [\"a\"]\naccount_codes = %s\n[urgent]\ntime_limit_ms = 1000\nqueue_limit = %d\n",
		&team, &service, &codes, &queueLimit)
	if len(codes) > 4 {
		account = codes[2 : len(codes)-2]
	}
	return account, queueLimit > 0
}
