package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

// now returns the time since the start of the run.
func (r *record) now() time.Duration { return time.Since(r.start) }

// add writes a line with the time since the start of the run.
func (r *record) add(format string, args ...any) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.now()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", at.Seconds(), fmt.Sprintf(format, args...))
	return at
}
