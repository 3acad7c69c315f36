package failover

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/promotion"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/declaration"
	"amaranthdock.dev/timer"
)

const (
	defaultSampleInterval = 100 * time.Millisecond
	// heartbeat and minInterval of the status streams.
	heartbeat   = 100 * time.Millisecond
	minInterval = 5 * time.Millisecond
	// silenceBound ends a stream that delivers nothing; it is below the
	// detection time, so that a broken connection alone makes no suspect.
	silenceBound = 300 * time.Millisecond
	// redialInterval between two tries to open a stream.
	redialInterval = 20 * time.Millisecond
	sampleTimeout  = 250 * time.Millisecond
	stepInterval   = 10 * time.Millisecond
	// trailInterval is the resolution of the catch-up estimate.
	trailInterval = minInterval
	// catchUpShare is the weight of a new value in the catch-up estimate.
	catchUpShare = 4
)

// database is the watch of one database.
type database struct {
	part   *Manager
	name   string
	cancel context.CancelFunc
	// homed tells that this VM is the home of a member; only for reconcile.
	homed bool

	mu        sync.Mutex
	monitor   *promotion.Monitor
	watches   map[string]*watch
	claimants []string
	rank      int
	changed   chan struct{}
	// ended is set when the watch stops, so that waits end.
	ended bool
	// failing is when this VM first suspected the primary, the zero time while it
	// does not; it is the begin of the duration of a failover.
	failing time.Time
	// trail holds the primary's positions as they were seen, for catchUp, the
	// mean time that each replica takes to reach them.
	trail   *promotion.DataAgeTracker
	catchUp map[string]time.Duration
}

// watch is the status stream of one member.
type watch struct {
	address netip.AddrPort
	client  endpointClient
	cancel  context.CancelFunc
}

// update follows the configuration and the membership.
func (d *database) update(ctx context.Context, snapshot *declaration.Snapshot, declared *declaration.Database, claimants []string, rank int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.monitor.SetMembers(toMembers(snapshot, declared))
	d.claimants = claimants
	d.rank = rank
	wanted := map[string]bool{}
	for _, e := range declared.Endpoints {
		wanted[e.Name] = true
		if w, ok := d.watches[e.Name]; ok && w.address == e.Address {
			continue
		} else if ok {
			w.cancel()
		}
		d.startWatch(ctx, e)
	}
	for name, w := range d.watches {
		if !wanted[name] {
			w.cancel()
			delete(d.watches, name)
		}
	}
}

// startWatch opens the status stream of a member. The caller holds the lock.
func (d *database) startWatch(ctx context.Context, e declaration.Endpoint) {
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{
		address: e.Address,
		client:  d.part.config.DialEndpoint(e.Address),
		cancel:  cancel,
	}
	d.watches[e.Name] = w
	d.part.tasks.Go(func() {
		for ctx.Err() == nil {
			d.follow(ctx, e.Name, w)
			if ctx.Err() != nil {
				return
			}
			d.miss(e.Name)
			if err := timer.Sleep(ctx, d.part.config.Timer, redialInterval); err != nil {
				return
			}
		}
	})
}

// follow reads one status stream until it breaks or falls silent.
func (d *database) follow(ctx context.Context, endpoint string, w *watch) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	alive := make(chan struct{}, 1)
	d.part.tasks.Go(func() {
		defer cancel()
		for d.waitAlive(ctx, alive) {
			continue
		}
	})
	stream, err := w.client.WatchStatus(ctx, &endpointv1.WatchStatusRequest{
		MinInterval: durationpb.New(minInterval),
		Heartbeat:   durationpb.New(heartbeat),
	})
	if err != nil {
		return
	}
	for stream.Receive() {
		select {
		case alive <- struct{}{}:
		default:
		}
		if ctx.Err() == nil {
			d.observe(endpoint, stream.Msg())
		}
	}
	if err := stream.Close(); err != nil {
		d.part.config.Logger.V(1).Info("failover: status stream ended", "endpoint", endpoint, "cause", err.Error())
	}
}

// waitAlive returns false if nothing arrives within the silence bound.
func (d *database) waitAlive(ctx context.Context, alive <-chan struct{}) bool {
	subscription := d.part.config.Timer.After(silenceBound)
	defer subscription.Stop()
	select {
	case <-alive:
		return true
	case <-subscription.C():
		return false
	case <-ctx.Done():
		return false
	}
}

func (d *database) miss(endpoint string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.monitor.MarkStreamBroken(endpoint)
}

func (d *database) observe(endpoint string, message *endpointv1.Status) {
	status := decodeStatus(endpoint, message)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.part.config.Timer.Now()
	before, _ := d.monitor.Status(endpoint)
	d.monitor.Observe(now, status)
	leader, term := d.monitor.LatestPrimary()
	switch {
	case status.Role == routing.RolePrimary && leader == endpoint && status.FencedTerm == term:
		d.trail.Add(now, status.Last)
	case status.Last.Compare(before.Last) > 0:
		d.noteCatchUp(now, endpoint, status.Last)
	}
	d.notify()
}

// noteCatchUp updates the mean time that a replica takes to reach a position.
// The caller holds the lock.
func (d *database) noteCatchUp(now time.Time, endpoint string, position logpos.Position) {
	took, ok := d.trail.Age(now, position)
	if !ok {
		return
	}
	mean, ok := d.catchUp[endpoint]
	if !ok {
		mean = took
	}
	d.catchUp[endpoint] = mean + (took-mean)/catchUpShare
}

// notify wakes everyone who waits for a change. The caller holds the lock.
func (d *database) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// runSteps asks the monitor for decisions until the context ends.
func (d *database) runSteps(ctx context.Context) {
	defer d.stopWatches()
	ticks := d.part.config.Timer.Every(stepInterval)
	defer ticks.Stop()
	for {
		d.mu.Lock()
		decision := d.monitor.Step(d.part.config.Timer.Now(), d.rank, d.part.config.Random())
		d.mu.Unlock()
		d.execute(ctx, decision)
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
	}
}

func (d *database) stopWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range d.watches {
		w.cancel()
	}
	d.ended = true
	d.notify()
}

// runSamples asks all members for their status in each interval.
func (d *database) runSamples(ctx context.Context) {
	ticks := d.part.config.Timer.Every(d.part.config.SampleInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
			d.sample(ctx)
		}
	}
}

// sample returns whether a majority was in the primary's term when it was asked.
func (d *database) sample(ctx context.Context) bool {
	ctx, cancel := timer.WithTimeout(ctx, d.part.config.Timer, sampleTimeout)
	defer cancel()
	sent := d.part.config.Timer.Now()
	answers := make(chan *promotion.Status)
	clients := d.clients()
	for endpoint, client := range clients {
		d.part.tasks.Go(func() {
			message, err := client.GetStatus(ctx, &endpointv1.GetStatusRequest{})
			if err != nil {
				answers <- nil
				return
			}
			status := decodeStatus(endpoint, message)
			answers <- &status
		})
	}
	var statuses []promotion.Status
	confirmed := false
	for range clients {
		status := <-answers
		if status == nil {
			continue
		}
		statuses = append(statuses, *status)
		d.mu.Lock()
		confirmed = d.monitor.AddSample(sent, statuses) || confirmed
		d.mu.Unlock()
	}
	return confirmed
}

func (d *database) clients() map[string]endpointClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	clients := make(map[string]endpointClient, len(d.watches))
	for endpoint, w := range d.watches {
		clients[endpoint] = w.client
	}
	return clients
}
