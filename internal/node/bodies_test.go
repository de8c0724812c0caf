package node

import (
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
	"redwingvale/internal/telemetry"
)

// Guards against callers whose bodies together take an instance's memory, and against
// memory that is never released.
func TestBodyMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig()
	config.MemoryMB = 184
	tele := telemetry.New("rwnode", "n", io.Discard)
	defer tele.Close()
	n := New(config, Deps{}, tele)
	for range 3 {
		var held []func()
		for {
			release, got := n.ReserveBody(256 << 10)
			if got != code.OK {
				c.Assert(got, qt.Equals, code.Overloaded)
				break
			}
			held = append(held, release)
		}
		c.Assert(len(held), qt.Equals, 184/8/2)
		for _, release := range held {
			release()
		}
	}
	// No release can make room for more than there is.
	_, got := n.ReserveBody(184 << 20 / 8)
	c.Assert(got, qt.Equals, code.BodyTooLarge)
	config.MemoryMB = 0
	_, got = New(config, Deps{}, tele).ReserveBody(1 << 40)
	c.Assert(got, qt.Equals, code.OK)
}
