package connpool

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"redwingvale/internal/spec"
)

// Settings are the parameters of a pool.
type Settings struct {
	DialTimeout   time.Duration
	ProbeInterval time.Duration
	ProbeTimeout  time.Duration
	// Fresh is how long after its last request or probe an idle connection is
	// used without another probe.
	Fresh time.Duration
	// IdleClose is the time after which an unused connection is closed.
	IdleClose  time.Duration
	HealthPath string
	Seed       uint64
	// Dial replaces the TCP dialler in tests; nil means dialTCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// Event is a change of a target's state that the pool reports.
type Event uint8

// The events.
const (
	// DialsFailing: several dials in a row failed.
	DialsFailing Event = iota + 1
	// DialsRecovered: a dial succeeded after DialsFailing.
	DialsRecovered
	// Stopping: a probe of the health path returned status 503.
	Stopping
)

// dialFailuresToReport is the number of failed dials in a row after which
// DialsFailing is reported.
const dialFailuresToReport = 3

// The back-off between dials to an unreachable target.
const (
	firstDialDelay = 50 * time.Millisecond
	maxDialDelay   = 2 * time.Second
)

// Pool holds the connections to all targets.
type Pool struct {
	settings Settings
	now      func() time.Time
	onEvent  func(spec.WorkerID, Event)

	mu      sync.Mutex
	random  *rand.Rand
	targets map[spec.WorkerID]*target
	closed  bool
}

// target is the pool's state of one target, guarded by Pool.mu.
type target struct {
	id    spec.WorkerID
	addr  string
	limit int
	// open counts connections that are established or being dialled.
	open int
	idle []*connection
	// freed is closed when a connection becomes free; nil if no request waits.
	freed chan struct{}

	dialFailures     int
	nextDial         time.Time
	failuresReported bool
	redialing        bool
}

// New returns an empty pool. onEvent is called without a lock held.
func New(settings Settings, onEvent func(spec.WorkerID, Event)) *Pool {
	if settings.Dial == nil {
		settings.Dial = dialTCP
	}
	return &Pool{
		settings: settings,
		now:      time.Now,
		onEvent:  onEvent,
		random:   rand.New(rand.NewPCG(settings.Seed, settings.Seed+1)),
		targets:  make(map[spec.WorkerID]*target),
	}
}

// OpenConnections returns the number of connections to the target that are
// established or being dialled.
func (p *Pool) OpenConnections(id spec.WorkerID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[id]
	if t == nil {
		return 0
	}
	return t.open
}

// SetLimit sets the granted number of connections and closes idle ones above it.
func (p *Pool) SetLimit(id spec.WorkerID, addr string, limit int) {
	p.mu.Lock()
	t := p.ensureTarget(id, addr)
	t.limit = limit
	t.wakeWaiters()
	excess := t.removeIdleAbove(limit)
	p.mu.Unlock()
	closeAll(excess)
}

// ensureTarget returns the state of a target, which it creates if necessary.
// After a change of address, dial failures are reset and connections to the old
// address are not used again.
func (p *Pool) ensureTarget(id spec.WorkerID, addr string) *target {
	t := p.targets[id]
	if t == nil {
		t = &target{id: id, addr: addr}
		p.targets[id] = t
	}
	if t.addr != addr {
		t.addr = addr
		t.dialFailures = 0
		t.nextDial = time.Time{}
		go closeAll(t.idle)
		t.idle = nil
	}
	return t
}

// removeIdleAbove removes and returns the idle connections to close so that at
// most limit are open. They stay counted until they are closed.
func (t *target) removeIdleAbove(limit int) []*connection {
	var out []*connection
	for t.open-len(out) > limit && len(t.idle) > 0 {
		out = append(out, t.idle[0])
		t.idle = t.idle[1:]
	}
	return out
}

func closeAll(connections []*connection) {
	for _, c := range connections {
		c.close()
	}
}

// Close closes all idle connections and makes new requests fail.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	var all []*connection
	for _, t := range p.targets {
		all = append(all, t.idle...)
		t.idle = nil
	}
	p.mu.Unlock()
	closeAll(all)
}

// Run probes idle connections until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(p.settings.ProbeInterval / roundsPerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.probeRound(ctx)
		}
	}
}
