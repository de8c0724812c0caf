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

// errHeldBack is the cause of a refusal while dialling is held back.
var errHeldBack = errors.New("dialling is held back after failures")

// acquire returns a usable connection to the target or a Failure. While all
// granted connections are in use or being probed it waits for a short time.
func (p *Pool) acquire(ctx context.Context, t *target) (*connection, error) {
	c, freed, err := p.tryAcquire(ctx, t)
	if freed == nil {
		return c, err
	}
	timer := time.NewTimer(connectionWait)
	defer timer.Stop()
	for freed != nil {
		select {
		case <-freed:
		case <-timer.C:
			return nil, &Failure{Kind: NoConnection}
		case <-ctx.Done():
			return nil, &Failure{Kind: NoConnection, Cause: ctx.Err()}
		}
		c, freed, err = p.tryAcquire(ctx, t)
	}
	return c, err
}

// connectionWait bounds the wait for a connection; a probe of a connection
// that is well takes less.
const connectionWait = 50 * time.Millisecond

// tryAcquire takes an idle connection or dials. When neither is possible it
// returns a channel that is closed when a connection has become free.
func (p *Pool) tryAcquire(ctx context.Context, t *target) (c *connection, freed <-chan struct{}, err error) {
	p.mu.Lock()
	c, stale := p.takeIdle(t)
	if c != nil {
		p.mu.Unlock()
		return c, nil, nil
	}
	full := t.open >= t.limit
	if p.closed || p.now().Before(t.nextDial) {
		t.putBack(stale)
		p.mu.Unlock()
		return nil, nil, &Failure{Kind: DialFailed, Cause: errHeldBack}
	}
	if full && stale == nil {
		freed = t.waitFreed()
		p.mu.Unlock()
		return nil, freed, nil
	}
	addr := t.addr
	if !full {
		t.reserve()
		t.putBack(stale)
		p.mu.Unlock()
		c, err = p.dialCounted(ctx, t, addr)
		return c, nil, err
	}
	// A stale connection is replaced when the grant leaves room for no other.
	p.mu.Unlock()
	stale.close()
	c, err = p.dialAfterClose(ctx, t, addr)
	return c, nil, err
}

// waitFreed returns the channel that the next freed connection closes.
func (t *target) waitFreed() <-chan struct{} {
	if t.freed == nil {
		t.freed = make(chan struct{})
	}
	return t.freed
}

// wake lets the requests that wait for a connection try again.
func (t *target) wake() {
	if t.freed != nil {
		close(t.freed)
		t.freed = nil
	}
}

func (t *target) putBack(stale *connection) {
	if stale != nil {
		t.idle = append([]*connection{stale}, t.idle...)
	}
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
	began := p.now()
	limited, cancel := context.WithTimeout(ctx, p.settings.DialTimeout)
	raw, err := p.settings.Dial(limited, addr)
	cancel()
	if err != nil && endedEarly(ctx, err, p.now().Sub(began) < p.settings.DialTimeout) {
		// The request ran out of time, which says nothing about the target.
		p.ended(t)
		return nil, &Failure{Kind: NoConnection, Cause: err}
	}
	if err != nil {
		p.dialFailed(t)
		return nil, &Failure{Kind: DialFailed, Cause: err}
	}
	p.dialWorked(t)
	return p.newConnection(t, addr, raw), nil
}

// endedEarly reports whether a dial failed because its request ended and not
// because of the dial's own time limit. A dial can return its timeout shortly
// before the context has ended.
func endedEarly(ctx context.Context, err error, beforeLimit bool) bool {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return beforeLimit
	}
	return ctx.Err() != nil && beforeLimit
}

// dialTCP dials without TCP's own keep-alive: the pool probes by HTTP.
func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", addr)
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
	t.wake()
	p.mu.Unlock()
}

// dialFailed counts a failed dial and holds further ones back.
func (p *Pool) dialFailed(t *target) {
	p.mu.Lock()
	t.open--
	t.wake()
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
