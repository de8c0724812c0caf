package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"redwingvale/platform/standin"
)

// instance is one rwnode process with its settings and the proxies in front of
// its interfaces.
type instance struct {
	name          string
	index         int
	binary        string
	settingsFile  string
	log           *os.File
	callers       *proxy
	peer          *proxy
	store         *proxy
	readinessAddr string
	// starting is called before the process starts.
	starting func()

	mu         sync.Mutex
	process    *exec.Cmd
	ended      chan struct{}
	pauseCount int
}

// freeAddresses returns unused addresses. Each instance has a loopback address
// of its own, because otherwise a proxy could take a free port before the
// process listens on it.
func freeAddresses(index int) (out [3]string, err error) {
	for i := range out {
		socket, err := net.Listen("tcp", fmt.Sprintf("127.0.1.%d:0", index+1))
		if err != nil {
			return out, err
		}
		defer socket.Close()
		out[i] = socket.Addr().String()
	}
	return out, nil
}

// noDelegation is a number of workers that no run has.
const noDelegation = 1 << 20

const settingsText = `instance = %q
data_centre = %q
first_start = %v
callers_addr = %q
readiness_addr = %q
peer_addr = %q
peer_advertised_addr = %q
store_addr = %q
cpu_share = 0.5
memory_mb = %d
delegation_min_workers = %d

[bounds]
max_lease_ms = %d
stop_timeout_ms = %d
status_s = 120
grace_s = 6
evacuate_in_force_ms = %d
`

// newInstance prepares an instance in a directory without starting its process.
func newInstance(options *Options, index int, store *standin.Store, servers *[]*http.Server) (*instance, error) {
	name := fmt.Sprintf("n%d", index)
	in := &instance{name: name, index: index, binary: options.Binary, settingsFile: filepath.Join(options.Dir, name+".toml"), starting: func() { store.Restarted(name) }}
	addresses, err := freeAddresses(index)
	if err != nil {
		return nil, err
	}
	storeSocket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: store.Handler(name), ReadHeaderTimeout: time.Minute}
	*servers = append(*servers, server)
	go func() { _ = server.Serve(storeSocket) }()
	if in.callers, err = newProxy(addresses[0]); err != nil {
		return nil, err
	}
	if in.peer, err = newProxy(addresses[2]); err != nil {
		return nil, err
	}
	if in.store, err = newProxy(storeSocket.Addr().String()); err != nil {
		return nil, err
	}
	in.readinessAddr = addresses[1]
	if in.log, err = os.Create(filepath.Join(options.Dir, name+".log")); err != nil {
		return nil, err
	}
	delegationMinWorkers := noDelegation
	if options.Delegates {
		delegationMinWorkers = 1
	}
	evacuateMS := 5000
	if options.IgnoreEvacuations {
		evacuateMS = 0
	}
	settings := func(first bool) string {
		return fmt.Sprintf(settingsText, name, zoneName(options.zone(index)), first, addresses[0], addresses[1], addresses[2], in.peer.address(), in.store.address(), options.memoryMB(), delegationMinWorkers, options.maxLease().Milliseconds(), options.stopTimeout().Milliseconds(), evacuateMS)
	}
	return in, os.WriteFile(in.settingsFile, []byte(settings(true)), 0o600)
}

// start starts the process.
func (in *instance) start() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.starting()
	command := exec.Command(in.binary, "run", "-config", in.settingsFile)
	command.Stdout, command.Stderr = in.log, in.log
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", in.name)
	}
	ended := make(chan struct{})
	in.process, in.ended = command, ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// signal sends signals to the process if it is running. It returns a channel
// that is closed when the process ends, and how often it had been paused before.
func (in *instance) signal(signals ...syscall.Signal) (ended chan struct{}, pauses int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.process == nil {
		return nil, 0
	}
	pauses = in.pauseCount
	select {
	case <-in.ended:
	default:
		for _, s := range signals {
			_ = in.process.Process.Signal(s)
			if s == syscall.SIGSTOP {
				in.pauseCount++
			}
		}
	}
	return in.ended, pauses
}

// stop ends the process and waits for it. It returns an error when the process
// takes longer than the grace period, unless another fault paused it meanwhile.
func (in *instance) stop(s syscall.Signal, grace time.Duration) error {
	// The signals and the pause count are taken under one lock, so that no pause
	// by another fault comes between them.
	ended, pauses := in.signal(syscall.SIGCONT, s)
	select {
	case <-ended:
		return nil
	case <-time.After(grace):
		in.signal(syscall.SIGKILL)
		<-ended
		in.mu.Lock()
		defer in.mu.Unlock()
		if in.pauseCount != pauses {
			// Another fault has paused the process meanwhile.
			return nil
		}
		return errors.Newf("%s still ran %s after signal %d", in.name, grace, s)
	}
}

// pid returns the id of the process started last, or 0.
func (in *instance) pid() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.process == nil {
		return 0
	}
	return in.process.Process.Pid
}

func (in *instance) running() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.process == nil {
		return false
	}
	select {
	case <-in.ended:
		return false
	default:
		return true
	}
}

// ready reports whether the instance's readiness check succeeds.
func (in *instance) ready(client *http.Client) bool {
	response, err := client.Get("http://" + in.readinessAddr + "/api/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// cut blocks or unblocks the instance's links to the store and other instances.
func (in *instance) cut(block bool) {
	for _, p := range []*proxy{in.peer, in.store} {
		p.setFaults(0, block, block)
	}
}
