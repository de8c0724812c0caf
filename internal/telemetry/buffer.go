package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the log buffer.
const (
	// bufferBytes limits the total size of the buffered lines.
	bufferBytes = 256 << 10
	// chunkBytes limits one write to the size that a pipe writes atomically, so
	// that lines of two processes do not interleave.
	chunkBytes = 4096
	// flushInterval is the maximum delay before a buffered line is written.
	flushInterval = 100 * time.Millisecond
)

// Buffer is a log output that never blocks its callers. A goroutine writes the
// buffered lines; lines that do not fit into the buffer are dropped and counted,
// and a line of the log states how many.
type Buffer struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped atomic.Int64
	// reported is the part of dropped that the log states.
	reported    int64
	closeOnce   sync.Once
	flushNeeded chan struct{}
	stop        chan struct{}
	stopped     chan struct{}
}

// NewBuffer returns a Buffer that writes to out.
func NewBuffer(out io.Writer) *Buffer {
	b := &Buffer{out: out, flushNeeded: make(chan struct{}, 1), stop: make(chan struct{}), stopped: make(chan struct{})}
	go b.run()
	return b
}

// Write buffers a line, or drops it if the buffer is full. It never fails and
// does not wait for the output.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	if len(b.pending)+len(line) > bufferBytes {
		b.mu.Unlock()
		b.dropped.Add(1)
		return len(line), nil
	}
	wasEmpty := len(b.pending) == 0
	b.pending = append(b.pending, line...)
	b.mu.Unlock()
	if wasEmpty {
		select {
		case b.flushNeeded <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (b *Buffer) Dropped() int64 { return b.dropped.Load() }

// Close writes the buffered lines and stops the goroutine. Further calls do
// nothing.
func (b *Buffer) Close() {
	b.closeOnce.Do(func() { close(b.stop) })
	<-b.stopped
}

func (b *Buffer) run() {
	defer close(b.stopped)
	for {
		select {
		case <-b.stop:
			b.flush()
			return
		case <-b.flushNeeded:
		}
		select {
		case <-b.stop:
		case <-time.After(flushInterval):
		}
		b.flush()
	}
}

// chunkSize returns how many bytes of lines to write at once: as many complete
// lines as fit into chunkBytes, or chunkBytes of a longer line.
func chunkSize(lines []byte) int {
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
		size := chunkSize(lines)
		// A failure of the log output cannot be logged anywhere else.
		_, _ = b.out.Write(lines[:size])
		lines = lines[size:]
	}
	if dropped := b.dropped.Load(); dropped > b.reported {
		_, _ = fmt.Fprintf(b.out, "time=%s level=warn event=log_lines_dropped lines=%d\n", time.Now().UTC().Format(time.RFC3339Nano), dropped-b.reported)
		b.reported = dropped
	}
}
