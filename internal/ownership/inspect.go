package ownership

import (
	"time"

	"redwingvale/internal/spec"
)

// PeerStatus is another member, or this one, as this instance sees it.
type PeerStatus struct {
	Instance spec.InstanceID
	Voter    bool
	// Heard is the time since the last message arrived; 0 for this instance.
	Heard     time.Duration
	Suspected bool
	Leaving   bool
	// ConfigOffset is how far the member has the configuration in force, or -1.
	ConfigOffset int64
}

// Peers returns the members in the order of the members stream.
func (c *Core) Peers(now time.Duration) []PeerStatus {
	voters := make(map[spec.InstanceID]bool)
	for _, id := range c.members.current().voters {
		voters[id] = true
	}
	out := []PeerStatus{{Instance: c.settings.Instance, Voter: voters[c.settings.Instance], Leaving: c.leaving, ConfigOffset: c.configOffset}}
	for _, p := range c.order {
		if p.id == c.settings.Instance {
			continue
		}
		out = append(out, PeerStatus{
			Instance:     p.id,
			Voter:        voters[p.id],
			Heard:        now - p.heardLast,
			Suspected:    c.suspected(now, p.id),
			Leaving:      p.leaving,
			ConfigOffset: p.configOffset,
		})
	}
	return out
}
