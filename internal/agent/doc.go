// Package agent implements the agent: the process that runs beside the engine
// or plain service of an upstream VM. All requests to that upstream pass through
// it. It starts, cancels and deduplicates attempts, drains the upstream on
// shutdown, and keeps a journal of attempts, by which it can confirm that an
// attempt was never run. It belongs to the stand-alone deployment; on the platform
// package rankagent manages engines, and requests don't pass through it.
//
// Lock order: quarantine.InFlight's lock before Agent.mu before journal.mu before
// run.mu. timeline.Ring and config.Store have leaf locks. wire.Conn.Send never
// blocks and may be called with any of these locks held.
package agent
