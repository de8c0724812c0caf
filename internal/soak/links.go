package soak

import (
	"regexp"
	"sync"
	"time"
)

// links hands each instance addresses of its own for the workers and the other
// instances, so that a fault can concern one pair. The store replaces the
// addresses in what an instance reads and writes. A delegate uses the addresses
// of its leader.
type links struct {
	mu sync.Mutex
	// known holds the addresses of workers and instances.
	known map[string]bool
	pairs map[pair]*proxy
	// targets holds the address behind each address that was handed out.
	targets map[string]string
}

// pair is the use of an address by an instance.
type pair struct{ instance, address string }

// linkFault is a fault of a link. Nothing is reset: what is blocked arrives late
// unless its sender gives up.
type linkFault struct {
	delay   time.Duration
	in, out bool
}

func (f linkFault) String() string {
	if f.delay > 0 {
		return "delayed by " + f.delay.String()
	}
	return [...]string{"", "calls blocked", "responses blocked", "both directions blocked"}[btoi(f.in)+2*btoi(f.out)]
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

var addressPattern = regexp.MustCompile(`"127\.0\.\d\.\d+:\d+"`)

func newLinks() *links {
	return &links{known: map[string]bool{}, pairs: map[pair]*proxy{}, targets: map[string]string{}}
}

// add makes an address known.
func (l *links) add(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known[address] = true
}

// get returns the link of an instance to an address, or nil if it cannot be made.
func (l *links) get(instance, address string) *proxy {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pairs[pair{instance, address}]
	if p == nil {
		var err error
		if p, err = newProxy(address); err != nil {
			return nil
		}
		l.pairs[pair{instance, address}] = p
		l.targets[p.address()] = address
	}
	return p
}

// toInstance replaces the addresses in a value that an instance reads, except its
// own.
func (l *links) toInstance(instance, own string) func([]byte) []byte {
	return func(value []byte) []byte {
		return addressPattern.ReplaceAllFunc(value, func(quoted []byte) []byte {
			address := string(quoted[1 : len(quoted)-1])
			l.mu.Lock()
			known := l.known[address]
			l.mu.Unlock()
			if !known || address == own {
				return quoted
			}
			p := l.get(instance, address)
			if p == nil {
				return quoted
			}
			return []byte(`"` + p.address() + `"`)
		})
	}
}

// fromInstance restores the addresses in a value that an instance writes.
func (l *links) fromInstance(value []byte) []byte {
	return addressPattern.ReplaceAllFunc(value, func(quoted []byte) []byte {
		l.mu.Lock()
		defer l.mu.Unlock()
		if target := l.targets[string(quoted[1:len(quoted)-1])]; target != "" {
			return []byte(`"` + target + `"`)
		}
		return quoted
	})
}

// set sets the fault of links and, on request, resets their connections.
func (l *links) set(pairs []pair, f linkFault, reset bool) {
	for _, key := range pairs {
		p := l.get(key.instance, key.address)
		if p == nil {
			continue
		}
		p.setFaults(f.delay, f.in, f.out)
		if reset {
			p.resetAll()
		}
	}
}

// clear ends the faults of all links.
func (l *links) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.pairs {
		p.setFaults(0, false, false)
	}
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.pairs {
		p.close()
	}
}
