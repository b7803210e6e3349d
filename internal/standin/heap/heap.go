// Package heap measures the heap of a test that sends its subject more than the subject may keep.
package heap

import (
	"runtime"
	"time"
)

// sampleInterval is the time between two readings of the heap.
const sampleInterval = 2 * time.Millisecond

// Peak calls f and returns the largest heap of the process meanwhile, in bytes.
func Peak(f func()) uint64 {
	runtime.GC()
	done, peak := make(chan struct{}), make(chan uint64, 1)
	go func() {
		var m runtime.MemStats
		var largest uint64
		for {
			runtime.ReadMemStats(&m)
			largest = max(largest, m.HeapAlloc)
			select {
			case <-done:
				peak <- largest
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	f()
	close(done)
	return <-peak
}
