// Package group implements the state machine of one worker group: its jobs,
// tasks, attempts and leases, and the owner's ledger of slots.
//
// Core.Step handles one event at a time and returns effects; it does no I/O.
// Records of the group's stream are applied in log order, and only applied
// records change the durable state. An owner whose ownership lease has expired
// makes no decisions and sends nothing; a candidate only applies the records.
package group
