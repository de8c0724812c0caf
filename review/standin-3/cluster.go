//go:build review

// Command standin-3 plays the script cases of the third review: it starts the
// project's rwnode processes on loopback addresses against the project's stand-ins of
// the platform and judges what clients and workers have seen.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"redwingvale/platform/standin"
)

// record writes what was sent, answered and run into the case's record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(text)
	_, _ = os.Stdout.WriteString(text)
}

// cluster is a small deployment: a store, workers and rwnode processes.
type cluster struct {
	*record
	dir     string
	store   *standin.Store
	checker *standin.Checker
	workers []*standin.Worker
	nodes   []*process
	stop    chan struct{}
	client  *http.Client
	// begun holds the submissions of which a worker has begun a task.
	begun map[string]bool
	// adviser is the placement adviser, if the case has one; advised holds the
	// submissions whose starts need a ticket.
	adviser    *adviser
	adviceAddr string
	advised    map[string]bool
	// verbose writes each start and stop into the record.
	verbose bool
}

type process struct {
	name, callers, readiness, settings string
	log                                *os.File
	command                            *exec.Cmd
	ended                              chan struct{}
}

const settingsText = `instance = %q
data_centre = "z1"
first_start = %v
callers_addr = %q
readiness_addr = %q
peer_addr = %q
store_addr = %q
advice_addr = %q
cpu_share = 0.4
cores = 1
memory_mb = 284
store_record_bytes = 262144
store_request_bytes = 2097152

[bounds]
max_lease_ms = 6000
gang_timeout_ms = 3000
interference_ms = 4000
stop_timeout_ms = 200
restore_ms = 100
status_s = 120
grace_s = 6
config_in_force_ms = 2000
`

func newCluster(r *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	return &cluster{record: r, dir: dir, store: standin.NewStore(), checker: standin.NewChecker(), stop: make(chan struct{}), client: &http.Client{}, begun: map[string]bool{}, advised: map[string]bool{}, verbose: true}, nil
}

// freeAddress returns an unused address of the instance.
func freeAddress(index int) (string, error) {
	socket, err := net.Listen("tcp", fmt.Sprintf("127.0.3.%d:0", index+1))
	if err != nil {
		return "", err
	}
	defer socket.Close()
	return socket.Addr().String(), nil
}

// addWorkers starts workers of one service.
func (c *cluster) addWorkers(count, cpuMilli int) error {
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		w := standin.NewWorker(fmt.Sprintf("w%d", i), listener.Addr().String(), cpuMilli, c.store, c.checker)
		w.SetPlace(standin.FirstService, "a", "r1")
		server := &http.Server{Handler: c.noteOrders(w, w.Handler()), ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(listener) }()
		go w.Run(c.stop)
		c.workers = append(c.workers, w)
	}
	return nil
}

// noteOrders records the starts and stops that a worker receives, with its answers.
func (c *cluster) noteOrders(w *standin.Worker, next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		name := strings.TrimPrefix(r.URL.Path, "/api/")
		if name != "run-start" && name != "run-stop" {
			next.ServeHTTP(rw, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		var order struct {
			Task   string `json:"task"`
			RunID  int    `json:"runId"`
			Ticket string `json:"ticket"`
		}
		_ = json.Unmarshal(body, &order)
		id := strings.SplitN(order.Task, ".", 2)[0]
		c.mu.Lock()
		advised := c.advised[id]
		c.mu.Unlock()
		if name == "run-start" && advised && !c.adviser.valid(order.Task, w.ID(), order.Ticket) {
			c.line("run-start at %s: %s run %d: 409 ticket", w.ID(), order.Task, order.RunID)
			rw.WriteHeader(http.StatusConflict)
			_ = json.NewEncoder(rw).Encode(map[string]any{"reason": "ticket"})
			return
		}
		answer := &statusWriter{ResponseWriter: rw}
		next.ServeHTTP(answer, r)
		if name == "run-start" && answer.status == http.StatusOK {
			c.mu.Lock()
			c.begun[id] = true
			c.mu.Unlock()
		}
		if c.verbose {
			c.line("%s at %s: %s run %d: %d", name, w.ID(), order.Task, order.RunID, answer.status)
		}
	})
}

// statusWriter remembers the status of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

func (s *statusWriter) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
}

// hasBegun reports whether a worker has begun a task of a submission.
func (c *cluster) hasBegun(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun[id]
}

// startNodes starts the rwnode processes with the command of the deploy file.
func (c *cluster) startNodes(binary string, count int) error {
	for i := range count {
		p := &process{name: fmt.Sprintf("n%d", i)}
		storeListener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		server := &http.Server{Handler: c.store.Handler(p.name), ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(storeListener) }()
		var peer string
		for _, into := range []*string{&p.callers, &p.readiness, &peer} {
			if *into, err = freeAddress(i); err != nil {
				return err
			}
		}
		p.settings = filepath.Join(c.dir, p.name+".toml")
		text := fmt.Sprintf(settingsText, p.name, true, p.callers, p.readiness, peer, storeListener.Addr().String(), c.adviceAddr)
		if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if p.log, err = os.Create(filepath.Join(c.dir, p.name+".log")); err != nil {
			return err
		}
		if err := p.start(binary); err != nil {
			return err
		}
		c.nodes = append(c.nodes, p)
	}
	return nil
}

func (p *process) start(binary string) error {
	p.command = exec.Command(binary, "run", "-config", p.settings)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	p.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) { _ = command.Wait(); close(ended) }(p.command, p.ended)
	return nil
}

func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// awaitReady waits until all instances report that they are ready.
func (c *cluster) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, p := range c.nodes {
			response, err := c.client.Get("http://" + p.readiness + "/api/readyz")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(c.nodes) {
			return true
		}
	}
	return false
}

// close ends all processes and removes the temporary folder.
func (c *cluster) close() {
	close(c.stop)
	for _, p := range c.nodes {
		p.kill()
		p.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs:", c.dir)
	}
}

// call sends a client's request to an instance and returns the status, 0 without an
// answer, and the body.
func (c *cluster) call(method string, node int, path string, body any) (int, string) {
	var content io.Reader
	if body != nil {
		encoded, _ := json.Marshal(body)
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, "http://"+c.nodes[node].callers+path, content)
	if err != nil {
		return 0, ""
	}
	request.Host = "queue.example"
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", "3000")
	client := &http.Client{Timeout: 3 * time.Second, Transport: c.client.Transport}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(bytes.TrimSpace(text))
}
