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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// queueSpec is a route of the manifest.
type queueSpec struct {
	name, host, prefix, service string
	priority, attempts          int
	advised                     bool
}

// stepSpec is a step as a client sends it.
type stepSpec struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemMB         int    `json:"memMb"`
	EstimateMS    int    `json:"estimateMs"`
	After         []int  `json:"after,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	Speculative   bool   `json:"speculative,omitempty"`
	LongRunning   bool   `json:"longRunning,omitempty"`
	Fills         bool   `json:"fills,omitempty"`
	Requirements  string `json:"requirements,omitempty"`
	AntiAffinity  int    `json:"antiAffinity,omitempty"`
	Image         string `json:"image,omitempty"`

	// workMS is the real work of a task; 0: the estimate.
	workMS int
}

type submission struct {
	id     string
	queue  *queueSpec
	spec   string
	steps  []*stepSpec
	sentMS int64
	// accepted is when a 2xx came, cancelled when a DELETE was acknowledged.
	accepted, cancelled time.Time
	state               string
}

// endSeen is what the checker knows of the ends and starts of one task.
type taskSeen struct {
	active map[*worker]*taskRun
	dones  []doneSeen
	starts int
	failed int
}

type doneSeen struct {
	worker *worker
	run    int
	at     time.Time
	taken  bool
	// startsAfter are the starts after this end.
	startsAfter []string
}

type rig struct {
	root, dir string
	store     *store
	adviser   *adviser
	workers   []*worker
	nodes     []*nodeProcess
	queues    []*queueSpec
	guards    bool
	fails     func(*worker, *taskRun) bool
	stop      chan struct{}

	mu       sync.Mutex
	subs     map[string]*submission
	seen     map[string]*taskSeen
	breaches []string
	version  int
	nextID   int
	closing  bool
}

var theRig *rig

func newRig(root string) *rig {
	dir, err := os.MkdirTemp("", "review")
	check(err)
	r := &rig{
		root: root, dir: dir, store: newStore(), guards: true, stop: make(chan struct{}),
		subs: map[string]*submission{}, seen: map[string]*taskSeen{}, fails: func(*worker, *taskRun) bool { return false },
	}
	theRig = r
	return r
}

func (r *rig) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	r.breaches = append(r.breaches, text)
	n := len(r.breaches)
	r.mu.Unlock()
	note("BROKEN %s", text)
	if n <= 5 {
		fmt.Printf("%8.3f BROKEN %s\n", time.Since(began).Seconds(), text)
	}
}

func (r *rig) broken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.breaches)
}

// stepOf returns the step of a task and its submission.
func (r *rig) stepOf(task string) (*stepSpec, *submission) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	sub := r.subs[parts[0]]
	i, _ := strconv.Atoi(parts[2])
	k, _ := strconv.Atoi(parts[3])
	if sub == nil || i >= len(sub.steps) || k >= sub.steps[i].Count {
		return nil, nil
	}
	return sub.steps[i], sub
}

func (r *rig) taskOf(name string) *taskSeen {
	t := r.seen[name]
	if t == nil {
		t = &taskSeen{active: map[*worker]*taskRun{}}
		r.seen[name] = t
	}
	return t
}

// runBegun checks a start against TWICE and keeps it.
func (r *rig) runBegun(w *worker, t *taskRun) {
	r.mu.Lock()
	seen := r.taskOf(t.task)
	seen.starts++
	var twice string
	if len(seen.active) > 0 && !t.step.Speculative {
		for other, run := range seen.active {
			twice = fmt.Sprintf("TWICE: %s run=%d starts on %s while run=%d is at work on %s", t.task, t.run, w.id, run.run, other.id)
		}
	}
	for i := range seen.dones {
		d := &seen.dones[i]
		text := fmt.Sprintf("TWICE: %s run=%d starts on %s %d ms after run=%d ended done on %s, and that end is taken note of", t.task, t.run, w.id, time.Since(d.at).Milliseconds(), d.run, d.worker.id)
		switch {
		case t.step.Speculative:
		case d.taken:
			twice = text
		default:
			// It counts if the end is taken note of later.
			d.startsAfter = append(d.startsAfter, text)
		}
	}
	seen.active[w] = t
	r.mu.Unlock()
	if twice != "" {
		r.breach("%s", twice)
	}
}

func (r *rig) runOver(w *worker, t *taskRun, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := r.taskOf(t.task)
	delete(seen.active, w)
	switch how {
	case "done":
		seen.dones = append(seen.dones, doneSeen{worker: w, run: t.run, at: time.Now()})
	case "failed":
		seen.failed++
	}
	note("run    %s %s run=%d %s", w.id, t.task, t.run, how)
}

// taken notes that ackCursor has reached an end. It doesn't count if the
// worker's lease has lapsed since. The caller holds the worker's lock.
func (r *rig) taken(w *worker, e taskEnd) {
	r.mu.Lock()
	var late []string
	seen := r.taskOf(e.task)
	for i := range seen.dones {
		d := &seen.dones[i]
		if e.how == "done" && d.worker == w && d.run == e.run && !d.taken {
			if w.lapsed.After(d.at) {
				break
			}
			d.taken = true
			late = append(late, d.startsAfter...)
			d.startsAfter = nil
		}
	}
	r.mu.Unlock()
	note("taken  %s end=%d %s run=%d %s", w.id, e.n, e.task, e.run, e.how)
	for _, text := range late {
		r.breach("%s", text)
	}
}

// gangTogether reports whether all members of a gang's run are at work. The
// caller holds its worker's lock only.
func (r *rig) gangTogether(t *taskRun) bool {
	prefix := t.task[:strings.LastIndex(t.task, ".")+1]
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for i := 0; i < t.step.Count; i++ {
		for _, other := range r.taskOf(prefix + strconv.Itoa(i)).active {
			if other.run == t.run {
				n++
				break
			}
		}
	}
	return n == t.step.Count
}

// putManifest writes the next version of the manifest.
func (r *rig) putManifest() {
	r.version += 3
	routes, services := []any{}, []any{}
	known := map[string]bool{}
	for _, q := range r.queues {
		route := map[string]any{
			"name": q.name, "host": q.host, "pathPrefix": q.prefix, "kind": "non_idempotent", "timeoutMs": 3000,
			"targetLatencyMs": 1000, "priority": q.priority, "service": q.service, "maxAttempts": q.attempts, "stretch": 2.0,
		}
		if q.advised {
			route["advice"] = map[string]any{"decisionMs": r.adviser.decisionMS, "periodMs": r.adviser.periodMS, "validityMs": r.adviser.validityMS}
		}
		routes = append(routes, route)
		if !known[q.service] {
			known[q.service] = true
			services = append(services, map[string]any{
				"name": q.service, "healthPath": "/healthz", "maxConnections": 64, "protocol": "h1", "tlsEnabled": false,
				"rejectsOverload": r.guards, "standby": false,
			})
		}
	}
	r.store.put("keyed.op", "config", map[string]any{
		"version": r.version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	note("operator writes manifest version %d", r.version)
}

// nodeProcess is one rwnode process.
type nodeProcess struct {
	rig      *rig
	name     string
	settings string
	door     *door
	front    string
	ready    string
	logPath  string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	exits   int // ends by itself
	down    bool
}

// Addresses of the nodes: each has a loopback address of its own, as each
// machine has its own address.
func freePorts(ip string) (out [3]string) {
	for i := range out {
		l, err := net.Listen("tcp", ip+":0")
		check(err)
		defer l.Close()
		out[i] = l.Addr().String()
	}
	return out
}

// settingsText is deploy/node.toml.tmpl, filled in as for the small site.
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
cpu_share = 0.16
cores = 1

[bounds]
max_lease_ms = 6000
gang_timeout_ms = 3000
interference_ms = 4000
stop_timeout_ms = 200
restore_ms = 600
status_s = 120
grace_s = 6
config_in_force_ms = 2000
`

