package entry

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/spec"
)

// Guards against departed entries that are kept and queried indefinitely.
func TestDepartedEntriesExpire(t *testing.T) {
	c := qt.New(t)
	now := time.Duration(0)
	p := newPeerSet(time.Minute, func() time.Duration { return now })
	defer p.close()
	for i := range 100 {
		id := spec.InstanceID(fmt.Sprintf("e%d", i))
		p.set(map[spec.InstanceID]string{id: "127.0.0.1:1"})
		now += 10 * time.Second
	}
	known := func(id spec.InstanceID) bool { return p.client(id) != nil }
	c.Assert(known("e99"), qt.IsTrue)
	// e98 left 10 s ago, e94 50 s ago and e92 70 s ago.
	c.Assert(known("e98"), qt.IsTrue)
	c.Assert(known("e94"), qt.IsTrue)
	c.Assert(known("e92"), qt.IsFalse)
	c.Assert(len(p.departed) <= 7, qt.IsTrue, qt.Commentf("%d are kept", len(p.departed)))
	now += time.Hour
	c.Assert(known("e98"), qt.IsFalse)
	c.Assert(known("e99"), qt.IsTrue)
}
