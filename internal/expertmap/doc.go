// Package expertmap holds a group's expert map and the protocol that switches
// all ranks of the group from one map to the next at the same step. It is pure
// logic: it takes and returns messages and calls, opens no socket and reads no
// clock.
package expertmap
