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
	// eventTimeout bounds the wait for a change or a drop everywhere.
	eventTimeout = 20 * time.Second
)

// changeTime changes the configuration and returns the time from the start of
// the operators' command until every VM has the version in effect, and the time
// from the first VM to the last.
func (f *fleet) changeTime(ctx context.Context) (total, spread time.Duration, err error) {
	values, err := f.fetchMetrics(f.deployment.VMs[0])
	if err != nil {
		return 0, 0, err
	}
	wanted := values[versionMetric] + 1
	f.declared.Document.Workspaces[0].Worth++
	began := f.config.Timer.Now()
	applied := make(chan error, 1)
	go func() { applied <- f.deployment.Apply(ctx, f.declared) }()
	first, last, waitErr := f.waitMetric(ctx, versionMetric, func(value float64) bool { return value >= wanted })
	if err := <-applied; err != nil {
		return 0, 0, err
	}
	return last.Sub(began), last.Sub(first), waitErr
}

// dropTime kills a VM and returns the time until no other counts it as live.
func (f *fleet) dropTime(ctx context.Context) (time.Duration, error) {
	live := f.deployment.LiveVMs()
	began := f.config.Timer.Now()
	if err := live[len(live)-1].Kill(); err != nil {
		return 0, err
	}
	_, last, err := f.waitMetric(ctx, liveMetric, func(value float64) bool { return value < float64(len(live)) })
	return last.Sub(began), err
}

// waitMetric waits until a metric of every live VM passes, and returns when the
// first and the last did. VMs that have passed are not asked again.
func (f *fleet) waitMetric(ctx context.Context, name string, pass func(value float64) bool) (first, last time.Time, err error) {
	waiting := f.deployment.LiveVMs()
	err = harness.WaitFor(ctx, f.config.Timer, eventTimeout, func() error {
		passed := make([]bool, len(waiting))
		var group sync.WaitGroup
		for i, v := range waiting {
			group.Go(func() {
				values, err := f.fetchMetrics(v)
				passed[i] = err == nil && pass(values[name])
			})
		}
		group.Wait()
		now := f.config.Timer.Now()
		var left []*harness.VM
		for i, v := range waiting {
			if !passed[i] {
				left = append(left, v)
			}
		}
		if len(left) < len(waiting) {
			last = now
			if first.IsZero() {
				first = now
			}
		}
		waiting = left
		if len(waiting) > 0 {
			return eris.Errorf("capacity: %s has not changed at %d VMs, %s among them", name, len(waiting), waiting[0].Name)
		}
		return nil
	})
	return first, last, err
}
