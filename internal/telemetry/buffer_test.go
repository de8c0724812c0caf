package telemetry

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.got.Write(p)
}

// TestBufferNeverBlocks guards against a blocked log output that delays
// scheduling decisions: writes return, and surplus lines are dropped and
// counted.
func TestBufferNeverBlocks(t *testing.T) {
	c := qt.New(t)
	out := &blockedOutput{release: make(chan struct{})}
	b := NewBuffer(out)
	line := bytes.Repeat([]byte("x"), 1<<10)
	allWritten := make(chan struct{})
	go func() {
		for range 2000 {
			_, _ = b.Write(line)
		}
		close(allWritten)
	}()
	select {
	case <-allWritten:
	case <-time.After(10 * time.Second):
		c.Fatal("Write blocked on the output")
	}
	c.Assert(b.Dropped() > 0, qt.IsTrue)
	close(out.release)
	b.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	c.Assert(int64(out.got.Len()/len(line))+b.Dropped(), qt.Equals, int64(2000))
	// The log states the loss, and a second Close is harmless.
	c.Assert(out.got.String(), qt.Contains, fmt.Sprintf("event=log_lines_dropped lines=%d\n", b.Dropped()))
	b.Close()
}
