package connpool

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"time"

	"redwingvale/internal/spec"
)

// roundsPerInterval is the number of rounds per probe interval; probes are spread
// over them.
const roundsPerInterval = 8

// maxProbesPerRound limits the probes that one round starts, and so the
// goroutines that wait for unresponsive connections.
const maxProbesPerRound = 512

// probeRound probes the idle connections that are due, redials unreachable
// targets and closes connections that were not used for IdleClose.
func (p *Pool) probeRound(ctx context.Context) {
	due, unused, dials := p.collect()
	closeAll(unused)
	for _, c := range due {
		go p.probe(ctx, c)
	}
	for _, id := range dials {
		go p.redial(ctx, id)
	}
}

// collect removes the connections to probe and to close from the idle ones and
// returns the targets to redial.
func (p *Pool) collect() (due, unused []*connection, dials []spec.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for id, t := range p.targets {
		if t.failuresReported && !t.redialing && !now.Before(t.nextDial) {
			t.redialing = true
			dials = append(dials, id)
		}
		found := p.scanIdle(now, t, maxProbesPerRound-len(due))
		due = append(due, found.due...)
		unused = append(unused, found.unused...)
		if t.open == 0 && t.limit == 0 && !t.failuresReported {
			delete(p.targets, id)
		}
	}
	slices.Sort(dials)
	return due, unused, dials
}

// idleScan is the result of scanIdle.
type idleScan struct{ due, unused []*connection }

// scanIdle removes idle connections that have ended, that were not used for
// IdleClose or that are due for a probe. It takes at most limit and at most half
// of them for a probe, so that requests can use the others.
func (p *Pool) scanIdle(now time.Time, t *target, limit int) idleScan {
	var out idleScan
	limit = min(limit, (len(t.idle)+1)/2)
	kept := make([]*connection, 0, len(t.idle))
	for _, c := range t.idle {
		switch {
		case c.conn.closed.Load():
		case now.Sub(c.lastSent) >= p.settings.IdleClose:
			out.unused = append(out.unused, c)
		case now.Sub(c.lastUsed) >= p.settings.ProbeInterval && len(out.due) < limit:
			out.due = append(out.due, c)
		default:
			kept = append(kept, c)
		}
	}
	t.idle = kept
	return out
}

// probe sends HEAD for the health path on an idle connection. A connection
// that does not respond in time is closed.
func (p *Pool) probe(ctx context.Context, c *connection) {
	probeCtx, cancel := context.WithTimeout(ctx, p.settings.ProbeTimeout)
	defer cancel()
	head := &Request{Method: http.MethodHead, URL: url.URL{Path: p.settings.HealthPath}, Header: http.Header{}}
	resp, err := c.transport.RoundTrip(head.toHTTP(probeCtx, c.addr))
	if err != nil {
		c.close()
		return
	}
	_ = resp.Body.Close()
	if !p.putIdle(c, !resp.Close, c.lastSent) {
		c.close()
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		p.onEvent(c.target.id, Stopping)
	}
}

// redial dials an unreachable target and probes the connection.
func (p *Pool) redial(ctx context.Context, id spec.WorkerID) {
	p.mu.Lock()
	t := p.targets[id]
	if t == nil {
		p.mu.Unlock()
		return
	}
	if t.open >= t.limit {
		t.redialing = false
		p.mu.Unlock()
		return
	}
	t.reserve()
	addr := t.addr
	p.mu.Unlock()
	c, err := p.dialReserved(ctx, t, addr)
	p.mu.Lock()
	t.redialing = false
	p.mu.Unlock()
	if err == nil {
		p.probe(ctx, c)
	}
}
