package data_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/client"
	"amaranthdock.dev/loadtool/workload"
	"amaranthdock.dev/timer"
)

const (
	// writeInterval is the time between two writes of the open-loop load, and
	// therefore the resolution at which write gaps are measured.
	writeInterval = 10 * time.Millisecond
	// sessionCount is the number of sessions that run beside the open-loop load.
	sessionCount = 6
	// sessionPause is the pause between two requests of a session.
	sessionPause = 20 * time.Millisecond
)

// loadNumber numbers the loads, so that each uses its own keys.
var loadNumber atomic.Int64

// load is write load on a deployment: sessions that write, read and commit one
// request after another, and an open-loop load that starts a write in each interval
// without waiting for earlier ones.
type load struct {
	deployment     *deployment
	recorder       *workload.Recorder
	cancel         context.CancelFunc
	wg             sync.WaitGroup
	mu             sync.Mutex
	openLoopWrites []workload.WriteRecord
}

// startLoad starts a load that runs until finish is called.
func (d *deployment) startLoad(ctx context.Context) *load {
	ctx, cancel := context.WithCancel(ctx)
	l := &load{
		deployment: d,
		recorder:   workload.NewRecorder(),
		cancel:     cancel,
	}
	number := loadNumber.Add(1)
	for i := range sessionCount {
		s := workload.NewSession(workload.SessionConfig{
			Name:      fmt.Sprintf("load-%d-%d", number, i),
			Workspace: d.workspace,
			Key:       d.keys[d.workspace],
			Database:  d.database,
			Targets:   d.targets,
			Mix: workload.Mix{
				Writes:       50,
				Transactions: 20,
				MaxAgeReads:  10,
			},
			Pause:      sessionPause,
			Timeout:    requestTimeout,
			MaxAge:     2 * time.Second,
			Seed:       seed + uint64(i),
			HTTPClient: d.httpClient,
			Timer:      d.timer,
			Recorder:   l.recorder,
		})
		l.wg.Go(func() { s.Run(ctx) })
	}
	l.wg.Go(func() { l.runOpenLoop(ctx, number) })
	return l
}

// runOpenLoop starts a write in each interval until the context is canceled.
func (l *load) runOpenLoop(ctx context.Context, number int64) {
	ticks := l.deployment.timer.Every(writeInterval)
	defer ticks.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
		targets := l.deployment.targetVMs()
		c := l.deployment.client(targets[i%len(targets)], client.NewSession())
		l.wg.Go(func() {
			w := l.deployment.insert(ctx, c, fmt.Sprintf("open/%d/%d", number, i))
			l.mu.Lock()
			defer l.mu.Unlock()
			l.openLoopWrites = append(l.openLoopWrites, w)
		})
	}
}

// finish stops the load, waits for the requests in flight and adds the writes of
// the sessions to those that expectWritesMatchLogs checks.
func (l *load) finish() {
	l.cancel()
	l.wg.Wait()
	l.deployment.mu.Lock()
	defer l.deployment.mu.Unlock()
	l.deployment.writes = append(l.deployment.writes, l.recorder.Writes()...)
}

// writeGap returns the longest time without an acknowledged write.
func (l *load) writeGap() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return workload.LongestWriteGap(append(l.recorder.Writes(), l.openLoopWrites...), l.deployment.database)
}

// failureReasons counts the writes of the open-loop load that were not acknowledged,
// by outcome and reason.
func (l *load) failureReasons() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	reasons := map[string]int{}
	for _, w := range l.openLoopWrites {
		if w.Outcome != client.Done {
			reasons[w.Outcome.String()+" "+w.Reason]++
		}
	}
	return reasons
}

// expectNoStaleReads checks that each session read its own writes, and that at
// least one read succeeded.
func (l *load) expectNoStaleReads() {
	GinkgoHelper()
	Expect(l.recorder.StaleReads()).To(BeEmpty())
	Expect(l.recorder.Count(workload.KindRead, client.Done)).To(BeNumerically(">", 0))
}

// sleep waits for the given time.
func (d *deployment) sleep(ctx context.Context, wait time.Duration) {
	GinkgoHelper()
	Expect(timer.Sleep(ctx, d.timer, wait)).To(Succeed())
}
