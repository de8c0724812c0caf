package soak

import (
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// proxy forwards connections on the loopback interface and harms them on
// demand.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	delay time.Duration
	// held directions pass nothing on; the bytes stay where they are.
	heldIn, heldOut bool
	conns           map[net.Conn]bool
}

const proxyBuffer = 16 << 10

// heldPoll is how often a held direction is looked at again.
const heldPoll = 10 * time.Millisecond

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
	out, err := net.Dial("tcp", p.target)
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
			p.wait(inward)
			if isReset(from) {
				// Bytes that are held up are lost when their sender resets the
				// connection.
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

// wait returns when the direction lets bytes pass.
func (p *proxy) wait(inward bool) {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	for {
		p.mu.Lock()
		held := inward && p.heldIn || !inward && p.heldOut
		p.mu.Unlock()
		if !held {
			return
		}
		time.Sleep(heldPoll)
	}
}

// isReset reports whether the other side has reset the connection, without
// reading from it.
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

func (p *proxy) set(delay time.Duration, heldIn, heldOut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.heldIn, p.heldOut = delay, heldIn, heldOut
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
		// No lingering turns the close into a reset.
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

func (p *proxy) close() { p.listener.Close() }
