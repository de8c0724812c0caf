package dedupe

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"redwingvale/internal/spec"
)

// homeOf returns the member with the largest hash for the key (rendezvous
// hashing), or "" when there is none.
func homeOf(key Key, members []Member, excluded ...spec.InstanceID) spec.InstanceID {
	var best spec.InstanceID
	var bestWeight uint64
	name := key.String()
	for _, m := range members {
		if slices.Contains(excluded, m.Instance) {
			continue
		}
		weight := xxhash.Sum64String(string(m.Instance) + "\x00" + name)
		if best == "" || weight > bestWeight || (weight == bestWeight && m.Instance < best) {
			best = m.Instance
			bestWeight = weight
		}
	}
	return best
}

func instanceIDs(members []Member) []spec.InstanceID {
	out := make([]spec.InstanceID, 0, len(members))
	for _, m := range members {
		out = append(out, m.Instance)
	}
	return out
}
