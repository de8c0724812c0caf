package jobs

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// Prefixes of the keys of a job's records in the log.
const (
	submissionPrefix   = "s/"
	progressPrefix     = "p/"
	cancellationPrefix = "c/"
	earlyEndsPrefix    = "e/"
)

// InterferenceModelKey is the key of the leader's interference model. Losing
// the record does no harm.
const InterferenceModelKey = "learned"

// workerPrefix is the key prefix of the workers that the leader tracks. They
// are recorded because the directory may drop a worker for a while although it
// still runs tasks.
const workerPrefix = "w/"

// legacyWorkersKey is the key of a single record of all workers, which exceeded
// the record size limit at about 2,600 workers. Leaders of earlier releases
// write it.
const legacyWorkersKey = "workers"

// Record is one keyed record of the log. An empty value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// Framing of a record in the log: the record length, then the key length.
const (
	// MaxKeyBytes is the largest key length that the one-byte field can hold.
	MaxKeyBytes       = 255
	keyLengthBytes    = 1
	recordLengthBytes = 4
)

// ContentBytes returns the size that counts towards the log's record limit: the
// key length field, the key and the value.
func (r Record) ContentBytes() int { return keyLengthBytes + len(r.Key) + len(r.Value) }

// EncodedBytes returns the size of the record in an append request.
func (r Record) EncodedBytes() int { return recordLengthBytes + r.ContentBytes() }

// Entry is the state of one job, built from its records in the log.
type Entry struct {
	// Job is nil if the log holds no submission record, for example after its
	// deletion.
	Job       *Job
	Progress  *Progress
	Cancelled bool
	// EarlyEnds are ends of runs that were recorded before the submission.
	EarlyEnds []EarlyEnd
	// progressBytes is the size of the progress record, bytes the entry's part of
	// the state machine's footprint.
	progressBytes, bytes int64
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

// StateMachine is the replicated state of all jobs, built by applying the
// records of the log in order. It is not safe for concurrent use.
type StateMachine struct {
	Jobs map[ID]*Entry
	// InterferenceModel is the newest record of a leader's interference model.
	InterferenceModel []byte
	// Workers holds the newest record of each worker that a leader has tracked.
	Workers map[string][]byte
	// LegacyWorkers is the single record of all workers that a leader of an
	// earlier release has written.
	LegacyWorkers []byte
	footprint     int64
}

// NewStateMachine returns an empty state machine.
func NewStateMachine() *StateMachine {
	return &StateMachine{Jobs: map[ID]*Entry{}, Workers: map[string][]byte{}}
}

// Footprint returns the memory that the jobs take at the instance that leads, in
// bytes. All instances that have applied the same records agree on it.
func (m *StateMachine) Footprint() int64 { return m.footprint }

// SubmittedEntry returns the entry of a job that has been submitted, or nil.
func (m *StateMachine) SubmittedEntry(id ID) *Entry {
	entry := m.Jobs[id]
	if entry == nil || (entry.Job == nil && entry.Progress == nil) {
		return nil
	}
	return entry
}

// Apply applies a record and returns the id of its job, or "" if the record
// does not belong to a job.
func (m *StateMachine) Apply(r Record) (ID, error) {
	switch r.Key {
	case InterferenceModelKey:
		m.InterferenceModel = r.Value
		return "", nil
	case legacyWorkersKey:
		m.LegacyWorkers = r.Value
		return "", nil
	}
	if worker, ok := strings.CutPrefix(r.Key, workerPrefix); ok {
		if len(r.Value) == 0 {
			delete(m.Workers, worker)
		} else {
			m.Workers[worker] = r.Value
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
		m.remove(prefix, id)
		return id, nil
	}
	entry := m.Jobs[id]
	if entry == nil {
		entry = &Entry{}
		m.Jobs[id] = entry
	}
	err := entry.apply(prefix, r.Value)
	entry.release()
	m.measure(entry)
	return id, err
}

// measure updates the footprint after a change of an entry.
func (m *StateMachine) measure(e *Entry) {
	bytes := e.footprint()
	m.footprint += bytes - e.bytes
	e.bytes = bytes
}

func (e *Entry) apply(prefix string, value []byte) error {
	switch prefix {
	case submissionPrefix:
		// The first submission of an id wins; repeated ones are ignored.
		if e.Job != nil {
			return nil
		}
		job, err := DecodeJob(value)
		if err != nil {
			return err
		}
		e.Job = job
		e.fitSchedule()
	case progressPrefix:
		progress := &Progress{}
		if err := json.Unmarshal(value, progress); err != nil {
			return errors.Wrap(err, "decode progress")
		}
		e.Progress, e.progressBytes = progress, int64(len(value))
		e.fitSchedule()
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

// fitSchedule converts the progress of a schedule to the present form: records of
// earlier releases hold a row for each of its steps.
func (e *Entry) fitSchedule() {
	if e.Job != nil && e.Job.Repeat > 0 && e.Progress != nil {
		e.Progress.Fit(e.Job)
	}
}

func (m *StateMachine) remove(prefix string, id ID) {
	entry := m.Jobs[id]
	if entry == nil {
		return
	}
	switch prefix {
	case submissionPrefix:
		entry.Job = nil
	case progressPrefix:
		entry.Progress, entry.progressBytes = nil, 0
	case cancellationPrefix:
		entry.Cancelled = false
	case earlyEndsPrefix:
		entry.EarlyEnds = nil
	}
	if entry.Job == nil && entry.Progress == nil && !entry.Cancelled && entry.EarlyEnds == nil {
		m.footprint -= entry.bytes
		delete(m.Jobs, id)
		return
	}
	m.measure(entry)
}

// EncodeJob returns the value of a job's submission record.
func EncodeJob(job *Job) ([]byte, error) { return json.Marshal(job) }

// DecodeJob decodes the value of a submission record.
func DecodeJob(value []byte) (*Job, error) {
	job := &Job{}
	if err := json.Unmarshal(value, job); err != nil {
		return nil, errors.Wrap(err, "decode job")
	}
	return job, job.checkStructure()
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

// DropRecords returns the records that delete a final job from the log.
func DropRecords(id ID) []Record {
	return []Record{
		{Key: submissionPrefix + string(id)},
		DropCancellation(id),
		{Key: progressPrefix + string(id)},
		DropEarlyEnds(id),
	}
}

// DropEarlyEnds returns the record that deletes a job's early ends.
func DropEarlyEnds(id ID) Record { return Record{Key: earlyEndsPrefix + string(id)} }

// DropCancellation returns the record that deletes a job's cancellation.
func DropCancellation(id ID) Record { return Record{Key: cancellationPrefix + string(id)} }

// WorkerRecord returns the record of a worker; a nil value deletes it.
func WorkerRecord(worker string, value []byte) Record {
	return Record{Key: workerPrefix + worker, Value: value}
}

// DropLegacyWorkers returns the record that deletes the single record of all
// workers.
func DropLegacyWorkers() Record { return Record{Key: legacyWorkersKey} }

// SubmissionID returns the id of the job that a record submits, or "" for any
// other record.
func SubmissionID(r Record) ID {
	if id, ok := strings.CutPrefix(r.Key, submissionPrefix); ok && len(r.Value) > 0 {
		return ID(id)
	}
	return ""
}

// ProgressID returns the id of the job whose progress a record holds, or "" for
// any other record.
func ProgressID(r Record) ID {
	if id, ok := strings.CutPrefix(r.Key, progressPrefix); ok && len(r.Value) > 0 {
		return ID(id)
	}
	return ""
}
