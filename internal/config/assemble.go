package config

import (
	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// maxAssemblies bounds the unfinished snapshots that are kept. A writer that
// dies between two parts leaves one behind.
const maxAssemblies = 8

// maxParts bounds the records of one snapshot.
const maxParts = 4096

type assemblyKey struct {
	instance    string
	incarnation uint64
	through     int64
	parts       uint32
}

type assembly struct {
	key  assemblyKey
	got  []*recordv1.ConfigSnapshot
	left int
}

// assembler joins the parts of snapshots.
type assembler struct {
	open []*assembly
}

// add takes one part and returns all parts in order once they are complete.
func (a *assembler) add(env *recordv1.Envelope, part *recordv1.ConfigSnapshot) []*recordv1.ConfigSnapshot {
	count := max(part.GetParts(), 1)
	if count > maxParts || part.GetPart() >= count {
		return nil
	}
	if count == 1 {
		return []*recordv1.ConfigSnapshot{part}
	}
	key := assemblyKey{env.GetInstance(), env.GetIncarnation(), part.GetThroughOffset(), count}
	at := a.find(key)
	joined := a.open[at]
	if joined.got[part.GetPart()] != nil {
		return nil
	}
	joined.got[part.GetPart()] = part
	joined.left--
	if joined.left > 0 {
		return nil
	}
	a.open = append(a.open[:at], a.open[at+1:]...)
	return joined.got
}

// find returns the index of an unfinished snapshot and starts it if needed.
func (a *assembler) find(key assemblyKey) int {
	for i, joined := range a.open {
		if joined.key == key {
			return i
		}
	}
	if len(a.open) >= maxAssemblies {
		a.open = a.open[1:]
	}
	a.open = append(a.open, &assembly{key: key, got: make([]*recordv1.ConfigSnapshot, key.parts), left: int(key.parts)})
	return len(a.open) - 1
}

func (a *assembler) clear() { a.open = nil }
