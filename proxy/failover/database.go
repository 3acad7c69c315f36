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
	// heartbeatInterval and minStatusInterval are the longest and the shortest interval
	// between two messages of a status stream.
	heartbeatInterval = 100 * time.Millisecond
	minStatusInterval = 5 * time.Millisecond
	// silenceTimeout ends a stream that delivers no message. It is shorter than the
	// failure detection timeout, so that a broken connection alone does not make the
	// member a suspect.
	silenceTimeout = 300 * time.Millisecond
	// redialInterval is the delay between two attempts to open a stream.
	redialInterval = 20 * time.Millisecond
	sampleTimeout  = 250 * time.Millisecond
	stepInterval   = 10 * time.Millisecond
	// positionInterval is the resolution of primaryPositions, which the catch-up
	// estimate is based on.
	positionInterval = minStatusInterval
	// catchUpSmoothing is the inverse of the weight that a new value has in the
	// exponential moving average meanCatchUp.
	catchUpSmoothing = 4
)

// databaseWatch monitors the members of one database.
type databaseWatch struct {
	manager *Manager
	name    string
	cancel  context.CancelFunc
	// isHome is true while this VM is the home of a member. Only reconcile uses it.
	isHome bool

	mu        sync.Mutex
	monitor   *promotion.Monitor
	streams   map[string]*statusStream
	claimants []string
	// rank is the index of this VM in claimants, or the number of claimants if it is
	// not the home of a member.
	rank int
	// changed is closed and replaced whenever waitFor has to check its condition again.
	changed chan struct{}
	// stopped is set when the watch stops, so that waitFor returns.
	stopped bool
	// failoverStartedAt is when this VM first suspected the primary; zero while it does
	// not. The duration of a failover is measured from here.
	failoverStartedAt time.Time
	// primaryPositions holds the observed positions of the primary. meanCatchUp is the
	// mean time that each replica takes to reach them, by endpoint.
	primaryPositions *promotion.DataAgeTracker
	meanCatchUp      map[string]time.Duration
}

// statusStream is the status stream of one member.
type statusStream struct {
	address netip.AddrPort
	client  endpointClient
	cancel  context.CancelFunc
}

// updateMembers applies a change of the configuration or of the membership.
func (d *databaseWatch) updateMembers(ctx context.Context, snapshot *declaration.Snapshot, declared *declaration.Database, claimants []string, rank int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.monitor.SetMembers(toMembers(snapshot, declared))
	d.claimants = claimants
	d.rank = rank
	wanted := map[string]bool{}
	for _, e := range declared.Endpoints {
		wanted[e.Name] = true
		if s, ok := d.streams[e.Name]; ok && s.address == e.Address {
			continue
		} else if ok {
			s.cancel()
		}
		d.startStream(ctx, e)
	}
	for name, s := range d.streams {
		if !wanted[name] {
			s.cancel()
			delete(d.streams, name)
		}
	}
}

// startStream starts reading the status stream of a member, and reopens the stream
// whenever it ends. The caller holds the lock.
func (d *databaseWatch) startStream(ctx context.Context, e declaration.Endpoint) {
	ctx, cancel := context.WithCancel(ctx)
	s := &statusStream{
		address: e.Address,
		client:  d.manager.config.DialEndpoint(e.Address),
		cancel:  cancel,
	}
	d.streams[e.Name] = s
	d.manager.tasks.Go(func() {
		for ctx.Err() == nil {
			d.readStream(ctx, e.Name, s)
			if ctx.Err() != nil {
				return
			}
			d.markStreamBroken(e.Name)
			if err := timer.Sleep(ctx, d.manager.config.Timer, redialInterval); err != nil {
				return
			}
		}
	})
}

// readStream reads one status stream until it breaks or delivers nothing for
// silenceTimeout.
func (d *databaseWatch) readStream(ctx context.Context, endpoint string, s *statusStream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	received := make(chan struct{}, 1)
	d.manager.tasks.Go(func() {
		defer cancel()
		for d.waitForMessage(ctx, received) {
			continue
		}
	})
	stream, err := s.client.WatchStatus(ctx, &endpointv1.WatchStatusRequest{
		MinInterval: durationpb.New(minStatusInterval),
		Heartbeat:   durationpb.New(heartbeatInterval),
	})
	if err != nil {
		return
	}
	for stream.Receive() {
		select {
		case received <- struct{}{}:
		default:
		}
		if ctx.Err() == nil {
			d.observe(endpoint, stream.Msg())
		}
	}
	if err := stream.Close(); err != nil {
		d.manager.config.Logger.V(1).Info("failover: status stream ended", "endpoint", endpoint, "cause", err.Error())
	}
}

