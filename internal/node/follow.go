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

// Keys of the log's records other than those of the state machine.
const (
	claimKey     = "owner"
	memberPrefix = "m/"
)

// claim is the log record by which an instance becomes the leader.
type claim struct {
	Epoch    uint64 `json:"epoch"`
	Instance string `json:"instance"`
	Peer     string `json:"peer"`
	// LeaseMS is the lease that the leader requests from workers.
	LeaseMS int64 `json:"lease"`
	// Nonce distinguishes two claims of one epoch.
	Nonce string `json:"nonce"`
}

// member is the log record by which an instance registers itself.
type member struct {
	Peer       string `json:"peer"`
	DataCentre string `json:"data_centre"`
	// StartedMS is the Unix time of the instance's start.
	StartedMS int64 `json:"started"`
	// MilliCPU is the instance's share of processors in thousandths of a core.
	MilliCPU int `json:"strength"`
	// MemoryMB is the memory beyond which the instance is killed; 0 if there is no
	// limit, or for an instance of an earlier release.
	MemoryMB int `json:"memory,omitempty"`
}

// apply applies a batch of records to the instance's state, except for those
// that have been applied before, and returns the jobs that the records concern.
// It runs in the event loop.
func (n *Node) apply(b Batch) []jobs.ID {
	var changed []jobs.ID
	for i, r := range b.Records {
		offset := b.From + int64(i)
		if offset < n.appliedEnd {
			continue
		}
		if offset > n.appliedEnd {
			break
		}
		n.appliedEnd++
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
		id, err := n.stateMachine.Apply(r)
		n.noteJobBytes()
		if err != nil {
			n.tele.Log.Error("record_invalid", append(telemetry.ErrorFields(err), zap.String("key", r.Key))...)
		}
		return id
	}
	return ""
}

// noteJobLimit determines the memory that accepted jobs may take: each instance may
// have to lead, so that of the smallest one bounds it. It runs in the event loop.
func (n *Node) noteJobLimit() {
	smallestMB := int(n.config.MemoryMB)
	for _, m := range n.members {
		if m.MemoryMB > 0 && (m.MemoryMB < smallestMB || smallestMB == 0) {
			smallestMB = m.MemoryMB
		}
	}
	limit := maxJobBytes(smallestMB)
	if n.jobLimit.Swap(limit) == limit {
		return
	}
	n.stats.jobBytesLimit.Update(float64(limit))
	n.step(planner.JobMemoryChanged{MaxBytes: limit})
}

// noteJobBytes publishes the memory that jobs take. It runs in the event loop.
func (n *Node) noteJobBytes() {
	bytes := n.stateMachine.Footprint()
	n.jobBytes.Store(bytes)
	if n.term != nil {
		bytes = n.term.core.JobBytes()
	}
	n.stats.jobBytes.Update(float64(bytes))
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
	now := n.now().MS
	if now-n.priorClaimMS > n.config.plannerConfig(false).MaxLeaseMS+planner.DeposedLeaderMS {
		n.priorLeaseMS = 0
	}
	n.priorLeaseMS, n.priorClaimMS = max(n.priorLeaseMS, n.claim.LeaseMS), now
	n.claim, n.claimEndOffset = c, n.appliedEnd
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
	defer n.noteJobLimit()
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

// followLog applies the log to the state machine as it grows, and keeps the
// instance registered as a member.
func (n *Node) followLog(ctx context.Context) {
	loaded := false
	n.awaitLoadTurn(ctx, lateLoadDelay)
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
		n.noteLogResult(err)
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
		if n.isLeader() {
			interval = leaderReadInterval
		}
		pause(ctx, interval)
	}
}

