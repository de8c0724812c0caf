package node

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"redwingvale/internal/jobs"
	"redwingvale/internal/planner"
	"redwingvale/internal/telemetry"
)

// Keys of the log beside those of the jobs.
const (
	claimKey     = "owner"
	memberPrefix = "m/"
)

// claim is the record by which an instance becomes the leader.
type claim struct {
	Epoch    uint64 `json:"epoch"`
	Instance string `json:"instance"`
	Peer     string `json:"peer"`
	// LeaseMS is the lease that the leader asks workers for.
	LeaseMS int64 `json:"lease"`
	// Nonce tells two claims of one epoch apart.
	Nonce string `json:"nonce"`
}

// member is an instance's record of itself.
type member struct {
	Peer       string `json:"peer"`
	DataCentre string `json:"data_centre"`
	// StartedMS is the Unix time of the instance's start.
	StartedMS int64 `json:"started"`
	// Strength is the instance's share of processors in thousandths of a core.
	Strength int `json:"strength"`
}

// apply takes a batch of records into the book. Records before the end are
// known already. It runs in the loop and returns the jobs that are concerned.
func (n *Node) apply(b Batch) []jobs.ID {
	var changed []jobs.ID
	for i, r := range b.Records {
		offset := b.From + int64(i)
		if offset < n.end {
			continue
		}
		if offset > n.end {
			break
		}
		n.end++
		if id := n.applyRecord(r); id != "" {
			changed = append(changed, id)
		}
	}
	return changed
}

func (n *Node) applyRecord(r jobs.Record) jobs.ID {
	switch {
	case r.Key == claimKey:
		n.applyClaim(r.Value)
	case strings.HasPrefix(r.Key, memberPrefix):
		n.applyMember(strings.TrimPrefix(r.Key, memberPrefix), r.Value)
	default:
		id, err := n.book.Apply(r)
		if err != nil {
			n.tele.Log.Error("record_invalid", append(telemetry.ErrorFields(err), zap.String("key", r.Key))...)
		}
		return id
	}
	return ""
}

func (n *Node) applyClaim(value []byte) {
	var c claim
	if err := json.Unmarshal(value, &c); err != nil {
		n.tele.Log.Error("claim_invalid", telemetry.ErrorFields(err)...)
		return
	}
	if c.Epoch <= n.claim.Epoch {
		return
	}
	n.priorLeaseMS = n.claim.LeaseMS
	n.claim, n.claimedAt = c, n.end
	if n.caughtUp.Load() {
		n.claimReadMS = n.now().MS
	}
	n.log("leader_changed", zap.Uint64("epoch", c.Epoch), zap.String("leader", c.Instance))
	n.leader.Store(&leaderInfo{epoch: c.Epoch, peer: c.Peer, self: c.Instance == n.config.Instance && n.term != nil && n.term.epoch == c.Epoch})
	if n.term != nil && n.term.epoch < c.Epoch {
		n.resign("a newer leader has claimed")
	}
}

func (n *Node) applyMember(name string, value []byte) {
	if len(value) == 0 {
		delete(n.members, name)
		return
	}
	var m member
	if err := json.Unmarshal(value, &m); err != nil {
		n.tele.Log.Error("member_invalid", append(telemetry.ErrorFields(err), zap.String("member", name))...)
		return
	}
	n.members[name] = m
}

// followLog keeps the book up to date and the instance's own record in place.
func (n *Node) followLog(ctx context.Context) {
	loaded := false
	for ctx.Err() == nil {
		var err error
		if !loaded {
			err = n.loadLog(ctx)
			loaded = err == nil
		} else {
			_, err = n.catchUp(ctx)
			if errors.Is(err, ErrExpired) {
				loaded = false
				continue
			}
		}
		n.logState(err)
		if err == nil {
			if err = n.register(ctx); err != nil {
				n.tele.Log.Warn("register_failed", telemetry.ErrorFields(err)...)
			}
		}
		if err != nil && !loaded {
			pause(ctx, retryPause)
			continue
		}
		interval := followInterval
		if n.leading() {
			interval = leaderReadInterval
		}
		pause(ctx, interval)
	}
}

// logState notes whether the log serves this instance and logs each change.
func (n *Node) logState(err error) {
	if err == nil {
		now := n.now().MS
		if n.logReadMS.Load() == 0 {
			n.logSinceMS.Store(now)
			n.log("log_reached")
		}
		n.logReadMS.Store(now)
		return
	}
	n.stats.logErrors.Inc(1)
	if n.logReadMS.Swap(0) != 0 {
		n.tele.Log.Warn("log_lost", telemetry.ErrorFields(err)...)
	}
}

