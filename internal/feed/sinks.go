package feed

import "github.com/kingcupreel/kingcupreel/internal/kvstore"

// Sinks passes everything on to several sinks, in their order.
type Sinks []Sink

// Replace implements Sink.
func (s Sinks) Replace(l kvstore.Listing) {
	for _, sink := range s {
		sink.Replace(l)
	}
}

// Apply implements Sink.
func (s Sinks) Apply(b kvstore.Batch) {
	for _, sink := range s {
		sink.Apply(b)
	}
}

// SetReachable implements Sink.
func (s Sinks) SetReachable(reachable bool) {
	for _, sink := range s {
		sink.SetReachable(reachable)
	}
}
