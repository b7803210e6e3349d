package telemetry

import (
	"bufio"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// expositionPrefix is the prefix of all metric names.
const expositionPrefix = "kingcupreel_"

var invalidNameChars = regexp.MustCompile(`[^a-zA-Z0-9_]`)

// quantiles are the quantiles exported for a histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// ExpositionHandler serves a registry in the Prometheus text exposition format.
// The part of a registered name before the first dot becomes the metric's name,
// the rest the value of the label "of".
func ExpositionHandler(reg metrics.Registry) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		out := bufio.NewWriter(w)
		defer out.Flush()
		var names []string
		all := map[string]any{}
		reg.Each(func(name string, m any) {
			names = append(names, name)
			all[name] = m
		})
		slices.Sort(names)
		typed := map[string]bool{}
		for _, name := range names {
			family, label, _ := strings.Cut(name, ".")
			family = expositionPrefix + invalidNameChars.ReplaceAllString(family, "_")
			if kind := metricType(all[name]); !typed[family] && kind != "" {
				typed[family] = true
				fmt.Fprintf(out, "# TYPE %s %s\n", family, kind)
			}
			writeMetric(out, family, label, all[name])
		}
	}
}

// metricType returns the exposition format's type of a metric, or "" for a kind
// that isn't exported.
func metricType(m any) string {
	switch m.(type) {
	case metrics.Counter:
		return "counter"
	case metrics.Gauge, metrics.GaugeFloat64:
		return "gauge"
	case metrics.Histogram:
		return "summary"
	}
	return ""
}

func writeMetric(out *bufio.Writer, family, label string, m any) {
	switch m := m.(type) {
	case metrics.Counter:
		fmt.Fprintf(out, "%s{of=%q} %d\n", family, label, m.Count())
	case metrics.Gauge:
		fmt.Fprintf(out, "%s{of=%q} %d\n", family, label, m.Value())
	case metrics.GaugeFloat64:
		fmt.Fprintf(out, "%s{of=%q} %g\n", family, label, m.Value())
	case metrics.Histogram:
		s := m.Snapshot()
		for i, v := range s.Percentiles(quantiles) {
			fmt.Fprintf(out, "%s{of=%q,quantile=\"%g\"} %g\n", family, label, quantiles[i], v)
		}
		fmt.Fprintf(out, "%s_sum{of=%q} %d\n%s_count{of=%q} %d\n", family, label, s.Sum(), family, label, s.Count())
	}
}
