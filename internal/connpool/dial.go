package connpool

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"redwingvale/internal/invariant"
)

// connection is one connection to a target with a Transport of its own.
type connection struct {
	target    *target
	addr      string
	conn      *countingConn
	transport *http.Transport
	lastUsed  time.Time
	lastSent  time.Time
}

// errConnectionUsed keeps a Transport from opening a second connection.
var errConnectionUsed = errors.New("the connection has ended")

// close ends the connection.
func (c *connection) close() {
	_ = c.conn.Close()
	c.transport.CloseIdleConnections()
}

// acquire returns a usable connection to the target or a Failure.
func (p *Pool) acquire(ctx context.Context, t *target) (*connection, error) {
	p.mu.Lock()
	c, stale := p.takeIdle(t)
	if c != nil {
		p.mu.Unlock()
		return c, nil
	}
	if p.closed || p.now().Before(t.nextDial) || (t.open >= t.limit && stale == nil) {
		p.mu.Unlock()
		p.giveBackStale(t, stale)
		return nil, &Failure{Kind: NoConnection}
	}
	// A stale connection is replaced when the grant leaves room for no other.
	replace := t.open >= t.limit
	addr := t.addr
	if !replace {
		t.reserve()
	}
	p.mu.Unlock()
	if !replace {
		p.giveBackStale(t, stale)
		return p.dialCounted(ctx, t, addr)
	}
	stale.close()
	return p.dialAfterClose(ctx, t, addr)
}

// takeIdle returns the most recently used idle connection when it is fresh;
// else it returns the one that was unused for the longest time as stale.
func (p *Pool) takeIdle(t *target) (fresh, stale *connection) {
	now := p.now()
	for len(t.idle) > 0 {
		last := len(t.idle) - 1
		c := t.idle[last]
		if !c.conn.ended.Load() && now.Sub(c.lastUsed) < p.settings.Fresh {
			t.idle = t.idle[:last]
			return c, nil
		}
		if !c.conn.ended.Load() {
			stale = t.idle[0]
			t.idle = t.idle[1:]
			return nil, stale
		}
		t.idle = t.idle[:last]
	}
	return nil, nil
}

func (p *Pool) giveBackStale(t *target, stale *connection) {
	if stale == nil {
		return
	}
	p.mu.Lock()
	t.idle = append([]*connection{stale}, t.idle...)
	p.mu.Unlock()
}

// dialAfterClose dials in place of a connection that was just closed.
func (p *Pool) dialAfterClose(ctx context.Context, t *target, addr string) (*connection, error) {
	p.mu.Lock()
	if t.open >= t.limit {
		p.mu.Unlock()
		return nil, &Failure{Kind: NoConnection}
	}
	t.reserve()
	p.mu.Unlock()
	return p.dialCounted(ctx, t, addr)
}

// reserve counts a connection that is about to be dialled.
func (t *target) reserve() {
	invariant.Check(t.open < t.limit, invariant.NeverOvercommitted,
		"%d connections to %s, granted %d", t.open+1, t.id, t.limit)
	t.open++
}

// dialCounted dials; the connection is already counted in t.open.
func (p *Pool) dialCounted(ctx context.Context, t *target, addr string) (*connection, error) {
	dialer := net.Dialer{Timeout: p.settings.DialTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.dialFailed(t)
		return nil, &Failure{Kind: DialFailed, Cause: err}
	}
	p.dialWorked(t)
	return p.newConnection(t, addr, raw), nil
}

func (p *Pool) newConnection(t *target, addr string, raw net.Conn) *connection {
	counted := &countingConn{Conn: raw}
	counted.onEnd = func() { p.ended(t) }
	c := &connection{target: t, addr: addr, conn: counted, lastUsed: p.now()}
	handed := make(chan struct{}, 1)
	handed <- struct{}{}
	c.transport = &http.Transport{
		DisableCompression:     true,
		MaxConnsPerHost:        1,
		MaxIdleConnsPerHost:    1,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			select {
			case <-handed:
				return counted, nil
			default:
				return nil, errConnectionUsed
			}
		},
	}
	return c
}

// maxAnswerHeaderBytes bounds the header of a target's answer.
const maxAnswerHeaderBytes = 64 << 10

// ended counts a connection as closed.
func (p *Pool) ended(t *target) {
	p.mu.Lock()
	t.open--
	p.mu.Unlock()
}

// dialFailed counts a failed dial and holds further ones back.
func (p *Pool) dialFailed(t *target) {
	p.mu.Lock()
	t.open--
	t.failures++
	t.nextDial = p.now().Add(p.dialDelay(t.failures))
	report := t.failures >= dialFailuresToReport && !t.reported
	if report {
		t.reported = true
	}
	p.mu.Unlock()
	if report {
		p.onEvent(t.id, DialsFailing)
	}
}

// dialDelay doubles with each failure and varies by half of it, so that the
// entries do not dial a returning target at the same time.
func (p *Pool) dialDelay(failures int) time.Duration {
	delay := firstDialDelay << min(failures-1, 10)
	delay = min(delay, maxDialDelay)
	return delay/2 + time.Duration(p.random.Int64N(int64(delay)))
}

func (p *Pool) dialWorked(t *target) {
	p.mu.Lock()
	report := t.reported
	t.failures = 0
	t.reported = false
	t.nextDial = time.Time{}
	p.mu.Unlock()
	if report {
		p.onEvent(t.id, DialsWorking)
	}
}
