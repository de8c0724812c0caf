package grant

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/spec"

	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

func newTestLedger(entries, workers int) *Ledger {
	l := NewLedger(DefaultOptions())
	var names []spec.InstanceID
	for i := range entries {
		names = append(names, spec.InstanceID(fmt.Sprintf("e%d", i)))
	}
	l.SetEntries(names)
	for i := range workers {
		capacity := spec.Resources{MilliCPU: 32000, MemoryMiB: 125000, Slots: 8, Connections: 60}
		l.SetWorker(spec.Worker{ID: spec.WorkerID(fmt.Sprintf("w%02d", i)), Capacity: capacity}, false)
	}
	return l
}

func renewal(entry string, sequence uint64, want uint32) *schedv1.RenewGrantsRequest {
	return &schedv1.RenewGrantsRequest{
		Entry: entry, EntryIncarnation: 1, Sequence: sequence,
		RunningMs: 60_000,
		Holdings:  []*schedv1.Holding{{Worker: "w00", Want: want, Epoch: 2}},
	}
}

// Guards against an entry that gets more than its share, a share that an
// earlier request took away from others permanently, and a grant that is
// valid beyond the ownership lease.
func TestShareIsFairAndBounded(t *testing.T) {
	c := qt.New(t)
	l := newTestLedger(7, 1)
	lease := OwnershipLease{Epoch: 3, Until: 10 * time.Second}
	total := uint32(0)
	for round := uint64(1); round <= 3; round++ {
		total = 0
		now := time.Duration(round) * 3 * time.Second / 10
		for i := range 7 {
			for _, g := range l.Renew(now, lease, renewal(fmt.Sprintf("e%d", i), round, 8)) {
				c.Assert(g.GetSlots() <= 2, qt.IsTrue)
				total += g.GetSlots()
			}
		}
	}
	c.Assert(total, qt.Equals, uint32(8))
	lease.Until = 9500 * time.Millisecond
	late := l.Renew(9*time.Second, lease, renewal("e0", 9, 8))
	c.Assert(late[0].GetValidMs(), qt.Equals, uint32(500))
	c.Assert(l.Renew(lease.Until, lease, renewal("e0", 10, 8)), qt.HasLen, 0)
}

// Guards against slots that stay allocated after their entry returned them,
// and against undetected tasks that hold slots which urgent work wants.
func TestUnusedSlotsAreReleasedAndPressureReported(t *testing.T) {
	c := qt.New(t)
	l := newTestLedger(2, 1)
	lease := OwnershipLease{Epoch: 1, Until: time.Minute}
	l.Renew(0, lease, renewal("e0", 1, 8))
	need := spec.Resources{MilliCPU: 1, Slots: 6}
	c.Assert(l.Reserve(0, spec.TaskID{Index: 1}, "w00", need), qt.IsFalse)
	l.Renew(time.Millisecond, lease, renewal("e0", 2, 0))
	c.Assert(l.Reserve(time.Millisecond, spec.TaskID{Index: 1}, "w00", need), qt.IsTrue)
	c.Assert(l.Pressure(time.Millisecond), qt.HasLen, 0)
	grants := l.Renew(2*time.Millisecond, lease, renewal("e0", 3, 4))
	c.Assert(grants[0].GetSlots(), qt.Equals, uint32(2))
	c.Assert(l.Pressure(2*time.Millisecond), qt.DeepEquals,
		[]Pressure{{Worker: "w00", Need: spec.Resources{Slots: 2}}})
}

// Guards against a takeover that leaves no slots to the reachable entries:
// with two of seven unreachable, at least 2 of 8 must be free immediately.
func TestTakeOverLeavesSlotsToReachableEntries(t *testing.T) {
	c := qt.New(t)
	l := newTestLedger(7, 1)
	l.TakeOver(0, nil)
	lease := OwnershipLease{Epoch: 2, Until: time.Minute}
	for i := range 5 {
		l.Renew(time.Millisecond, lease, renewal(fmt.Sprintf("e%d", i), 1, 0))
	}
	total := uint32(0)
	for i := range 5 {
		for _, g := range l.Renew(2*time.Millisecond, lease, renewal(fmt.Sprintf("e%d", i), 2, 2)) {
			total += g.GetSlots()
		}
	}
	c.Assert(total, qt.Equals, uint32(4))
}

// Guards against a renewal whose cost grows faster than the number of
// workers it covers.
func BenchmarkRenewGrants(b *testing.B) {
	for _, workers := range []int{8, 65} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			l := newTestLedger(7, workers)
			lease := OwnershipLease{Epoch: 1, Until: 1 << 60}
			req := &schedv1.RenewGrantsRequest{EntryIncarnation: 1}
			for i := range workers {
				req.Holdings = append(req.Holdings, &schedv1.Holding{Worker: fmt.Sprintf("w%02d", i), Want: 2, InUse: 1})
			}
			now := time.Duration(0)
			b.ReportAllocs()
			for b.Loop() {
				now += 43 * time.Millisecond
				req.Entry = fmt.Sprintf("e%d", req.Sequence%7)
				req.Sequence++
				l.Renew(now, lease, req)
			}
		})
	}
}