// awaitLoadTurn delays the first read of the log on an instance that is much
// weaker than many others, until a leader has sent a heartbeat or delay is
// over. After a restart of all instances the log's bandwidth would otherwise
// be shared by reads of its whole content, and nobody could lead meanwhile.
func (n *Node) awaitLoadTurn(ctx context.Context, delay time.Duration) {
	records, err := n.deps.Log.ReadPrefix(ctx, memberPrefix)
	if err != nil {
		// The first read of the whole log reports the same problem.
		return
	}
	if !n.loadsLate(records) {
		return
	}
	n.log("load_delayed")
	for start := time.Now(); ctx.Err() == nil && time.Since(start) < delay; pause(ctx, tickInterval) {
		led, err := runInLoop(ctx, n, dutyLog, func() bool { return n.lastHeartbeat.epoch > 0 })
		if err != nil || led {
			return
		}
	}
}

// loadsLate reports whether enough of the members have at least twice this
// instance's processor capacity.
func (n *Node) loadsLate(members []jobs.Record) bool {
	stronger := 0
	for _, r := range members {
		var m member
		if json.Unmarshal(r.Value, &m) == nil && m.MilliCPU >= 2*n.config.milliCPU() {
			stronger++
		}
	}
	return stronger >= earlyLoaders && n.config.milliCPU() > 0
}

// noteLogResult records whether the last read of the log succeeded, and logs
// each change between success and failure.
func (n *Node) noteLogResult(err error) {
	if err == nil {
		now := n.now().MS
		if n.lastLogReadMS.Load() == 0 {
			n.log("log_reached")
		}
		n.lastLogReadMS.Store(now)
		return
	}
	n.logResponsiveSinceMS.Store(0)
	n.stats.logErrors.Inc(1)
	if n.lastLogReadMS.Swap(0) != 0 {
		n.tele.Log.Warn("log_lost", telemetry.ErrorFields(err)...)
	}
}

// noteReadDuration notes how long a read of the log took that was answered.
func (n *Node) noteReadDuration(sentMS, answeredMS int64) {
	n.logReadDurationMS.Store(answeredMS - sentMS)
	if answeredMS-sentMS >= milliseconds(logReadLimit) {
		n.logResponsiveSinceMS.Store(0)
		return
	}
	n.logResponsiveSinceMS.CompareAndSwap(0, answeredMS)
}

// loadLog reads the newest record of each key and the records that follow. A
// listing that ends before the offset that has been applied is discarded: its
// records may be older than the state.
func (n *Node) loadLog(ctx context.Context) error {
	batch, err := n.deps.Log.ReadLatest(ctx)
	if err != nil {
		return err
	}
	_, err = runInLoop(ctx, n, dutyLog, func() struct{} {
		if n.appliedEnd > batch.End {
			return struct{}{}
		}
		if n.term == nil {
			n.stateMachine = jobs.NewStateMachine()
			clear(n.members)
		}
		var changed []jobs.ID
		for _, r := range batch.Records {
			if id := n.applyRecord(r); id != "" {
				changed = append(changed, id)
			}
		}
		n.appliedEnd = batch.End
		n.step(planner.RecordsRead{Jobs: changed})
		return struct{}{}
	})
	if err != nil {
		return err
	}
	if _, err = n.catchUp(ctx); err != nil {
		return err
	}
	_, err = runInLoop(ctx, n, dutyLog, func() struct{} {
		if n.caughtUpMS == 0 {
			n.caughtUpMS = n.now().MS
		}
		n.caughtUp.Store(true)
		return struct{}{}
	})
	return err
}

// catchUp reads and applies the log up to its end and returns that offset.
func (n *Node) catchUp(ctx context.Context) (int64, error) {
	for {
		from, err := runInLoop(ctx, n, dutyLog, func() int64 { return n.appliedEnd })
		if err != nil {
			return 0, err
		}
		startMS := n.now().MS
		batch, err := n.deps.Log.Read(ctx, from)
		if err != nil {
			return 0, err
		}
		n.noteReadDuration(startMS, n.now().MS)
		end, err := runInLoop(ctx, n, dutyLog, func() int64 {
			if changed := n.apply(batch); len(changed) > 0 {
				n.step(planner.RecordsRead{Jobs: changed})
			}
			if n.appliedEnd >= batch.End {
				n.noteLogEvidence(startMS)
			}
			return n.appliedEnd
		})
		if err != nil || end >= batch.End {
			return end, err
		}
		if len(batch.Records) == 0 {
			return end, errors.Wrapf(ErrUnavailable, "log returned no records at offset %d, before its end at %d", from, batch.End)
		}
	}
}

