package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"redwingvale/internal/platform"
	"redwingvale/internal/spec"
)

// tickPeriod is the interval at which the workers' simulated state is advanced
// between calls.
const tickPeriod = 5 * time.Millisecond

// Limits of the targets' HTTP servers.
const (
	targetHeaderTimeout = 5 * time.Second
	targetIdleTimeout   = 2 * time.Minute
)

// Config describes the platform that the stand-ins simulate.
type Config struct {
	// ListenIP is the address on which targets listen.
	ListenIP string `toml:"listen_ip"`
	// ControlAddr is the host:port of the platform's HTTP interface.
	ControlAddr string `toml:"control_addr"`
	// FirstTargetPort is the port of the first target; 0 picks free ports.
	FirstTargetPort int `toml:"first_target_port"`
	// DataCentres lists the data centres over which workers are spread.
	DataCentres []string `toml:"data_centres"`
	// Workers is the number of workers.
	Workers int `toml:"workers"`
	// WorkersPerRack is the number of workers in one rack.
	WorkersPerRack int `toml:"workers_per_rack"`
	// Service names the service whose targets run on the workers.
	Service string `toml:"service"`
	// ServiceTimeMS is the service time of a target for one request.
	ServiceTimeMS float64 `toml:"service_time_ms"`
	// RetentionS is how long the log keeps records.
	RetentionS int `toml:"retention_s"`
	// ListLagMS is the time after which changes show in the instance list.
	ListLagMS int `toml:"list_lag_ms"`
	// Seed makes the faults reproducible.
	Seed uint64 `toml:"seed"`
	// MilliCPU, MemoryMiB, Accelerators, Slots and Connections are the
	// capacity of each worker.
	MilliCPU     int64 `toml:"milli_cpu"`
	MemoryMiB    int64 `toml:"memory_mib"`
	Accelerators int64 `toml:"accelerators"`
	Slots        int64 `toml:"slots"`
	Connections  int64 `toml:"connections"`
	// Log holds the initial faults of the log.
	Log LogFaults `toml:"log"`
}

// DefaultConfig returns a small platform of three data centres, with workers
// of the shape that both users have today.
func DefaultConfig() Config {
	return Config{
		ListenIP:       "127.0.0.1",
		ControlAddr:    "127.0.0.1:7400",
		DataCentres:    []string{"kago-a", "kuma-b", "miya-c"},
		Workers:        12,
		WorkersPerRack: 4,
		Service:        "meter-reads",
		ServiceTimeMS:  4,
		RetentionS:     3600,
		ListLagMS:      500,
		Seed:           1,
		MilliCPU:       32000,
		MemoryMiB:      128000,
		Slots:          8,
		Connections:    60,
	}
}

// Platform holds all stand-ins.
type Platform struct {
	Log       *Log
	List      *List
	Checker   *Checker
	workers   map[spec.WorkerID]*Worker
	targets   map[spec.WorkerID]*Target
	lag       time.Duration
	servers   []*http.Server
	sockets   []net.Listener
	workerIDs []spec.WorkerID
}

