// Package telemetry sets up structured logging (zap), metrics (go-metrics) and
// the HTTP handlers that export the metrics.
package telemetry

import (
	"net/http"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a JSON logger on standard error at the given level
// (debug, info, warn or error).
func NewLogger(level, process string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(parsed)
	cfg.Sampling = nil
	cfg.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	log, err := cfg.Build()
	if err != nil {
		return nil, err
	}
	return log.With(zap.String("process", process)), nil
}

// KratosLogger adapts a zap logger to kratos. Kratos' informational lines are
// logged at the debug level, since they report no change of state.
type KratosLogger struct{ Zap *zap.Logger }

// Log implements the kratos logger.
func (l KratosLogger) Log(level klog.Level, keyvals ...any) error {
	fields := make([]zap.Field, 0, len(keyvals)/2)
	msg := "kratos"
	for i := 0; i+1 < len(keyvals); i += 2 {
		key, ok := keyvals[i].(string)
		if !ok {
			continue
		}
		if key == klog.DefaultMessageKey {
			msg, _ = keyvals[i+1].(string)
			continue
		}
		fields = append(fields, zap.Any(key, keyvals[i+1]))
	}
	switch level {
	case klog.LevelWarn:
		l.Zap.Warn(msg, fields...)
	case klog.LevelError, klog.LevelFatal:
		l.Zap.Error(msg, fields...)
	default:
		l.Zap.Debug(msg, fields...)
	}
	return nil
}

// MetricsHandler serves a registry in go-metrics' JSON format.
func MetricsHandler(reg metrics.Registry) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(reg, w)
	}
}

// Counter returns the registry's counter of that name, which it registers if
// there is none.
func Counter(reg metrics.Registry, name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, reg)
}
