package standin

import (
	"hash/crc32"
	"io"
	"net/http"
	"sort"
	"strconv"
	"time"

	"redwingvale/internal/delay"
	"redwingvale/internal/platform"
)

// Headers between an entry and a target. RequestIDHeader identifies the request
// to the Checker; IdempotentHeader states whether it may run twice.
const (
	RequestIDHeader  = "Redwingvale-Request-Id"
	IdempotentHeader = "Redwingvale-Idempotent"
	ChecksumHeader   = "Checksum-Crc32"
	NotRunHeader     = "Redwingvale-Not-Run"
)

// readingWindow is the period over which the target's latency is measured.
const readingWindow = 500 * time.Millisecond

// maxRequestBytes limits the size of a request body.
const maxRequestBytes = 16 << 20

// Target answers urgent requests on a worker. Each takes ServiceTime, stretched
// by noisy tasks on the same worker and by the worker's faults.
type Target struct {
	Worker      *Worker
	ServiceTime time.Duration
	conns       *connTracker
}

// ServeHTTP implements http.Handler. The response body is the request's id and
// body, and a header carries its checksum, so that a caller can check that the
// response is complete and belongs to its request.
func (t *Target) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if t.conns != nil && t.conns.isMuted(in.RemoteAddr) {
		<-in.Context().Done()
		return
	}
	if in.URL.Path == "/healthz" {
		out.WriteHeader(http.StatusOK)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(out, in.Body, maxRequestBytes))
	if err != nil {
		out.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	start := time.Now()
	stretch := t.Worker.beginRequest()
	defer func() { t.Worker.endRequest(time.Since(start)) }()
	id := in.Header.Get(RequestIDHeader)
	t.Worker.checker.requestRan(id, in.Header.Get(IdempotentHeader) == "true")
	if err := delay.Wait(in.Context(), time.Duration(float64(t.ServiceTime)*stretch)); err != nil {
		return
	}
	response := append([]byte(id+"\n"), body...)
	out.Header().Set(ChecksumHeader, strconv.FormatUint(uint64(crc32.ChecksumIEEE(response)), 16))
	out.Header().Set("Content-Length", strconv.Itoa(len(response)))
	if _, err := out.Write(response); err != nil {
		return
	}
}

// beginRequest takes a slot and returns the factor that stretches the service
// time.
func (w *Worker) beginRequest() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.inFlight++
	w.checkLeaving("request")
	w.checkCapacity()
	return w.stretch()
}

func (w *Worker) stretch() float64 {
	factor := 1.0
	if w.faults.SlowFactor > 0 {
		factor = w.faults.SlowFactor
	}
	for _, task := range w.tasks {
		noisy := task.command.JobKind == NoisyKind
		if noisy && task.state == platform.TaskRunning {
			factor += slowdownPerTask * float64(task.throttle) / 100
		}
	}
	return factor
}

func (w *Worker) endRequest(took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	w.latencies = append(w.latencies, took)
}

// measure takes a reading when the current reading window has ended.
func (w *Worker) measure() {
	now := w.clock()
	last := time.Duration(0)
	if n := len(w.readings); n > 0 {
		last = w.readings[n-1].at
	}
	if now-last < readingWindow {
		return
	}
	next := reading{at: now, load: float64(len(w.latencies)) / (now - last).Seconds()}
	if n := len(w.latencies); n > 0 {
		sort.Slice(w.latencies, func(i, j int) bool { return w.latencies[i] < w.latencies[j] })
		next.p99 = w.latencies[(n*99)/100]
	}
	w.latencies = w.latencies[:0]
	w.readings = append(w.readings, next)
	if len(w.readings) > 8 {
		w.readings = w.readings[1:]
	}
}

// laggedReading returns the newest reading that is at least reportLag old.
func (w *Worker) laggedReading(now time.Duration) reading {
	for i := len(w.readings) - 1; i >= 0; i-- {
		if now-w.readings[i].at >= reportLag {
			return w.readings[i]
		}
	}
	return reading{}
}