func (r *rig) newNodes(n int) {
	advice := ""
	if r.adviser != nil {
		advice = r.adviser.addr
	}
	for i := range n {
		ports := freePorts(fmt.Sprintf("127.0.%d.%d", 10+os.Getpid()%200, i+1))
		node := &nodeProcess{
			rig: r, name: fmt.Sprintf("edge-z-%d", i+1), door: r.store.open(), front: ports[0], ready: ports[1],
			logPath: filepath.Join(r.dir, fmt.Sprintf("node%d.log", i+1)),
		}
		node.settings = filepath.Join(r.dir, fmt.Sprintf("node%d.toml", i+1))
		text := func(first bool) string {
			return fmt.Sprintf(settingsText, node.name, fmt.Sprintf("z-%c", 'a'+i%3), first, ports[0], ports[1], ports[2], node.door.addr, advice)
		}
		check(os.WriteFile(node.settings, []byte(text(true)), 0o600))
		r.nodes = append(r.nodes, node)
		node.launch()
		// At any later start the system has started before.
		go func() {
			sleepMS(3000)
			os.WriteFile(node.settings, []byte(text(false)), 0o600)
		}()
	}
}

// launch starts the process, and again a second after it ends by itself.
func (n *nodeProcess) launch() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rig.mu.Lock()
	closing := n.rig.closing
	n.rig.mu.Unlock()
	if closing {
		return
	}
	if n.process != nil {
		select {
		case <-n.ended:
		default:
			return
		}
	}
	log, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	command := exec.Command(filepath.Join(n.rig.root, "target/rwnode"), "run", "-config", n.settings)
	command.Dir = n.rig.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	command.Stdout, command.Stderr = log, log
	check(command.Start())
	note("node   %s starts", n.name)
	ended := make(chan struct{})
	n.process, n.ended, n.down = command, ended, false
	go func() {
		err := command.Wait()
		log.Close()
		close(ended)
		n.mu.Lock()
		byItself := !n.down
		if byItself {
			n.exits++
		}
		n.mu.Unlock()
		n.rig.mu.Lock()
		closing := n.rig.closing
		n.rig.mu.Unlock()
		if closing || !byItself {
			return
		}
		say("node   %s ends by itself (%v): %s", n.name, err, n.lastPanic())
		sleepMS(1000)
		n.launch()
	}()
}

