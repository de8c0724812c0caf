package telemetry

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the log buffer.
const (
	// bufferBytes bounds the lines that wait for the output.
	bufferBytes = 256 << 10
	// chunkBytes is what a pipe takes whole, so that lines of two processes do
	// not mix.
	chunkBytes = 4096
	// flushInterval is how long a line waits at most.
	flushInterval = 100 * time.Millisecond
)

// Buffer is a log output that never blocks its callers: lines wait in memory
// for a writer goroutine, and lines that find no room are dropped and counted.
type Buffer struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped atomic.Int64
	wake    chan struct{}
	done    chan struct{}
	closed  chan struct{}
}

// NewBuffer returns a buffer in front of out.
func NewBuffer(out io.Writer) *Buffer {
	b := &Buffer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{}), closed: make(chan struct{})}
	go b.run()
	return b
}

// Write keeps a line for the output. It never fails and never waits.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	if len(b.pending)+len(line) > bufferBytes {
		b.mu.Unlock()
		b.dropped.Add(1)
		return len(line), nil
	}
	first := len(b.pending) == 0
	b.pending = append(b.pending, line...)
	b.mu.Unlock()
	if first {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Dropped returns the number of lines that found no room.
func (b *Buffer) Dropped() int64 { return b.dropped.Load() }

// Close writes what is left.
func (b *Buffer) Close() {
	close(b.done)
	<-b.closed
}

func (b *Buffer) run() {
	defer close(b.closed)
	for {
		select {
		case <-b.done:
			b.flush()
			return
		case <-b.wake:
		}
		select {
		case <-b.done:
		case <-time.After(flushInterval):
		}
		b.flush()
	}
}

// chunk returns the size of the whole lines that one write may carry.
func chunk(lines []byte) int {
	if len(lines) <= chunkBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:chunkBytes], '\n'); end >= 0 {
		return end + 1
	}
	return chunkBytes
}

func (b *Buffer) flush() {
	b.mu.Lock()
	lines := b.pending
	b.pending = b.spare[:0]
	b.spare = lines
	b.mu.Unlock()
	for len(lines) > 0 {
		size := chunk(lines)
		// A log output that fails leaves nowhere to report it.
		_, _ = b.out.Write(lines[:size])
		lines = lines[size:]
	}
}
