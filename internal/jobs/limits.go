package jobs

import (
	"encoding/base64"

	"redwingvale/internal/code"
)

// Limits are the log's limits in bytes; 0 is no limit.
type Limits struct {
	// Record bounds the content of one record, Request the records of one append.
	Record, Request int
}

// Allows reports whether the log takes a record.
func (l Limits) Allows(r Record) bool {
	return len(r.Key) <= MaxKeyBytes && (l.Record <= 0 || r.ContentBytes() <= l.Record) &&
		(l.Request <= 0 || r.EncodedBytes() <= l.Request)
}

// doneShare is the part of a record that the bits of a job's finished tasks may
// take; the rest is left for its failures and run numbers.
const doneShare = 2

// CheckRecords returns an error with a result code for a job whose records the
// log would not take: its submission, or its progress once tasks have finished.
func (l Limits) CheckRecords(id ID, job *Job, encoded []byte) error {
	submission := SubmissionRecord(id, encoded)
	if !l.Allows(submission) {
		return code.New(code.BodyTooLarge, "record of %d bytes, at most %d", submission.ContentBytes(), l.Record)
	}
	if l.Record <= 0 {
		return nil
	}
	row := 0
	for i := range job.Steps {
		// A row is base64 in quotes and a comma.
		row += base64.StdEncoding.EncodedLen((job.Steps[i].Count+7)/8) + 3
	}
	if most := l.Record / doneShare / max(row, 1); job.Occurrences() > most {
		return code.New(code.BodyTooLarge, "%d occurrences, at most %d of this size", job.Occurrences(), most)
	}
	return nil
}
