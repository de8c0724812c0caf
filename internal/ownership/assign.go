package ownership

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"redwingvale/internal/spec"
)

// assignee is a member to which groups can be assigned.
type assignee struct {
	id spec.InstanceID
	dc spec.DataCentre
}

// assign returns the member that should own each group. It uses rendezvous
// hashing over the members in the group's data centre, then over the others, with
// at most ceil(groups/members)+1 groups per member. groups must be sorted by id;
// the order of members does not matter.
func assign(groups []Group, members []assignee) map[spec.GroupID]spec.InstanceID {
	out := make(map[spec.GroupID]spec.InstanceID, len(groups))
	if len(members) == 0 {
		return out
	}
	limit := (len(groups)+len(members)-1)/len(members) + 1
	count := make(map[spec.InstanceID]int, len(members))
	for _, g := range groups {
		for _, candidate := range preference(g, members) {
			if count[candidate] < limit {
				out[g.ID] = candidate
				count[candidate]++
				break
			}
		}
	}
	return out
}

// preference returns the members in descending order of preference as owner of
// the group.
func preference(g Group, members []assignee) []spec.InstanceID {
	type scored struct {
		assignee
		score uint64
	}
	list := make([]scored, len(members))
	for i, m := range members {
		list[i] = scored{assignee: m, score: xxhash.Sum64String(string(g.ID) + "\x00" + string(m.id))}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if (a.dc == g.DataCentre) != (b.dc == g.DataCentre) {
			return a.dc == g.DataCentre
		}
		if a.score != b.score {
			return a.score > b.score
		}
		return a.id < b.id
	})
	out := make([]spec.InstanceID, len(list))
	for i := range list {
		out[i] = list[i].id
	}
	return out
}
