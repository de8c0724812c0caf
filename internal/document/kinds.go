package document

import "redwingvale/internal/spec"

// kindEntry is one declared kind of either job class.
type kindEntry struct {
	class  spec.Class
	name   string
	path   string
	amount Amount
}

// kinds returns the kinds in the order of the document, deadline kinds first.
func (d *Document) kinds() []kindEntry {
	out := make([]kindEntry, 0, len(d.Deadline)+len(d.LongRunning))
	for i, k := range d.Deadline {
		out = append(out, kindEntry{spec.Deadline, k.Kind, entryPath("deadline", i), k.Amount})
	}
	for i, k := range d.LongRunning {
		out = append(out, kindEntry{spec.LongRunning, k.Kind, entryPath("long_running", i), k.Amount})
	}
	return out
}

// DeadlineKind returns the deadline kind with a name.
func (d *Document) DeadlineKind(name string) (Deadline, bool) {
	for _, k := range d.Deadline {
		if k.Kind == name {
			return k, true
		}
	}
	return Deadline{}, false
}

// LongRunningKind returns the long-running kind with a name.
func (d *Document) LongRunningKind(name string) (LongRunning, bool) {
	for _, k := range d.LongRunning {
		if k.Kind == name {
			return k, true
		}
	}
	return LongRunning{}, false
}

// MustNotLose reports whether the loss of a job of the kind is reported with
// the highest severity.
func (d *Document) MustNotLose(kind string) bool { return containsString(d.NeverLose, kind) }

// UsesClass reports whether the service declares work of a class.
func (d *Document) UsesClass(class spec.Class) bool {
	switch class {
	case spec.Urgent:
		return d.Urgent != nil
	case spec.Deadline:
		return len(d.Deadline) > 0
	case spec.LongRunning:
		return len(d.LongRunning) > 0
	default:
		return false
	}
}

// AllowsDataCentre reports whether the service may run in a data centre.
func (d *Document) AllowsDataCentre(dc spec.DataCentre) bool {
	return containsString(d.DataCentres, string(dc))
}

// amountDim describes one dimension of an Amount: its key, its unit and how to
// access it.
type amountDim struct {
	key  string
	unit string
	get  func(Amount) int64
	set  func(*Amount, int64)
}

var amountDims = []amountDim{
	{"milli_cpu", "thousandths of a core", func(a Amount) int64 { return a.MilliCPU }, func(a *Amount, v int64) { a.MilliCPU = v }},
	{"memory_mib", "MiB", func(a Amount) int64 { return a.MemoryMiB }, func(a *Amount, v int64) { a.MemoryMiB = v }},
	{"accelerators", "accelerators", func(a Amount) int64 { return a.Accelerators }, func(a *Amount, v int64) { a.Accelerators = v }},
	{"slots", "slots", func(a Amount) int64 { return a.Slots }, func(a *Amount, v int64) { a.Slots = v }},
	{"connections", "connections", func(a Amount) int64 { return a.Connections }, func(a *Amount, v int64) { a.Connections = v }},
}

// ceiling returns the quota plus the largest amount that may be borrowed,
// rounded down.
func (q Quota) ceiling() Amount {
	out := q.Amount
	if !q.Borrow {
		return out
	}
	for _, dim := range amountDims {
		own := dim.get(q.Amount)
		dim.set(&out, own+own*q.BorrowPercent/100)
	}
	return out
}

// Ceiling returns what the team may reserve including what it may borrow.
// Zero in a dimension means no limit.
func (q Quota) Ceiling() spec.Resources { return q.ceiling().Resources() }
