package bench

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMax is the largest time that a histogram holds, in microseconds.
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// latencies is a histogram of times, safe for concurrent use.
type latencies struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{h: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func (l *latencies) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

// Quantiles are a histogram's figures, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

func (l *latencies) quantiles() Quantiles {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := func(q float64) float64 {
		return milliseconds(time.Duration(l.h.ValueAtQuantile(q)) * time.Microsecond)
	}
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}
