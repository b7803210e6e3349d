package wire

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff bounds the jittered wait between two dials; it doubles from Min to Max
// and starts again once a dial has reached the peer.
type Backoff struct{ Min, Max time.Duration }

// Redial calls connect until ctx is done. connect dials, serves the connection
// to its end and says whether it reached the peer.
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
