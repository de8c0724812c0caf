// Package admit decides which requests wait, which are carried out next and
// which are refused. The core is pure: callers pass the time in and carry out
// the effects.
package admit

import (
	"sort"
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/invariant"
	"redwingvale/internal/spec"
)

// RequestID names a request within one core. Callers never reuse one.
type RequestID uint64

// Request asks for one slot.
type Request struct {
	ID    RequestID
	Team  spec.TeamID
	Class spec.Class
	// Deadline is the time by which the answer must arrive.
	Deadline time.Duration
}

// Team is a team's share of the slots.
type Team struct {
	// Quota is the number of slots that the team has without borrowing; zero
	// means no limit.
	Quota int
	// Weight is the team's share under contention, above 0.
	Weight float64
	// QueueBound is the number of its requests that may wait per class.
	QueueBound int
}

// EffectKind is what to do with a request.
type EffectKind uint8

// The effects.
const (
	// Wait: the request is in the queue.
	Wait EffectKind = iota + 1
	// Start: the request has a slot. Only Next returns it.
	Start
	// Reject: the request is refused with Code; nothing of it has run.
	Reject
)

// Effect is a decision about one request.
type Effect struct {
	Kind EffectKind
	ID   RequestID
	Code code.Code
}

// Settings are the constants of a core.
type Settings struct {
	// DelayTarget is the least queueing delay that counts as one.
	DelayTarget time.Duration
	// DelayInterval is how long the delay must stay above the target before
	// the queue counts as overloaded.
	DelayInterval time.Duration
	// OverloadWait is the least bound of a wait while overloaded.
	OverloadWait time.Duration
	// TotalBound is the number of waiting requests of all teams and classes.
	TotalBound int
	// Plain switches to one first-in, first-out queue with bounds only.
	Plain bool
}

// DefaultSettings returns the settings of the request path.
func DefaultSettings() Settings {
	return Settings{
		DelayTarget:   20 * time.Millisecond,
		DelayInterval: 100 * time.Millisecond,
		OverloadWait:  100 * time.Millisecond,
		TotalBound:    4096,
	}
}

// Core is the admission state of one set of slots.
type Core struct {
	settings Settings
	teams    map[spec.TeamID]*team
	// backlog is the teams with waiting requests, ordered by id.
	backlog []*team
	byID    map[RequestID]*waiting
	running map[RequestID]spec.TeamID
	// virtual is the virtual time of the fair queue.
	virtual  float64
	service  serviceTime
	overload overload
	granted  int
}

type team struct {
	id       spec.TeamID
	settings Team
	queues   map[spec.Class]*queue
	waiting  int
	running  int
	// tag is the virtual time at which the team's next request is due.
	tag float64
}

type waiting struct {
	request Request
	arrived time.Duration
	team    *team
	gone    bool
}

// New returns an empty core.
func New(settings Settings) *Core {
	return &Core{
		settings: settings,
		teams:    make(map[spec.TeamID]*team),
		byID:     make(map[RequestID]*waiting),
		running:  make(map[RequestID]spec.TeamID),
	}
}

// SetTeam sets a team's share. Teams are known from their first request on.
func (c *Core) SetTeam(id spec.TeamID, settings Team) {
	t := c.teams[id]
	if t == nil {
		t = &team{id: id, queues: make(map[spec.Class]*queue)}
		c.teams[id] = t
	}
	if settings.Weight <= 0 {
		settings.Weight = 1
	}
	t.settings = settings
}

// SetGranted tells how many slots the entry has.
func (c *Core) SetGranted(slots int) { c.granted = slots }

// Waiting returns the number of requests in the queues.
func (c *Core) Waiting() int { return len(c.byID) }

// Running returns the number of requests that hold a slot.
func (c *Core) Running() int { return len(c.running) }

// Arrive takes a new request in. The team must be set.
func (c *Core) Arrive(now time.Duration, r Request) []Effect {
	t := c.teams[r.Team]
	if refusal := c.refuse(now, t, r); refusal != code.OK {
		return []Effect{{Kind: Reject, ID: r.ID, Code: refusal}}
	}
	effects := c.makeRoom(r)
	if len(c.byID) >= c.settings.TotalBound {
		return append(effects, Effect{Kind: Reject, ID: r.ID, Code: code.Overloaded})
	}
	c.push(now, t, r)
	return append(effects, Effect{Kind: Wait, ID: r.ID})
}

// refuse returns why a request cannot wait, or code.OK.
func (c *Core) refuse(now time.Duration, t *team, r Request) code.Code {
	if t.queueOf(r.Class).len() >= t.settings.QueueBound {
		return code.QueueFull
	}
	if c.settings.Plain {
		return code.OK
	}
	if t.overQuota() && c.othersWait(t) {
		return code.QuotaExceeded
	}
	if now+c.expected(t) > r.Deadline {
		return code.CannotMeetTime
	}
	return code.OK
}

