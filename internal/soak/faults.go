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
	// maxSeriesLength bounds the faults that follow each other without a pause.
	maxSeriesLength = 4
	// gracePeriod is how long the platform waits after SIGTERM.
	gracePeriod = 6 * time.Second
	// maxFaultLength bounds the duration of a fault. It is longer than a lease,
	// which lasts 6 s at most.
	maxFaultLength = 8 * time.Second
	// maxManifestDelay bounds how long a starting instance cannot read the
	// manifest.
	maxManifestDelay = 5 * time.Second
	// unrecordedTime is how long a leader runs without its journal before it is
	// killed: long enough for some submissions, shorter than its callers' limit.
	unrecordedTime = time.Second
	// minAttemptLimit is the lowest attempt limit in a manifest. A job that fails
	// after fewer failed attempts has failed without cause.
	minAttemptLimit = 3
	// maxAttemptLimit is the highest one.
	maxAttemptLimit = 2*minAttemptLimit - 1
)

// injectFaults injects one fault after the other, some in quick series, until
// ctx ends. Several of these run concurrently, so faults overlap.
func (r *run) injectFaults(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.IntN(2500))*time.Millisecond)
		length := 1
		if rng.IntN(3) == 0 {
			length += rng.IntN(maxSeriesLength)
		}
		for range length {
			if ctx.Err() != nil {
				return
			}
			r.injectFault(ctx, rng)
		}
	}
}

// injectFault injects one random fault and ends it.
func (r *run) injectFault(ctx context.Context, rng *rand.Rand) {
	if r.options.Wide && rng.IntN(2) == 0 {
		r.injectWideFault(ctx, rng)
		return
	}
	r.faults.Add(1)
	in := r.instances[rng.IntN(len(r.instances))]
	worker := rng.IntN(len(r.workers))
	d := time.Duration(rng.Int64N(int64(maxFaultLength)))
	r.mu.Lock()
	link := [...]*proxy{in.callers, in.peer, in.store, r.doors[worker]}[rng.IntN(4)]
	r.mu.Unlock()
	logFault := func(format string, args ...any) { r.logFault(d, format, args...) }
	switch kind := rng.IntN(16); kind {
	case 0:
		logFault("kill %s", in.name)
		_ = in.stop(syscall.SIGKILL, gracePeriod)
		sleep(ctx, d/4)
		r.restart(in, rng)
	case 1:
		logFault("terminate %s", in.name)
		if err := in.stop(syscall.SIGTERM, gracePeriod); err != nil {
			r.checker.ReportViolation("%v", err)
		}
		r.restart(in, rng)
	case 2:
		logFault("pause %s", in.name)
		in.signal(syscall.SIGSTOP)
		sleep(ctx, d)
		in.signal(syscall.SIGCONT)
	case 3:
		logFault("kill all")
		r.restartAll(rng)
	case 4:
		logFault("delay a link")
		link.setFaults(time.Duration(rng.IntN(300))*time.Millisecond, false, false)
		sleep(ctx, d)
		link.setFaults(0, false, false)
	case 5:
		logFault("reset the connections of a link")
		link.resetAll()
	case 6:
		oneWay := rng.IntN(3)
		logFault("block a link, direction %d", oneWay)
		link.setFaults(0, oneWay != 1, oneWay != 0)
		sleep(ctx, d)
		link.setFaults(0, false, false)
		link.resetAll()
	case 7:
		logFault("crash a worker")
		r.workers[worker].Crash(d/2, false)
	case 8:
		logFault("suspend a worker's responses")
		r.workers[worker].SuspendResponses(d)
	case 9, 10:
		f := [...]standin.StoreFault{{Refuse: true}, {Unresponsive: true}, {Delay: 200 * time.Millisecond}, {LoseResponses: true}}[rng.IntN(4)]
		logFault("store fault %s for %s", f, in.name)
		r.store.SetFault(in.name, f)
		sleep(ctx, d)
		r.store.SetFault(in.name, standin.StoreFault{})
	case 11:
		f := [...]standin.StoreFault{{Refuse: true}, {Unresponsive: true}, {Delay: 150 * time.Millisecond}}[rng.IntN(3)]
		logFault("store fault %s for all", f)
		for _, other := range r.instances {
			r.store.SetFault(other.name, f)
		}
		sleep(ctx, d/2)
		for _, other := range r.instances {
			r.store.SetFault(other.name, standin.StoreFault{})
		}
	case 12:
		logFault("new manifest, reload of %s", in.name)
		r.putManifest(rng)
		in.signal(syscall.SIGHUP)
	case 13:
		logFault("new manifest, kill all")
		r.putManifest(rng)
		r.restartAll(rng)
	case 14:
		logFault("kill all after the next acceptance")
		r.awaitAcceptance(ctx)
		r.restartAll(rng)
	case 15:
		logFault("kill all while the store refuses appends")
		r.restartDuringStoreOutage(ctx, rng)
	}
}

// logFault logs a fault that lasts d.
func (r *run) logFault(d time.Duration, format string, args ...any) {
	if r.options.Log != nil {
		fmt.Fprintf(r.options.Log, "time=%s event=fault what=%q for=%s\n", time.Now().Format(time.RFC3339Nano), fmt.Sprintf(format, args...), d)
	}
}

// restartDuringStoreOutage kills all instances while the store refuses all
// calls, and restarts them. What the leader started during the outage is not
// recorded, and some of its callers give up.
func (r *run) restartDuringStoreOutage(ctx context.Context, rng *rand.Rand) {
	for _, in := range r.instances {
		r.store.SetFault(in.name, standin.StoreFault{Refuse: true})
	}
	sleep(ctx, unrecordedTime)
	r.killAll()
	for _, in := range r.instances {
		r.store.SetFault(in.name, standin.StoreFault{})
		r.restart(in, rng)
	}
}

// putManifest publishes a new manifest version with another attempt limit.
func (r *run) putManifest(rng *rand.Rand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version += 1 + rng.IntN(3)
	standin.PutManifest(r.store, r.checker, r.version, minAttemptLimit+rng.IntN(minAttemptLimit))
}

// awaitAcceptance waits until a submission is accepted, for at most callerLimit.
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

// delayManifest makes a starting instance read the manifest late, in half of the
// cases: the store refuses, delays or does not answer its reads of the
// operators' topic.
func (r *run) delayManifest(in *instance, rng *rand.Rand) {
	if rng.IntN(2) == 0 {
		return
	}
	faults := [...]standin.StoreFault{{Refuse: true}, {Unresponsive: true}, {Delay: time.Second}}
	r.store.SetReadFault(in.name, standin.OperatorTopic, faults[rng.IntN(len(faults))])
	time.AfterFunc(time.Duration(rng.Int64N(int64(maxManifestDelay))), func() {
		r.store.SetReadFault(in.name, standin.OperatorTopic, standin.StoreFault{})
	})
}

func (r *run) killAll() {
	for _, in := range r.instances {
		in.signal(syscall.SIGKILL)
	}
	for _, in := range r.instances {
		_ = in.stop(syscall.SIGKILL, gracePeriod)
	}
}

// restart starts an instance that has ended. Its first reads of the manifest may
// fail (delayManifest).
func (r *run) restart(in *instance, rng *rand.Rand) {
	in.mu.Lock()
	ended := in.ended
	in.mu.Unlock()
	select {
	case <-ended:
	default:
		// Another fault injector has already restarted it.
		return
	}
	r.delayManifest(in, rng)
	if err := in.start(); err != nil {
		r.checker.ReportViolation("%v", err)
	}
}
