package sched

import (
	"context"
	"sync"
	"time"

	"redwingvale/internal/platform"
	"redwingvale/internal/ring"
	"redwingvale/internal/spec"
)

// Limits of the links to workers.
const (
	// workerTimeout bounds one exchange with a worker.
	workerTimeout = 900 * time.Millisecond
	// workerRingSize is the number of batches that may wait for one worker.
	workerRingSize = 256
	// mergedCommands bounds the commands that travel in one exchange.
	mergedCommands = 512
)

// outgoingBatch is a batch on its way to a worker.
type outgoingBatch struct {
	group  spec.GroupID
	worker spec.Worker
	batch  platform.CommandBatch
}

// workerAnswered is the event that an exchange with a worker has ended.
type workerAnswered struct {
	group  spec.GroupID
	worker spec.WorkerID
	report platform.WorkerReport
	err    error
	// sentAt and receivedAt are on this process's monotonic clock.
	sentAt     time.Duration
	receivedAt time.Duration
}

// workerLinks runs one duty for each worker that this instance talks to. A
// worker gets one exchange at a time; batches that wait are merged.
type workerLinks struct {
	workers platform.Workers
	clock   func() time.Duration
	deliver func(context.Context, event)

	mu    sync.Mutex
	links map[spec.WorkerID]*ring.Ring[outgoingBatch]
	group sync.WaitGroup
}

func newWorkerLinks(workers platform.Workers, clock func() time.Duration, deliver func(context.Context, event)) *workerLinks {
	return &workerLinks{
		workers: workers,
		clock:   clock,
		deliver: deliver,
		links:   make(map[spec.WorkerID]*ring.Ring[outgoingBatch]),
	}
}

// send queues a batch for its worker. A full queue drops the batch, which is
// what an unreachable worker would do with it.
func (l *workerLinks) send(ctx context.Context, out outgoingBatch) {
	l.mu.Lock()
	link, ok := l.links[out.worker.ID]
	if !ok {
		link = ring.New[outgoingBatch](workerRingSize)
		l.links[out.worker.ID] = link
		l.group.Add(1)
		go l.serve(ctx, link)
	}
	l.mu.Unlock()
	link.Offer(out)
}

func (l *workerLinks) wait() { l.group.Wait() }

func (l *workerLinks) serve(ctx context.Context, link *ring.Ring[outgoingBatch]) {
	defer l.group.Done()
	var held *outgoingBatch
	for {
		next, ok := l.next(ctx, link, held)
		if !ok {
			return
		}
		next, held = merge(next, link)
		l.exchange(ctx, next)
	}
}

func (l *workerLinks) next(ctx context.Context, link *ring.Ring[outgoingBatch], held *outgoingBatch) (outgoingBatch, bool) {
	if held != nil {
		return *held, true
	}
	select {
	case out := <-link.Out():
		return out, true
	case <-ctx.Done():
		return outgoingBatch{}, false
	}
}

// merge joins batches of the same group and epoch that wait behind first. A
// batch that cannot be joined is returned as held.
func merge(first outgoingBatch, link *ring.Ring[outgoingBatch]) (merged outgoingBatch, held *outgoingBatch) {
	for len(first.batch.Commands) < mergedCommands {
		select {
		case next := <-link.Out():
			if next.batch.Epoch != first.batch.Epoch || next.group != first.group {
				return first, &next
			}
			first.batch.Commands = append(first.batch.Commands, next.batch.Commands...)
		default:
			return first, nil
		}
	}
	return first, nil
}

func (l *workerLinks) exchange(ctx context.Context, out outgoingBatch) {
	sentAt := l.clock()
	call, cancel := context.WithTimeout(ctx, workerTimeout)
	report, err := l.workers.Do(call, out.worker, out.batch)
	cancel()
	l.deliver(ctx, workerAnswered{
		group:      out.group,
		worker:     out.worker.ID,
		report:     report,
		err:        err,
		sentAt:     sentAt,
		receivedAt: l.clock(),
	})
}
