package jobs

import (
	"encoding/base64"
	"math"
	"strconv"

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
	occurrenceBytes := 0
	for i := range job.Steps {
		occurrenceBytes += rowBytes(job.Steps[i].Count)
	}
	if maxOccurrences := l.Record / doneBitmapDivisor / max(occurrenceBytes, 1); job.Occurrences() > maxOccurrences {
		return code.New(code.BodyTooLarge, "%d occurrences, at most %d of this size", job.Occurrences(), maxOccurrences)
	}
	return nil
}

// MaxPartial returns the number of occurrences of a schedule whose partial progress
// fits into one record beside failures and run numbers; at least one always does.
func (l Limits) MaxPartial(job *Job) int {
	if l.Record <= 0 {
		return math.MaxInt
	}
	// The number of the occurrence as a key, and a range of ended ones.
	occurrenceBytes := 2 * 3 * len(strconv.Itoa(job.Occurrences()))
	for i := range job.Steps {
		occurrenceBytes += rowBytes(job.Steps[i].Count)
	}
	return max(l.Record/doneBitmapDivisor/occurrenceBytes, 1)
}

// rowBytes returns the size of a row in a record: base64 with two quotes and a comma.
func rowBytes(count int) int { return base64.StdEncoding.EncodedLen((count+7)/8) + 3 }
