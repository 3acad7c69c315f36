package observe_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/observe"
	"amaranthdock.dev/timer"
)

// stalled is an output that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stalled) Write(data []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(data)
}

type broken struct{}

func (broken) Write([]byte) (int, error) { return 0, errors.New("closed") }

var _ = Describe("Bounded", func() {
	var clock *timer.Manual
	var registry metrics.Registry

	BeforeEach(func() {
		clock = timer.NewManual(timer.ManualConfig{Start: time.Unix(1000, 0)})
		registry = metrics.NewRegistry()
	})

	bounded := func(config observe.BoundedLoggerConfig) (logr.Logger, *observe.BoundedSink) {
		config.VM = "vm1"
		config.Timer = clock
		config.Registry = registry
		logger, sink, err := observe.NewBoundedLogger(config)
		Expect(err).NotTo(HaveOccurred())
		return logger, sink
	}
	dropped := func(class string) int64 {
		return metrics.GetOrRegisterCounter("log.dropped"+class, registry).Count()
	}

	It("writes one JSON object a line, with the VM and the part", func() {
		var output bytes.Buffer
		logger, sink := bounded(observe.BoundedLoggerConfig{Output: &output})
		logger.WithName("caller").Info("Refused a statement.", "request", "5c0e")
		logger.V(1).Info("Served a statement.", "request", "77aa")
		sink.Flush()
		lines := strings.Split(strings.TrimSpace(output.String()), "\n")
		Expect(lines).To(HaveLen(2))
		var fields map[string]any
		Expect(json.Unmarshal([]byte(lines[0]), &fields)).To(Succeed())
		Expect(fields).To(HaveKeyWithValue("vm", "vm1"))
		Expect(fields).To(HaveKeyWithValue("part", "caller"))
		Expect(fields).To(HaveKeyWithValue("request", "5c0e"))
	})

	It("drops routine lines first when ten times the load comes, and says so", func() {
		var output bytes.Buffer
		logger, sink := bounded(observe.BoundedLoggerConfig{
			Output:      &output,
			RoutineRate: 50,
		})
		for range 500 {
			logger.V(1).Info("Served a statement.")
		}
		for range 100 {
			logger.Info("Refused a statement.")
		}
		sink.Flush()
		Expect(strings.Count(output.String(), "Served")).To(Equal(50))
		Expect(strings.Count(output.String(), "Refused")).To(Equal(100))
		Expect(output.String()).To(ContainSubstring(`"important":0,"routine":450`))
		Expect(dropped("Routine")).To(Equal(int64(450)))
		clock.Advance(time.Second)
		logger.V(1).Info("Served a statement.")
		sink.Flush()
		Expect(strings.Count(output.String(), "Served")).To(Equal(51))
	})

	It("never blocks its callers on a reader that stalls, nor grows without bound", func() {
		output := &stalled{release: make(chan struct{})}
		logger, sink := bounded(observe.BoundedLoggerConfig{
			Output:      output,
			RoutineRate: 1 << 30,
		})
		logger.Info("The first line.")
		flushed := make(chan struct{})
		go func() {
			sink.Flush()
			close(flushed)
		}()
		long := strings.Repeat("x", 1000)
		for range 10_000 {
			logger.V(1).Info("Served a statement.", "text", long)
			clock.Advance(time.Millisecond)
		}
		logger.Info("Refused a statement.")
		Expect(dropped("Routine")).To(BeNumerically(">", 9000))
		Expect(dropped("Important")).To(BeZero())
		close(output.release)
		Eventually(flushed).Should(BeClosed())
		sink.Flush()
		Expect(output.Len()).To(BeNumerically("<", 1<<20))
		Expect(output.String()).To(ContainSubstring("Refused a statement."))
	})

	It("counts lines that the output does not take", func() {
		logger, sink := bounded(observe.BoundedLoggerConfig{Output: broken{}})
		logger.Info("A line.")
		sink.Flush()
		Expect(dropped("Important")).To(Equal(int64(1)))
	})

	It("writes what is left at the end", func() {
		var output bytes.Buffer
		logger, sink := bounded(observe.BoundedLoggerConfig{Output: &output})
		logger.Info("Stopped.")
		done := make(chan struct{})
		close(done)
		sink.Run(done)
		Expect(output.String()).To(ContainSubstring("Stopped."))
	})
})
