package bench

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/standin/kv"
)

// CallReport is the calls per second to the key-value stand-in over a time.
type CallReport struct {
	Name    string  `json:"name"`
	Size    float64 `json:"size"`
	Seconds float64 `json:"seconds"`
	Reads   float64 `json:"reads_per_s"`
	Writes  float64 `json:"writes_per_s"`
	Watches float64 `json:"watches_per_s"`
}

// metricValue is a gauge or a counter in the /metrics of a process.
type metricValue struct {
	Value float64 `json:"value"`
	Count float64 `json:"count"`
}

// SampleReport is the processor time, memory and traffic of one process over a
// time.
type SampleReport struct {
	Name            string  `json:"name"`
	Size            float64 `json:"size"`
	Seconds         float64 `json:"seconds"`
	CorePercent     float64 `json:"core_percent"`
	RSSBytes        float64 `json:"rss_bytes"`
	HeapBytes       float64 `json:"heap_bytes"`
	ControlInBytes  float64 `json:"control_in_bytes_per_s"`
	ControlOutBytes float64 `json:"control_out_bytes_per_s"`
	WorkInBytes     float64 `json:"work_in_bytes_per_s"`
	WorkOutBytes    float64 `json:"work_out_bytes_per_s"`
}

func declareSample(app *kingpin.Application, e env) (string, command) {
	cmd := app.Command("sample", "Report the processor time, memory and traffic of a process over a time, from its /metrics.")
	ops := cmd.Flag("ops", "Base URL of the process's ops listener.").Required().String()
	name := cmd.Flag("name", "Name of the sample.").Required().String()
	size := cmd.Flag("size", "Size at which the sample is taken.").Required().Float64()
	duration := cmd.Flag("duration", "Time between the two readings.").Default("10s").Duration()
	return cmd.FullCommand(), func(ctx context.Context) error {
		r, err := sampleProcess(ctx, *ops, *duration)
		if err != nil {
			return err
		}
		r.Name, r.Size = *name, *size
		return e.print(r)
	}
}

func declareCalls(app *kingpin.Application, e env) (string, command) {
	cmd := app.Command("calls", "Report the rates of calls to the key-value stand-in over a time.")
	url := cmd.Flag("platform", "Base URL of the key-value stand-in.").Required().String()
	name := cmd.Flag("name", "Name of the sample.").Required().String()
	size := cmd.Flag("size", "Size at which the sample is taken.").Required().Float64()
	duration := cmd.Flag("duration", "Time between the two readings.").Default("10s").Duration()
	return cmd.FullCommand(), func(ctx context.Context) error {
		r, err := sampleCalls(ctx, *url, *duration)
		if err != nil {
			return err
		}
		r.Name, r.Size = *name, *size
		return e.print(r)
	}
}

// sampleCalls reads the stand-in's counters twice, d apart, and returns the
// rates.
func sampleCalls(ctx context.Context, url string, d time.Duration) (CallReport, error) {
	var before, after kv.Stats
	if err := readJSON(ctx, url+"/admin/stats", &before); err != nil {
		return CallReport{}, err
	}
	start := time.Now()
	if err := sleep(ctx, d); err != nil {
		return CallReport{}, err
	}
	if err := readJSON(ctx, url+"/admin/stats", &after); err != nil {
		return CallReport{}, err
	}
	seconds := time.Since(start).Seconds()
	return CallReport{
		Seconds: seconds,
		Reads:   float64(after.Reads-before.Reads) / seconds,
		Writes:  float64(after.Writes-before.Writes) / seconds,
		Watches: float64(after.Watches-before.Watches) / seconds,
	}, nil
}

// sleep waits for d, or until ctx is done, whose error it returns.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// sampleProcess reads a process's metrics twice, d apart. It returns rates of
// counters and the last values of gauges.
func sampleProcess(ctx context.Context, ops string, d time.Duration) (SampleReport, error) {
	before, err := readMetrics(ctx, ops)
	if err != nil {
		return SampleReport{}, err
	}
	start := time.Now()
	if err := sleep(ctx, d); err != nil {
		return SampleReport{}, err
	}
	after, err := readMetrics(ctx, ops)
	if err != nil {
		return SampleReport{}, err
	}
	seconds := time.Since(start).Seconds()
	rate := func(name string) float64 { return (after[name].Value - before[name].Value) / seconds }
	const microsecondsPerPercent = 10_000
	return SampleReport{
		Seconds:         seconds,
		CorePercent:     rate("process.cpu_us") / microsecondsPerPercent,
		RSSBytes:        after["process.rss_bytes"].Value,
		HeapBytes:       after["process.heap_bytes"].Value,
		ControlInBytes:  rate("wire.control_in.bytes"),
		ControlOutBytes: rate("wire.control_out.bytes"),
		WorkInBytes:     rate("wire.work_in.bytes"),
		WorkOutBytes:    rate("wire.work_out.bytes"),
	}, nil
}

func readMetrics(ctx context.Context, ops string) (map[string]metricValue, error) {
	var values map[string]metricValue
	err := readJSON(ctx, ops+"/metrics", &values)
	return values, err
}

func readJSON(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "give a base URL", "building the request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "give the URL of a running process", "sending the request")
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fault.Wrap(fault.Invalid, err, "give the URL of a kingcupreel process", "reading %s", url)
	}
	return nil
}