// lastPanic returns the first line of the last panic in the log.
func (n *nodeProcess) lastPanic() string {
	text, _ := os.ReadFile(n.logPath)
	i := strings.LastIndex(string(text), "panic: ")
	if i < 0 {
		return "no panic in its log"
	}
	line := string(text[i:])
	frames := strings.Split(line, "\n")
	out := frames[0]
	for _, f := range frames[1:] {
		if strings.Contains(f, "redwingvale/") && strings.Contains(f, "(") {
			out += " in " + strings.TrimSpace(f[:strings.LastIndex(f, "(")])
			break
		}
	}
	return out
}

func (n *nodeProcess) kill() {
	n.mu.Lock()
	n.down = true
	process, ended := n.process, n.ended
	n.mu.Unlock()
	note("node   %s is killed", n.name)
	process.Process.Signal(syscall.SIGKILL)
	<-ended
}

func (n *nodeProcess) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	note("node   %s gets %v", n.name, s)
	n.process.Process.Signal(s)
}

func (n *nodeProcess) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/api/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (r *rig) awaitReady() {
	limit := time.Now().Add(20 * time.Second)
	for _, n := range r.nodes {
		for !n.isReady() {
			if time.Now().After(limit) {
				couldNotRun(n.name + " is not ready")
			}
			sleepMS(50)
		}
	}
	note("all nodes are ready")
}

