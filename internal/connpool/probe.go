package connpool

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"time"

	"redwingvale/internal/spec"
)

// probeRounds is the number of rounds per probe interval; probes are spread
// over them.
const probeRounds = 8

// maxProbesInRound bounds the probes that one round starts, and so the
// goroutines that wait for silent connections.
const maxProbesInRound = 512

// probeRound probes the idle connections whose time has come, dials targets
// that could not be reached, and closes connections that nobody needs.
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

// collect takes the connections to probe and to close out of the idle ones.
func (p *Pool) collect() (due, unused []*connection, dials []spec.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for id, t := range p.targets {
		if t.reported && !t.probing && !now.Before(t.nextDial) {
			t.probing = true
			dials = append(dials, id)
		}
		found := p.sortIdle(now, t, maxProbesInRound-len(due))
		due = append(due, found.due...)
		unused = append(unused, found.unused...)
		if t.open == 0 && t.limit == 0 && !t.reported {
			delete(p.targets, id)
		}
	}
	slices.Sort(dials)
	return due, unused, dials
}

// sorted is what a round found among a target's idle connections.
type sorted struct{ due, unused []*connection }

// sortIdle takes connections out of the idle ones: those that nobody needs,
// and at most half of them, up to limit, for a probe, so that requests find
// the others.
func (p *Pool) sortIdle(now time.Time, t *target, limit int) sorted {
	var out sorted
	limit = min(limit, (len(t.idle)+1)/2)
	kept := make([]*connection, 0, len(t.idle))
	for _, c := range t.idle {
		switch {
		case c.conn.ended.Load():
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
// that does not answer in time is closed.
func (p *Pool) probe(ctx context.Context, c *connection) {
	limited, cancel := context.WithTimeout(ctx, p.settings.ProbeTimeout)
	defer cancel()
	head := &Request{Method: http.MethodHead, URL: url.URL{Path: p.settings.HealthPath}, Header: http.Header{}}
	resp, err := c.transport.RoundTrip(head.toHTTP(limited, c.addr))
	if err != nil {
		c.close()
		return
	}
	_ = resp.Body.Close()
	if !p.park(c, !resp.Close, c.lastSent) {
		c.close()
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		p.onEvent(c.target.id, Stopping)
	}
}

// redial dials a target that could not be reached and probes it.
func (p *Pool) redial(ctx context.Context, id spec.WorkerID) {
	p.mu.Lock()
	t := p.targets[id]
	if t == nil {
		p.mu.Unlock()
		return
	}
	if t.open >= t.limit {
		t.probing = false
		p.mu.Unlock()
		return
	}
	t.reserve()
	addr := t.addr
	p.mu.Unlock()
	c, err := p.dialCounted(ctx, t, addr)
	p.mu.Lock()
	t.probing = false
	p.mu.Unlock()
	if err == nil {
		p.probe(ctx, c)
	}
}
