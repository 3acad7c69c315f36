package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/loadtool/harness"
)

const (
	versionMetric = "gossip.configurationVersion"
	liveMetric    = "gossip.liveVms"
	// eventTimeout limits the wait until all VMs have seen an event.
	eventTimeout = 20 * time.Second
)

// measureChange changes the configuration. It returns the time from the start of amaranthctl
// until the new version is active on every VM, and the time between the first VM and the last.
func (f *fleet) measureChange(ctx context.Context) (total, spread time.Duration, err error) {
	values, err := f.fetchMetrics(f.deployment.VMs[0])
	if err != nil {
		return 0, 0, err
	}
	target := values[versionMetric] + 1
	f.declared.Document.Workspaces[0].Worth++
	startedAt := f.config.Timer.Now()
	applied := make(chan error, 1)
	go func() { applied <- f.deployment.Apply(ctx, f.declared) }()
	first, last, waitErr := f.waitForMetric(ctx, versionMetric, func(value float64) bool { return value >= target })
	if err := <-applied; err != nil {
		return 0, 0, err
	}
	return last.Sub(startedAt), last.Sub(first), waitErr
}

// measureFailureDetection kills a VM and returns the time until no other VM counts it as live.
func (f *fleet) measureFailureDetection(ctx context.Context) (time.Duration, error) {
	live := f.deployment.LiveVMs()
	startedAt := f.config.Timer.Now()
	if err := live[len(live)-1].Kill(); err != nil {
		return 0, err
	}
	_, last, err := f.waitForMetric(ctx, liveMetric, func(value float64) bool { return value < float64(len(live)) })
	return last.Sub(startedAt), err
}

// waitForMetric waits until a metric reaches a value on every live VM, and returns when the
// first and the last VM did. VMs that have reached it are not queried again.
func (f *fleet) waitForMetric(ctx context.Context, name string, reached func(value float64) bool) (first, last time.Time, err error) {
	waiting := f.deployment.LiveVMs()
	err = harness.WaitFor(ctx, f.config.Timer, eventTimeout, func() error {
		done := make([]bool, len(waiting))
		var group sync.WaitGroup
		for i, v := range waiting {
			group.Go(func() {
				values, err := f.fetchMetrics(v)
				done[i] = err == nil && reached(values[name])
			})
		}
		group.Wait()
		now := f.config.Timer.Now()
		var remaining []*harness.VM
		for i, v := range waiting {
			if !done[i] {
				remaining = append(remaining, v)
			}
		}
		if len(remaining) < len(waiting) {
			last = now
			if first.IsZero() {
				first = now
			}
		}
		waiting = remaining
		if len(waiting) > 0 {
			return eris.Errorf("capacity: metric %s has not changed on %d VMs, including %s", name, len(waiting), waiting[0].Name)
		}
		return nil
	})
	return first, last, err
}
