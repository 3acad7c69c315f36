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
	// maxBufferedBytes is the maximum total size of the lines that are not written yet.
	// Routine lines may fill only half of it, so that they are dropped first when the
	// output stalls.
	maxBufferedBytes = 512 << 10
	// flushInterval is the interval at which buffered lines are written.
	flushInterval = 100 * time.Millisecond
	// DefaultRoutineRate is the maximum number of lines about successful requests per
	// second. It exceeds the statements per second of one VM under its usual load.
	DefaultRoutineRate = 400
	// maxImportantRate is the maximum number of all other lines per second. Refusals
	// reach it during a flood of requests.
	maxImportantRate = 1000
)

// BoundedLoggerConfig configures a bounded logger.
type BoundedLoggerConfig struct {
	Output io.Writer
	// VM is added to every line.
	VM       string
	Timer    timer.Service
	Registry metrics.Registry
	// RoutineRate is the maximum number of lines at V(1) per second; 0 stands for
	// DefaultRoutineRate.
	RoutineRate int
}

// BoundedSink is the sink of a logger that never blocks its callers. It buffers lines and
// limits their rate and their total size. Lines at V(1) are routine and are dropped first. Dropped
// lines are counted in the metrics log.droppedRoutine and log.droppedImportant, and the
// next flush logs their number.
type BoundedSink struct {
	config  BoundedLoggerConfig
	encoder zapcore.Encoder

	mu sync.Mutex
	// buffered holds the lines that are not written yet.
	buffered []byte
	// windowStart is the start of the second for which lines are counted.
	windowStart       time.Time
	routineInWindow   int
	importantInWindow int
	// dropped is the number of lines of each class that were dropped since the last
	// flush.
	dropped  [2]int64
	counters [2]metrics.Counter
}

// The classes of lines, which index BoundedSink.dropped and BoundedSink.counters.
const (
	classImportant = iota
	classRoutine
)

// NewBoundedLogger returns a logger and its sink. The sink writes lines while Run is running.
func NewBoundedLogger(config BoundedLoggerConfig) (logr.Logger, *BoundedSink, error) {
	if config.Output == nil || config.Timer == nil || config.Registry == nil {
		return logr.Discard(), nil, eris.New("a bounded log needs an output, a timer and a registry")
	}
	if config.RoutineRate == 0 {
		config.RoutineRate = DefaultRoutineRate
	}
	b := &BoundedSink{
		config:  config,
		encoder: zapcore.NewJSONEncoder(encoderConfig()),
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

// Run writes buffered lines periodically until done is closed, and then once more.
func (b *BoundedSink) Run(done <-chan struct{}) {
	ticker := b.config.Timer.Every(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C():
			b.Flush()
		case <-done:
			b.Flush()
			return
		}
	}
}

// Flush writes the buffered lines. It blocks as long as the output does.
func (b *BoundedSink) Flush() {
	b.mu.Lock()
	buffered := b.buffered
	dropped := b.dropped
	b.buffered = nil
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
			buffered = append(buffered, line.Bytes()...)
			line.Free()
		}
	}
	if len(buffered) == 0 {
		return
	}
	if _, err := b.config.Output.Write(buffered); err != nil {
		// The failure cannot be logged, so it is only counted, as one dropped line.
		b.counters[classImportant].Inc(1)
	}
}

// enqueue adds a line to the buffer, or drops it if a limit is exceeded.
func (b *BoundedSink) enqueue(line *buffer.Buffer, class int) {
	defer line.Free()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.admit(class, line.Len()) {
		b.dropped[class]++
		b.counters[class].Inc(1)
		return
	}
	b.buffered = append(b.buffered, line.Bytes()...)
}

// admit counts a line and reports whether it is within the limits. The caller holds the
// lock.
func (b *BoundedSink) admit(class, size int) bool {
	now := b.config.Timer.Now()
	if now.Sub(b.windowStart) >= time.Second {
		b.windowStart = now
		b.routineInWindow = 0
		b.importantInWindow = 0
	}
	if class == classRoutine {
		b.routineInWindow++
		return b.routineInWindow <= b.config.RoutineRate && len(b.buffered)+size <= maxBufferedBytes/2
	}
	b.importantInWindow++
	return b.importantInWindow <= maxImportantRate && len(b.buffered)+size <= maxBufferedBytes
}

// boundedCore is a zapcore.Core that writes to the sink.
type boundedCore struct {
	sink    *BoundedSink
	encoder zapcore.Encoder
}

// Enabled reports whether a level is logged. V(0) and V(1) are.
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

// Write encodes a line and adds it to the sink.
func (c *boundedCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	line, err := c.encoder.EncodeEntry(entry, fields)
	if err != nil {
		return eris.Wrap(err, "encode a log line")
	}
	class := classImportant
	if entry.Level < zapcore.InfoLevel {
		class = classRoutine
	}
	c.sink.enqueue(line, class)
	return nil
}

// Sync writes the buffered lines.
func (c *boundedCore) Sync() error {
	c.sink.Flush()
	return nil
}
