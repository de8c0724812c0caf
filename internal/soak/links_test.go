package soak

import (
	"encoding/json"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a link fault that concerns another pair, or none: an instance must
// reach a worker only through its own link, and write the worker's own address.
func TestLinksConcernOnePair(t *testing.T) {
	c := qt.New(t)
	worker, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer worker.Close()
	go func() {
		for {
			conn, err := worker.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				b := make([]byte, 1)
				if _, err := conn.Read(b); err == nil {
					_, _ = conn.Write(b)
				}
			}()
		}
	}()
	address := worker.Addr().String()
	l := newLinks()
	defer l.close()
	l.add(address)

	read := func(instance string) string {
		var entry struct{ Address string }
		c.Assert(json.Unmarshal(l.toInstance(instance, "")([]byte(`{"address":"`+address+`","other":"127.0.0.1:9"}`)), &entry), qt.IsNil)
		return entry.Address
	}
	first, second := read("n0"), read("n1")
	c.Assert(first != address && second != address && first != second, qt.IsTrue)
	c.Assert(read("n0"), qt.Equals, first)
	c.Assert(string(l.fromInstance([]byte(`{"a":"`+first+`"}`))), qt.Equals, `{"a":"`+address+`"}`)
	c.Assert(string(l.toInstance("n0", address)([]byte(`"`+address+`"`))), qt.Equals, `"`+address+`"`)
	c.Assert(string(l.toInstance("n0", "")([]byte(`"127.0.0.1:9"`))), qt.Equals, `"127.0.0.1:9"`)

	answers := func(link string) bool {
		conn, err := net.Dial("tcp", link)
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		_, err = conn.Write([]byte("x"))
		c.Assert(err, qt.IsNil)
		c.Assert(conn.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
		_, err = conn.Read(make([]byte, 1))
		return err == nil
	}
	for _, f := range []linkFault{{in: true}, {out: true}, {in: true, out: true}} {
		l.set([]pair{{"n0", address}}, f, false)
		c.Assert(answers(first), qt.IsFalse, qt.Commentf("%s", f))
		c.Assert(answers(second), qt.IsTrue, qt.Commentf("%s", f))
	}
	l.clear()
	c.Assert(answers(first), qt.IsTrue)
}
