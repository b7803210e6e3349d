// Package balance decides which upstream an attempt is sent to. A Pool holds an
// entry's view of the upstreams of one model or plain service; a Picker chooses
// among them. Package entry uses it; gateways use package dispatch instead.
//
// The package performs no I/O: it computes decisions from its state and a
// clock. A Pool and its Nodes are not safe for concurrent use; the caller must
// hold a lock around them. The time of a decision does not depend on the number
// of upstreams; changes of state may take time in proportion to the size of the
// pool.
package balance
