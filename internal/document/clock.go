package document

import (
	"strings"
	"time"
)

const (
	timeOfDayLayout = "15:04"
	timeOfDayLength = len(timeOfDayLayout)
	maxUTCOffset    = 14 * time.Hour
)

func validTimeOfDay(text string) bool {
	_, ok := timeOfDay(text)
	return ok
}

// timeOfDay parses HH:MM and returns the time since midnight.
func timeOfDay(text string) (time.Duration, bool) {
	if len(text) != timeOfDayLength {
		return 0, false
	}
	at, err := time.Parse(timeOfDayLayout, text)
	if err != nil {
		return 0, false
	}
	return time.Duration(at.Hour())*time.Hour + time.Duration(at.Minute())*time.Minute, true
}

func validOffset(text string) bool {
	_, ok := utcOffset(text)
	return ok
}

// utcOffset parses +HH:MM or -HH:MM.
func utcOffset(text string) (time.Duration, bool) {
	sign := time.Duration(1)
	rest, plus := strings.CutPrefix(text, "+")
	if !plus {
		var minus bool
		rest, minus = strings.CutPrefix(text, "-")
		if !minus {
			return 0, false
		}
		sign = -1
	}
	offset, ok := timeOfDay(rest)
	if !ok || offset > maxUTCOffset {
		return 0, false
	}
	return sign * offset, true
}

// NextPosting returns the first posting deadline of the kind after now, in
// milliseconds of wall-clock time, or 0 when the kind has none. It becomes the
// deadline of a job that is submitted without one.
func (d *Document) NextPosting(kind string, nowUnixMS int64) int64 {
	const day = 24 * time.Hour
	batch, ok := d.DeadlineKind(kind)
	if !ok || batch.PostingDeadline == "" {
		return 0
	}
	offset, _ := utcOffset(d.UTCOffset)
	at, _ := timeOfDay(batch.PostingDeadline)
	local := time.UnixMilli(nowUnixMS).UTC().Add(offset)
	posting := local.Truncate(day).Add(at)
	if !posting.After(local) {
		posting = posting.Add(day)
	}
	return posting.Add(-offset).UnixMilli()
}
