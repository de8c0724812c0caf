package sched

import (
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"redwingvale/internal/gen/redwingvale/sched/v1/schedv1connect"
)

// Limits of the connections between instances.
const (
	peerMaxBytes      = 4 << 20
	peerIdleTimeout   = 30 * time.Second
	peerConnsPerHost  = 16
	peerDialTimeout   = 500 * time.Millisecond
	peerHeaderTimeout = 5 * time.Second
)

// Clients keeps one client for each rwsched that this process calls.
type Clients struct {
	http *http.Client

	mu    sync.Mutex
	sched map[string]schedv1connect.SchedServiceClient
	peer  map[string]schedv1connect.PeerServiceClient
}

// NewClients returns an empty set of clients. Close ends their connections.
func NewClients() *Clients {
	transport := &http.Transport{
		DialContext:         dialer(peerDialTimeout),
		MaxIdleConnsPerHost: peerConnsPerHost,
		IdleConnTimeout:     peerIdleTimeout,
	}
	return &Clients{
		http:  &http.Client{Transport: transport},
		sched: make(map[string]schedv1connect.SchedServiceClient),
		peer:  make(map[string]schedv1connect.PeerServiceClient),
	}
}

// Sched returns the client of the SchedService at addr, a host:port.
func (c *Clients) Sched(addr string) schedv1connect.SchedServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.sched[addr]
	if !ok {
		client = schedv1connect.NewSchedServiceClient(c.http, "http://"+addr, connect.WithReadMaxBytes(peerMaxBytes))
		c.sched[addr] = client
	}
	return client
}

// Peer returns the client of the PeerService at addr, a host:port.
func (c *Clients) Peer(addr string) schedv1connect.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.peer[addr]
	if !ok {
		client = schedv1connect.NewPeerServiceClient(c.http, "http://"+addr, connect.WithReadMaxBytes(peerMaxBytes))
		c.peer[addr] = client
	}
	return client
}

// Close ends the idle connections.
func (c *Clients) Close() { c.http.CloseIdleConnections() }
