// Package balance decides which upstream gets an attempt. A Pool holds what an
// entry knows of the upstreams of one model or plain service; a Picker chooses
// among them.
//
// The package is pure: state and a clock in, decisions out. A Pool and its
// Nodes are not safe for concurrent use; the caller holds a lock around them.
// A decision takes a time that does not depend on the number of upstreams;
// changes of state may take time in proportion to the pool.
package balance
