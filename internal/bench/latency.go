package bench

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMax is the longest time that a histogram holds, in microseconds;
	// longer times are recorded as this one.
	histogramMax = int64(10 * time.Minute / time.Microsecond)
	// histogramDigits is the number of significant decimal digits.
	histogramDigits = 3
)

// latencies is a histogram of times in microseconds, safe for concurrent use.
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

// Quantiles are quantiles of a histogram, in milliseconds.
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
