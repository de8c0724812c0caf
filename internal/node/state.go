package node

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"redwingvale/internal/code"
	nodev1 "redwingvale/internal/gen/redwingvale/node/v1"
	"redwingvale/internal/jobs"
)

// Callers look at the states of their jobs again and again, and most looks find no
// change. They are answered where that is cheap: a final state by any instance
// that has read it in the log, any other state by a delegate of the leader, which passes each change of a state on to its delegates
// together with their calls. The leader answers what they cannot, and alone says
// that a job is unknown.

const (
	// mirrorMaxAge is how old the leader's last batch may be for a delegate to
	// answer for it. A leader of many workers sends many batches a second.
	mirrorMaxAge = time.Second
	// mirrorLogMaxAge is how old the delegate's last read of the log may be. A
	// state is kept for mirrorRetention, so that the log has it by then.
	mirrorLogMaxAge = 5 * time.Second
	mirrorRetention = 30 * time.Second
	// delegateLookTimeout limits a look at a delegate, after which the leader is
	// asked; the delegate is then left out for delegatePause.
	delegateLookTimeout = 300 * time.Millisecond
)

// stateMirror holds the states of jobs that a leader has passed on to its
// delegate.
type stateMirror struct {
	sinceMS, updatedMS int64
	current, previous  map[jobs.ID]jobs.State
	rotatedMS          int64
}

func newStateMirror(nowMS int64) *stateMirror {
	return &stateMirror{sinceMS: nowMS, updatedMS: nowMS, rotatedMS: nowMS, current: map[jobs.ID]jobs.State{}}
}

// update applies the states of a batch.
func (m *stateMirror) update(nowMS int64, states []*nodev1.JobState) {
	m.updatedMS = nowMS
	if nowMS-m.rotatedMS >= milliseconds(mirrorRetention) {
		m.previous, m.current, m.rotatedMS = m.current, make(map[jobs.ID]jobs.State, len(m.current)), nowMS
	}
	for _, s := range states {
		m.current[jobs.ID(s.GetId())] = jobs.State(s.GetState())
	}
}

func (m *stateMirror) state(id jobs.ID) (jobs.State, bool) {
	if state, ok := m.current[id]; ok {
		return state, true
	}
	state, ok := m.previous[id]
	return state, ok
}

// knownState returns a job's state if this instance can tell it without the
// leader. It runs in the event loop.
func (n *Node) knownState(id jobs.ID) (jobs.State, bool) {
	var recorded jobs.State
	if entry := n.stateMachine.SubmittedEntry(id); entry != nil {
		recorded = entry.State()
	}
	if recorded.Final() {
		return recorded, true
	}
	if n.term != nil {
		return n.term.core.State(id)
	}
	if !n.mirrors() {
		return "", false
	}
	state, ok := n.delegated.mirror.state(id)
	switch {
	case ok && (state.Final() || recorded != jobs.Active):
		return state, true
	case recorded != "":
		return recorded, true
	}
	return "", false
}

// mirrors reports whether this instance knows the states of all recorded jobs: the
// leader has sent it a batch a moment ago, and it has read the log since the first
// one. It runs in the event loop.
func (n *Node) mirrors() bool {
	t := n.delegated
	if t == nil || t.ctx.Err() != nil || t.epoch < max(n.claim.Epoch, n.lastHeartbeat.epoch) {
		return false
	}
	now, readMS := n.now().MS, n.lastLogReadMS.Load()
	return now-t.mirror.updatedMS <= milliseconds(mirrorMaxAge) &&
		readMS > t.mirror.sinceMS && now-readMS <= milliseconds(mirrorLogMaxAge)
}

// lookups chooses the delegate that answers this instance's looks.
type lookups struct {
	mu        sync.Mutex
	delegates []string
	// failedMS is when a delegate last gave no answer.
	failedMS map[string]int64
}

// setDelegates replaces the delegates, the preferred one first.
func (l *lookups) setDelegates(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delegates = addresses
}

// delegate returns the delegate to ask, or "" if there is none.
func (l *lookups) delegate(nowMS int64) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, address := range l.delegates {
		if failedMS, ok := l.failedMS[address]; !ok || nowMS-failedMS > milliseconds(delegatePause) {
			return address
		}
	}
	return ""
}

func (l *lookups) failed(address string, nowMS int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failedMS == nil || len(l.failedMS) > 4*maxDelegates {
		l.failedMS = map[string]int64{}
	}
	l.failedMS[address] = nowMS
}