// loadLog reads the newest record of each key and what came since. A listing
// that ends before the book's own end is left out: its records may be older.
func (n *Node) loadLog(ctx context.Context) error {
	batch, err := n.deps.Log.Newest(ctx)
	if err != nil {
		return err
	}
	_, err = ask(ctx, n, func() struct{} {
		if n.end > batch.End {
			return struct{}{}
		}
		if n.term == nil {
			n.book = jobs.NewBook()
			clear(n.members)
		}
		var changed []jobs.ID
		for _, r := range batch.Records {
			if id := n.applyRecord(r); id != "" {
				changed = append(changed, id)
			}
		}
		n.end = batch.End
		n.step(planner.RecordsRead{Jobs: changed})
		return struct{}{}
	})
	if err != nil {
		return err
	}
	_, err = n.catchUp(ctx)
	if err == nil {
		n.caughtUp.Store(true)
	}
	return err
}

// catchUp reads the log to its end and returns the offset of that end.
func (n *Node) catchUp(ctx context.Context) (int64, error) {
	for {
		from, err := ask(ctx, n, func() int64 { return n.end })
		if err != nil {
			return 0, err
		}
		begun := n.now().MS
		batch, err := n.deps.Log.Read(ctx, from)
		if err != nil {
			return 0, err
		}
		n.logTookMS.Store(n.now().MS - begun)
		end, err := ask(ctx, n, func() int64 {
			if changed := n.apply(batch); len(changed) > 0 {
				n.step(planner.RecordsRead{Jobs: changed})
			}
			return n.end
		})
		if err != nil || end >= batch.End {
			return end, err
		}
		if len(batch.Records) == 0 {
			return end, errors.Wrapf(ErrUnavailable, "no records at %d of %d", from, batch.End)
		}
	}
}

// register writes the instance's own record if the log does not hold it.
func (n *Node) register(ctx context.Context) error {
	want := member{Peer: n.config.advertised(), DataCentre: n.config.DataCentre, StartedMS: n.startedMS, Strength: int(n.config.CPUShare * n.config.Cores * 1000)}
	missing, err := ask(ctx, n, func() bool { return n.members[n.config.Instance] != want })
	if err != nil || !missing || n.stopping.Load() {
		return err
	}
	value, err := json.Marshal(want)
	if err != nil {
		return err
	}
	_, err = n.deps.Log.Append(ctx, Append{
		Records: []jobs.Record{{Key: memberPrefix + n.config.Instance, Value: value}}, At: -1,
	})
	if err == nil {
		_, err = n.catchUp(ctx)
	}
	return err
}

// followManifest keeps the operators' configuration in force.
func (n *Node) followManifest(ctx context.Context) {
	var from int64
	loaded := false
	wait := n.config.manifestWait()
	for ctx.Err() == nil {
		var m *Manifest
		var err error
		// A version that came after the read was sent may be missing from it.
		knownMS := n.now().MS
		if loaded {
			var next int64
			m, next, err = n.deps.Operators.Await(ctx, from, wait)
			if next == from {
				// Nothing came until the wait was over.
				knownMS += milliseconds(wait)
			}
			from = next
		} else {
			m, from, err = n.deps.Operators.Manifest(ctx)
			loaded = err == nil && m != nil
		}
		// After a failure the next read does not wait: the version in force may
		// be too old by now.
		wait = n.config.manifestWait()
		if err != nil {
			wait = 0
			n.stats.logErrors.Inc(1)
			n.tele.Log.Warn("manifest_unavailable", telemetry.ErrorFields(err)...)
		}
		if m != nil {
			n.enforce(ctx, m)
		}
		if err == nil && loaded {
			n.manifestMS.Store(min(knownMS, n.now().MS))
			n.post(ctx, n.configureTerm)
		}
		if err != nil || !loaded {
			pause(ctx, retryPause)
		}
	}
}

// enforce puts a newer version in force; an older one never replaces it.
func (n *Node) enforce(ctx context.Context, m *Manifest) {
	current := n.view.Load()
	if current != nil && current.version >= m.Version {
		return
	}
	n.view.Store(newView(m, current))
	n.log("manifest_in_force", zap.Int64("version", m.Version), zap.Int("queues", len(m.Queues)))
	for i := range m.Queues {
		if q := &m.Queues[i]; q.MaxAttempts == 0 {
			n.tele.Log.Warn("attempts_unbounded", zap.Int64("version", m.Version), zap.String("queue", q.Name))
		}
	}
	n.post(ctx, func() {
		n.manifest = m
		if n.term != nil {
			n.giveQueues(n.term)
		}
	})
}

// manifestFresh reports whether the version in force is known to have been the
// newest within the bound.
func (n *Node) manifestFresh() bool {
	return n.now().MS-n.manifestMS.Load() <= milliseconds(n.config.manifestBound())
}

// configureTerm gives the planner of a new term the configuration, unless that
// is too old: the planner decides for good by it. It runs in the loop.
func (n *Node) configureTerm() {
	if t := n.term; t != nil && !t.configured && n.manifest != nil && n.manifestFresh() {
		n.giveQueues(t)
	}
}

func (n *Node) giveQueues(t *term) {
	t.configured = true
	n.step(planner.QueuesChanged{Queues: n.manifest.queues()})
}

func (m *Manifest) queues() []planner.Queue {
	out := make([]planner.Queue, 0, len(m.Queues))
	for _, q := range m.Queues {
		out = append(out, q.Queue)
	}
	return out
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
