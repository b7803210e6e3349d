// Package entry implements the process on an entry VM: the HTTP interfaces for
// callers and operators, routing, dispatch to agents and retries. It belongs to
// the stand-alone deployment; package gateway is its counterpart on the platform.
//
// Lock order: linkTable.reconcileMu before linkTable.mu before link.mu before
// mailbox.mu. upstreamPool.mu and admitter.mu are leaf locks and are never held
// together. The locks of timeline.Ring and config.Store are leaf locks.
// wire.Conn.Send never blocks and may be called with any of these locks held.
package entry
