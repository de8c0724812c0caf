package audit

import (
	"context"
	"sort"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"redwingvale/internal/platform"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// Limits of Read.
const (
	// DefaultLimit bounds the entries of a result when the query sets none.
	DefaultLimit = 1000
	// MaxLimit is the largest limit of a query.
	MaxLimit = 100_000
	// readBatchSize is the number of records requested per read of the log.
	readBatchSize = 500
)

// Gap describes the records of one stream that are missing from a result.
type Gap struct {
	Stream string `json:"stream"`
	// Expired counts the offsets before the oldest record in the log.
	Expired int64 `json:"expired"`
	// OldestKept is the writer's time of the oldest record in the log.
	OldestKept time.Time `json:"oldest_kept"`
	// Unread is the reason why the stream could not be read to its end.
	Unread string `json:"unread,omitempty"`
	// Damaged counts records that could not be decoded.
	Damaged int `json:"damaged,omitempty"`
}

// Result holds the entries that a query selects, ordered by time, and describes
// the missing records.
type Result struct {
	Entries []Entry `json:"entries"`
	Gaps    []Gap   `json:"gaps"`
	// Omitted counts older entries that were dropped because of the limit.
	Omitted int `json:"omitted"`
	// Notes explain to the operator what may be missing.
	Notes []string `json:"notes"`
}

// Read reads the streams and returns the entries that the query selects. A
// stream that cannot be read becomes a Gap. The error is set only when the
// list of streams cannot be read.
func Read(ctx context.Context, log platform.Log, query Query) (Result, error) {
	streams, err := sortedStreams(ctx, log, query.Streams)
	if err != nil {
		return Result{}, err
	}
	var out Result
	for _, stream := range streams {
		entries, omitted, gap := readStream(ctx, log, stream, query)
		out.Entries = append(out.Entries, entries...)
		out.Omitted += omitted
		if gap.Expired > 0 || gap.Unread != "" || gap.Damaged > 0 {
			out.Gaps = append(out.Gaps, gap)
		}
	}
	sort.SliceStable(out.Entries, func(i, j int) bool { return out.Entries[i].When.Before(out.Entries[j].When) })
	out.keepNewest(query.limit())
	out.Notes = gapNotes(out.Gaps)
	return out, nil
}

// sortedStreams lists the streams with a prefix, ordered by name.
func sortedStreams(ctx context.Context, log platform.Log, prefix string) ([]platform.Stream, error) {
	streams, err := log.Streams(ctx, prefix)
	if err != nil {
		return nil, err
	}
	out := append([]platform.Stream(nil), streams...)
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out, nil
}

// reader collects the entries of one stream.
type reader struct {
	evaluator *standingEvaluator
	stream    platform.Stream
	query     Query
	entries   []Entry
	// omitted counts older entries that were dropped to bound the memory.
	omitted int
	gap     Gap
}

func readStream(ctx context.Context, log platform.Log, stream platform.Stream, query Query) ([]Entry, int, Gap) {
	r := &reader{evaluator: newStandingEvaluator(stream), stream: stream, query: query, gap: Gap{Stream: string(stream)}}
	for from, first := int64(0), true; ; first = false {
		read, err := log.Read(ctx, stream, from, readBatchSize, 0)
		if err != nil {
			r.gap.Unread = err.Error()
			break
		}
		if first {
			r.gap.Expired = read.First
		}
		for _, record := range read.Records {
			r.add(read, record)
		}
		if read.AtTail || read.Next <= from {
			break
		}
		from = read.Next
	}
	return r.entries, r.omitted, r.gap
}

func (r *reader) add(read platform.ReadResult, record platform.LogRecord) {
	entry, ok := toEntry(r.evaluator, r.stream, read, record)
	if !ok {
		r.gap.Damaged++
		return
	}
	if r.gap.OldestKept.IsZero() {
		r.gap.OldestKept = entry.When
	}
	if !r.query.Matches(entry) {
		return
	}
	r.entries = append(r.entries, entry)
	if keep := r.query.limit(); len(r.entries) >= 2*keep {
		r.omitted += len(r.entries) - keep
		r.entries = append([]Entry(nil), r.entries[len(r.entries)-keep:]...)
	}
}

func toEntry(evaluator *standingEvaluator, stream platform.Stream, read platform.ReadResult, record platform.LogRecord) (Entry, bool) {
	env := &recordv1.Envelope{}
	if err := proto.Unmarshal(record.Data, env); err != nil {
		return Entry{}, false
	}
	entry := describe(env)
	entry.Stream = string(stream)
	entry.Offset = record.Offset
	standing, note := evaluator.evaluate(record.Offset, env, read, record)
	entry.Standing = standing
	if note != "" {
		entry.What += "; " + note
	}
	return entry, true
}

// keepNewest drops the oldest entries above the limit.
func (r *Result) keepNewest(limit int) {
	if more := len(r.Entries) - limit; more > 0 {
		r.Omitted += more
		r.Entries = r.Entries[more:]
	}
}

// gapNotes returns the notes of a result with these gaps.
func gapNotes(gaps []Gap) []string {
	out := []string{"Records that an instance has not yet written are missing; they appear when the log takes them, or are lost if the instance dies first."}
	for _, gap := range gaps {
		if gap.Expired > 0 {
			out = append(out, gap.Stream+": "+strconv.FormatInt(gap.Expired, 10)+" older records have expired and are gone; the oldest one kept is of "+gap.OldestKept.Format(time.RFC3339)+".")
		}
		if gap.Unread != "" {
			out = append(out, gap.Stream+": not read to its end: "+gap.Unread)
		}
		if gap.Damaged > 0 {
			out = append(out, gap.Stream+": "+strconv.Itoa(gap.Damaged)+" records could not be decoded.")
		}
	}
	return out
}

func formatUint(v uint64) string { return strconv.FormatUint(v, 10) }
