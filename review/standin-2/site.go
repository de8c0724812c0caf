//go:build review

// Command rwreview2 plays the cases of the second review: it starts the processes of
// the deploy file on loopback addresses, with stand-ins of the platform's store,
// workers, adviser and clients that follow the users' pages.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"redwingvale/platform/standin"
)

// Figures of a small deployment, as in the site file oratory-desk.
const (
	instanceCount = 6
	memoryMB      = 284
	heartbeat     = 1100 * time.Millisecond
	maxLeaseMS    = 10_000
	stopTimeout   = 900 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
	host          = "queue.example"
)

const settingsText = `instance = %q
data_centre = %q
first_start = %v
callers_addr = %q
readiness_addr = %q
peer_addr = %q
store_addr = %q
advice_addr = %q
store_record_bytes = 262144
store_request_bytes = 2097152
cpu_share = 0.4
cores = 1
memory_mb = 284

[bounds]
max_lease_ms = 10000
gang_timeout_ms = 3000
interference_ms = 4000
stop_timeout_ms = 900
restore_ms = 100
status_s = 120
grace_s = 6
config_in_force_ms = 2000
`

// site is one run: stand-ins, processes and the record of what happened.
type site struct {
	dir     string
	rwnode  string
	trouble bool
	start   time.Time
	store   *standin.Store
	adviser *adviser
	client  *http.Client

	instances []*instance
	workers   []*worker
	done      chan struct{}
	closing   sync.Once

	mu         sync.Mutex
	record     *os.File
	jobs       map[string]*submission
	violations []string
	version    int
	// writer is the instance that wrote to the store as the leader last.
	writer string
	// ends are the ends of runs that workers have listed.
	ends []*end
}

// submission is one submission with what its client has been told.
type submission struct {
	id, queue  string
	steps      []step
	repeat     int
	startAtMS  int64
	intervalMS int64
	acceptedAt time.Time
	// firstStart is when a worker began a task of it.
	firstStart time.Time
	state      string
	starts     int
	failures   map[string]int
	// startedAt holds the times at which the runs of each task began.
	startedAt map[string][]time.Time
}

