package jobs

import (
	"encoding/base64"

	"redwingvale/internal/code"
)

// Limits are the log's size limits in bytes; 0 means no limit.
type Limits struct {
	// Record bounds the content of one record, Request the encoded records of one
	// append.
	Record, Request int
}

// Allows reports whether the log accepts a record of this size.
func (l Limits) Allows(r Record) bool {
	return len(r.Key) <= MaxKeyBytes && (l.Record <= 0 || r.ContentBytes() <= l.Record) &&
		(l.Request <= 0 || r.EncodedBytes() <= l.Request)
}

// doneBitmapDivisor limits the bitmaps of a job's finished tasks to this fraction
// (one half) of a record; the rest is left for failures and run numbers.
const doneBitmapDivisor = 2

// CheckRecords returns an error with a result code for a job whose submission
// record, or whose progress record once tasks have finished, would exceed the
// log's limits.
func (l Limits) CheckRecords(id ID, job *Job, encoded []byte) error {
	submission := SubmissionRecord(id, encoded)
	if !l.Allows(submission) {
		return code.New(code.BodyTooLarge, "record of %d bytes, at most %d", submission.ContentBytes(), l.Record)
	}
	if l.Record <= 0 {
		return nil
	}
	rowBytes := 0
	for i := range job.Steps {
		// A row is encoded as base64 with two quotes and a comma.
		rowBytes += base64.StdEncoding.EncodedLen((job.Steps[i].Count+7)/8) + 3
	}
	if maxOccurrences := l.Record / doneBitmapDivisor / max(rowBytes, 1); job.Occurrences() > maxOccurrences {
		return code.New(code.BodyTooLarge, "%d occurrences, at most %d of this size", job.Occurrences(), maxOccurrences)
	}
	return nil
}