// register appends the instance's member record if the log does not hold it.
func (n *Node) register(ctx context.Context) error {
	want := member{Peer: n.config.advertisedPeerAddr(), DataCentre: n.config.DataCentre, StartedMS: n.startedUnixMS, MilliCPU: n.config.milliCPU(), MemoryMB: int(n.config.MemoryMB)}
	missing, err := runInLoop(ctx, n, dutyLog, func() bool { return n.members[n.config.Instance] != want })
	if err != nil || !missing || n.stopping.Load() {
		return err
	}
	value, err := json.Marshal(want)
	if err != nil {
		return err
	}
	_, err = n.deps.Log.Append(ctx, Append{
		Records: []jobs.Record{{Key: memberPrefix + n.config.Instance, Value: value}}, ExpectedEnd: -1,
	})
	if err == nil {
		_, err = n.catchUp(ctx)
	}
	return err
}

// followManifest reads the operators' records. It applies each new version of the
// configuration, and each change of the evacuations before it waits for the event
// loop.
func (n *Node) followManifest(ctx context.Context) {
	var from int64
	loaded := false
	wait := n.config.manifestWait()
	for ctx.Err() == nil {
		var change Change
		var err error
		// The response may lack a version that was written after the request
		// was sent.
		currentMS := n.now().MS
		if loaded {
			var next int64
			change, next, err = n.deps.Manifests.AwaitChange(ctx, from, wait)
			if next == from {
				// The wait has ended without a change.
				currentMS += milliseconds(wait)
			}
			from = next
		} else {
			change, from, err = n.deps.Manifests.Manifest(ctx)
			loaded = err == nil && change.Manifest != nil
		}
		n.applyEvacuations(&change)
		if err == nil {
			n.operatorsReadMS.Store(min(currentMS, n.now().MS))
		}
		// After a failure the next read does not wait for a change: the version
		// in force may be too old by now.
		wait = n.config.manifestWait()
		if err != nil {
			wait = 0
			n.stats.logErrors.Inc(1)
			n.tele.Log.Warn("manifest_unavailable", telemetry.ErrorFields(err)...)
		}
		if m := change.Manifest; m != nil {
			n.applyManifest(ctx, m)
		}
		if err == nil && loaded {
			n.manifestCurrentMS.Store(min(currentMS, n.now().MS))
			n.post(ctx, dutyLog, n.configureTerm)
		}
		if err != nil || !loaded {
			pause(ctx, retryPause)
		}
	}
}

// applyManifest replaces the configuration in force, unless that is of the same
// version or a newer one.
func (n *Node) applyManifest(ctx context.Context, m *Manifest) {
	current := n.routing.Load()
	if current != nil && current.version >= m.Version {
		return
	}
	n.routing.Store(newRoutingTable(m, current))
	n.log("manifest_in_force", zap.Int64("version", m.Version), zap.Int("queues", len(m.Queues)))
	for i := range m.Queues {
		if q := &m.Queues[i]; q.MaxAttempts == 0 {
			n.tele.Log.Warn("attempts_unbounded", zap.Int64("version", m.Version), zap.String("queue", q.Name))
		}
	}
	n.post(ctx, dutyLog, func() {
		n.manifest = m
		if n.term != nil {
			n.sendQueues(n.term)
		}
	})
}

// manifestFresh reports whether the version in force was known to be the newest
// one within the last manifestMaxAge.
func (n *Node) manifestFresh() bool {
	return n.now().MS-n.manifestCurrentMS.Load() <= milliseconds(n.config.manifestMaxAge())
}

// configureTerm passes the configuration to the planner of a new term, unless it
// is too old: decisions that the planner bases on it are final. It runs in the
// event loop.
func (n *Node) configureTerm() {
	if t := n.term; t != nil && !t.configured && n.manifest != nil && n.manifestFresh() {
		n.sendQueues(t)
	}
}

func (n *Node) sendQueues(t *term) {
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
