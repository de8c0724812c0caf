//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"redwingvale/platform/standin"
)

// cases are the cases by their names. Each returns an error if it could not run.
var cases = map[string]func(*site) error{
	"other-kind":  otherKind,
	"slow-advice": slowAdvice,
	"schedules":   schedules,
	"hand-over":   handOver,
}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", "", "folder for settings, logs and record.txt")
	rwnode := flag.String("rwnode", "target/rwnode", "program of the deploy file")
	flag.Parse()
	os.Exit(play(*name, *dir, *rwnode))
}

// timeLimit ends a run that takes too long, which has not run then.
const timeLimit = 115 * time.Second

// play returns 0 if the rule held, 1 if it was broken and 2 if the case could not run.
func play(name, dir, rwnode string) int {
	s, err := newSite(dir, rwnode, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(timeLimit):
		}
		s.close()
		os.Exit(2)
	}()
	run := cases[name]
	if run == nil {
		err = errors.New("no such case")
	} else {
		s.log("case %s, trouble %v", name, s.trouble)
		err = run(s)
	}
	if err != nil {
		s.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logLocked("violations: %d", len(s.violations))
	fmt.Printf("violations: %d\n", len(s.violations))
	for i, v := range s.violations {
		if i < 5 {
			fmt.Println(v)
		}
	}
	if len(s.violations) > 0 {
		return 1
	}
	return 0
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a submission in until it is accepted, at most five times, and reports
// whether it was.
func (s *site) submit(sub *submission) bool {
	body := map[string]any{"spec": "work " + sub.id, "steps": sub.steps}
	if sub.repeat > 0 {
		body["repeatCount"], body["startAtMs"], body["intervalMs"] = sub.repeat, sub.startAtMS, sub.intervalMS
	}
	encoded, _ := json.Marshal(body)
	s.mu.Lock()
	s.jobs[sub.id] = sub
	s.mu.Unlock()
	for try := range 5 {
		status := s.call(http.MethodPost, sub, encoded, nil)
		s.mu.Lock()
		if status == http.StatusOK {
			sub.acceptedAt = time.Now()
		}
		s.logLocked("submission %s (%s) of %d steps, try %d: %d", sub.id, sub.queue, len(sub.steps), try+1, status)
		s.mu.Unlock()
		if status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// look asks for the state of a submission.
func (s *site) look(sub *submission) string {
	var answer struct {
		State string `json:"state"`
	}
	status := s.call(http.MethodGet, sub, nil, &answer)
	s.mu.Lock()
	defer s.mu.Unlock()
	if status == http.StatusOK && answer.State != sub.state {
		sub.state = answer.State
		s.logLocked("submission %s is shown as %s", sub.id, sub.state)
	} else if status != http.StatusOK {
		s.logLocked("look at %s: %d", sub.id, status)
	}
	return answer.State
}

// call makes one request to a random instance and returns the status, or 0.
func (s *site) call(method string, sub *submission, body []byte, into any) int {
	in := s.instances[rand.IntN(len(s.instances))]
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+in.callers+"/"+sub.queue+"/"+sub.id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", strconv.Itoa(3000))
	response, err := s.client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	if into != nil {
		_ = json.Unmarshal(content, into)
	}
	return response.StatusCode
}

// otherKind: a worker crashes and boots as another kind, under its id and at its
// address, while submissions come that require a kind.
func otherKind(s *site) error {
	s.putManifest(route("q1", 0))
	for i := range 8 {
		if _, err := s.addWorker([]string{"a", "b"}[i%2], i, 32_000); err != nil {
			return err
		}
	}
	if err := s.startInstances(); err != nil {
		return err
	}
	end := time.Now().Add(50 * time.Second)
	go func() {
		for time.Now().Before(end) {
			for _, kind := range []string{"a", "b"} {
				go s.submit(&submission{id: newID(), queue: "q1", steps: []step{{Count: 3, CPU: 2300, MemMB: 500, EstimateMS: 400, Requirements: kind, work: 400 * time.Millisecond}}})
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	time.Sleep(5 * time.Second)
	for i := 0; s.trouble && time.Now().Before(end.Add(-4*time.Second)); i++ {
		w := s.workers[0]
		w.crash()
		time.Sleep(1500 * time.Millisecond)
		if err := w.reboot([]string{"b", "a"}[i%2]); err != nil {
			return err
		}
		time.Sleep(8 * time.Second)
	}
	time.Sleep(time.Until(end))
	return nil
}

// slowAdvice: a version of the manifest adds a queue whose advice takes long for many
// workers.
func slowAdvice(s *site) error {
	first, second := advice{300, 20, 10_000}, advice{600, 20, 10_000}
	if s.trouble {
		second.PeriodMS = 90
	}
	advised := func(name string, a advice) map[string]any {
		r := route(name, 0)
		r["advice"] = a.manifest()
		s.adviser.mu.Lock()
		s.adviser.figures[name] = a
		s.adviser.mu.Unlock()
		return r
	}
	old := advised("q1", first)
	s.putManifest(old)
	for i := range 48 {
		if _, err := s.addWorker("a", i, 32_000); err != nil {
			return err
		}
	}
	if err := s.startInstances(); err != nil {
		return err
	}
	hand := func(queue string) *submission {
		sub := &submission{id: newID(), queue: queue, steps: []step{{Count: 4, CPU: 2300, MemMB: 500, EstimateMS: 400, work: 400 * time.Millisecond}}}
		s.submit(sub)
		return sub
	}
	var subs []*submission
	for range 3 {
		subs = append(subs, hand("q1"))
		time.Sleep(2 * time.Second)
	}
	s.putManifest(old, advised("q2", second))
	time.Sleep(4 * time.Second)
	for range 5 {
		subs = append(subs, hand("q2"))
		time.Sleep(4 * time.Second)
	}
	// finish_s after the end of the traffic, and 3 s of nothing running.
	time.Sleep(20 * time.Second)
	for _, sub := range subs {
		state := s.look(sub)
		s.mu.Lock()
		if !sub.acceptedAt.IsZero() && sub.firstStart.IsZero() {
			s.violationLocked("LOST: %s (%s) was accepted %.1f s ago, is shown as %q and has never had anything running, while all %d workers are idle", sub.id, sub.queue, time.Since(sub.acceptedAt).Seconds(), state, len(s.workers))
		}
		s.mu.Unlock()
	}
	return nil
}

// schedules: submissions that run once an hour for a year come at once.
func schedules(s *site) error {
	s.putManifest(route("q1", 0), route("q2", 2))
	for i := range 8 {
		if _, err := s.addWorker("a", i, 32_000); err != nil {
			return err
		}
	}
	if err := s.startInstances(); err != nil {
		return err
	}
	go s.enforceMemory()
	var quick []*submission
	hand := func() {
		sub := &submission{id: newID(), queue: "q1", steps: []step{{Count: 3, CPU: 2300, MemMB: 500, EstimateMS: 400, work: 400 * time.Millisecond}}}
		quick = append(quick, sub)
		s.submit(sub)
	}
	for range 5 {
		hand()
		time.Sleep(time.Second)
	}
	occurrences := 24
	if s.trouble {
		occurrences = 365 * 24
	}
	for range 20 {
		go s.submit(&submission{
			id: newID(), queue: "q2", repeat: occurrences, startAtMS: time.Now().Add(time.Hour).UnixMilli(), intervalMS: time.Hour.Milliseconds(),
			steps: []step{{Count: 8, CPU: 3500, MemMB: 500, EstimateMS: 2200, work: 2200 * time.Millisecond}, {Count: 2, CPU: 500, MemMB: 100, EstimateMS: 500, After: []int{0}, work: 500 * time.Millisecond}},
		})
		time.Sleep(250 * time.Millisecond)
	}
	for end := time.Now().Add(55 * time.Second); time.Now().Before(end); {
		hand()
		time.Sleep(time.Second)
	}
	repeated := 0
	for _, in := range s.instances {
		in.mu.Lock()
		s.log("%s: %d starts, %d ends by itself, %d of them over its memory limit, at most %d MB", in.name, in.starts, in.ends, in.overLimit, in.peakMB)
		if in.ends >= 3 {
			repeated++
		}
		in.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := 0
	for _, sub := range quick {
		if !sub.acceptedAt.IsZero() && sub.firstStart.IsZero() {
			waiting++
		}
	}
	s.logLocked("of %d urgent submissions %d were accepted and have not begun", len(quick), waiting)
	if repeated >= 2 {
		s.violationLocked("FAULT: on %d of %d machines processes have ended by themselves three times (memory over the limit)", repeated, len(s.instances))
	}
	return nil
}

// handOver: the store turns the leading instance away and serves the others, while
// tasks run that fail each time; at each hand-over one worker leaves one order
// unanswered.
func handOver(s *site) error {
	const attempts = 4
	s.putManifest(route("q1", 0))
	for i := range 16 {
		if _, err := s.addWorker("a", i, 32_000); err != nil {
			return err
		}
	}
	s.workers[3].unanswered, s.workers[9].unanswered = s.trouble, s.trouble
	if err := s.startInstances(); err != nil {
		return err
	}
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(33 * time.Millisecond):
				go s.submit(&submission{id: newID(), queue: "q1", steps: []step{{Count: 8, CPU: 300, MemMB: 50, EstimateMS: 100, work: 100 * time.Millisecond}}})
			}
		}
	}()
	time.Sleep(2 * time.Second)
	for range 7 {
		for range 16 {
			go s.submit(&submission{id: newID(), queue: "q1", steps: []step{{
				Count: 1, CPU: 500, MemMB: 100, EstimateMS: 200, work: time.Duration(150+rand.IntN(100)) * time.Millisecond, fails: true,
			}}})
			time.Sleep(20 * time.Millisecond)
		}
		s.mu.Lock()
		leader := s.writer
		s.mu.Unlock()
		if s.trouble {
			s.log("the store turns %s away", leader)
			s.store.SetFault(leader, standin.StoreFault{Refuse: true})
		}
		time.Sleep(4 * time.Second)
		s.store.SetFault(leader, standin.StoreFault{})
		s.log("the store serves %s", leader)
		time.Sleep(5 * time.Second)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	noted := map[string][]*end{}
	for _, e := range s.ends {
		if e.how == "failed" && e.acknowledged && !e.lapsed {
			noted[e.task] = append(noted[e.task], e)
		}
	}
	for _, sub := range s.jobs {
		for task, starts := range sub.startedAt {
			slices.SortFunc(starts, time.Time.Compare)
			for _, at := range starts {
				before := slices.DeleteFunc(slices.Clone(noted[task]), func(e *end) bool { return !e.at.Before(at) })
				if len(before) < attempts {
					continue
				}
				var history []string
				for _, e := range before {
					history = append(history, fmt.Sprintf("run %d on %s failed at %.3f, first listed at %.3f, taken note of at %.3f", e.number, e.worker,
						e.at.Sub(s.start).Seconds(), e.listedAt.Sub(s.start).Seconds(), e.noteTakenAt.Sub(s.start).Seconds()))
				}
				s.violationLocked("BUDGET: %s starts at %.3f after %d runs have ended failed (maxAttempts %d): %s", task, at.Sub(s.start).Seconds(), len(before), attempts, strings.Join(history, "; "))
			}
		}
	}
	return nil
}
