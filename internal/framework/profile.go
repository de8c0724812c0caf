package framework

import "redwingvale/internal/policy"

// Profile holds the weights that one service gives to the score plug-ins.
//
//	tail share s = TailWeight / (TailWeight + EvictionWeight), 0.5 without both
type Profile struct {
	// Name is "tail", "balanced" or "evictions".
	Name string
	// TailShare is the weight of tail latency relative to evictions, 0 to 1.
	TailShare float64

	// weights has one weight for each of the kernel's score plug-ins, in order.
	weights []float64
}

// The smallest tail share of the profile "tail" and the largest of the profile
// "evictions".
const (
	tailProfileFrom      = 0.6
	evictionsProfileUpTo = 0.4
)

// scoreWeights holds the weights of each score plug-in at tail share 0 and at
// tail share 1; the weight for a share between them is interpolated linearly.
var scoreWeights = map[string][2]float64{
	"interference": {24, 32},
	"spread":       {1, 0.5},
	"accelerators": {1, 1},
	"fit":          {0.5, 0.5},
	"sizes":        {1, 0.5},
	"headroom":     {6, 4},
}

// newProfile returns the profile of a service for the given score plug-ins. A
// plug-in that scoreWeights does not list has the weight 1.
func newProfile(service policy.Service, scorers []Scorer) Profile {
	share := 0.5
	if sum := service.TailWeight + service.EvictionWeight; sum > 0 {
		share = service.TailWeight / sum
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

// profileName returns the name of the profile for a tail share.
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
