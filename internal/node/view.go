package node

import (
	"maps"
	"strings"

	"redwingvale/internal/jobs"
)

// view is the manifest as the request path reads it.
type view struct {
	version int64
	hosts   map[string][]QueueRoute
	// policies holds the policy of each queue by the queue's name.
	policies map[string]*jobs.Policy
}

// newView returns the view of a manifest. A queue that the manifest has dropped
// keeps its last policy: a request may have been routed to it before.
func newView(m *Manifest, before *view) *view {
	v := &view{version: m.Version, hosts: map[string][]QueueRoute{}, policies: map[string]*jobs.Policy{}}
	if before != nil {
		maps.Copy(v.policies, before.policies)
	}
	for _, q := range m.Queues {
		policy := q.Policy
		v.policies[q.Name] = &policy
		v.hosts[q.Host] = append(v.hosts[q.Host], q)
	}
	return v
}

// route returns the queue with the longest prefix of the path, and the rest.
func (v *view) route(host, path string) (queue, rest string, ok bool) {
	longest := -1
	for _, q := range v.hosts[host] {
		if len(q.Prefix) > longest && strings.HasPrefix(path, q.Prefix) {
			longest = len(q.Prefix)
			queue, rest, ok = q.Name, path[len(q.Prefix):], true
		}
	}
	return queue, rest, ok
}
