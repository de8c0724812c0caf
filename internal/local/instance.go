package local

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"redwingvale/internal/decider"
	"redwingvale/internal/directory"
	"redwingvale/internal/entry"
	"redwingvale/internal/sched"
	"redwingvale/internal/spec"
	"redwingvale/internal/telemetry"
)

// Offsets of the ports of an instance's interfaces.
const (
	callersPort = iota
	entryPeerPort
	schedPeerPort
	operatorPort
	schedOpsPort
)

// sameClockGuardMS is the allowance for clock differences between callers and
// instances. Here all of them run on one machine and read the same clock.
const sameClockGuardMS = 50

// handOffAfterMS is how long a job waits in a group without capacity before it
// is handed off. The groups of the local cluster are small, so waiting longer
// helps little.
const handOffAfterMS = 1000

// urgentLimitMS is the longest time limit of an urgent request. A new owner
// holds back slots for that long, so the sample day uses the limit of its
// document.
const urgentLimitMS = 4000

// idleSlots is the number of slots that an idle entry keeps. The local cluster
// has only 96 slots, so the default for a real deployment would leave too few
// for batch tasks.
const idleSlots = 4

// Instance is one entry instance: an rwentry and an rwsched.
type Instance struct {
	Name     string
	Entry    *entry.Entry
	Sched    *sched.Sched
	Operator string
	// Services is the configuration in force at the entry.
	Services *directory.Directory

	kill    context.CancelFunc
	running atomic.Bool
	clients *sched.Clients
	tele    []*telemetry.Telemetry
	done    sync.WaitGroup
	drain   func(context.Context) error
}

func newInstance(c *Cluster, name string) (*Instance, error) {
	index, _ := strconv.Atoi(strings.TrimPrefix(name, "e"))
	centre := c.options.Platform.DataCentres[(index-1)%len(c.options.Platform.DataCentres)]
	sockets, err := openSockets(c, index)
	if err != nil {
		return nil, err
	}
	instance := &Instance{Name: name, Operator: sockets.Operator.Addr().String(), clients: sched.NewClients()}
	if err := instance.buildEntry(c, index, centre, sockets.Peer.Addr().String()); err != nil {
		return nil, err
	}
	instance.buildSched(c, centre, sockets)
	instance.run(c.ctx)
	return instance, nil
}

func openSockets(c *Cluster, index int) (sched.Sockets, error) {
	var sockets sched.Sockets
	var err error
	if sockets.Peer, err = net.Listen("tcp", c.address(index, schedPeerPort)); err != nil {
		return sockets, errors.Wrap(err, "listen for peers")
	}
	if sockets.Operator, err = net.Listen("tcp", c.address(index, operatorPort)); err != nil {
		return sockets, errors.Wrap(err, "listen for operators")
	}
	if sockets.Ops, err = net.Listen("tcp", c.address(index, schedOpsPort)); err != nil {
		return sockets, errors.Wrap(err, "listen for health")
	}
	return sockets, nil
}

func (i *Instance) buildEntry(c *Cluster, index int, centre, schedAddr string) error {
	tele := telemetry.New("rwentry", i.Name, c.options.Log)
	i.tele = append(i.tele, tele)
	i.Services = directory.New()
	config := entry.DefaultConfig()
	config.Instance = i.Name
	config.DataCentre = centre
	config.Listen = c.address(index, callersPort)
	config.PeerListen = c.address(index, entryPeerPort)
	config.BalancerWaitMS = c.options.BalancerWaitMS
	config.KeyClockGuardMS = sameClockGuardMS
	config.UrgentLimitMS = urgentLimitMS
	config.IdleSlots = idleSlots
	config.Incarnation = uint64(sched.NextIncarnation(c.ctx, c.Platform.Log.For(i.Name), spec.InstanceID(i.Name)))
	e, err := entry.New(config, entry.Deps{
		Log:      tele.Log,
		Scope:    tele.Scope,
		Sched:    i.clients.Sched,
		OwnSched: i.clients.Sched(schedAddr),
		Services: i.Services,
		OnView:   i.Services.Update,
	})
	i.Entry = e
	return err
}

func (i *Instance) buildSched(c *Cluster, centre string, sockets sched.Sockets) {
	tele := telemetry.New("rwsched", i.Name, c.options.Log)
	i.tele = append(i.tele, tele)
	config := sched.DefaultConfig()
	config.Instance = i.Name
	config.DataCentre = centre
	config.EntryPeerAddr = i.Entry.PeerAddr()
	config.LogRetentionS = int64(c.options.Platform.RetentionS)
	config.HandOffAfterMS = handOffAfterMS
	config.UrgentLimitMS = urgentLimitMS
	log := c.Platform.Log.For(i.Name)
	i.Sched = sched.New(config, sockets, sched.Deps{
		Log:         log,
		List:        c.Platform.List,
		Workers:     c.Platform,
		Telemetry:   tele,
		NewDecider:  decider.New,
		Incarnation: sched.NextIncarnation(c.ctx, log, spec.InstanceID(i.Name)),
	})
}

func (i *Instance) run(ctx context.Context) {
	ctx, i.kill = context.WithCancel(ctx)
	i.running.Store(true)
	i.done.Add(2)
	go func() {
		defer i.done.Done()
		_ = i.Entry.Run(ctx)
	}()
	go func() {
		defer i.done.Done()
		_ = i.Sched.Run(ctx)
	}()
	i.drain = func(limited context.Context) error {
		if err := i.Entry.Drain(limited); err != nil {
			return err
		}
		return i.Sched.Leave(limited)
	}
}

// Running reports whether the instance was neither killed nor drained.
func (i *Instance) Running() bool { return i.running.Load() }

// Kill ends the instance immediately, without draining it.
func (i *Instance) Kill() {
	i.running.Store(false)
	i.kill()
	i.wait()
}

// Drain stops the instance gracefully: requests in flight end, its groups are
// handed over, and it leaves the membership.
func (i *Instance) Drain(ctx context.Context) error {
	err := i.drain(ctx)
	i.Kill()
	return err
}

func (i *Instance) wait() {
	i.done.Wait()
	i.clients.Close()
	for _, tele := range i.tele {
		tele.Close()
	}
	i.tele = nil
}
