package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"redwingvale/internal/jobs"
	"redwingvale/platform/standin"
)

const (
	// lossLead is how long submissions are made before a leader is lost, lossWatch
	// how long afterwards.
	lossLead  = time.Second
	lossWatch = 6 * time.Second
	// lossPause is the pause between two submissions of a caller.
	lossPause = 40 * time.Millisecond
	lossPoll  = 5 * time.Millisecond
)

// timedSubmission is a submission that was accepted.
type timedSubmission struct {
	instance        int
	begun, accepted time.Time
}

// loseLeaders loses one leader after the other, by a kill, by a suspension and by a cut
// of its links, while callers submit to each other instance without a pause. It logs
// how long it took until submissions were accepted and tasks started again.
func (r *run) loseLeaders(ctx context.Context, rng *rand.Rand) {
	for cause, name := range []string{"SIGKILL", "SIGSTOP", "a cut of its links"} {
		leader := r.awaitLeader(ctx, nil)
		if leader == nil {
			r.checker.ReportViolation("no instance leads within %s", leaderWait)
			return
		}
		r.faults.Add(1)
		r.loseLeader(ctx, leader, name, func() {
			switch cause {
			case 0:
				_ = leader.stop(syscall.SIGKILL, gracePeriod)
			case 1:
				leader.signal(syscall.SIGSTOP)
			case 2:
				leader.cut(true)
			}
		})
		switch cause {
		case 0:
			r.restart(leader, rng)
		case 1:
			leader.signal(syscall.SIGCONT)
		case 2:
			leader.cut(false)
		}
		for limit := time.Now().Add(startLimit); !leader.ready(r.probe) && time.Now().Before(limit); {
			sleep(ctx, lossPause)
		}
	}
}

// loseLeader loses a leader and logs the times from then on.
func (r *run) loseLeader(ctx context.Context, leader *instance, cause string, lose func()) {
	submitting, end := context.WithCancel(ctx)
	defer end()
	var mu sync.Mutex
	var accepted []timedSubmission
	var callers sync.WaitGroup
	for i, in := range r.instances {
		if in == leader {
			continue
		}
		callers.Add(1)
		go func() {
			defer callers.Done()
			caller := standin.NewCaller(r.checker, callerLimit)
			for ; submitting.Err() == nil; sleep(submitting, lossPause) {
				id := r.registerJob(&jobs.Job{Queue: standin.Queue, Steps: []jobs.Step{{Count: 1, CPUMilli: 100, MemoryMB: 10, EstimateMS: 50}}})
				s := timedSubmission{instance: i, begun: time.Now()}
				if !caller.Submit(ctx, in.callers.address(), id) {
					continue
				}
				s.accepted = time.Now()
				mu.Lock()
				accepted = append(accepted, s)
				mu.Unlock()
			}
		}()
	}
	sleep(ctx, lossLead)
	lost := time.Now()
	lose()
	starts, startedMS := r.checker.Starts(), int64(-1)
	for time.Since(lost) < lossWatch && ctx.Err() == nil {
		sleep(ctx, lossPoll)
		if startedMS < 0 && r.checker.Starts() > starts {
			startedMS = time.Since(lost).Milliseconds()
		}
	}
	end()
	callers.Wait()
	first := map[int]int64{}
	inFlightMS := int64(0)
	for _, s := range accepted {
		ms := s.accepted.Sub(lost).Milliseconds()
		switch {
		case s.begun.Before(lost) && s.accepted.After(lost):
			inFlightMS = max(inFlightMS, ms)
		case s.begun.After(lost):
			if earlier, ok := first[s.instance]; !ok || ms < earlier {
				first[s.instance] = ms
			}
		}
	}
	earliest, latest := int64(-1), int64(0)
	for _, ms := range first {
		if earliest < 0 || ms < earliest {
			earliest = ms
		}
		latest = max(latest, ms)
	}
	r.logFault(lossWatch, "leader %s lost by %s", leader.name, cause)
	if r.options.Log != nil {
		fmt.Fprintf(r.options.Log, "event=leader_lost cause=%q accepted_first_ms=%d accepted_everywhere_ms=%d instances=%d in_flight_ms=%d started_ms=%d\n",
			cause, earliest, latest, len(first), inFlightMS, startedMS)
	}
}
