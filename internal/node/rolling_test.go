package node

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// rollingRestart restarts instances one after the other, each spacing after the one
// before, as on a signal: an instance drains, ends and is started again. It returns how
// often the leader changed.
func rollingRestart(t *testing.T, capacities []float64, order []int, spacing time.Duration) int {
	const boot = 500 * time.Millisecond
	log, manifest, workers := newMemoryLog(), &fixedManifest{version: 1}, newInstantWorkers()
	start := func(i int) *instance {
		config := DefaultConfig()
		config.CPUShare = capacities[i]
		return startInstanceWith(t, fmt.Sprintf("n%02d", i), log, manifest, workers, config)
	}
	instances := make([]*instance, len(capacities))
	for i := range instances {
		instances[i] = start(i)
		time.Sleep(10 * time.Millisecond)
	}
	ready := func() bool {
		for _, in := range instances {
			if !in.Ready() {
				return false
			}
		}
		return leaderOf(instances...) != nil
	}
	waitFor(t, "all are ready", ready)
	epoch := func() uint64 {
		log.mu.Lock()
		defer log.mu.Unlock()
		return log.epoch
	}
	first := epoch()
	var restarts sync.WaitGroup
	for _, i := range order {
		restarts.Add(1)
		go func() {
			defer restarts.Done()
			instances[i].stopping.Store(true)
			time.Sleep(drainDelay)
			instances[i].stop()
			<-instances[i].done
			time.Sleep(boot)
			instances[i] = start(i)
		}()
		time.Sleep(spacing)
	}
	restarts.Wait()
	waitFor(t, "all are ready again", ready)
	return int(epoch() - first)
}

// Guards against leadership that goes to members which restart next: each change of
// leader interrupts the planning for all workers.
func TestRollingRestartChangesLeaderTwice(t *testing.T) {
	if testing.Short() {
		t.Skip("a rolling restart in real time; skipped with -short")
	}
	const instances = 12
	equal, uneven := make([]float64, instances), make([]float64, instances)
	var forward, backward []int
	for i := range instances {
		equal[i], uneven[i] = 0.5, 0.11+0.69*float64(i%4)/3
		forward, backward = append(forward, i), append([]int{i}, backward...)
	}
	for _, test := range []struct {
		name       string
		capacities []float64
		order      []int
	}{
		{"equal, in the order of their start", equal, forward},
		{"equal, in the opposite order", equal, backward},
		{"uneven, in the order of their start", uneven, forward},
		{"uneven, in the opposite order", uneven, backward},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			changes := rollingRestart(t, test.capacities, test.order, 2*time.Second)
			t.Logf("%d changes of leader", changes)
			qt.New(t).Assert(changes <= 2, qt.IsTrue, qt.Commentf("%d changes", changes))
		})
	}
}