// overQuota reports whether one more request would be borrowed.
func (t *team) overQuota() bool {
	return t.settings.Quota > 0 && t.running+t.waiting >= t.settings.Quota
}

// borrowing reports whether one more running request would be borrowed.
func (t *team) borrowing() bool {
	return t.settings.Quota > 0 && t.running >= t.settings.Quota
}

// othersWait reports whether another team waits within its quota.
func (c *Core) othersWait(t *team) bool {
	for _, other := range c.backlog {
		if other != t && !other.borrowing() {
			return true
		}
	}
	return false
}

// expected returns the time until a new request of the team would be answered.
func (c *Core) expected(t *team) time.Duration {
	answer := c.service.mean()
	if len(c.byID) == 0 && len(c.running) < c.granted {
		return answer
	}
	slots := max(c.granted, 1)
	ahead := c.ahead(t)
	return answer + time.Duration(float64(answer)*float64(ahead)/float64(slots))
}

// ahead estimates how many requests start before a new one of the team.
func (c *Core) ahead(t *team) int {
	if c.overload.active {
		// Under overload the newest request of a team starts first.
		return len(c.backlog)
	}
	weights := 0.0
	for _, other := range c.backlog {
		weights += other.settings.Weight
	}
	if t.waiting == 0 {
		weights += t.settings.Weight
	}
	own := float64(t.waiting+1) * weights / t.settings.Weight
	return min(int(own), len(c.byID)+1)
}

// makeRoom sheds a less urgent request when the queues are full.
func (c *Core) makeRoom(r Request) []Effect {
	if len(c.byID) < c.settings.TotalBound || c.settings.Plain {
		return nil
	}
	victim := c.leastUrgent()
	if victim == nil || !lessUrgent(victim.request, r) {
		return nil
	}
	c.remove(victim)
	return []Effect{{Kind: Reject, ID: victim.request.ID, Code: code.Overloaded}}
}

// lessUrgent orders by class, then by deadline.
func lessUrgent(a, b Request) bool {
	if a.Class != b.Class {
		return a.Class > b.Class
	}
	return a.Deadline > b.Deadline
}

func (c *Core) leastUrgent() *waiting {
	var least *waiting
	for _, t := range c.backlog {
		for _, class := range classes {
			for _, w := range t.queueOf(class).items {
				if !w.gone && (least == nil || lessUrgent(w.request, least.request)) {
					least = w
				}
			}
		}
	}
	return least
}

func (c *Core) push(now time.Duration, t *team, r Request) {
	invariant.Check(c.byID[r.ID] == nil, invariant.InternalConsistency, "request %d arrived twice", r.ID)
	w := &waiting{request: r, arrived: now, team: t}
	c.byID[r.ID] = w
	t.queueOf(r.Class).push(w)
	t.waiting++
	if t.waiting == 1 {
		t.tag = max(t.tag, c.virtual)
		c.addBacklog(t)
	}
}

// remove takes a waiting request out; the queue drops it later.
func (c *Core) remove(w *waiting) {
	w.gone = true
	delete(c.byID, w.request.ID)
	t := w.team
	t.queueOf(w.request.Class).gone++
	t.waiting--
	if t.waiting == 0 {
		c.dropBacklog(t)
	}
}

func (c *Core) addBacklog(t *team) {
	i := sort.Search(len(c.backlog), func(i int) bool { return c.backlog[i].id >= t.id })
	c.backlog = append(c.backlog, nil)
	copy(c.backlog[i+1:], c.backlog[i:])
	c.backlog[i] = t
}

func (c *Core) dropBacklog(t *team) {
	i := sort.Search(len(c.backlog), func(i int) bool { return c.backlog[i].id >= t.id })
	c.backlog = append(c.backlog[:i], c.backlog[i+1:]...)
}

// Cancel removes a waiting request, for example because its caller has left,
// and reports whether it was waiting.
func (c *Core) Cancel(id RequestID) bool {
	w := c.byID[id]
	if w == nil {
		return false
	}
	c.remove(w)
	return true
}

// Finished frees the slot of a request that ran for ran. learn is false when
// the time says nothing about the service.
func (c *Core) Finished(id RequestID, ran time.Duration, learn bool) {
	name, ok := c.running[id]
	invariant.Check(ok, invariant.InternalConsistency, "request %d finished without a slot", id)
	delete(c.running, id)
	c.teams[name].running--
	if learn {
		c.service.learn(ran)
	}
}
