package telemetry

import (
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// logQueue is the number of lines that wait to be written. A second of a
	// busy entry's lines fits.
	logQueue = 4096
	// logReserve is the part of the queue that only warnings and errors use.
	logReserve = logQueue / 4
	// logRate bounds the informational lines a second.
	logRate = 2000
	// logPause gathers lines, so that they share system calls.
	logPause = 50 * time.Millisecond
)

// LogQueue writes log lines from a queue. Writing never blocks: lines over the
// bounds are dropped and counted, informational ones first. It implements
// zapcore.Core's output for NewBoundedLogger.
type LogQueue struct {
	out  io.Writer
	wake chan struct{}

	mu      sync.Mutex // leaf
	lines   [][]byte
	dropped int64
	second  int64
	used    int
}

// boundedCore gives each line's level to its queue.
type boundedCore struct {
	zapcore.LevelEnabler
	enc   zapcore.Encoder
	queue *LogQueue
}

// NewBoundedLogger returns a JSON logger that writes to out from a queue, and
// the queue.
func NewBoundedLogger(out io.Writer, level, process string) (*zap.Logger, *LogQueue, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, err
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	b := &LogQueue{out: out, wake: make(chan struct{}, 1)}
	go b.run()
	core := &boundedCore{LevelEnabler: parsed, enc: zapcore.NewJSONEncoder(cfg), queue: b}
	return zap.New(core).With(zap.String("process", process)), b, nil
}

// With implements zapcore.Core.
func (c *boundedCore) With(fields []zapcore.Field) zapcore.Core {
	enc := c.enc.Clone()
	for _, f := range fields {
		f.AddTo(enc)
	}
	return &boundedCore{LevelEnabler: c.LevelEnabler, enc: enc, queue: c.queue}
}

// Check implements zapcore.Core.
func (c *boundedCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

// Write implements zapcore.Core. It never blocks.
func (c *boundedCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	if !c.queue.admit(e.Level, e.Time) {
		return nil
	}
	buf, err := c.enc.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	c.queue.put(append([]byte(nil), buf.Bytes()...))
	buf.Free()
	return nil
}

// Sync implements zapcore.Core.
func (c *boundedCore) Sync() error {
	c.queue.Flush()
	return nil
}

// admit says whether a line may be queued, and counts it as dropped if not.
func (b *LogQueue) admit(level zapcore.Level, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Unix() != b.second {
		b.second, b.used = now.Unix(), 0
	}
	b.used++
	urgent := level >= zapcore.WarnLevel
	ok := len(b.lines) < logQueue-logReserve && b.used <= logRate || urgent && len(b.lines) < logQueue
	if !ok {
		b.dropped++
	}
	return ok
}

func (b *LogQueue) put(line []byte) {
	b.mu.Lock()
	b.lines = append(b.lines, line)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Dropped returns the number of lines dropped so far.
func (b *LogQueue) Dropped() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}

func (b *LogQueue) run() {
	var reported int64
	for range b.wake {
		time.Sleep(logPause)
		b.Flush()
		if d := b.Dropped(); d != reported {
			b.report(d - reported)
			reported = d
		}
	}
}

// report says how many lines were dropped since the last report.
func (b *LogQueue) report(n int64) {
	enc := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	buf, err := enc.EncodeEntry(zapcore.Entry{Level: zapcore.WarnLevel, Time: time.Now(), Message: "log lines dropped"}, []zapcore.Field{zap.Int64("count", n)})
	if err == nil {
		_, _ = b.out.Write(buf.Bytes()) // standard output is the only place to say so
		buf.Free()
	}
}

// Flush writes the queued lines.
func (b *LogQueue) Flush() {
	b.mu.Lock()
	lines := b.lines
	b.lines = nil
	b.mu.Unlock()
	var all []byte
	for _, l := range lines {
		all = append(all, l...)
	}
	if len(all) > 0 {
		_, _ = b.out.Write(all) // standard output is the only place to say so
	}
}
