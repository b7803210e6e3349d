// Package agent is the process in the slot of an upstream VM: the only gateway
// to that VM's engine or plain service. It starts, cancels and deduplicates
// attempts, drains, and keeps the journal that lets it vouch for what was not
// run.
//
// Lock order: quarantine.InFlight's lock before Agent.mu before journal.mu before
// run.mu. timeline.Ring and config.Store have leaf locks. wire.Conn.Send never
// blocks and may be called under any of them.
package agent