// New builds the stand-ins and opens a listener for each target.
func New(config Config) (*Platform, error) {
	p := &Platform{
		Log:     NewLog(config.Seed, time.Duration(config.RetentionS)*time.Second),
		List:    NewList(time.Duration(config.ListLagMS) * time.Millisecond),
		Checker: NewChecker(),
		lag:     time.Duration(config.ListLagMS) * time.Millisecond,
		workers: make(map[spec.WorkerID]*Worker),
		targets: make(map[spec.WorkerID]*Target),
	}
	p.Log.SetFaults(config.Log)
	for i := range config.Workers {
		if err := p.addWorker(config, i); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (p *Platform) addWorker(config Config, index int) error {
	port := 0
	if config.FirstTargetPort > 0 {
		port = config.FirstTargetPort + index
	}
	address := net.JoinHostPort(config.ListenIP, fmt.Sprint(port))
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen for target %d", index)
	}
	described := describeWorker(config, index, socket.Addr().String())
	worker := NewWorker(described, p.Checker)
	conns := newConnTracker(int(config.Connections), func(open int) {
		p.Checker.tooManyConnections(described.ID, open)
	})
	target := &Target{
		Worker:      worker,
		ServiceTime: time.Duration(config.ServiceTimeMS * float64(time.Millisecond)),
		conns:       conns,
	}
	server := &http.Server{
		Handler:           target,
		ReadHeaderTimeout: targetHeaderTimeout,
		IdleTimeout:       targetIdleTimeout,
		ConnState:         conns.track,
	}
	p.workers[described.ID] = worker
	p.targets[described.ID] = target
	p.workerIDs = append(p.workerIDs, described.ID)
	p.servers = append(p.servers, server)
	p.sockets = append(p.sockets, socket)
	p.List.Set(platform.InstanceEntry{
		ID:     string(described.ID),
		Kind:   platform.KindWorker,
		State:  platform.InstanceLive,
		Worker: &described,
	})
	return nil
}

func describeWorker(config Config, index int, targetAddr string) spec.Worker {
	rackNumber := index / config.WorkersPerRack
	centre := config.DataCentres[rackNumber%len(config.DataCentres)]
	rack := fmt.Sprintf("%s-r%d", centre, rackNumber/len(config.DataCentres))
	return spec.Worker{
		ID:          spec.WorkerID(fmt.Sprintf("w%03d", index)),
		Group:       spec.GroupID(rack),
		Rack:        spec.Rack(rack),
		DataCentre:  spec.DataCentre(centre),
		ControlAddr: config.ControlAddr,
		TargetAddr:  targetAddr,
		Service:     spec.ServiceID(config.Service),
		Capacity: spec.Resources{
			MilliCPU:     config.MilliCPU,
			MemoryMiB:    config.MemoryMiB,
			Accelerators: config.Accelerators,
			Slots:        config.Slots,
			Connections:  config.Connections,
		},
	}
}

// Run serves the targets and advances the workers until ctx ends.
func (p *Platform) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for i, server := range p.servers {
		socket := p.sockets[i]
		group.Go(func() error { return ignoreClosed(server.Serve(socket)) })
	}
	group.Go(func() error {
		p.tick(ctx)
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		for _, server := range p.servers {
			_ = server.Close()
		}
		return nil
	})
	return group.Wait()
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (p *Platform) tick(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, id := range p.workerIDs {
				p.workers[id].Tick()
			}
		}
	}
}

// WorkerIDs returns the workers in their order of creation.
func (p *Platform) WorkerIDs() []spec.WorkerID {
	return append([]spec.WorkerID(nil), p.workerIDs...)
}

// Worker returns a worker by id, or nil.
func (p *Platform) Worker(id spec.WorkerID) *Worker { return p.workers[id] }

// Spec returns the description of a worker.
func (w *Worker) Spec() spec.Worker { return w.spec }

// Do implements platform.Workers without a network call.
func (p *Platform) Do(ctx context.Context, worker spec.Worker, batch platform.CommandBatch) (platform.WorkerReport, error) {
	standIn, ok := p.workers[worker.ID]
	if !ok {
		return platform.WorkerReport{}, errors.Newf("no worker %s", worker.ID)
	}
	return standIn.Do(ctx, batch)
}

// SetWorkerState changes the state of a worker in the instance list. From
// leavingGrace after the list shows the worker as leaving, each new request and
// each started task counts as a violation.
func (p *Platform) SetWorkerState(id spec.WorkerID, state platform.InstanceState) error {
	worker, ok := p.workers[id]
	if !ok {
		return errors.Newf("no worker %s", id)
	}
	described := worker.Spec()
	p.List.Set(platform.InstanceEntry{
		ID:     string(id),
		Kind:   platform.KindWorker,
		State:  state,
		Worker: &described,
	})
	worker.setLeaving(state != platform.InstanceLive, time.Now().Add(p.lag+leavingGrace))
	return nil
}

// SetWorkerFaults replaces the faults of one worker.
func (p *Platform) SetWorkerFaults(id spec.WorkerID, faults WorkerFaults) error {
	worker, ok := p.workers[id]
	if !ok {
		return errors.Newf("no worker %s", id)
	}
	worker.SetFaults(faults)
	if faults.SilentConnections {
		p.targets[id].conns.muteOpen()
	}
	return nil
}
