package soak

import (
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// proxy forwards connections on the loopback interface and can delay, block or
// reset them.
type proxy struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	delay  time.Duration
	// blockedIn and blockedOut stop forwarding in one direction. The bytes are
	// kept until the direction is unblocked or the sender resets the connection.
	blockedIn, blockedOut bool
	conns                 map[net.Conn]bool
}

const proxyBuffer = 16 << 10

// blockedPoll is the interval at which a blocked direction is checked.
const blockedPoll = 10 * time.Millisecond

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go p.forward(in)
		}
	}
}

func (p *proxy) forward(in net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	out, err := net.Dial("tcp", target)
	if err != nil {
		reset(in)
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.pipe(out, in, true, done)
	go p.pipe(in, out, false, done)
	<-done
	in.Close()
	out.Close()
	<-done
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
}

func (p *proxy) pipe(to, from net.Conn, inward bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.awaitUnblocked(inward)
			if isReset(from) {
				// Delayed bytes are lost when their sender resets the connection.
				return
			}
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitUnblocked waits for the delay and until the direction is not blocked.
func (p *proxy) awaitUnblocked(inward bool) {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	for {
		p.mu.Lock()
		blocked := inward && p.blockedIn || !inward && p.blockedOut
		p.mu.Unlock()
		if !blocked {
			return
		}
		time.Sleep(blockedPoll)
	}
}

// isReset reports, without reading, whether the peer has reset the connection.
func isReset(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	pending := 0
	err = raw.Control(func(fd uintptr) {
		pending, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
	})
	return err != nil || pending != 0
}

func (p *proxy) setFaults(delay time.Duration, blockedIn, blockedOut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.blockedIn, p.blockedOut = delay, blockedIn, blockedOut
}

// swapTargets exchanges what two proxies forward to, and ends their connections.
func swapTargets(a, b *proxy) {
	a.mu.Lock()
	b.mu.Lock()
	a.target, b.target = b.target, a.target
	b.mu.Unlock()
	a.mu.Unlock()
	a.resetAll()
	b.resetAll()
}

// resetAll ends all open connections with a reset.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// With a linger time of 0, closing sends a reset.
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

func (p *proxy) close() { p.listener.Close() }
