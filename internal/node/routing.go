package node

import (
	"maps"
	"strings"

	"redwingvale/internal/jobs"
)

// routingTable is the manifest in the form that the request path uses.
type routingTable struct {
	version int64
	hosts   map[string][]QueueRoute
	// policies holds the policy of each queue by the queue's name.
	policies map[string]*jobs.Policy
}

// newRoutingTable returns the routing table of a manifest. A queue that is no
// longer in the manifest keeps its last policy: a request may have been routed
// to it before.
func newRoutingTable(m *Manifest, previous *routingTable) *routingTable {
	t := &routingTable{version: m.Version, hosts: map[string][]QueueRoute{}, policies: map[string]*jobs.Policy{}}
	if previous != nil {
		maps.Copy(t.policies, previous.policies)
	}
	for _, q := range m.Queues {
		policy := q.Policy
		t.policies[q.Name] = &policy
		t.hosts[q.Host] = append(t.hosts[q.Host], q)
	}
	return t
}

// route returns the queue with the longest matching prefix and the rest of the
// path.
func (t *routingTable) route(host, path string) (queue, rest string, ok bool) {
	longest := -1
	for _, q := range t.hosts[host] {
		if len(q.Prefix) > longest && strings.HasPrefix(path, q.Prefix) {
			longest = len(q.Prefix)
			queue, rest, ok = q.Name, path[len(q.Prefix):], true
		}
	}
	return queue, rest, ok
}
