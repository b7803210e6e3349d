package telemetry

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"

	"github.com/rcrowley/go-metrics"

	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// RegisterProcess registers gauges of the process's resource use: CPU time in
// microseconds, resident memory and heap in bytes, and the number of goroutines.
func RegisterProcess(reg metrics.Registry) {
	registerGauge(reg, "process.cpu_us", cpuMicroseconds)
	registerGauge(reg, "process.rss_bytes", residentBytes)
	registerGauge(reg, "process.heap_bytes", heapBytes)
	registerGauge(reg, "process.goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
}

// RegisterMeter registers gauges of the inner protocol's frames and bytes.
func RegisterMeter(reg metrics.Registry, m *wire.Meter) {
	volumes := map[string]*wire.Volume{
		"control_in": &m.ControlIn, "control_out": &m.ControlOut,
		"work_in": &m.WorkIn, "work_out": &m.WorkOut,
	}
	for name, v := range volumes {
		registerGauge(reg, "wire."+name+".frames", v.Frames.Load)
		registerGauge(reg, "wire."+name+".bytes", v.Bytes.Load)
	}
}

func registerGauge(reg metrics.Registry, name string, read func() int64) {
	metrics.NewRegisteredFunctionalGauge(name, reg, read)
}

// cpuMicroseconds returns the process's user and system CPU time, or 0 if it
// can't be read.
func cpuMicroseconds() int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	const second = 1_000_000
	return u.Utime.Sec*second + u.Utime.Usec + u.Stime.Sec*second + u.Stime.Usec
}

// residentBytes returns the size of the resident set, or 0 if it can't be read.
func residentBytes() int64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
