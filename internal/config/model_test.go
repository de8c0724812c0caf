package config

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"redwingvale/internal/platform"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// fakeLog keeps records for the retention, loses answers, delivers writes
// late and fails for a while.
type fakeLog struct {
	rng     *rand.Rand
	records []platform.LogRecord
	times   []time.Duration
	first   int
	late    [][]byte
	downTil time.Duration
}

func (l *fakeLog) add(now time.Duration, data []byte) {
	l.records = append(l.records, platform.LogRecord{Offset: int64(len(l.records)), Data: data})
	l.times = append(l.times, now)
}

// append returns whether the writer is told that the write took effect.
func (l *fakeLog) append(now time.Duration, data []byte) bool {
	if now < l.downTil {
		return false
	}
	switch l.rng.IntN(10) {
	case 0: // never arrives
		return false
	case 1: // takes effect, the answer is lost
		l.add(now, data)
		return false
	case 2: // takes effect later
		l.late = append(l.late, data)
		return false
	default:
		l.add(now, data)
		return true
	}
}

func (l *fakeLog) pass(now time.Duration) {
	for l.first < len(l.times) && now-l.times[l.first] > runRetention {
		l.first++
	}
	if len(l.late) > 0 && l.rng.IntN(20) == 0 && now >= l.downTil {
		l.add(now, l.late[0])
		l.late = l.late[1:]
	}
}

func (l *fakeLog) read(from int64, limit int) platform.ReadResult {
	start := max(int(from), l.first)
	end := min(start+limit, len(l.records))
	return platform.ReadResult{
		Records: l.records[start:end], First: int64(l.first), Next: int64(end), AtTail: end == len(l.records),
	}
}

// oracle is a plain second implementation of the verdicts, with unlimited
// memory and no snapshots.
type oracle struct {
	through  int64
	current  map[Key]string
	revision map[Key]uint64
	codes    map[Key]string
	accepted map[string]uint64
	refused  map[string]bool
	// states holds the revision and apply id of each service by offset.
	states []map[Key]string
}

func newOracle() *oracle {
	return &oracle{current: map[Key]string{}, revision: map[Key]uint64{}, codes: map[Key]string{}, accepted: map[string]uint64{}, refused: map[string]bool{}}
}

func (o *oracle) follow(l *fakeLog) {
	for ; o.through < int64(len(l.records)); o.through++ {
		env := &recordv1.Envelope{}
		_ = proto.Unmarshal(l.records[o.through].Data, env)
		if apply := env.GetConfig().GetApply(); apply != nil {
			o.apply(apply)
		}
		o.states = append(o.states, o.current)
	}
}

func (o *oracle) apply(a *recordv1.Apply) {
	id := a.GetApplyId()
	key := KeyOf(a)
	account, valid := docCode(a.GetDocument())
	if o.accepted[id] > 0 || o.refused[id] || o.revision[key] > a.GetBaseRevision() {
		return
	}
	if !valid || o.revision[key] != a.GetBaseRevision() || o.taken(key, account) {
		o.refused[id] = true
		return
	}
	o.revision[key]++
	o.accepted[id] = o.revision[key]
	o.codes[key] = account
	next := map[Key]string{key: fmt.Sprintf("%d %s", o.revision[key], id)}
	for k, v := range o.current {
		if k != key {
			next[k] = v
		}
	}
	o.current = next
}

func (o *oracle) taken(key Key, account string) bool {
	for other, code := range o.codes {
		if other.Team != key.Team && code == account && account != "" {
			return true
		}
	}
	return false
}

// testDoc returns a document of the run; an empty account lists no code.
func testDoc(key Key, account string, limit int, valid bool) []byte {
	bound := limit
	if !valid {
		bound = -1
	}
	list := ""
	if account != "" {
		list = fmt.Sprintf("%q", account)
	}
	return fmt.Appendf(nil, "team = %q\nservice = %q\nregion = \"r\"\ndata_centres = [\"a\"]\naccount_codes = [%s]\n[urgent]\ntime_limit_ms = 1000\nqueue_limit = %d\n",
		key.Team, key.Service, list, bound)
}

// docCode reads back what testDoc wrote, without the parser under test.
func docCode(text []byte) (account string, valid bool) {
	var team, service, codes string
	var bound int
	_, _ = fmt.Sscanf(string(text), "team = %q\nservice = %q\nregion = \"r\"\ndata_centres = [\"a\"]\naccount_codes = %s\n[urgent]\ntime_limit_ms = 1000\nqueue_limit = %d\n",
		&team, &service, &codes, &bound)
	if len(codes) > 4 {
		account = codes[2 : len(codes)-2]
	}
	return account, bound > 0
}
