// Package local runs several instances of the system and the stand-ins of the
// platform in one process.
package local

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"redwingvale/internal/standin"
)

// Options describe a local cluster.
type Options struct {
	// Instances is the number of entry instances.
	Instances int
	// Platform configures the stand-ins.
	Platform standin.Config
	// Log receives the log lines of all instances.
	Log io.Writer
	// BalancerWaitMS is how long a stopping entry still accepts requests.
	BalancerWaitMS int
	// FirstPort is the first port of the instances' interfaces; 0 picks free
	// ports.
	FirstPort int
}

// DefaultOptions returns three instances on the default platform.
func DefaultOptions() Options {
	return Options{
		Instances:      3,
		Platform:       standin.DefaultConfig(),
		Log:            io.Discard,
		BalancerWaitMS: 200,
	}
}

// Cluster is a running local cluster.
type Cluster struct {
	Platform *standin.Platform
	options  Options
	ctx      context.Context
	stop     context.CancelFunc
	running  sync.WaitGroup

	mu        sync.Mutex
	instances []*Instance
}

// Start starts the stand-ins and the instances. Stop stops them.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	platform, err := standin.New(options.Platform)
	if err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(ctx)
	c := &Cluster{Platform: platform, options: options, ctx: running, stop: stop}
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		_ = platform.Run(running)
	}()
	for i := range options.Instances {
		if _, err := c.StartInstance(fmt.Sprintf("e%d", i+1)); err != nil {
			c.Stop()
			return nil, err
		}
	}
	return c, nil
}

// StartInstance starts an instance, or restarts one that was killed or drained.
func (c *Cluster) StartInstance(name string) (*Instance, error) {
	instance, err := newInstance(c, name)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, other := range c.instances {
		if other.Name == name {
			c.instances[i] = instance
			return instance, nil
		}
	}
	c.instances = append(c.instances, instance)
	return instance, nil
}

// Instances returns the instances in the order of their first start.
func (c *Cluster) Instances() []*Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Instance(nil), c.instances...)
}

// ReadyEntries returns the callers' addresses of the ready entries, which a load
// balancer would use.
func (c *Cluster) ReadyEntries() []string {
	var out []string
	for _, instance := range c.Instances() {
		if instance.Running() && instance.Entry.Ready() {
			out = append(out, instance.Entry.Addr())
		}
	}
	return out
}

// readyPoll is the interval at which AwaitReady and Apply check the instances.
const readyPoll = 20 * time.Millisecond

// AwaitReady waits until every running instance is a voter and its entry is
// ready, and every group has an owner.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	for !c.ready() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "the local cluster did not become ready")
		case <-time.After(readyPoll):
		}
	}
	return nil
}

func (c *Cluster) ready() bool {
	for _, instance := range c.Instances() {
		if !instance.Running() {
			continue
		}
		if !instance.Entry.Ready() || !instance.Sched.Ready() || !instance.Sched.GroupsOwned() {
			return false
		}
	}
	return true
}

// Stop stops the instances and the stand-ins immediately, without draining.
func (c *Cluster) Stop() {
	c.stop()
	for _, instance := range c.Instances() {
		instance.wait()
	}
	c.running.Wait()
}

// address returns the host:port of one interface of an instance, counted from
// the cluster's first port. Without a first port it is port 0, for which the
// operating system picks a free port.
func (c *Cluster) address(index, offset int) string {
	port := 0
	if c.options.FirstPort > 0 {
		port = c.options.FirstPort + index*portsPerInstance + offset
	}
	return net.JoinHostPort("127.0.0.1", fmt.Sprint(port))
}

// portsPerInstance is the number of ports set aside for each instance.
const portsPerInstance = 10
