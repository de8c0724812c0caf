package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"redwingvale/platform/standin"
)

// Faults that concern many links, processes or workers at once.

const (
	// maxStarvation bounds how long processes get only a share of their time.
	maxStarvation = 7 * time.Second
	// leaderFaults bounds the successive leaders that one fault concerns.
	leaderFaults = 4
	// appendDelay bounds how late the store executes an append after an error.
	appendDelay = 4 * time.Second
	// gapLimit bounds the time between two parts of a fault.
	gapLimit = 300 * time.Millisecond
)

// wideFault is a fault that lasts at most d and has ended when it returns.
type wideFault func(r *run, ctx context.Context, rng *rand.Rand, d time.Duration)

var wideFaults = []wideFault{
	(*run).cutGroup, (*run).cutGroup, (*run).losePower, (*run).changeWorkers, (*run).changeWorkers, (*run).starve,
	(*run).breakAppends, (*run).breakAppends, (*run).hitLeaders,
	func(r *run, ctx context.Context, rng *rand.Rand, _ time.Duration) { r.joinWithoutRecord(ctx, rng) },
}

func (r *run) injectWideFault(ctx context.Context, rng *rand.Rand) {
	r.faults.Add(1)
	wideFaults[rng.IntN(len(wideFaults))](r, ctx, rng, time.Duration(rng.Int64N(int64(maxFaultLength))))
}

// zone and rack return the place of the worker or instance with an index.
func (o *Options) zone(instance int) int { return instance % max(o.Zones, 1) }

func (o *Options) rack(worker int) int {
	if o.WorkersPerRack == 0 {
		return worker % 3
	}
	return worker / o.WorkersPerRack
}

func (o *Options) workerZone(worker int) int { return o.rack(worker) % max(o.Zones, 1) }

func zoneName(zone int) string { return fmt.Sprintf("z%d", zone+1) }

// cutGroup blocks or delays the links between a group of instances and a group of
// workers or instances.
func (r *run) cutGroup(ctx context.Context, rng *rand.Rand, d time.Duration) {
	var from []int
	zone := rng.IntN(max(r.options.Zones, 1))
	fromName := "all instances"
	switch rng.IntN(4) {
	case 0:
		from, fromName = []int{rng.IntN(len(r.instances))}, "an instance"
	case 1:
		if leader := r.leader(); leader != nil {
			from, fromName = []int{leader.index}, "the leader"
		}
	case 2:
		fromName = "instances of " + zoneName(zone)
		for i := range r.instances {
			if r.options.zone(i) == zone {
				from = append(from, i)
			}
		}
	default:
		for i := range r.instances {
			from = append(from, i)
		}
	}
	target := rng.IntN(4)
	targetZone, rack, share := rng.IntN(max(r.options.Zones, 1)), r.options.rack(rng.IntN(len(r.workers))), rng.Float64()
	toName := [...]string{"workers of rack " + fmt.Sprint(rack+1), "workers of " + zoneName(targetZone), fmt.Sprintf("%.0f%% of the workers", 100*share), "instances and workers of other zones"}[target]
	isTarget := func(worker int) bool {
		switch target {
		case 0:
			return r.options.rack(worker) == rack
		case 1:
			return r.options.workerZone(worker) == targetZone
		case 2:
			return rng.Float64() < share
		}
		return r.options.workerZone(worker) != zone
	}
	var pairs []pair
	for i, w := range r.workers {
		if isTarget(i) {
			for _, j := range from {
				pairs = append(pairs, pair{r.instances[j].name, w.Address()})
			}
		}
	}
	for i, other := range r.instances {
		for _, j := range from {
			if target == 3 && i != j && (r.options.Zones <= 1 || r.options.zone(i) != zone) {
				pairs = append(pairs, pair{r.instances[j].name, other.peer.address()}, pair{other.name, r.instances[j].peer.address()})
			}
		}
	}
	direction, slow := rng.IntN(3), rng.IntN(4) == 0
	f := linkFault{in: direction != 1, out: direction != 0}
	if slow {
		f = linkFault{delay: time.Duration(50+rng.IntN(1200)) * time.Millisecond}
	}
	r.logFault(d, "cut of %d links, %s to %s, %s", len(pairs), fromName, toName, f)
	r.links.set(pairs, f, false)
	sleep(ctx, d)
	r.links.set(pairs, linkFault{}, rng.IntN(2) == 0)
}

