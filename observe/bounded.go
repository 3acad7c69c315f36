package observe

import (
	"io"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/buffer"
	"go.uber.org/zap/zapcore"

	"amaranthdock.dev/timer"
)

const (
	// bufferLimit of lines that were not written yet, in bytes. Routine lines get half
	// of it, so that a reader that stalls costs them first.
	bufferLimit = 512 << 10
	// flushInterval between two writes of what has gathered.
	flushInterval = 100 * time.Millisecond
	// DefaultRoutineRate of lines about requests that went well, per second: above the
	// statements of one VM under its usual load.
	DefaultRoutineRate = 400
	// importantRate of all other lines, per second; refusals of a flood reach it.
	importantRate = 1000
)

// BoundedLoggerConfig configures a bounded logger.
type BoundedLoggerConfig struct {
	Output io.Writer
	// VM appears in every line.
	VM       string
	Timer    timer.Service
	Registry metrics.Registry
	// RoutineRate is the most lines at V(1) in a second; DefaultRoutineRate if 0.
	RoutineRate int
}

// BoundedSink is the sink of a logger that never blocks its callers. Lines at V(1) are
// routine and are dropped first; what is dropped is counted in the metrics
// log.droppedRoutine and log.droppedImportant and in a line of its own.
type BoundedSink struct {
	config  BoundedLoggerConfig
	encoder zapcore.Encoder

	mu        sync.Mutex
	pending   []byte
	second    time.Time
	routine   int
	important int
	dropped   [2]int64
	counters  [2]metrics.Counter
}

// The classes of lines.
const (
	classImportant = iota
	classRoutine
)

// NewBoundedLogger returns a logger and its sink, which writes once Run is called.
func NewBoundedLogger(config BoundedLoggerConfig) (logr.Logger, *BoundedSink, error) {
	if config.Output == nil || config.Timer == nil || config.Registry == nil {
		return logr.Discard(), nil, eris.New("a bounded log needs an output, a timer and a registry")
	}
	if config.RoutineRate == 0 {
		config.RoutineRate = DefaultRoutineRate
	}
	b := &BoundedSink{
		config:  config,
		encoder: zapcore.NewJSONEncoder(encoding()),
		counters: [2]metrics.Counter{
			metrics.GetOrRegisterCounter("log.droppedImportant", config.Registry),
			metrics.GetOrRegisterCounter("log.droppedRoutine", config.Registry),
		},
	}
	logger := zapr.NewLogger(zap.New(&boundedCore{
		sink:    b,
		encoder: b.encoder,
	})).WithValues("vm", config.VM)
	return logger, b, nil
}

// Run writes until done is closed, and then what is left.
func (b *BoundedSink) Run(done <-chan struct{}) {
	ticks := b.config.Timer.Every(flushInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C():
			b.Flush()
		case <-done:
			b.Flush()
			return
		}
	}
}

// Flush writes what has gathered. It blocks as long as the output does.
func (b *BoundedSink) Flush() {
	b.mu.Lock()
	pending := b.pending
	dropped := b.dropped
	b.pending = nil
	b.dropped = [2]int64{}
	b.mu.Unlock()
	if dropped != [2]int64{} {
		entry := zapcore.Entry{
			Level:   zapcore.InfoLevel,
			Time:    b.config.Timer.Now(),
			Message: "Log lines were dropped.",
		}
		line, err := b.encoder.EncodeEntry(entry, []zapcore.Field{
			zap.String("vm", b.config.VM),
			zap.Int64("important", dropped[classImportant]),
			zap.Int64("routine", dropped[classRoutine]),
		})
		if err == nil {
			pending = append(pending, line.Bytes()...)
			line.Free()
		}
	}
	if len(pending) == 0 {
		return
	}
	if _, err := b.config.Output.Write(pending); err != nil {
		// There is nowhere left to report the failure but the metric.
		b.counters[classImportant].Inc(1)
	}
}

// put takes a line, or drops it.
func (b *BoundedSink) put(line *buffer.Buffer, class int) {
	defer line.Free()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.admit(class, line.Len()) {
		b.dropped[class]++
		b.counters[class].Inc(1)
		return
	}
	b.pending = append(b.pending, line.Bytes()...)
}

// admit applies the bounds. The caller holds the lock.
func (b *BoundedSink) admit(class, size int) bool {
	now := b.config.Timer.Now()
	if now.Sub(b.second) >= time.Second {
		b.second = now
		b.routine = 0
		b.important = 0
	}
	if class == classRoutine {
		b.routine++
		return b.routine <= b.config.RoutineRate && len(b.pending)+size <= bufferLimit/2
	}
	b.important++
	return b.important <= importantRate && len(b.pending)+size <= bufferLimit
}

// boundedCore gives the lines of a zap logger to the sink.
type boundedCore struct {
	sink    *BoundedSink
	encoder zapcore.Encoder
}

// Enabled tells whether a level is logged: V(0) and V(1) are.
func (c *boundedCore) Enabled(level zapcore.Level) bool { return level >= zapcore.DebugLevel }

// With returns a core that adds fields to each line.
func (c *boundedCore) With(fields []zapcore.Field) zapcore.Core {
	clone := c.encoder.Clone()
	for _, field := range fields {
		field.AddTo(clone)
	}
	return &boundedCore{
		sink:    c.sink,
		encoder: clone,
	}
}

// Check adds the core to the entry if its level is logged.
func (c *boundedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write encodes a line and hands it over.
func (c *boundedCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	line, err := c.encoder.EncodeEntry(entry, fields)
	if err != nil {
		return eris.Wrap(err, "encode a log line")
	}
	class := classImportant
	if entry.Level < zapcore.InfoLevel {
		class = classRoutine
	}
	c.sink.put(line, class)
	return nil
}

// Sync writes what has gathered.
func (c *boundedCore) Sync() error {
	c.sink.Flush()
	return nil
}
