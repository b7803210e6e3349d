// Package admission decides whether an entry starts, queues or refuses a
// request. Each pool has a bounded queue, ordered by priority and then by the
// client accounts' shares; a request that can't meet its deadline is refused at
// once. Usage estimates the number of requests that all entries together have
// in flight.
//
// The package performs no I/O: it computes decisions from its state and a
// clock. Its types are not safe for concurrent use; the caller must hold a lock
// around them.
package admission
