// Package entry is the process on an entry VM: callers' and operators' HTTP,
// routing, dispatch to agents and retries.
//
// Lock order: linkTable.reconciling before linkTable.mu before link.mu before
// mailbox.mu. upstreamPool.mu and
// admitter.mu are leaves, never held together. timeline.Ring and
// config.Store have leaf locks. wire.Conn.Send never blocks and may be called
// under any of them.
package entry