type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	MemMB        int    `json:"memMb,omitempty"`
	EstimateMS   int    `json:"estimateMs"`
	After        []int  `json:"after,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	// work is how long a task takes; it fails then if fails is set.
	work  time.Duration
	fails bool
}

func newSite(dir, rwnode string, trouble bool) (*site, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	s := &site{
		dir: dir, rwnode: rwnode, trouble: trouble, start: time.Now(), store: standin.NewStore(), record: record,
		jobs: map[string]*submission{}, done: make(chan struct{}),
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	s.adviser = newAdviser(s)
	return s, nil
}

// serve serves a handler on a free loopback address.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	return l.Addr().String(), nil
}

// storeFor serves the store for one instance and notes which one writes as the leader.
func (s *site) storeFor(name string) (string, error) {
	handler := s.store.Handler(name)
	return serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("producer") != "" {
			s.mu.Lock()
			s.writer = name
			s.mu.Unlock()
		}
		handler.ServeHTTP(rw, r)
	}))
}

// log writes a line to the record.
func (s *site) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logLocked(format, args...)
}

func (s *site) logLocked(format string, args ...any) {
	fmt.Fprintf(s.record, "%9.3f %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// violationLocked records that the rule was broken.
func (s *site) violationLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.violations = append(s.violations, text)
	s.logLocked("VIOLATION %s", text)
}

// putManifest writes a version of the manifest with the given routes.
func (s *site) putManifest(routes ...map[string]any) {
	s.version += 3
	s.store.Put(standin.OperatorTopic, "config", map[string]any{
		"version": s.version, "routes": routes,
		"services": []map[string]any{{"name": "svc", "healthPath": "/healthz", "maxConnections": 64, "rejectsOverload": true, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
	})
	s.log("manifest %d confirmed, %d routes", s.version, len(routes))
}

func route(name string, priority int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": "/" + name + "/", "kind": "non_idempotent", "timeoutMs": 3000, "service": "svc",
		"priority": priority, "maxAttempts": 4, "stretch": 2.0, "targetLatencyMs": 1000,
	}
}

// instance is one rwnode process, which the platform restarts when it ends.
type instance struct {
	s                       *site
	name, file              string
	callers, readiness      string
	peer, store             string
	mu                      sync.Mutex
	process                 *exec.Cmd
	stopping                bool
	overLimit, starts, ends int
	peakMB                  int
}

func freeAddresses(index int) (out [3]string, err error) {
	for i := range out {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.2.%d:0", index+1))
		if err != nil {
			return out, err
		}
		defer l.Close()
		out[i] = l.Addr().String()
	}
	return out, nil
}

// startInstances starts all processes and waits until they are ready.
func (s *site) startInstances() error {
	for i := range instanceCount {
		a, err := freeAddresses(i)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("edge-%d", i+1)
		in := &instance{s: s, name: name, file: filepath.Join(s.dir, name+".toml"), callers: a[0], readiness: a[1], peer: a[2]}
		if in.store, err = s.storeFor(name); err != nil {
			return err
		}
		s.instances = append(s.instances, in)
	}
	for i, in := range s.instances {
		if err := in.run(i, true); err != nil {
			return err
		}
	}
	for _, in := range s.instances {
		for limit := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			response, err := s.client.Get("http://" + in.readiness + "/api/readyz")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(limit) {
				return fmt.Errorf("%s is not ready", in.name)
			}
		}
	}
	s.log("all %d instances are ready", len(s.instances))
	return nil
}

func (in *instance) run(index int, first bool) error {
	text := fmt.Sprintf(settingsText, in.name, fmt.Sprintf("zone-%d", index%3+1), first, in.callers, in.readiness, in.peer, in.store, in.s.adviser.addr)
	if err := os.WriteFile(in.file, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(in.s.dir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(in.s.rwnode, "run", "-config", in.file)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return err
	}
	in.mu.Lock()
	in.process = command
	in.starts++
	in.mu.Unlock()
	go func() {
		_ = command.Wait()
		out.Close()
		in.mu.Lock()
		stopping := in.stopping
		if !stopping {
			in.ends++
		}
		in.mu.Unlock()
		if stopping {
			return
		}
		in.s.log("%s has ended: %s", in.name, command.ProcessState)
		time.Sleep(restartDelay)
		in.mu.Lock()
		stopping = in.stopping
		in.mu.Unlock()
		if !stopping {
			_ = in.run(index, false)
		}
	}()
	return nil
}

// enforceMemory kills a process that exceeds its memory limit, as the platform does,
// until the run ends.
func (s *site) enforceMemory() {
	for {
		select {
		case <-s.done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, in := range s.instances {
			in.mu.Lock()
			process := in.process
			in.mu.Unlock()
			if process == nil || process.Process == nil || process.ProcessState != nil {
				continue
			}
			mb := residentMB(process.Process.Pid)
			in.mu.Lock()
			in.peakMB = max(in.peakMB, mb)
			if mb > memoryMB && in.process == process {
				in.overLimit++
				in.s.log("%s holds %d MB, over its limit of %d MB: killed by the platform (%d times)", in.name, mb, memoryMB, in.overLimit)
				_ = process.Process.Kill()
				in.process = nil
			}
			in.mu.Unlock()
		}
	}
}

// residentMB returns the resident memory of a process in MB of 2^20 bytes.
func residentMB(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// close ends everything that the run started.
func (s *site) close() {
	s.closing.Do(func() { close(s.done) })
	for _, in := range s.instances {
		in.mu.Lock()
		in.stopping = true
		if in.process != nil && in.process.Process != nil {
			_ = in.process.Process.Signal(syscall.SIGKILL)
		}
		in.mu.Unlock()
	}
	time.Sleep(200 * time.Millisecond)
}
