package config

import (
	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// maxAssemblies bounds the incomplete snapshots that are kept. A writer that
// crashes between two parts leaves one behind.
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
	key     assemblyKey
	parts   []*recordv1.ConfigSnapshot
	missing int
}

// assembler joins the parts of each snapshot. Parts of several snapshots may be
// interleaved.
type assembler struct {
	unfinished []*assembly
}

// add stores one part and returns all parts in order once they are complete.
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
	partial := a.unfinished[at]
	if partial.parts[part.GetPart()] != nil {
		return nil
	}
	partial.parts[part.GetPart()] = part
	partial.missing--
	if partial.missing > 0 {
		return nil
	}
	a.unfinished = append(a.unfinished[:at], a.unfinished[at+1:]...)
	return partial.parts
}

// find returns the index of an incomplete snapshot and adds it if needed.
func (a *assembler) find(key assemblyKey) int {
	for i, partial := range a.unfinished {
		if partial.key == key {
			return i
		}
	}
	if len(a.unfinished) >= maxAssemblies {
		a.unfinished = a.unfinished[1:]
	}
	a.unfinished = append(a.unfinished, &assembly{key: key, parts: make([]*recordv1.ConfigSnapshot, key.parts), missing: int(key.parts)})
	return len(a.unfinished) - 1
}

func (a *assembler) clear() { a.unfinished = nil }
