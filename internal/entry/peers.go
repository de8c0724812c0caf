package entry

import (
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"redwingvale/internal/gen/redwingvale/entry/v1/entryv1connect"
	"redwingvale/internal/spec"
)

// The settings of connections to other entries.
const (
	peerDialTimeout = 500 * time.Millisecond
	peerIdleTimeout = 30 * time.Second
	peerIdleConns   = 64
)

// peer is another entry instance.
type peer struct {
	id     spec.InstanceID
	addr   string
	client entryv1connect.EntryServiceClient
	// notBefore is the time before which no request is forwarded to the peer,
	// after it had no spare slot.
	notBefore time.Time
}

// peerSet holds the clients of the other entries.
type peerSet struct {
	transport *http.Transport
	now       func() time.Duration
	// retention is how long a departed entry may hold the record of a key that
	// is still relevant.
	retention time.Duration

	mu    sync.Mutex
	peers map[spec.InstanceID]*peer
	// departed holds entries that are no longer members. They may still be
	// queried about idempotency keys.
	departed map[spec.InstanceID]departedPeer
	rotation []*peer
	next     int
}

// departedPeer is an entry that is no longer a member, and the time at which it
// left.
type departedPeer struct {
	*peer
	leftAt time.Duration
}

func newPeerSet(retention time.Duration, now func() time.Duration) *peerSet {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	return &peerSet{
		transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: peerIdleConns,
			IdleConnTimeout:     peerIdleTimeout,
			DisableCompression:  true,
		},
		now:       now,
		retention: retention,
		peers:     make(map[spec.InstanceID]*peer),
		departed:  make(map[spec.InstanceID]departedPeer),
	}
}

// set replaces the current peers by the entries with these addresses.
func (p *peerSet) set(addresses map[spec.InstanceID]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	client := &http.Client{Transport: p.transport}
	old := p.peers
	p.peers = make(map[spec.InstanceID]*peer)
	p.rotation = nil
	for id, addr := range addresses {
		other := old[id]
		if other == nil || other.addr != addr {
			other = &peer{id: id, addr: addr}
			other.client = entryv1connect.NewEntryServiceClient(client, "http://"+addr)
		}
		p.peers[id] = other
		p.rotation = append(p.rotation, other)
		delete(p.departed, id)
	}
	for id, other := range old {
		if p.peers[id] == nil {
			p.departed[id] = departedPeer{peer: other, leftAt: p.now()}
		}
	}
	p.expireDeparted()
	sort.Slice(p.rotation, func(i, j int) bool { return p.rotation[i].id < p.rotation[j].id })
}

// client returns the client of a current or departed entry, or nil.
func (p *peerSet) client(id spec.InstanceID) entryv1connect.EntryServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.peers[id]; other != nil {
		return other.client
	}
	p.expireDeparted()
	if departed, ok := p.departed[id]; ok {
		return departed.client
	}
	return nil
}

// expireDeparted removes the departed entries whose retention has ended. The
// lock must be held.
func (p *peerSet) expireDeparted() {
	for id, departed := range p.departed {
		if p.now()-departed.leftAt > p.retention {
			delete(p.departed, id)
		}
	}
}

// nextCandidate returns the next peer, in rotation, that may have a spare slot,
// or nil.
func (p *peerSet) nextCandidate(now time.Time) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range p.rotation {
		p.next++
		other := p.rotation[p.next%len(p.rotation)]
		if now.After(other.notBefore) {
			return other
		}
	}
	return nil
}

// backOff prevents forwarding to the peer until the given time.
func (p *peerSet) backOff(other *peer, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	other.notBefore = until
}

func (p *peerSet) close() { p.transport.CloseIdleConnections() }