// waitForMessage reports whether a message is received within silenceTimeout and before
// the context ends.
func (d *databaseWatch) waitForMessage(ctx context.Context, received <-chan struct{}) bool {
	subscription := d.manager.config.Timer.After(silenceTimeout)
	defer subscription.Stop()
	select {
	case <-received:
		return true
	case <-subscription.C():
		return false
	case <-ctx.Done():
		return false
	}
}

func (d *databaseWatch) markStreamBroken(endpoint string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.monitor.MarkStreamBroken(endpoint)
}

func (d *databaseWatch) observe(endpoint string, message *endpointv1.Status) {
	status := decodeStatus(endpoint, message)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.manager.config.Timer.Now()
	previous, _ := d.monitor.Status(endpoint)
	d.monitor.Observe(now, status)
	leader, term := d.monitor.LatestPrimary()
	switch {
	case status.Role == routing.RolePrimary && leader == endpoint && status.FencedTerm == term:
		d.primaryPositions.Add(now, status.LastPosition)
	case status.LastPosition.Compare(previous.LastPosition) > 0:
		d.updateCatchUp(now, endpoint, status.LastPosition)
	}
	d.notifyWaiters()
}

// updateCatchUp updates the mean time that a replica takes to reach a position.
// The caller holds the lock.
func (d *databaseWatch) updateCatchUp(now time.Time, endpoint string, position logpos.Position) {
	duration, ok := d.primaryPositions.Age(now, position)
	if !ok {
		return
	}
	mean, ok := d.meanCatchUp[endpoint]
	if !ok {
		mean = duration
	}
	d.meanCatchUp[endpoint] = mean + (duration-mean)/catchUpSmoothing
}

// notifyWaiters wakes all callers of waitFor. The caller holds the lock.
func (d *databaseWatch) notifyWaiters() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// runSteps executes the decisions of the monitor until the context ends.
func (d *databaseWatch) runSteps(ctx context.Context) {
	defer d.stop()
	ticks := d.manager.config.Timer.Every(stepInterval)
	defer ticks.Stop()
	for {
		d.mu.Lock()
		decision := d.monitor.Step(d.manager.config.Timer.Now(), d.rank, d.manager.config.Random())
		d.mu.Unlock()
		d.execute(ctx, decision)
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
	}
}

func (d *databaseWatch) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.streams {
		s.cancel()
	}
	d.stopped = true
	d.notifyWaiters()
}

// runSamples queries all members for their status at each SampleInterval.
func (d *databaseWatch) runSamples(ctx context.Context) {
	ticks := d.manager.config.Timer.Every(d.manager.config.SampleInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
			d.sampleStatuses(ctx)
		}
	}
}

// sampleStatuses queries all members for their status. It reports whether a majority was
// in the primary's term when the queries were sent.
func (d *databaseWatch) sampleStatuses(ctx context.Context) bool {
	ctx, cancel := timer.WithTimeout(ctx, d.manager.config.Timer, sampleTimeout)
	defer cancel()
	requestedAt := d.manager.config.Timer.Now()
	responses := make(chan *promotion.Status)
	clients := d.clients()
	for endpoint, client := range clients {
		d.manager.tasks.Go(func() {
			message, err := client.GetStatus(ctx, &endpointv1.GetStatusRequest{})
			if err != nil {
				responses <- nil
				return
			}
			status := decodeStatus(endpoint, message)
			responses <- &status
		})
	}
	var statuses []promotion.Status
	confirmed := false
	for range clients {
		status := <-responses
		if status == nil {
			continue
		}
		statuses = append(statuses, *status)
		d.mu.Lock()
		confirmed = d.monitor.AddSample(requestedAt, statuses) || confirmed
		d.mu.Unlock()
	}
	return confirmed
}

func (d *databaseWatch) clients() map[string]endpointClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	clients := make(map[string]endpointClient, len(d.streams))
	for endpoint, s := range d.streams {
		clients[endpoint] = s.client
	}
	return clients
}
