package settings_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
	"redwingvale/internal/settings"
)

type logSettings struct {
	DelayMS int64 `toml:"delay_ms"`
}

type example struct {
	Addr string      `toml:"addr"`
	Log  logSettings `toml:"log"`
}

func (e *example) Check(p *settings.Problems) {
	p.Address("addr", e.Addr)
	p.Range("log.delay_ms", e.Log.DelayMS, 0, 100)
}

// Guards against reporting only the first invalid value, or a value without its
// line in the file.
func TestEveryProblemIsReportedWithItsPlace(t *testing.T) {
	c := qt.New(t)
	var e example
	err := settings.Parse("entry.toml", []byte("addr = \"here\"\n\n[log]\ndelay_ms = 200\n"), &e)
	c.Assert(code.Of(err), qt.Equals, code.BadSettings)
	c.Check(err, qt.ErrorMatches, `(?s).*entry.toml:1: addr = here: want an IP address.*`)
	c.Check(err, qt.ErrorMatches, `(?s).*entry.toml:4: log.delay_ms = 200: want a number from 0 to 100.*`)
}

// Guards against silently ignoring a misspelt key.
func TestUnknownKeyIsRefused(t *testing.T) {
	c := qt.New(t)
	var e example
	err := settings.Parse("entry.toml", []byte("adr = \"127.0.0.1:1\"\n"), &e)
	c.Assert(err, qt.ErrorMatches, `(?s).*entry.toml:1: adr = \(unknown key\): want one of addr, log.delay_ms.*`)
}

// Guards against reporting a value of the wrong type without its key.
func TestWrongTypeNamesTheKey(t *testing.T) {
	c := qt.New(t)
	var e example
	err := settings.Parse("entry.toml", []byte("addr = 5\n"), &e)
	c.Assert(code.Of(err), qt.Equals, code.BadSettings)
	c.Assert(err, qt.ErrorMatches, `(?s).*entry.toml:1: addr: .*`)
}
