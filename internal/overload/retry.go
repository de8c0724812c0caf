package overload

const (
	// Bounds of the delay after which a refused submission is to be repeated.
	minRetryMS = 1000
	maxRetryMS = 30_000
	// returnWindowMS is how long after its slot a caller counts as returning in it.
	returnWindowMS = 10_000
	// earlyMS is how long before its slot a caller may return.
	earlyMS = 100
	// refusedSets and refusedWays are the size of the table of refused submissions.
	refusedSets = 256
	refusedWays = 4
)

// refusals remembers the recently refused submissions. Its size is fixed: a
// submission takes the place of the one with the earliest slot among those with the
// same hash.
type refusals [refusedSets][refusedWays]refusal

type refusal struct {
	key    uint64
	slotMS int64
}

// hash is FNV-1a; 0 stands for a free entry.
func hash(id string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return max(h, 1)
}

func (r *refusals) find(id string) *refusal {
	key := hash(id)
	set := &r[key%refusedSets]
	for i := range set {
		if set[i].key == key {
			return &set[i]
		}
	}
	return nil
}

// inSlot reports whether a refused submission returns in its slot.
func (r *refusals) inSlot(id string, nowMS int64) bool {
	e := r.find(id)
	return e != nil && nowMS >= e.slotMS-earlyMS && nowMS <= e.slotMS+returnWindowMS
}

func (r *refusals) remove(id string) bool {
	e := r.find(id)
	if e != nil {
		*e = refusal{}
	}
	return e != nil
}

func (r *refusals) add(id string, slotMS int64) {
	key := hash(id)
	set := &r[key%refusedSets]
	oldest := 0
	for i := range set {
		if set[i].slotMS < set[oldest].slotMS {
			oldest = i
		}
	}
	set[oldest] = refusal{key, slotMS}
}

// Refused counts a submission that was refused by a verdict and returns when it is
// to be repeated. Refused submissions get consecutive slots in the expected flow of
// capacity, in the order of their refusal, as far as maxRetryMS allows. One that is
// repeated before its slot keeps it, and one that is refused again in its slot
// does not queue up behind the others.
func (m *Model) Refused(s *Submission, v *Verdict, nowMS int64) (retryAfterMS int64) {
	q := m.queues[s.Queue]
	if q == nil {
		return minRetryMS
	}
	g := &q.gates[v.gate]
	if !g.refusing {
		g.refusing, g.sinceMS = true, nowMS
	}
	g.latestMS = nowMS
	expectedMS := nowMS + int64(min(v.waitMS, maxRetryMS))
	e := m.refused.find(s.ID)
	switch {
	case e != nil && nowMS < e.slotMS-earlyMS:
	case e != nil:
		e.slotMS = nowMS + retryBounds(expectedMS-nowMS)
	default:
		if !v.uncounted {
			q.countOffer(v.size)
			q.works.add(s.Work)
			if s.Holds > 0 {
				q.holds.add(s.Holds)
			}
		}
		slotMS := max(expectedMS, g.nextSlotMS, nowMS+minRetryMS)
		g.nextSlotMS = min(slotMS+max(int64(min(v.slotMS, maxRetryMS)), 1), nowMS+maxRetryMS)
		slotMS = nowMS + retryBounds(slotMS-nowMS)
		m.refused.add(s.ID, slotMS)
		return slotMS - nowMS
	}
	return retryBounds(e.slotMS - nowMS)
}

func retryBounds(ms int64) int64 { return min(max(ms, minRetryMS), maxRetryMS) }
