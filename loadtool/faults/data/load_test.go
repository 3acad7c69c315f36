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
	// writeInterval is the time between two writes of the open load, and so the
	// resolution of a write gap.
	writeInterval = 10 * time.Millisecond
	// sessionCount is the number of sessions beside the open load.
	sessionCount = 6
	// sessionPause between two requests of a session.
	sessionPause = 20 * time.Millisecond
)

// loadNumber makes the keys of different loads differ.
var loadNumber atomic.Int64

// load is write load on a deployment: sessions that write, read and commit one
// request after another, and an open load that starts a write in each interval,
// whether or not the earlier ones have ended.
type load struct {
	data    *data
	journal *workload.Recorder
	stop    context.CancelFunc
	done    sync.WaitGroup
	mu      sync.Mutex
	opened  []workload.WriteRecord
}

// startLoad starts load that runs until finish.
func (d *data) startLoad(ctx context.Context) *load {
	ctx, cancel := context.WithCancel(ctx)
	l := &load{
		data:    d,
		journal: workload.NewRecorder(),
		stop:    cancel,
	}
	number := loadNumber.Add(1)
	for i := range sessionCount {
		s := workload.NewSession(workload.SessionConfig{
			Name:      fmt.Sprintf("load-%d-%d", number, i),
			Workspace: d.worker,
			Key:       d.keys[d.worker],
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
			HTTPClient: d.http,
			Timer:      d.timer,
			Recorder:   l.journal,
		})
		l.done.Go(func() { s.Run(ctx) })
	}
	l.done.Go(func() { l.open(ctx, number) })
	return l
}

// open starts a write in each interval until the context ends.
func (l *load) open(ctx context.Context, number int64) {
	ticks := l.data.timer.Every(writeInterval)
	defer ticks.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
		targets := l.data.targetVMs()
		c := l.data.client(targets[i%len(targets)], client.NewSession())
		l.done.Go(func() {
			w := l.data.insert(ctx, c, fmt.Sprintf("open/%d/%d", number, i))
			l.mu.Lock()
			defer l.mu.Unlock()
			l.opened = append(l.opened, w)
		})
	}
}

// finish ends the load, waits for the requests under way and gives the writes of
// the sessions to the deployment's check.
func (l *load) finish() {
	l.stop()
	l.done.Wait()
	l.data.mu.Lock()
	defer l.data.mu.Unlock()
	l.data.writes = append(l.data.writes, l.journal.Writes()...)
}

// gap returns the longest time without an acknowledged write.
func (l *load) gap() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return workload.LongestWriteGap(append(l.journal.Writes(), l.opened...), l.data.database)
}

// reasons counts the reasons of the open load's writes that were not done.
func (l *load) reasons() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	reasons := map[string]int{}
	for _, w := range l.opened {
		if w.Outcome != client.Done {
			reasons[w.Outcome.String()+" "+w.Reason]++
		}
	}
	return reasons
}

// expectNoStaleRead checks that each session read its own writes, and that there
// were reads.
func (l *load) expectNoStaleRead() {
	GinkgoHelper()
	Expect(l.journal.StaleReads()).To(BeEmpty())
	Expect(l.journal.Count(workload.KindRead, client.Done)).To(BeNumerically(">", 0))
}

// sleep waits for the given time.
func (d *data) sleep(ctx context.Context, wait time.Duration) {
	GinkgoHelper()
	Expect(timer.Sleep(ctx, d.timer, wait)).To(Succeed())
}
