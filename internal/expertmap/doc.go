// Package expertmap holds a group's expert map and the protocol that switches
// all ranks of the group from one map to the next at one step. It is pure:
// messages and calls in, messages and calls out; it opens no socket and reads
// no clock.
package expertmap
