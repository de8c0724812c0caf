package framework

import "redwingvale/internal/policy"

// Profile holds how one service weighs the score plug-ins against each other.
//
//	tail share s = TailWeight / (TailWeight + EvictionWeight), 0.5 without both
type Profile struct {
	// Name is "tail", "balanced" or "evictions".
	Name string
	// TailShare is the weight of tail latency against evictions, 0 to 1.
	TailShare float64

	// weights is aligned with the kernel's score plug-ins.
	weights []float64
}

// The tail shares from which on a service has the profile "tail", and up to
// which it has the profile "evictions".
const (
	tailProfileFrom      = 0.6
	evictionsProfileUpTo = 0.4
)

// scoreWeights holds the weight of each score plug-in by name in the order
// tail share 0 and tail share 1; the weight between them is linear.
var scoreWeights = map[string][2]float64{
	"interference": {24, 32},
	"spread":       {1, 0.5},
	"accelerators": {1, 1},
	"fit":          {0.5, 0.5},
	"sizes":        {1, 0.5},
	"headroom":     {6, 4},
}

// newProfile returns the profile of a service for the given score plug-ins. A
// plug-in without a listed weight has the weight 1.
func newProfile(s policy.Service, scorers []Scorer) Profile {
	share := 0.5
	if sum := s.TailWeight + s.EvictionWeight; sum > 0 {
		share = s.TailWeight / sum
	}
	p := Profile{Name: profileName(share), TailShare: share}
	for _, plugin := range scorers {
		ends, listed := scoreWeights[plugin.Name()]
		if !listed {
			ends = [2]float64{1, 1}
		}
		p.weights = append(p.weights, ends[0]+(ends[1]-ends[0])*share)
	}
	return p
}

// profileName returns the name of the profile with a tail share.
func profileName(share float64) string {
	switch {
	case share >= tailProfileFrom:
		return "tail"
	case share <= evictionsProfileUpTo:
		return "evictions"
	default:
		return "balanced"
	}
}
