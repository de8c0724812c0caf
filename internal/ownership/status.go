package ownership

import (
	"time"

	"redwingvale/internal/spec"
)

// PeerStatus is the state of a member, including this instance, according to this
// instance.
type PeerStatus struct {
	Instance spec.InstanceID
	Voter    bool
	// SinceLastMessage is the time since the last message arrived; 0 for this
	// instance.
	SinceLastMessage time.Duration
	Suspected        bool
	Leaving          bool
	// ConfigOffset is the offset of the config stream up to which the
	// configuration is in force on the member, or -1.
	ConfigOffset int64
}

// Peers returns this instance, then the other members in the order of the members
// stream.
func (c *Core) Peers(now time.Duration) []PeerStatus {
	voters := make(map[spec.InstanceID]bool)
	for _, id := range c.members.current().voters {
		voters[id] = true
	}
	out := []PeerStatus{{Instance: c.settings.Instance, Voter: voters[c.settings.Instance], Leaving: c.leaving, ConfigOffset: c.configOffset}}
	for _, p := range c.orderedPeers {
		if p.id == c.settings.Instance {
			continue
		}
		out = append(out, PeerStatus{
			Instance:         p.id,
			Voter:            voters[p.id],
			SinceLastMessage: now - p.lastReceivedAt,
			Suspected:        c.suspectedByMajority(now, p.id),
			Leaving:          p.leaving,
			ConfigOffset:     p.configOffset,
		})
	}
	return out
}
