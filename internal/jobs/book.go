package jobs

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// Prefixes of the keys under which the log keeps a job.
const (
	submissionPrefix   = "s/"
	progressPrefix     = "p/"
	cancellationPrefix = "c/"
	earlyEndsPrefix    = "e/"
)

// LearnedKey holds what the leader has learned of the jobs' behaviour. It may
// be lost without harm.
const LearnedKey = "learned"

// workerPrefix begins the keys of the workers that the leader knows: the
// directory may drop one for a while although it still runs tasks.
const workerPrefix = "w/"

// allWorkersKey held all workers in one record, which outgrew the limit of a
// record at some 2,600 workers. Leaders of earlier releases write it.
const allWorkersKey = "workers"

// Record is one keyed record of the log. A record without a value drops its key.
type Record struct {
	Key   string
	Value []byte
}

// Framing of a record in the log: the length of its key, and its own length.
const (
	// MaxKeyBytes is what the length of a key can state in one byte.
	MaxKeyBytes    = 255
	keyLengthBytes = 1
	lengthBytes    = 4
)

// ContentBytes is what counts towards the log's limit of a record: the key, its
// length and the value.
func (r Record) ContentBytes() int { return keyLengthBytes + len(r.Key) + len(r.Value) }

// EncodedBytes is the record's share of an append.
func (r Record) EncodedBytes() int { return lengthBytes + r.ContentBytes() }

// Entry is what the log says of one job.
type Entry struct {
	// Job is nil once the job's submission has been dropped from the log.
	Job       *Job
	Progress  *Progress
	Cancelled bool
	// EarlyEnds are ends of runs that were recorded before the submission.
	EarlyEnds []EarlyEnd
}

// State returns the recorded state of the job.
func (e *Entry) State() State {
	switch {
	case e.Progress != nil && e.Progress.State.Final():
		return e.Progress.State
	case e.Cancelled:
		return Cancelled
	case e.Progress != nil:
		return e.Progress.State
	default:
		return Queued
	}
}

// Book is the replicated state of all jobs: the records of the log applied
// in the order of the log. It is not safe for concurrent use.
type Book struct {
	Jobs map[ID]*Entry
	// Learned is the newest record of what a leader has learned.
	Learned []byte
	// Workers holds the newest record of each worker that a leader knew.
	Workers map[string][]byte
	// AllWorkers is the one record of all workers by an earlier release.
	AllWorkers []byte
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{Jobs: map[ID]*Entry{}, Workers: map[string][]byte{}} }

// Known returns the entry of a job that has been submitted, or nil.
func (b *Book) Known(id ID) *Entry {
	entry := b.Jobs[id]
	if entry == nil || (entry.Job == nil && entry.Progress == nil) {
		return nil
	}
	return entry
}

// Apply applies a record and returns the job it is about, or "" for a record
// that is not about a job.
func (b *Book) Apply(r Record) (ID, error) {
	switch r.Key {
	case LearnedKey:
		b.Learned = r.Value
		return "", nil
	case allWorkersKey:
		b.AllWorkers = r.Value
		return "", nil
	}
	if worker, ok := strings.CutPrefix(r.Key, workerPrefix); ok {
		if len(r.Value) == 0 {
			delete(b.Workers, worker)
		} else {
			b.Workers[worker] = r.Value
		}
		return "", nil
	}
	if len(r.Key) < 3 {
		return "", nil
	}
	prefix, id := r.Key[:2], ID(r.Key[2:])
	switch prefix {
	case submissionPrefix, progressPrefix, cancellationPrefix, earlyEndsPrefix:
	default:
		return "", nil
	}
	if len(r.Value) == 0 {
		b.drop(prefix, id)
		return id, nil
	}
	entry := b.Jobs[id]
	if entry == nil {
		entry = &Entry{}
		b.Jobs[id] = entry
	}
	return id, entry.apply(prefix, r.Value)
}

func (e *Entry) apply(prefix string, value []byte) error {
	switch prefix {
	case submissionPrefix:
		// The first submission of an id stands; a repeat changes nothing.
		if e.Job != nil {
			return nil
		}
		job, err := DecodeJob(value)
		if err != nil {
			return err
		}
		e.Job = job
	case progressPrefix:
		progress := &Progress{}
		if err := json.Unmarshal(value, progress); err != nil {
			return errors.Wrap(err, "decode progress")
		}
		e.Progress = progress
	case cancellationPrefix:
		e.Cancelled = true
	case earlyEndsPrefix:
		var ends []EarlyEnd
		if err := json.Unmarshal(value, &ends); err != nil {
			return errors.Wrap(err, "decode early ends")
		}
		e.EarlyEnds = ends
	}
	return nil
}

func (b *Book) drop(prefix string, id ID) {
	entry := b.Jobs[id]
	if entry == nil {
		return
	}
	switch prefix {
	case submissionPrefix:
		entry.Job = nil
	case progressPrefix:
		entry.Progress = nil
	case cancellationPrefix:
		entry.Cancelled = false
	case earlyEndsPrefix:
		entry.EarlyEnds = nil
	}
	if entry.Job == nil && entry.Progress == nil && !entry.Cancelled && entry.EarlyEnds == nil {
		delete(b.Jobs, id)
	}
}

// EncodeJob returns the value of a job's submission record.
func EncodeJob(job *Job) ([]byte, error) { return json.Marshal(job) }

// DecodeJob reads the value of a submission record.
func DecodeJob(value []byte) (*Job, error) {
	job := &Job{}
	if err := json.Unmarshal(value, job); err != nil {
		return nil, errors.Wrap(err, "decode job")
	}
	return job, job.checkShape()
}

// SubmissionRecord returns the record that submits an encoded job.
func SubmissionRecord(id ID, encoded []byte) Record {
	return Record{Key: submissionPrefix + string(id), Value: encoded}
}

// CancellationRecord returns the record that cancels a job.
func CancellationRecord(id ID) Record {
	return Record{Key: cancellationPrefix + string(id), Value: []byte("1")}
}

// ProgressRecord returns the record of a job's progress.
func ProgressRecord(id ID, p *Progress) (Record, error) {
	value, err := json.Marshal(p)
	return Record{Key: progressPrefix + string(id), Value: value}, errors.Wrap(err, "encode progress")
}

// DropRecords returns the records that remove a final job from the log.
func DropRecords(id ID) []Record {
	return []Record{
		{Key: submissionPrefix + string(id)},
		{Key: cancellationPrefix + string(id)},
		{Key: progressPrefix + string(id)},
		DropEarlyEnds(id),
	}
}

// DropEarlyEnds returns the record that removes a job's early ends.
func DropEarlyEnds(id ID) Record { return Record{Key: earlyEndsPrefix + string(id)} }

// WorkerRecord returns the record of a worker; nil drops it.
func WorkerRecord(worker string, value []byte) Record {
	return Record{Key: workerPrefix + worker, Value: value}
}

// DropAllWorkers returns the record that removes the one record of all workers.
func DropAllWorkers() Record { return Record{Key: allWorkersKey} }

// Submitted returns the job that a record submits, or "".
func Submitted(r Record) ID {
	if id, ok := strings.CutPrefix(r.Key, submissionPrefix); ok && len(r.Value) > 0 {
		return ID(id)
	}
	return ""
}

// Progressed returns the job whose progress a record holds, or "".
func Progressed(r Record) ID {
	if id, ok := strings.CutPrefix(r.Key, progressPrefix); ok && len(r.Value) > 0 {
		return ID(id)
	}
	return ""
}