// losePower takes all instances down, with the store and with none, some or all
// workers, and returns them in any order.
func (r *run) losePower(ctx context.Context, rng *rand.Rand, d time.Duration) {
	var parts []func()
	var names []string
	var back sync.WaitGroup
	// later runs a step of the return, at a random time.
	later := func(step func()) {
		after := time.Duration(rng.Int64N(int64(d/2) + 1))
		back.Add(1)
		time.AfterFunc(after, func() { defer back.Done(); step() })
	}
	for _, in := range r.instances {
		seed := rng.Uint64()
		parts = append(parts, func() {
			_ = in.stop(syscall.SIGKILL, gracePeriod)
			later(func() { r.restart(in, rand.New(rand.NewPCG(r.options.Seed, seed))) })
		})
	}
	if rng.IntN(4) > 0 {
		f := [...]standin.StoreFault{{Refuse: true}, {Unresponsive: true}, {Refuse: true, AppendsOnly: true}}[rng.IntN(3)]
		names = append(names, fmt.Sprintf("the store (%s)", f))
		parts = append(parts, func() {
			r.setStoreFault(f)
			r.silenceEntries(time.Minute)
			entriesBack := time.Duration(rng.Int64N(int64(entryReturn)))
			later(func() {
				r.setStoreFault(standin.StoreFault{})
				r.silenceEntries(entriesBack)
			})
		})
	}
	share := [...]float64{0, 0.3, 1}[rng.IntN(3)]
	for _, w := range r.workers {
		if rng.Float64() < share {
			down := time.Duration(rng.Int64N(int64(d/2) + 1))
			names = append(names, w.ID())
			parts = append(parts, func() { w.Crash(down, false) })
		}
	}
	r.logFault(d, "power loss of all instances, %s", strings.Join(names, " "))
	rng.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
	gap := time.Duration(rng.Int64N(int64(gapLimit))) / time.Duration(len(parts))
	for _, part := range parts {
		part()
		sleep(ctx, gap)
	}
	back.Wait()
}

// silenceEntries keeps all workers from writing their directory entries for d.
func (r *run) silenceEntries(d time.Duration) {
	for _, w := range r.workers {
		w.SilenceEntry(d)
	}
}

// changeWorkers makes workers join, restart, leave, or fall silent in the
// directory, at times while the store is down.
func (r *run) changeWorkers(ctx context.Context, rng *rand.Rand, d time.Duration) {
	down := rng.IntN(3) == 0
	if down {
		f := [...]standin.StoreFault{{Refuse: true}, {Unresponsive: true}, {LoseResponses: true}}[rng.IntN(3)]
		r.logFault(d, "store fault %s for all", f)
		r.setStoreFault(f)
		sleep(ctx, time.Duration(rng.Int64N(int64(d/2)+1)))
	}
	for range 1 + rng.IntN(3) {
		switch w := r.workers[rng.IntN(len(r.workers))]; rng.IntN(4) {
		case 0:
			r.logFault(0, "%s leaves", w.ID())
			w.Leave()
		case 1:
			r.logFault(d, "%s is silent in the directory", w.ID())
			w.SilenceEntry(d)
		default:
			r.joinWorker(rng, r.allWorkers(), allJoins)
		}
		sleep(ctx, time.Duration(rng.Int64N(int64(gapLimit))))
	}
	sleep(ctx, d/2)
	if down {
		r.setStoreFault(standin.StoreFault{})
	}
}

// allWorkers returns the indexes of all workers.
func (r *run) allWorkers() []int {
	all := make([]int, len(r.workers))
	for i := range all {
		all[i] = i
	}
	return all
}

