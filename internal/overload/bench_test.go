package overload

import (
	"fmt"
	"runtime"
	"testing"
	"unsafe"
)

// backlogOf returns a model in which some tasks wait, in steps of 20, with
// deadlines that differ.
func backlogOf(tasks int) *site {
	s := newSite()
	s.ready()
	s.overloadBatch()
	for i := range tasks / 20 {
		s.nowMS++
		s.accept(batchJob(fmt.Sprint("w", i), 20), 20, BestEffort, 7000)
	}
	s.advance(400)
	return s
}

// BenchmarkCheck measures a decision, with the count of its result.
func BenchmarkCheck(b *testing.B) {
	for _, tasks := range []int{2000, 20_000} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			s := backlogOf(tasks)
			subs := make([]*Submission, 1000)
			for i := range subs {
				subs[i] = batchJob(fmt.Sprint("n", i), int64(1+i%40))
			}
			b.ReportAllocs()
			refused := 0
			for i := 0; b.Loop(); i++ {
				sub := subs[i%len(subs)]
				v := s.m.Check(sub, s.nowMS)
				if v.Refuse {
					refused++
					s.m.Refused(sub, &v, s.nowMS)
				} else {
					s.m.Accepted(sub, &v)
				}
			}
			b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
		})
	}
}

// BenchmarkWaitAndStart measures what a task costs that waits, starts and ends.
func BenchmarkWaitAndStart(b *testing.B) {
	s := backlogOf(20_000)
	_, step := s.accept(batchJob("one", 20), 20, BestEffort, 7000)
	b.ReportAllocs()
	for b.Loop() {
		s.m.Wait(step, s.nowMS)
		s.m.Unwait(step, s.nowMS)
		s.m.Begin(step)
		s.m.End(step)
	}
}

// BenchmarkMemory reports the bytes of a queue, of each of its size classes, and of
// a job and a step that wait.
func BenchmarkMemory(b *testing.B) {
	heap := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	for b.Loop() {
		m := New(0)
		base := heap()
		for i := range maxQueues {
			m.SetQueue(fmt.Sprint("q", i), Policy{Service: "s"})
		}
		b.ReportMetric(float64(heap()-base)/maxQueues, "B/queue")
		runtime.KeepAlive(m)
	}
	var q queue
	perClass := unsafe.Sizeof(q.waiting[0]) + unsafe.Sizeof(q.offered[0]) + unsafe.Sizeof(q.admitted[0])
	b.ReportMetric(float64(unsafe.Sizeof(Model{})), "B/model")
	b.ReportMetric(float64(perClass), "B/class")
	b.ReportMetric(float64(unsafe.Sizeof(Job{})), "B/job")
	b.ReportMetric(float64(unsafe.Sizeof(Step{})+unsafe.Sizeof(&Step{})), "B/step")
}
