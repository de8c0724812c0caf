// Package admit controls the admission of requests: it decides which are
// queued, which start next and which are rejected. It is pure: callers pass the
// current time and apply the returned decisions.
package admit

import (
	"sort"
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/invariant"
	"redwingvale/internal/spec"
)

// RequestID identifies a request within one controller. Callers must not
// reuse one.
type RequestID uint64

// Request is a request for one slot.
type Request struct {
	ID    RequestID
	Team  spec.TeamID
	Class spec.Class
	// Deadline is the time by which the response must arrive.
	Deadline time.Duration
}

// Team is a team's share of the slots.
type Team struct {
	// Quota is the number of slots that the team has without borrowing; zero
	// means no limit.
	Quota int
	// Weight is the team's relative share under contention, above 0.
	Weight float64
	// QueueBound is the maximum number of its waiting requests per class.
	QueueBound int
}

// DecisionKind says what to do with a request.
type DecisionKind uint8

// The kinds of decision.
const (
	// Wait: the request has been queued.
	Wait DecisionKind = iota + 1
	// Start: the request gets a slot. Only Next returns it.
	Start
	// Reject: the request is rejected with Code and has not run.
	Reject
)

// Decision is what the controller has decided about one request.
type Decision struct {
	Kind DecisionKind
	ID   RequestID
	Code code.Code
}