// leader returns the node that leads, by the last term in the logs.
func (r *rig) leader() *nodeProcess {
	var best *nodeProcess
	bestEpoch := -1
	for _, n := range r.nodes {
		text, _ := os.ReadFile(n.logPath)
		for _, line := range strings.Split(string(text), "\n") {
			if i := strings.Index(line, "event=term_begins "); i >= 0 {
				if j := strings.Index(line, "epoch="); j >= 0 {
					epoch, _ := strconv.Atoi(strings.Fields(line[j+6:])[0])
					if epoch > bestEpoch {
						best, bestEpoch = n, epoch
					}
				}
			}
		}
	}
	return best
}

func (r *rig) startWorkers() {
	for _, w := range r.workers {
		go w.live(r.stop)
	}
}

func (r *rig) close() {
	r.mu.Lock()
	r.closing = true
	r.mu.Unlock()
	for _, n := range r.nodes {
		n.mu.Lock()
		process, ended := n.process, n.ended
		n.down = true
		n.mu.Unlock()
		if process != nil {
			process.Process.Signal(syscall.SIGKILL)
			<-ended
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		exec.Command("cp", "-r", r.dir, keep).Run()
	}
	os.RemoveAll(r.dir)
}

// newSubmission registers a submission that is about to be sent.
func (r *rig) newSubmission(q *queueSpec, steps ...*stepSpec) *submission {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextID++
	id := fmt.Sprintf("%016x", uint64(0x5c0e7a2100000000)+uint64(r.nextID))
	s := &submission{id: id, queue: q, spec: "job " + id, steps: steps}
	r.subs[id] = s
	return s
}

// request makes one call of a client at a node. status is 0 without an answer.
func (r *rig) request(n *nodeProcess, q *queueSpec, method, id string, body any) (status int, answer map[string]any) {
	var encoded []byte
	if body != nil {
		encoded, _ = json.Marshal(body)
	}
	request, _ := http.NewRequest(method, "http://"+n.front+q.prefix+id, bytes.NewReader(encoded))
	request.Host = q.host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", "3000")
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		note("client %s %s%s at %s -> no answer", method, q.prefix, id, n.name)
		return 0, nil
	}
	defer response.Body.Close()
	content, _ := io.ReadAll(response.Body)
	json.Unmarshal(content, &answer)
	note("client %s %s%s at %s -> %d %s", method, q.prefix, id, n.name, response.StatusCode, strings.TrimSpace(string(content)))
	return response.StatusCode, answer
}

// submit hands a submission in, with up to 4 retries at other nodes.
func (r *rig) submit(s *submission, at int) bool {
	for try := range 5 {
		n := r.nodes[(at+try)%len(r.nodes)]
		status, _ := r.request(n, s.queue, "POST", s.id, map[string]any{"spec": s.spec, "steps": s.steps})
		if status >= 200 && status < 300 {
			r.mu.Lock()
			s.accepted = time.Now()
			r.mu.Unlock()
			return true
		}
		if status == 404 || status == 400 {
			return false
		}
		sleepMS(200)
	}
	return false
}

// state asks for a submission's state, up to 3 times.
func (r *rig) state(s *submission, at int) (status int, state string) {
	for try := range 3 {
		var answer map[string]any
		status, answer = r.request(r.nodes[(at+try)%len(r.nodes)], s.queue, "GET", s.id, nil)
		if status == 200 {
			state, _ = answer["state"].(string)
			return status, state
		}
		if status == 410 {
			return status, ""
		}
	}
	return status, ""
}

// running returns how many tasks of a submission are at work on workers.
func (r *rig) running(s *submission) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for name, seen := range r.seen {
		if strings.HasPrefix(name, s.id+".") {
			n += len(seen.active)
		}
	}
	return n
}

func (r *rig) starts(s *submission) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for name, seen := range r.seen {
		if strings.HasPrefix(name, s.id+".") {
			n += seen.starts
		}
	}
	return n
}
