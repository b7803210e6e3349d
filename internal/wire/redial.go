package wire

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff is the range of the jittered delay between two dials. The delay doubles
// from Min to Max, and is reset to Min once a dial has reached the peer.
type Backoff struct{ Min, Max time.Duration }

// Redial calls connect repeatedly, with delays by b, until ctx is done. connect
// dials the peer, serves the connection until it ends, and reports whether the
// peer was reached.
func Redial(ctx context.Context, b Backoff, connect func(ctx context.Context) bool) {
	backoff := b.Min
	for ctx.Err() == nil {
		if connect(ctx) {
			backoff = b.Min
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, b.Max)
	}
}