// Settings are the parameters of a controller.
type Settings struct {
	// DelayTarget is the queueing delay above which a queue may be overloaded,
	// unless the service time allows a longer one.
	DelayTarget time.Duration
	// DelayInterval is how long the delay must stay above the target before
	// the queue counts as overloaded.
	DelayInterval time.Duration
	// OverloadWait is the longest wait under overload, unless the service time
	// allows a longer one.
	OverloadWait time.Duration
	// TotalBound is the maximum number of waiting requests of all teams and
	// classes.
	TotalBound int
	// FIFOOnly disables rejections by quota and expected time, shedding and
	// overload handling; what remains are first-in, first-out queues with
	// bounds.
	FIFOOnly bool
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

// Controller is the admission controller of one set of slots.
type Controller struct {
	settings Settings
	teams    map[spec.TeamID]*team
	// backlogged lists the teams with waiting requests, ordered by id.
	backlogged  []*team
	waitingByID map[RequestID]*waiting
	running     map[RequestID]spec.TeamID
	// virtualTime is the virtual time of the weighted fair queueing.
	virtualTime  float64
	serviceTime  serviceTime
	overload     overload
	grantedSlots int
}

type team struct {
	id       spec.TeamID
	settings Team
	queues   map[spec.Class]*queue
	waiting  int
	running  int
	// startTag is the virtual time at which the team's next request is due.
	startTag float64
}

type waiting struct {
	request Request
	arrived time.Duration
	team    *team
	removed bool
}

// New returns a controller without teams or requests.
func New(settings Settings) *Controller {
	return &Controller{
		settings:    settings,
		teams:       make(map[spec.TeamID]*team),
		waitingByID: make(map[RequestID]*waiting),
		running:     make(map[RequestID]spec.TeamID),
	}
}

// SetTeam sets a team's share. It must be called before the team's first
// request.
func (c *Controller) SetTeam(id spec.TeamID, settings Team) {
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

// SetGranted sets the number of slots that are granted to the entry.
func (c *Controller) SetGranted(slots int) { c.grantedSlots = slots }

// Waiting returns the number of requests in the queues.
func (c *Controller) Waiting() int { return len(c.waitingByID) }

// Running returns the number of requests that hold a slot.
func (c *Controller) Running() int { return len(c.running) }

// Arrive queues or rejects a new request. If the queues are full, it may reject
// a less urgent waiting request instead. The team must have been set.
func (c *Controller) Arrive(now time.Duration, r Request) []Decision {
	t := c.teams[r.Team]
	if rejection := c.rejectionOnArrival(now, t, r); rejection != code.OK {
		return []Decision{{Kind: Reject, ID: r.ID, Code: rejection}}
	}
	decisions := c.shedLessUrgent(r)
	if len(c.waitingByID) >= c.settings.TotalBound {
		return append(decisions, Decision{Kind: Reject, ID: r.ID, Code: code.Overloaded})
	}
	c.enqueue(now, t, r)
	return append(decisions, Decision{Kind: Wait, ID: r.ID})
}

// rejectionOnArrival returns why a new request is rejected, or code.OK.
func (c *Controller) rejectionOnArrival(now time.Duration, t *team, r Request) code.Code {
	if t.queueOf(r.Class).len() >= t.settings.QueueBound {
		return code.QueueFull
	}
	if c.settings.FIFOOnly {
		return code.OK
	}
	if t.overQuota() && c.otherTeamWaitsWithinQuota(t) {
		return code.QuotaExceeded
	}
	if now+c.expectedResponseTime(t) > r.Deadline {
		return code.CannotMeetTime
	}
	return code.OK
}

// overQuota reports whether one more request would exceed the quota.
func (t *team) overQuota() bool {
	return t.settings.Quota > 0 && t.running+t.waiting >= t.settings.Quota
}

// borrowing reports whether one more running request would use a borrowed slot.
func (t *team) borrowing() bool {
	return t.settings.Quota > 0 && t.running >= t.settings.Quota
}

// otherTeamWaitsWithinQuota reports whether another team that does not borrow
// has waiting requests.
func (c *Controller) otherTeamWaitsWithinQuota(t *team) bool {
	for _, other := range c.backlogged {
		if other != t && !other.borrowing() {
			return true
		}
	}
	return false
}

// expectedResponseTime estimates the time until the response to a new request
// of the team.
func (c *Controller) expectedResponseTime(t *team) time.Duration {
	serviceTime := c.serviceTime.mean()
	if len(c.waitingByID) == 0 && len(c.running) < c.grantedSlots {
		return serviceTime
	}
	slots := max(c.grantedSlots, 1)
	ahead := c.requestsAhead(t)
	return serviceTime + time.Duration(float64(serviceTime)*float64(ahead)/float64(slots))
}

// requestsAhead estimates how many requests start before a new one of the team.
func (c *Controller) requestsAhead(t *team) int {
	if c.overload.active {
		// Under overload the newest request of a team starts first.
		return len(c.backlogged)
	}
	weights := 0.0
	for _, other := range c.backlogged {
		weights += other.settings.Weight
	}
	if t.waiting == 0 {
		weights += t.settings.Weight
	}
	own := float64(t.waiting+1) * weights / t.settings.Weight
	return min(int(own), len(c.waitingByID)+1)
}

// shedLessUrgent rejects the least urgent waiting request if the queues are full
// and r is more urgent.
func (c *Controller) shedLessUrgent(r Request) []Decision {
	if len(c.waitingByID) < c.settings.TotalBound || c.settings.FIFOOnly {
		return nil
	}
	victim := c.leastUrgent()
	if victim == nil || !lessUrgent(victim.request, r) {
		return nil
	}
	c.remove(victim)
	return []Decision{{Kind: Reject, ID: victim.request.ID, Code: code.Overloaded}}
}

// lessUrgent reports whether a is less urgent than b: by class, then by deadline.
func lessUrgent(a, b Request) bool {
	if a.Class != b.Class {
		return a.Class > b.Class
	}
	return a.Deadline > b.Deadline
}

func (c *Controller) leastUrgent() *waiting {
	var least *waiting
	for _, t := range c.backlogged {
		for _, class := range classOrder {
			for _, w := range t.queueOf(class).items {
				if !w.removed && (least == nil || lessUrgent(w.request, least.request)) {
					least = w
				}
			}
		}
	}
	return least
}

func (c *Controller) enqueue(now time.Duration, t *team, r Request) {
	invariant.Check(c.waitingByID[r.ID] == nil, invariant.InternalConsistency, "request %d arrived twice", r.ID)
	w := &waiting{request: r, arrived: now, team: t}
	c.waitingByID[r.ID] = w
	t.queueOf(r.Class).push(w)
	t.waiting++
	if t.waiting == 1 {
		t.startTag = max(t.startTag, c.virtualTime)
		c.addBacklogged(t)
	}
}

// remove marks a waiting request as removed; its queue drops it later.
func (c *Controller) remove(w *waiting) {
	w.removed = true
	delete(c.waitingByID, w.request.ID)
	t := w.team
	t.queueOf(w.request.Class).removed++
	t.waiting--
	if t.waiting == 0 {
		c.removeBacklogged(t)
	}
}

func (c *Controller) addBacklogged(t *team) {
	i := sort.Search(len(c.backlogged), func(i int) bool { return c.backlogged[i].id >= t.id })
	c.backlogged = append(c.backlogged, nil)
	copy(c.backlogged[i+1:], c.backlogged[i:])
	c.backlogged[i] = t
}

func (c *Controller) removeBacklogged(t *team) {
	i := sort.Search(len(c.backlogged), func(i int) bool { return c.backlogged[i].id >= t.id })
	c.backlogged = append(c.backlogged[:i], c.backlogged[i+1:]...)
}

// Cancel removes a waiting request, for example because its caller has
// disconnected, and reports whether it was waiting.
func (c *Controller) Cancel(id RequestID) bool {
	w := c.waitingByID[id]
	if w == nil {
		return false
	}
	c.remove(w)
	return true
}

// Finished frees the slot of a request that held it for ran. measured is false
// if that time is not a sample of the service time.
func (c *Controller) Finished(id RequestID, ran time.Duration, measured bool) {
	teamID, ok := c.running[id]
	invariant.Check(ok, invariant.InternalConsistency, "request %d finished without a slot", id)
	delete(c.running, id)
	c.teams[teamID].running--
	if measured {
		c.serviceTime.addSample(ran)
	}
}
