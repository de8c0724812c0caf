package soak

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"redwingvale/platform/standin"
)

const (
	// maxEvacuation bounds how long a zone is evacuated during faults, and
	// maxWholeEvacuation the same if that leaves no zone.
	maxEvacuation      = 9 * time.Second
	maxWholeEvacuation = 3 * time.Second
)

// evacuationValues are values of requests. Those that are not objects count too.
var evacuationValues = []json.RawMessage{[]byte(`{}`), []byte(`{}`), []byte(`{"by":"operator"}`), []byte(`[]`), []byte(`"junk"`), []byte(`null`)}

// oddEvacuations are keys that name no data centre.
var oddEvacuations = []string{"evacuate/", "evacuate/z1/z2", "evacuate/z1\n", "evacuate/z1\xff"}

// evacuateZones evacuates one or two zones at a time until ctx ends, beside the other
// faults. The zones of the last evacuation stay under it until the round has been
// checked, if there are others.
func (r *run) evacuateZones(ctx context.Context, rng *rand.Rand) {
	zones := max(r.options.Zones, 1)
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.IntN(3500))*time.Millisecond)
		if ctx.Err() != nil {
			return
		}
		if rng.IntN(4) == 0 {
			key := oddEvacuations[rng.IntN(len(oddEvacuations))]
			r.store.Put(standin.OperatorTopic, key, map[string]any{})
			sleep(ctx, 500*time.Millisecond)
			r.store.Put(standin.OperatorTopic, key, nil)
			continue
		}
		chosen, d := rng.Perm(zones)[:1+rng.IntN(min(2, max(zones-1, 1)))], time.Duration(rng.Int64N(int64(maxEvacuation)))
		if zones == 1 {
			d = min(d, maxWholeEvacuation)
		}
		r.faults.Add(1)
		for _, zone := range chosen {
			r.logFault(d, "evacuate %s", zoneName(zone))
			standin.Evacuate(r.store, r.checker, zoneName(zone), evacuationValues[rng.IntN(len(evacuationValues))])
			r.mu.Lock()
			r.evacuated[zoneName(zone)] = true
			r.mu.Unlock()
		}
		if rng.IntN(3) == 0 {
			r.store.DropHistory(standin.OperatorTopic)
		}
		sleep(ctx, d)
		if ctx.Err() != nil && zones > 1 {
			return
		}
		r.withdrawAll()
		if rng.IntN(3) == 0 {
			r.store.DropHistory(standin.OperatorTopic)
		}
	}
}

// withdrawAll withdraws the requests to evacuate zones.
func (r *run) withdrawAll() {
	r.mu.Lock()
	zones := slices.Sorted(maps.Keys(r.evacuated))
	clear(r.evacuated)
	r.mu.Unlock()
	for _, zone := range zones {
		r.logFault(0, "withdraw the evacuation of %s", zone)
		standin.Withdraw(r.store, r.checker, zone)
	}
}
