// Package directory looks up teams and services for an entry in the latest
// configuration that the entry has received with a view.
package directory

import (
	"sync/atomic"

	"redwingvale/internal/code"
	"redwingvale/internal/config"
	"redwingvale/internal/document"
	"redwingvale/internal/entry"
	"redwingvale/internal/spec"

	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// Directory implements entry.Services. Update may run concurrently with reads.
type Directory struct {
	current atomic.Pointer[snapshot]
}

type snapshot struct {
	// complete is set once the complete configuration has been read. Until then
	// no team or service is reported as unknown.
	complete  bool
	names     *document.Directory
	services  map[config.Key]entry.ServiceSettings
	revisions map[config.Key]uint64
}

// New returns an empty directory.
func New() *Directory {
	d := &Directory{}
	d.current.Store(&snapshot{names: document.NewDirectory(nil)})
	return d
}

// Update replaces the services by those of the view. It ignores the view if it
// comes from an rwsched that has not read the complete configuration, or if it
// has an older revision of any service, so that a view from an instance that
// lags behind cannot restore an older document.
func (d *Directory) Update(view *schedv1.GetViewResponse) {
	current := d.current.Load()
	if !view.GetServicesKnown() || d.hasOlderRevision(current, view) {
		return
	}
	next := &snapshot{
		complete:  true,
		services:  make(map[config.Key]entry.ServiceSettings),
		revisions: make(map[config.Key]uint64),
	}
	var documents []*document.Document
	for _, revision := range view.GetServices() {
		service := config.FromRevision(revision)
		if service.Document == nil {
			continue
		}
		documents = append(documents, service.Document)
		next.services[service.Key] = serviceSettings(service.Document)
		next.revisions[service.Key] = service.Revision
	}
	next.names = document.NewDirectory(documents)
	d.current.Store(next)
}

// hasOlderRevision reports whether the view lacks a known service or has an
// older revision of it.
func (d *Directory) hasOlderRevision(current *snapshot, view *schedv1.GetViewResponse) bool {
	offered := make(map[config.Key]uint64, len(view.GetServices()))
	for _, revision := range view.GetServices() {
		key := config.Key{Team: spec.TeamID(revision.GetTeam()), Service: spec.ServiceID(revision.GetService())}
		offered[key] = revision.GetRevision()
	}
	for key, revision := range current.revisions {
		if offered[key] < revision {
			return true
		}
	}
	return false
}

func serviceSettings(doc *document.Document) entry.ServiceSettings {
	out := entry.ServiceSettings{QuotaSlots: int(doc.Quota.Slots)}
	if doc.Urgent == nil {
		out.NoUrgent = true
		return out
	}
	out.Idempotent = doc.Urgent.IdempotentByDefault
	out.UrgentLimit = doc.Urgent.TimeLimit()
	out.QueueBound = int(doc.Urgent.QueueLimit)
	return out
}

// Resolve implements entry.Services.
func (d *Directory) Resolve(name string) (spec.TeamID, error) {
	current := d.current.Load()
	if !current.complete {
		return "", code.New(code.ConfigUnread, "the teams are not known yet")
	}
	return current.names.Resolve(name)
}

// Service implements entry.Services.
func (d *Directory) Service(team spec.TeamID, service spec.ServiceID) (entry.ServiceSettings, error) {
	current := d.current.Load()
	if !current.complete {
		return entry.ServiceSettings{}, code.New(code.ConfigUnread, "the services are not known yet")
	}
	settings, ok := current.services[config.Key{Team: team, Service: service}]
	if !ok {
		return settings, code.New(code.UnknownService, "team %s has no service %s", team, service)
	}
	return settings, nil
}

var _ entry.Services = (*Directory)(nil)
