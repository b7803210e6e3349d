// Package expertmap holds a group's expert map and the protocol that switches
// all ranks of the group from one map to the next at the same step. It performs
// no I/O and reads no clock: the caller passes received messages in, sends the
// messages that are returned, and provides access to the engine. Package ranks is
// its counterpart for the engines of the platform.
package expertmap