// byNearness orders the delegates that a heartbeat names: those of this data
// centre first, and in each part in an order that differs between instances. It
// runs in the event loop.
func (n *Node) byNearness(delegates []string) []string {
	near := map[string]bool{}
	for _, m := range n.members {
		if m.DataCentre == n.config.DataCentre {
			near[m.Peer] = true
		}
	}
	order := func(address string) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(n.config.Instance + " " + address))
		return h.Sum64()
	}
	out := slices.Clone(delegates)
	slices.SortFunc(out, func(a, b string) int {
		switch {
		case near[a] != near[b] && near[a]:
			return -1
		case near[a] != near[b]:
			return 1
		case order(a) < order(b):
			return -1
		}
		return 1
	})
	return out
}

// stateNearby returns a job's state if this instance or a delegate can tell it.
func (n *Node) stateNearby(ctx context.Context, id jobs.ID) (jobs.State, bool) {
	if state, ok := n.stateKnownHere(ctx, id); ok {
		return state, true
	}
	address := n.lookups.delegate(n.now().MS)
	if address == "" || address == n.config.advertisedPeerAddr() || n.isLeader() {
		return "", false
	}
	lookCtx, cancel := context.WithTimeout(ctx, delegateLookTimeout)
	defer cancel()
	n.stats.looksAtDelegate.Inc(1)
	response, err := n.peerClient(address).GetJob(lookCtx, connect.NewRequest(&nodev1.GetJobRequest{Id: string(id)}))
	if err != nil {
		n.lookups.failed(address, n.now().MS)
		return "", false
	}
	return jobs.State(response.Msg.GetState()), code.Code(response.Msg.GetCode()) == code.OK
}

func (n *Node) stateKnownHere(ctx context.Context, id jobs.ID) (jobs.State, bool) {
	type known struct {
		state jobs.State
		ok    bool
	}
	got, err := runInLoop(ctx, n, dutyRequests, func() known {
		state, ok := n.knownState(id)
		return known{state, ok}
	})
	return got.state, err == nil && got.ok
}

// stateForPeer answers another instance as the leader or as its delegate.
func (n *Node) stateForPeer(ctx context.Context, id jobs.ID) (jobs.State, code.Code) {
	if state, ok := n.stateKnownHere(ctx, id); ok {
		return state, code.OK
	}
	return n.stateLocal(ctx, id)
}

// State returns the state of a job. UnknownJob is returned only when the log
// has been read to its end.
func (n *Node) State(ctx context.Context, id jobs.ID) (jobs.State, code.Code) {
	for ctx.Err() == nil {
		if state, ok := n.stateNearby(ctx, id); ok {
			return state, code.OK
		}
		state, status := n.stateAtLeader(ctx, id)
		if status == code.OK || status == code.UnknownJob {
			return state, status
		}
		state, err := runInLoop(ctx, n, dutyRequests, func() jobs.State {
			if entry := n.stateMachine.SubmittedEntry(id); entry != nil {
				return entry.State()
			}
			return ""
		})
		if err == nil && state != "" {
			return state, code.OK
		}
		pause(ctx, requestRetryPause)
	}
	return "", code.OwnerUnknown
}

func (n *Node) stateAtLeader(ctx context.Context, id jobs.ID) (jobs.State, code.Code) {
	l := n.leader.Load()
	if l == nil {
		return "", code.OwnerUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if l.self {
		return n.stateLocal(ctx, id)
	}
	n.leaderLooks.Add(1)
	n.stats.looksAtLeader.Inc(1)
	response, err := n.peerClient(l.peer).GetJob(ctx, connect.NewRequest(&nodev1.GetJobRequest{Id: string(id)}))
	if err != nil {
		return "", code.OwnerUnknown
	}
	return jobs.State(response.Msg.GetState()), code.Code(response.Msg.GetCode())
}

func (n *Node) stateLocal(ctx context.Context, id jobs.ID) (jobs.State, code.Code) {
	for attempt := range 2 {
		type lookup struct {
			state   jobs.State
			ok      bool
			leading bool
		}
		got, err := runInLoop(ctx, n, dutyRequests, func() lookup {
			if n.term == nil {
				return lookup{}
			}
			state, ok := n.term.core.State(id)
			return lookup{state, ok, true}
		})
		switch {
		case err != nil || !got.leading:
			return "", code.NotOwner
		case got.ok:
			return got.state, code.OK
		}
		if attempt == 0 {
			// Another instance may have recorded the job a moment ago.
			if _, err := n.catchUp(ctx); err != nil {
				return "", code.LogUnavailable
			}
		}
	}
	return "", code.UnknownJob
}
