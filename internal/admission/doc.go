// Package admission decides whether an entry starts, queues or refuses a
// request: bounded queues in front of each pool, ordered by priority and then
// by the client accounts' shares, with refusal at once of what can't make its
// deadline. Usage estimates what all entries together have in flight.
//
// The package is pure: state and a clock in, decisions out. Its types are not
// safe for concurrent use; the caller holds a lock around them.
package admission
