package gateway

import (
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/kingcupreel/kingcupreel/internal/outage"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
)

// latencySampleSize and latencySampleAlpha configure the reservoir of a
// latency histogram. They are the usual values for a sample of the last five
// minutes.
const (
	latencySampleSize  = 1028
	latencySampleAlpha = 0.015
)

// stats counts requests, attempts and waits by their results and records their
// durations.
type stats struct{ reg metrics.Registry }

func newStats(reg metrics.Registry) *stats { return &stats{reg} }

func (s *stats) count(parts ...string) {
	metrics.GetOrRegisterCounter(strings.Join(parts, "."), s.reg).Inc(1)
}

func (s *stats) observe(took time.Duration, parts ...string) {
	name := strings.Join(parts, ".")
	h, _ := s.reg.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(latencySampleSize, latencySampleAlpha))
	}).(metrics.Histogram)
	if h != nil {
		h.Update(took.Milliseconds())
	}
}

func (s *stats) recordAnswer(service, account string, o outcome.Outcome, status int, took time.Duration) {
	s.count("requests", service, string(o), strconv.Itoa(status))
	s.count("accounts", account, string(o))
	s.observe(took, "request_ms", service)
}

func (s *stats) recordAttempt(service string, status attemptStatus, took time.Duration) {
	s.count("attempts", service, strings.ReplaceAll(attemptStatusNames[status], " ", "_"))
	s.observe(took, "attempt_ms", service)
}

// recordBeyondSlots counts an attempt at an upstream whose slots were taken.
func (s *stats) recordBeyondSlots(service string) { s.count("attempts", service, "beyond_slots") }

// recordConnectionEnd counts an answer that ended with its connection.
func (s *stats) recordConnectionEnd(service string, whole bool) {
	s.count("connection_ends", service, map[bool]string{true: "whole", false: "unconfirmed"}[whole])
}

func (s *stats) recordFirstEvent(service string, after time.Duration) {
	s.observe(after, "first_event_ms", service)
}

func (s *stats) recordWait(service string, started bool, took time.Duration) {
	s.count("waits", service, map[bool]string{true: "started", false: "given_up"}[started])
	s.observe(took, "wait_ms", service)
}

// recordOutagePlan counts what is done with a caller whose group can't serve.
func (s *stats) recordOutagePlan(service string, action outage.Action) {
	s.count("outages", service, string(action))
}

// recordReturn counts a caller that has come back after a refusal.
func (s *stats) recordReturn(service string) { s.count("outages", service, "came_back") }

func (s *stats) recordLimited(service string) { s.count("limits", service, "refused") }

// recordEvacuated counts a request that was refused since evacuations left it no upstream.
func (s *stats) recordEvacuated(service string) { s.count("evacuations", service, "refused") }

// recordColdUpstream counts a request that waited for a permit of a cold upstream, or was
// refused for want of one.
func (s *stats) recordColdUpstream(service, result string) { s.count("warmups", service, result) }

func (s *stats) recordCallerLeft(service string) { s.count("requests", service, "caller_left") }
