// Package group is the core of one worker group: its jobs, tasks, attempts
// and leases, and the owner's ledger of slots.
//
// Core.Step takes one event at a time and returns effects; it does no I/O.
// Records of the group's stream are applied in log order, and only applied
// records change the durable state. An owner whose right has ended decides
// nothing and sends nothing; a candidate only follows the records.
package group
