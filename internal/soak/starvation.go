package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	// starvationPoll is the interval at which the processes' waiting is read.
	starvationPoll = 500 * time.Millisecond
	// starvationLimit is the wait of a thread for a processor, within one interval,
	// from which on its process counts as slowed (the platform's thawMs).
	starvationLimit = 300 * time.Millisecond
)

// watchStarvation treats it as a fault when an instance waits for a processor of
// this machine: bounds by time hold only for machines that are not slowed.
func (r *run) watchStarvation(ctx context.Context) {
	last := map[string]time.Duration{}
	for ; ctx.Err() == nil; sleep(ctx, starvationPoll) {
		for _, in := range r.instances {
			waits, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", in.pid()))
			for _, path := range waits {
				wait, ok := waitOf(path)
				if !ok {
					continue
				}
				if before, known := last[path]; known && wait-before > starvationLimit {
					r.starved.Add(int64(wait - before))
					r.checker.Disturbed(contactBound)
				}
				last[path] = wait
			}
		}
	}
}

// waitOf returns the time that a thread has waited for a processor: the second
// field of its scheduling statistics, in nanoseconds.
func waitOf(path string) (time.Duration, bool) {
	content, err := os.ReadFile(path)
	fields := strings.Fields(string(content))
	if err != nil || len(fields) < 2 {
		return 0, false
	}
	wait, err := strconv.ParseInt(fields[1], 10, 64)
	return time.Duration(wait), err == nil
}
