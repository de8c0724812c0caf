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
	conn      *trackedConn
	transport *http.Transport
	lastUsed  time.Time
	lastSent  time.Time
}

// errNoSecondConnection is returned to a Transport that dials again after its
// connection has ended.
var errNoSecondConnection = errors.New("the connection has ended")

func (c *connection) close() {
	_ = c.conn.Close()
	c.transport.CloseIdleConnections()
}

// errDialBackoff is the cause of a DialFailed during the back-off after failed
// dials.
var errDialBackoff = errors.New("dialling is backing off after failures")

// acquire returns a usable connection to the target or a Failure. While all
// granted connections are in use or being probed, it waits for up to
// maxConnectionWait.
func (p *Pool) acquire(ctx context.Context, t *target) (*connection, error) {
	c, freed, err := p.tryAcquire(ctx, t)
	if freed == nil {
		return c, err
	}
	timer := time.NewTimer(maxConnectionWait)
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

// maxConnectionWait limits the wait for a connection. A probe of a healthy
// connection takes less.
const maxConnectionWait = 50 * time.Millisecond

// tryAcquire takes an idle connection or dials. If neither is possible, it
// returns a channel that is closed when a connection becomes free.
func (p *Pool) tryAcquire(ctx context.Context, t *target) (c *connection, freed <-chan struct{}, err error) {
	p.mu.Lock()
	c, stale := p.takeIdle(t)
	if c != nil {
		p.mu.Unlock()
		return c, nil, nil
	}
	full := t.open >= t.limit
	if p.closed || p.now().Before(t.nextDial) {
		t.putBackIdle(stale)
		p.mu.Unlock()
		return nil, nil, &Failure{Kind: DialFailed, Cause: errDialBackoff}
	}
	if full && stale == nil {
		freed = t.freedChannel()
		p.mu.Unlock()
		return nil, freed, nil
	}
	addr := t.addr
	if !full {
		t.reserve()
		t.putBackIdle(stale)
		p.mu.Unlock()
		c, err = p.dialReserved(ctx, t, addr)
		return c, nil, err
	}
	// At the granted limit, a new connection replaces the stale one.
	p.mu.Unlock()
	stale.close()
	c, err = p.dialReplacement(ctx, t, addr)
	return c, nil, err
}

// freedChannel returns a channel that is closed when the next connection becomes
// free.
func (t *target) freedChannel() <-chan struct{} {
	if t.freed == nil {
		t.freed = make(chan struct{})
	}
	return t.freed
}

// wakeWaiters makes the requests that wait for a connection try again.
func (t *target) wakeWaiters() {
	if t.freed != nil {
		close(t.freed)
		t.freed = nil
	}
}

func (t *target) putBackIdle(stale *connection) {
	if stale != nil {
		t.idle = append([]*connection{stale}, t.idle...)
	}
}

// takeIdle returns the most recently used idle connection if it is fresh, else
// the least recently used one as stale.
func (p *Pool) takeIdle(t *target) (fresh, stale *connection) {
	now := p.now()
	for len(t.idle) > 0 {
		last := len(t.idle) - 1
		c := t.idle[last]
		if !c.conn.closed.Load() && now.Sub(c.lastUsed) < p.settings.Fresh {
			t.idle = t.idle[:last]
			return c, nil
		}
		if !c.conn.closed.Load() {
			stale = t.idle[0]
			t.idle = t.idle[1:]
			return nil, stale
		}
		t.idle = t.idle[:last]
	}
	return nil, nil
}

// dialReplacement dials in place of a connection that was just closed.
func (p *Pool) dialReplacement(ctx context.Context, t *target, addr string) (*connection, error) {
	p.mu.Lock()
	if t.open >= t.limit {
		p.mu.Unlock()
		return nil, &Failure{Kind: NoConnection}
	}
	t.reserve()
	p.mu.Unlock()
	return p.dialReserved(ctx, t, addr)
}

// reserve counts a connection in t.open before it is dialled.
func (t *target) reserve() {
	invariant.Check(t.open < t.limit, invariant.NeverOvercommitted,
		"%d connections to %s, granted %d", t.open+1, t.id, t.limit)
	t.open++
}

// dialReserved dials a connection that reserve has counted.
func (p *Pool) dialReserved(ctx context.Context, t *target, addr string) (*connection, error) {
	started := p.now()
	dialCtx, cancel := context.WithTimeout(ctx, p.settings.DialTimeout)
	raw, err := p.settings.Dial(dialCtx, addr)
	cancel()
	if err != nil && requestEnded(ctx, err, p.now().Sub(started) < p.settings.DialTimeout) {
		// The request ended before the dial did, so the target has not failed.
		p.connectionClosed(t)
		return nil, &Failure{Kind: NoConnection, Cause: err}
	}
	if err != nil {
		p.dialFailed(t)
		return nil, &Failure{Kind: DialFailed, Cause: err}
	}
	p.dialSucceeded(t)
	return p.newConnection(t, addr, raw), nil
}

// requestEnded reports whether a dial failed because its request ended rather
// than because of DialTimeout. A dial can return a timeout error shortly before
// the context ends.
func requestEnded(ctx context.Context, err error, beforeDialTimeout bool) bool {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return beforeDialTimeout
	}
	return ctx.Err() != nil && beforeDialTimeout
}

// dialTCP dials without TCP keep-alive, because the pool probes by HTTP.
func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", addr)
}

func (p *Pool) newConnection(t *target, addr string, raw net.Conn) *connection {
	tracked := &trackedConn{Conn: raw}
	tracked.onClose = func() { p.connectionClosed(t) }
	c := &connection{target: t, addr: addr, conn: tracked, lastUsed: p.now()}
	unclaimed := make(chan struct{}, 1)
	unclaimed <- struct{}{}
	c.transport = &http.Transport{
		DisableCompression:     true,
		MaxConnsPerHost:        1,
		MaxIdleConnsPerHost:    1,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			select {
			case <-unclaimed:
				return tracked, nil
			default:
				return nil, errNoSecondConnection
			}
		},
	}
	return c
}

// maxResponseHeaderBytes limits the header of a target's response.
const maxResponseHeaderBytes = 64 << 10

// connectionClosed removes a closed connection from the count.
func (p *Pool) connectionClosed(t *target) {
	p.mu.Lock()
	t.open--
	t.wakeWaiters()
	p.mu.Unlock()
}

// dialFailed counts a failed dial and delays the next one. After several
// failures in a row it reports DialsFailing.
func (p *Pool) dialFailed(t *target) {
	p.mu.Lock()
	t.open--
	t.wakeWaiters()
	t.dialFailures++
	t.nextDial = p.now().Add(p.dialDelay(t.dialFailures))
	report := t.dialFailures >= dialFailuresToReport && !t.failuresReported
	if report {
		t.failuresReported = true
	}
	p.mu.Unlock()
	if report {
		p.onEvent(t.id, DialsFailing)
	}
}

// dialDelay returns an exponential back-off with a jitter of half the delay, so
// that the entries do not dial a recovered target at the same time.
func (p *Pool) dialDelay(failures int) time.Duration {
	delay := firstDialDelay << min(failures-1, 10)
	delay = min(delay, maxDialDelay)
	return delay/2 + time.Duration(p.random.Int64N(int64(delay)))
}

func (p *Pool) dialSucceeded(t *target) {
	p.mu.Lock()
	report := t.failuresReported
	t.dialFailures = 0
	t.failuresReported = false
	t.nextDial = time.Time{}
	p.mu.Unlock()
	if report {
		p.onEvent(t.id, DialsRecovered)
	}
}
