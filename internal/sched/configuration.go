package sched

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"redwingvale/internal/config"
	"redwingvale/internal/group"
	"redwingvale/internal/ownership"
	"redwingvale/internal/platform"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// stepConfig runs the configuration core and executes its effects.
func (d *decisionLoop) stepConfig(now time.Duration, e config.Event) {
	before := d.config.InForceOffset()
	changed := false
	for _, effect := range d.config.Step(now, e) {
		switch out := effect.(type) {
		case config.InForce:
			changed = true
			d.log("config_in_force", zap.String("service", out.Service.Key.String()), zap.Uint64("revision", out.Service.Revision), zap.String("author", out.Service.Author))
		case config.Publish:
			d.publishConfig(now, out)
		case config.Incomplete:
			d.log("config_incomplete", zap.Int64("from", out.From), zap.Int64("to", out.To))
		case config.Diverged:
			d.log("config_diverged", zap.String("service", out.Key.String()), zap.Int64("offset", out.Offset))
		case config.Unreadable:
			d.log("config_unreadable", zap.Int64("offset", out.Offset), zap.String("error", out.Err.Error()))
		}
	}
	if offset := d.config.InForceOffset(); offset != before {
		d.stepOwnership(now, ownership.ConfigRead{Offset: offset})
	}
	if changed {
		d.onConfigChanged(now)
	}
}

func (d *decisionLoop) publishConfig(now time.Duration, out config.Publish) {
	for _, record := range out.Records {
		envelope := &recordv1.Envelope{
			Why:  "snapshot ahead of the retention",
			Body: &recordv1.Envelope_Config{Config: record},
		}
		d.write(now, envelope, pendingWrite{stream: platform.ConfigStream}, true)
	}
}

func (d *decisionLoop) onConfigChanged(now time.Duration) {
	if d.configLoaded {
		d.publishDocuments()
	}
	services := d.policyServices()
	for _, g := range d.sortedGroups() {
		d.stepGroup(now, g, group.SetServices{Services: services, Known: d.configLoaded})
	}
	d.publishView()
}

// policyServices returns the part of each document that placement uses.
func (d *decisionLoop) policyServices() []policy.Service {
	var out []policy.Service
	for _, service := range d.config.State().Services() {
		if service.Document != nil {
			out = append(out, service.Document.Policy())
		}
	}
	return out
}

// updateConfigRank passes this instance's rank among the active members to the
// configuration core. The rank determines which member republishes first.
func (d *decisionLoop) updateConfigRank(now time.Duration) {
	self := spec.InstanceID(d.sched.config.Instance)
	rank := slices.Index(d.activeMembers(), self)
	d.stepConfig(now, config.MembersEvent{Rank: rank})
}
