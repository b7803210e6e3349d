// Package relay lets the processes of a platform deployment read the key-value service
// through a few of them. In each data centre one entry, the watcher, reads the service
// itself and keeps a mirror of what it reads. The other processes list and watch the
// mirror with the same calls, so that the calls to the service don't grow with the number
// of processes.
//
// Every process computes the watcher from the registered entries by rendezvous hash. A
// watcher that doesn't answer, can't reach the service or lies behind is passed over for a
// while: the next entry in the order takes its place, and a process that finds no watcher
// reads the service itself.
package relay
