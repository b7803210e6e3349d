package telemetry

import (
	"io"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// logQueueLines is the number of lines that the queue holds. It fits one
	// second of a busy entry's lines.
	logQueueLines = 4096
	// logReservedLines is the part of the queue reserved for warnings and errors.
	logReservedLines = logQueueLines / 4
	// maxLinesPerSecond is the rate of lines above which only warnings and
	// errors are queued. Lines about single requests, of which a flood of refused
	// requests makes any number, get requestLinesFraction of it and of the queue.
	maxLinesPerSecond    = 2000
	requestLinesFraction = 0.75
	// requestField is the field that a line about a single request has.
	requestField = "request"
	// logBatchDelay is the time in which lines are batched into one write.
	logBatchDelay = 50 * time.Millisecond
)

// LogQueue is a bounded queue of log lines and the goroutine that writes them.
// Logging never blocks on the output: lines over the bounds are dropped and
// counted, informational ones first. It is safe for concurrent use.
type LogQueue struct {
	out  io.Writer
	wake chan struct{}

	mu              sync.Mutex // leaf lock: no other lock is taken while it is held
	lines           [][]byte
	dropped         droppedLines
	currentSecond   int64
	linesThisSecond int
	// requestLines is the number of lines about single requests among lines, and
	// requestLinesThisSecond that among linesThisSecond.
	requestLines, requestLinesThisSecond int
}

// droppedLines counts lines that were dropped: those about single requests, and others.
type droppedLines struct{ requests, others int64 }

// boundedCore is a zapcore.Core that writes to a LogQueue. Unlike a
// zapcore.WriteSyncer it passes the level of each line on to the queue.
type boundedCore struct {
	zapcore.LevelEnabler
	enc   zapcore.Encoder
	queue *LogQueue
	// ofRequest is set if the lines have requestField.
	ofRequest bool
}

// NewBoundedLogger returns a JSON logger at the given level (debug, info, warn
// or error) and the queue through which it writes to out.
func NewBoundedLogger(out io.Writer, level, process string) (*zap.Logger, *LogQueue, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, err
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	q := &LogQueue{out: out, wake: make(chan struct{}, 1)}
	enc := zapcore.NewJSONEncoder(cfg)
	dropReports := enc.Clone()
	dropReports.AddString("process", process)
	go q.run(dropReports)
	core := &boundedCore{LevelEnabler: parsed, enc: enc, queue: q}
	return zap.New(core).With(zap.String("process", process)), q, nil
}

// With implements zapcore.Core.
func (c *boundedCore) With(fields []zapcore.Field) zapcore.Core {
	enc := c.enc.Clone()
	for _, f := range fields {
		f.AddTo(enc)
	}
	return &boundedCore{LevelEnabler: c.LevelEnabler, enc: enc, queue: c.queue, ofRequest: c.ofRequest || hasRequest(fields)}
}

func hasRequest(fields []zapcore.Field) bool {
	return slices.ContainsFunc(fields, func(f zapcore.Field) bool { return f.Key == requestField })
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
	ofRequest := c.ofRequest || hasRequest(fields)
	if !c.queue.admit(e.Level, ofRequest, e.Time) {
		return nil
	}
	buf, err := c.enc.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	c.queue.enqueue(append([]byte(nil), buf.Bytes()...), ofRequest)
	buf.Free()
	return nil
}

// Sync implements zapcore.Core.
func (c *boundedCore) Sync() error {
	c.queue.Flush()
	return nil
}

// admit reports whether a line may be queued. If not, it counts the line as
// dropped.
func (q *LogQueue) admit(level zapcore.Level, ofRequest bool, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Unix() != q.currentSecond {
		q.currentSecond, q.linesThisSecond, q.requestLinesThisSecond = now.Unix(), 0, 0
	}
	const informational = logQueueLines - logReservedLines
	ok := len(q.lines) < informational && q.linesThisSecond < maxLinesPerSecond
	if ofRequest {
		ok = ok && q.requestLines < int(requestLinesFraction*informational) && q.requestLinesThisSecond < int(requestLinesFraction*maxLinesPerSecond)
	}
	ok = ok || level >= zapcore.WarnLevel && len(q.lines) < logQueueLines
	switch {
	case ok && ofRequest:
		q.requestLinesThisSecond++
	case !ok && ofRequest:
		q.dropped.requests++
	case !ok:
		q.dropped.others++
	}
	if ok {
		q.linesThisSecond++
	}
	return ok
}

func (q *LogQueue) enqueue(line []byte, ofRequest bool) {
	q.mu.Lock()
	q.lines = append(q.lines, line)
	if ofRequest {
		q.requestLines++
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Dropped returns the number of lines dropped so far.
func (q *LogQueue) Dropped() int64 {
	d := q.droppedLines()
	return d.requests + d.others
}

func (q *LogQueue) droppedLines() droppedLines {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropped
}

func (q *LogQueue) run(dropReports zapcore.Encoder) {
	var reported droppedLines
	for range q.wake {
		time.Sleep(logBatchDelay)
		q.Flush()
		if d := q.droppedLines(); d != reported {
			q.writeDropReport(dropReports, droppedLines{d.requests - reported.requests, d.others - reported.others})
			reported = d
		}
	}
}

// writeDropReport writes a warning that lines were dropped since the last
// report. It bypasses the queue.
func (q *LogQueue) writeDropReport(enc zapcore.Encoder, dropped droppedLines) {
	buf, err := enc.EncodeEntry(zapcore.Entry{Level: zapcore.WarnLevel, Time: time.Now(), Message: "log lines dropped"},
		[]zapcore.Field{zap.Int64("of_requests", dropped.requests), zap.Int64("others", dropped.others)})
	if err == nil {
		_, _ = q.out.Write(buf.Bytes()) // no other place to report a failed write
		buf.Free()
	}
}

// Flush writes the queued lines.
func (q *LogQueue) Flush() {
	q.mu.Lock()
	lines := q.lines
	q.lines, q.requestLines = nil, 0
	q.mu.Unlock()
	var all []byte
	for _, l := range lines {
		all = append(all, l...)
	}
	if len(all) > 0 {
		_, _ = q.out.Write(all) // no other place to report a failed write
	}
}
