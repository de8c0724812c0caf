// Package fence decides which records of a group's stream are valid.
//
// A claim is valid when it replaces the current epoch. Every record of an older
// epoch that follows it in the log is void. All readers read the records in the
// same order, so all get the same result.
package fence

import (
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// Result is the classification of a record by a Fence.
type Result uint8

// The results. Only Valid, Claimed and Released records have an effect.
const (
	// Void records have no effect for any reader.
	Void Result = iota
	// Valid records were written by the current owner in its epoch.
	Valid
	// Claimed records started a new epoch.
	Claimed
	// Released records ended the ownership at the owner's request.
	Released
)

// Fence holds the ownership of one group according to the log.
type Fence struct {
	Epoch       spec.Epoch
	Owner       spec.InstanceID
	Incarnation spec.Incarnation
	// Released states that the owner released the group; NextOwner is the
	// successor that it proposed.
	Released  bool
	NextOwner spec.InstanceID
	// Previous is the ownership that the current epoch replaced. It is zero
	// when a snapshot set the current epoch.
	Previous Previous
}

// Previous describes an ownership that a claim has replaced.
type Previous struct {
	Owner       spec.InstanceID
	Incarnation spec.Incarnation
	// Released states that the owner had released the group before the claim.
	Released bool
}

// Apply processes the next record of the group's stream, in log order.
func (f *Fence) Apply(env *recordv1.Envelope) Result {
	if claim := env.GetGroup().GetClaim(); claim != nil {
		return f.applyClaim(claim)
	}
	if !f.writtenByOwner(env) {
		return Void
	}
	if release := env.GetGroup().GetRelease(); release != nil {
		f.Released = true
		f.NextOwner = spec.InstanceID(release.GetNextOwner())
		return Released
	}
	return Valid
}

// Restore sets the ownership from a snapshot that replaces earlier records.
func (f *Fence) Restore(snapshot *recordv1.GroupSnapshot) {
	f.Epoch = spec.Epoch(snapshot.GetEpoch())
	f.Owner = spec.InstanceID(snapshot.GetOwner())
	f.Incarnation = spec.Incarnation(snapshot.GetOwnerIncarnation())
	f.Released = false
	f.NextOwner = ""
	f.Previous = Previous{}
}

// OwnedBy reports whether the instance owns the group and has not released it.
func (f *Fence) OwnedBy(id spec.InstanceID, incarnation spec.Incarnation) bool {
	return !f.Released && f.Owner == id && f.Incarnation == incarnation
}

func (f *Fence) applyClaim(claim *recordv1.Claim) Result {
	if spec.Epoch(claim.GetReplacesEpoch()) != f.Epoch {
		return Void
	}
	f.Previous = Previous{Owner: f.Owner, Incarnation: f.Incarnation, Released: f.Released}
	f.Epoch++
	f.Owner = spec.InstanceID(claim.GetOwner())
	f.Incarnation = spec.Incarnation(claim.GetOwnerIncarnation())
	f.Released = false
	f.NextOwner = ""
	return Claimed
}

func (f *Fence) writtenByOwner(env *recordv1.Envelope) bool {
	sameEpoch := spec.Epoch(env.GetEpoch()) == f.Epoch
	sameOwner := spec.InstanceID(env.GetInstance()) == f.Owner
	sameIncarnation := spec.Incarnation(env.GetIncarnation()) == f.Incarnation
	return sameEpoch && sameOwner && sameIncarnation && !f.Released
}
