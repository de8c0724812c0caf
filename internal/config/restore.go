package config

import (
	"time"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// Restore returns the records of a snapshot that replaces a configuration
// whose records have all expired. Only an operator may append them, and only
// when no reader is complete, because complete readers ignore them. The
// revisions are wall-clock times in seconds, which are above every earlier
// revision, because those count changes from 1.
func Restore(docs []*recordv1.Apply, through int64, now time.Time) []*recordv1.ConfigRecord {
	state := NewState()
	for _, apply := range docs {
		doc, err := parseDocument(apply)
		if err != nil {
			continue
		}
		made := Accepted{Revision: uint64(now.Unix()), ApplyID: apply.GetApplyId(), Author: apply.GetAuthor(), UnixMS: now.UnixMilli()}
		state.set(&Service{
			Key: KeyOf(apply), Accepted: made, Offset: through,
			Text: apply.GetDocument(), Document: doc, History: []Accepted{made},
		})
	}
	return state.Snapshot(through, MaxPartBytes)
}
