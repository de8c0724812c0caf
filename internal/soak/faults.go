package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"redwingvale/platform/standin"
)

const (
	// longestSeries bounds the faults that follow each other without a pause.
	longestSeries = 4
	// graceTime is how long the platform waits after SIGTERM.
	graceTime = 6 * time.Second
	// longest bounds a fault; leases last 6 s at most.
	longest = 8 * time.Second
	// longestHidden bounds how long a starting instance can't read the manifest.
	longestHidden = 5 * time.Second
	// unrecorded is how long a leader works without its journal before it is
	// killed: long enough for some submissions, shorter than its callers' limit.
	unrecorded = time.Second
	// leastAttempts is the lowest bound of attempts in a manifest: above it, a
	// job that ends after fewer failures has no cause.
	leastAttempts = 3
)

// harm injects one fault after the other, some in quick series, until ctx
// ends. Several of these run at once, so faults overlap.
func (r *run) harm(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.IntN(2500))*time.Millisecond)
		length := 1
		if rng.IntN(3) == 0 {
			length += rng.IntN(longestSeries)
		}
		for range length {
			if ctx.Err() != nil {
				return
			}
			r.fault(ctx, rng)
		}
	}
}

// fault injects one fault and ends it again.
func (r *run) fault(ctx context.Context, rng *rand.Rand) {
	r.faults.Add(1)
	in := r.instances[rng.IntN(len(r.instances))]
	worker := rng.IntN(len(r.workers))
	d := time.Duration(rng.Int64N(int64(longest)))
	link := [...]*proxy{in.callers, in.peer, in.store, r.links[worker]}[rng.IntN(4)]
	note := func(format string, args ...any) {
		if r.options.Log != nil {
			fmt.Fprintf(r.options.Log, "time=%s event=fault what=%q for=%s\n", time.Now().Format(time.RFC3339Nano), fmt.Sprintf(format, args...), d)
		}
	}
	switch kind := rng.IntN(16); kind {
	case 0:
		note("kill %s", in.name)
		_ = in.stop(syscall.SIGKILL, graceTime)
		sleep(ctx, d/4)
		r.restart(in, rng)
	case 1:
		note("terminate %s", in.name)
		if err := in.stop(syscall.SIGTERM, graceTime); err != nil {
			r.checker.ReportViolation("%v", err)
		}
		r.restart(in, rng)
	case 2:
		note("pause %s", in.name)
		in.signal(syscall.SIGSTOP)
		sleep(ctx, d)
		in.signal(syscall.SIGCONT)
	case 3:
		note("kill all")
		r.restartAll(rng)
	case 4:
		note("delay a link")
		link.set(time.Duration(rng.IntN(300))*time.Millisecond, false, false)
		sleep(ctx, d)
		link.set(0, false, false)
	case 5:
		note("reset the connections of a link")
		link.resetAll()
	case 6:
		oneWay := rng.IntN(3)
		note("hold a link, direction %d", oneWay)
		link.set(0, oneWay != 1, oneWay != 0)
		sleep(ctx, d)
		link.set(0, false, false)
		link.resetAll()
	case 7:
		note("crash a worker")
		r.workers[worker].Crash(d/2, false)
	case 8:
		note("silence a worker")
		r.workers[worker].SuspendResponses(d)
	case 9, 10:
		f := [...]standin.StoreFault{{Refuse: true}, {Unresponsive: true}, {Delay: 200 * time.Millisecond}, {LoseResponses: true}}[rng.IntN(4)]
		note("store fault %+v for %s", f, in.name)
		r.store.SetFault(in.name, f)
		sleep(ctx, d)
		r.store.SetFault(in.name, standin.StoreFault{})
	case 11:
		f := [...]standin.StoreFault{{Refuse: true}, {Unresponsive: true}, {Delay: 150 * time.Millisecond}}[rng.IntN(3)]
		note("store fault %+v for all", f)
		for _, other := range r.instances {
			r.store.SetFault(other.name, f)
		}
		sleep(ctx, d/2)
		for _, other := range r.instances {
			r.store.SetFault(other.name, standin.StoreFault{})
		}
	case 12:
		note("new manifest, reload of %s", in.name)
		r.putManifest(rng)
		in.signal(syscall.SIGHUP)
	case 13:
		note("new manifest, kill all")
		r.putManifest(rng)
		r.restartAll(rng)
	case 14:
		note("kill all after the next acceptance")
		r.awaitAcceptance(ctx)
		r.restartAll(rng)
	case 15:
		note("kill all while the store refuses appends")
		r.restartUnrecorded(ctx, rng)
	}
}

// restartUnrecorded kills all instances while the store refuses everything: what
// the leader has started meanwhile is not recorded, and some of its callers give
// up.
func (r *run) restartUnrecorded(ctx context.Context, rng *rand.Rand) {
	for _, in := range r.instances {
		r.store.SetFault(in.name, standin.StoreFault{Refuse: true})
	}
	sleep(ctx, unrecorded)
	r.killAll()
	for _, in := range r.instances {
		r.store.SetFault(in.name, standin.StoreFault{})
		r.restart(in, rng)
	}
}

// putManifest confirms a version with another bound of attempts.
func (r *run) putManifest(rng *rand.Rand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version += 1 + rng.IntN(3)
	standin.PutManifest(r.store, r.checker, r.version, leastAttempts+rng.IntN(leastAttempts))
}

// awaitAcceptance returns when a submission has been answered as accepted.
func (r *run) awaitAcceptance(ctx context.Context) {
	select {
	case <-r.accepted:
	default:
	}
	limit, cancel := context.WithTimeout(ctx, callerLimit)
	defer cancel()
	select {
	case <-r.accepted:
	case <-limit.Done():
	}
}

func (r *run) restartAll(rng *rand.Rand) {
	r.killAll()
	for _, in := range r.instances {
		r.restart(in, rng)
	}
}

// hideManifest lets an instance that starts read the manifest late: the store
// refuses, delays or does not answer its reads of the operators' topic.
func (r *run) hideManifest(in *instance, rng *rand.Rand) {
	if rng.IntN(2) == 0 {
		return
	}
	faults := [...]standin.StoreFault{{Refuse: true}, {Unresponsive: true}, {Delay: time.Second}}
	r.store.SetReadFault(in.name, standin.OperatorTopic, faults[rng.IntN(len(faults))])
	time.AfterFunc(time.Duration(rng.Int64N(int64(longestHidden))), func() {
		r.store.SetReadFault(in.name, standin.OperatorTopic, standin.StoreFault{})
	})
}

func (r *run) killAll() {
	for _, in := range r.instances {
		in.signal(syscall.SIGKILL)
	}
	for _, in := range r.instances {
		_ = in.stop(syscall.SIGKILL, graceTime)
	}
}

// restart starts an instance that has ended. Its first reads of the manifest may
// fail.
func (r *run) restart(in *instance, rng *rand.Rand) {
	in.mu.Lock()
	ended := in.ended
	in.mu.Unlock()
	select {
	case <-ended:
	default:
		// Another fault has started it again.
		return
	}
	r.hideManifest(in, rng)
	if err := in.start(); err != nil {
		r.checker.ReportViolation("%v", err)
	}
}