// starve lets the leader, the leader and its successor, or all instances run for a
// tenth to a half of the time only.
func (r *run) starve(ctx context.Context, rng *rand.Rand, d time.Duration) {
	d = min(d, maxStarvation)
	target := rng.IntN(3)
	period := time.Duration(50+rng.IntN(400)) * time.Millisecond
	share := 0.1 + 0.4*rng.Float64()
	leader := r.leader()
	r.logFault(d, "starve %s, %.2f of each %s", [...]string{"the leader", "the leader and its successor", "all"}[target], share, period)
	for until := time.Now().Add(d); ctx.Err() == nil && time.Now().Before(until); {
		starved := r.instances
		if target < 2 && leader == nil {
			return
		} else if target < 2 {
			starved = []*instance{leader}
		}
		if next := r.leader(); target == 1 && next != leader {
			starved = append(starved, next)
		}
		r.pauseFor(ctx, starved, time.Duration(float64(period)*(1-share)))
		sleep(ctx, time.Duration(float64(period)*share))
	}
}

// pauseFor stops processes for a time.
func (r *run) pauseFor(ctx context.Context, paused []*instance, d time.Duration) {
	for _, in := range paused {
		in.signal(syscall.SIGSTOP)
	}
	sleep(ctx, d)
	for _, in := range paused {
		in.signal(syscall.SIGCONT)
	}
}

// breakAppends breaks appends to the store, or slows the store, while it serves
// reads.
func (r *run) breakAppends(ctx context.Context, rng *rand.Rand, d time.Duration) {
	f := [...]standin.StoreFault{
		{AppendsOnly: true, Refuse: true}, {AppendsOnly: true, Unresponsive: true}, {LoseResponses: true},
		{AppendsOnly: true, Delay: time.Duration(100+rng.IntN(1500)) * time.Millisecond},
		{ExecuteLate: time.Duration(rng.Int64N(int64(appendDelay)))},
	}[rng.IntN(5)]
	hit, name := r.instances, "all"
	switch rng.IntN(3) {
	case 0:
		if leader := r.leader(); leader != nil {
			hit, name = []*instance{leader}, leader.name
		}
	case 1:
		hit = nil
		for _, in := range r.instances {
			if rng.IntN(2) == 0 {
				hit = append(hit, in)
			}
		}
		name = fmt.Sprintf("%d instances", len(hit))
	}
	r.logFault(d, "store fault %s for %s", f, name)
	for _, in := range hit {
		r.store.SetFault(in.name, f)
	}
	sleep(ctx, d)
	for _, in := range hit {
		r.store.SetFault(in.name, standin.StoreFault{})
	}
}

// hitLeaders kills, pauses, starves or cuts off several leaders one after the
// other, each in the first seconds of its term.
func (r *run) hitLeaders(ctx context.Context, rng *rand.Rand, _ time.Duration) {
	var last *instance
	for range 2 + rng.IntN(leaderFaults-1) {
		leader := r.awaitLeader(ctx, last)
		if leader == nil {
			return
		}
		last = leader
		sleep(ctx, time.Duration(rng.IntN(2500))*time.Millisecond)
		d := time.Duration(1000+rng.IntN(3000)) * time.Millisecond
		way := rng.IntN(4)
		r.logFault(d, "%s the leader %s", [...]string{"kill", "pause", "starve", "cut off"}[way], leader.name)
		switch way {
		case 0:
			_ = leader.stop(syscall.SIGKILL, gracePeriod)
			sleep(ctx, d/2)
			r.restart(leader, rng)
		case 1:
			r.pauseFor(ctx, []*instance{leader}, d)
		case 2:
			for until := time.Now().Add(d); ctx.Err() == nil && time.Now().Before(until); {
				r.pauseFor(ctx, []*instance{leader}, 200*time.Millisecond)
				sleep(ctx, 30*time.Millisecond)
			}
		case 3:
			leader.cut(true)
			sleep(ctx, d)
			leader.cut(false)
		}
	}
}
