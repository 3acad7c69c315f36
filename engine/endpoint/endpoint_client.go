package endpoint

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"amaranthdock.dev/decision/connections"
	"amaranthdock.dev/decision/outlier"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/scheduling"
	"amaranthdock.dev/decision/staleness"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/peer"
)

const (
	// defaultSlots is used for an endpoint that does not report its number of slots.
	defaultSlots = 5
	// slotMargin is the number of statements sent beyond the endpoint's slots, so that
	// no slot is idle during the round trip between two statements.
	slotMargin = 1
	// maxQueueWait is the expected wait for a slot above which statements are refused
	// as overloaded.
	maxQueueWait = 500 * time.Millisecond
	// initialServiceTime is the assumed time of a statement before the first
	// measurement.
	initialServiceTime = 30 * time.Millisecond
	// slowWaitThreshold is the wait for a slot above which a statement is logged.
	slowWaitThreshold = 50 * time.Millisecond
	// noResponseLogInterval is the least time between two log lines saying that an
	// endpoint does not answer. Without it, an endpoint that loses some replies would
	// fill the log.
	noResponseLogInterval = time.Second
	// unresponsiveThreshold is the time without a reply to any running statement after
	// which an endpoint is reported, so that the failover leader probes it. Statements
	// that take longer cost one needless probe.
	unresponsiveThreshold = 250 * time.Millisecond
	// unresponsiveReportInterval is the least time between two reports of one endpoint.
	unresponsiveReportInterval = 200 * time.Millisecond
)

// endpointClient runs statements at one endpoint on behalf of its home. It holds the
// queue for the endpoint's slots, the connection pool, and the time of the last reply.
// A slot is the endpoint's capacity to run one statement.
type endpointClient struct {
	config *Config
	target catalog.Endpoint

	mu       sync.Mutex
	queue    *scheduling.Queue
	waiters  map[uint64]chan error
	nextItem uint64
	idle     []*pooledConnection
	// inUse holds the connections of running statements and open transactions.
	inUse map[*pooledConnection]struct{}
	// open is the number of connections, including those that are being dialed; limit is
	// how many this home may open.
	open  int
	limit int
	// declared is the limit of the endpoint, and shares are the parts of splitLimit.
	declared   connections.Declared
	splitLimit int
	shares     connections.Shares
	// beyondLimitSince is since when open is above limit; zero if it is not.
	beyondLimitSince time.Time
	// closing holds until when the endpoint may still count each connection that was closed.
	closing []time.Duration
	ends    endStatus
	// handshakes is the number of connections that are being opened.
	handshakes int
	// needsMore is set when a connection is needed beyond the limit.
	needsMore bool
	// demand is the demand for connections, as a function of the time since startedAt.
	demand               connections.Demand
	startedAt            time.Time
	pinnedConnections    int
	pinWaiters           []pinWaiter
	connectionLimitUntil time.Time
	lastUsed             time.Time
	unresponsive         bool
	// noResponseLogged is set if the log says that the endpoint does not answer, until it
	// says that the endpoint answers again.
	noResponseLogged   bool
	noResponseLoggedAt time.Time
	dialFailedAt       time.Time
	lastReport         time.Time
	// lastProgress is when the endpoint last replied, or when it last began to run
	// statements after having been idle.
	lastProgress time.Time
	sample       staleness.Sample
	limits       learnedLimits
	// detector tells whether the endpoint fails a part of its statements; failingReportAt is when
	// that was last reported.
	detector        *outlier.Detector
	failingReportAt time.Duration
	rejections      rejections
	slow            slowStart
	urgency         urgencyState
}

func newEndpointClient(config *Config, target catalog.Endpoint) *endpointClient {
	if target.Slots <= 0 {
		target.Slots = defaultSlots
	}
	e := &endpointClient{
		config:    config,
		target:    target,
		waiters:   map[uint64]chan error{},
		inUse:     map[*pooledConnection]struct{}{},
		detector:  outlier.New(),
		limits:    newLearnedLimits(target.Slots),
		demand:    connections.Demand{ByUrgency: config.UrgencyAcrossWorkspaces},
		startedAt: config.Timer.Now(),
	}
	e.queue = scheduling.New(scheduling.Config{
		Policy:             queuePolicy(config),
		Slots:              target.Slots + slotMargin,
		MaxWait:            maxQueueWait,
		InitialServiceTime: initialServiceTime,
		MayStart:           e.mayStart,
		Held:               e.isHeld,
	})
	return e
}

// runInSlot waits for a slot and calls run while it holds the slot. The function run
// reports whether its duration counts as a measurement of the service time.
func (e *endpointClient) runInSlot(ctx context.Context, request *peer.RunRequest, deadline time.Time, run func() bool) error {
	item, admitted, err := e.enqueue(request, deadline)
	if err != nil {
		return err
	}
	arrived, arrivedBoot := e.config.Timer.Now(), e.config.Timer.SinceBoot()
	if err := e.awaitSlot(ctx, item, admitted, deadline); err != nil {
		return err
	}
	e.bindReservation(request, item)
	if e.config.Timer.SinceBoot()-arrivedBoot >= deadline.Sub(arrived) {
		// This VM was suspended, which the deadline does not include.
		e.releaseSlot(request, item, false)
		return refusal.NewNotRun(refusal.QueueTimeout, "the VM was suspended until the timeout of the statement was over")
	}
	waited := e.config.Timer.Now().Sub(arrived)
	e.recordWait(waited)
	if waited > slowWaitThreshold {
		e.config.Log.V(1).Info("A statement waited for a slot.", "request", request.ID, "endpoint", e.target.Key.ID,
			"database", e.target.Database, "workspace", request.Workspace, "waited", waited.String())
	}
	measured := false
	// The slot is released after a panic, too.
	defer func() { e.releaseSlot(request, item, measured) }()
	measured = run()
	return nil
}

// releaseSlot ends an item that ran and starts the next ones.
func (e *endpointClient) releaseSlot(request *peer.RunRequest, item uint64, measured bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseReservation(request, item)
	if measured {
		e.queue.Complete(e.config.Timer.Now(), item)
	} else {
		e.queue.ReleaseUnmeasured(item)
	}
	e.processQueue()
}

// enqueue adds a statement to the queue. It returns the id of the queue item and the
// channel that receives nil once the statement has a slot, or an error.
func (e *endpointClient) enqueue(request *peer.RunRequest, deadline time.Time) (uint64, chan error, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Timer.Now()
	e.lastUsed = now
	e.nextItem++
	arriving := queueItem(e.nextItem, request, now, deadline)
	if err := e.refuseIfBudgetSpent(request, arriving); err != nil {
		return 0, nil, err
	}
	if refused, ok := e.queue.Enqueue(now, arriving).(scheduling.Refused); ok {
		e.countRefusal(request.Priority)
		return 0, nil, &refusal.Error{
			Outcome:    refusal.NotRun,
			Reason:     refused.Reason,
			Message:    "the endpoint's queue is too long for the statement's timeout",
			RetryAfter: refused.RetryAfter,
		}
	}
	admitted := make(chan error, 1)
	e.waiters[e.nextItem] = admitted
	item := e.nextItem
	e.processQueue()
	e.reportIfUnresponsive(now)
	return item, admitted, nil
}

// awaitSlot waits until the queue starts or drops the item.
func (e *endpointClient) awaitSlot(ctx context.Context, item uint64, admitted chan error, deadline time.Time) error {
	select {
	case err := <-admitted:
		return err
	default:
	}
	timeout := e.config.Timer.After(deadline.Sub(e.config.Timer.Now()))
	defer timeout.Stop()
	select {
	case err := <-admitted:
		return err
	case <-timeout.C():
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.queue.Remove(item) {
		delete(e.waiters, item)
		return refusal.NewNotRun(refusal.QueueTimeout, "no slot of the endpoint became free before the timeout")
	}
	// The queue started or dropped the item at the same time as the wait ended.
	return <-admitted
}

// processQueue starts the items that have a slot and drops those that expired. The
// lock must be held.
func (e *endpointClient) processQueue() {
	e.updateLimits()
	for {
		switch decision := e.queue.Next(e.config.Timer.Now()).(type) {
		case scheduling.Run:
			if e.queue.Running() == 1 {
				e.lastProgress = e.config.Timer.Now()
			}
			e.notifyWaiter(decision.Item.ID, nil)
		case scheduling.Expired:
			e.countRefusal(decision.Item.Priority)
			refused := refusal.NewNotRun(refusal.QueueTimeout, "no slot of the endpoint became free before the timeout")
			refused.RetryAfter = decision.RetryAfter
			e.notifyWaiter(decision.Item.ID, refused)
		case scheduling.Displaced:
			e.notifyWaiter(decision.Item.ID, e.displacedRefusal(decision))
		default:
			return
		}
	}
}

// notifyWaiter ends the wait of an item. The lock must be held.
func (e *endpointClient) notifyWaiter(item uint64, err error) {
	e.waiters[item] <- err
	delete(e.waiters, item)
}

// pin waits for permission to pin a connection to a transaction. The number of pinned
// connections is limited so that one connection for each slot remains for statements
// outside of transactions.
func (e *endpointClient) pin(ctx context.Context, request *peer.RunRequest, deadline time.Time) error {
	e.mu.Lock()
	if e.pinnedConnections < e.pinLimit() {
		e.pinnedConnections++
		e.mu.Unlock()
		return nil
	}
	e.needsMore = true
	granted := make(chan struct{}, 1)
	e.pinWaiters = append(e.pinWaiters, pinWaiter{
		granted: granted,
		item:    queueItem(0, request, e.config.Timer.Now(), deadline),
	})
	e.mu.Unlock()
	timeout := e.config.Timer.After(deadline.Sub(e.config.Timer.Now()))
	defer timeout.Stop()
	select {
	case <-granted:
		return nil
	case <-timeout.C():
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	index := slices.IndexFunc(e.pinWaiters, func(w pinWaiter) bool { return w.granted == granted })
	if index < 0 {
		return nil
	}
	e.pinWaiters = slices.Delete(e.pinWaiters, index, index+1)
	return refusal.NewNotRun(refusal.Overloaded, "transactions hold all connections to the endpoint")
}

// unpin ends the permission of a finished transaction, or passes it on to the next
// transaction that waits for it.
func (e *endpointClient) unpin() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.pinWaiters) > 0 && e.pinnedConnections <= e.pinLimit() {
		e.grantNextPin()
		return
	}
	e.pinnedConnections--
}

// pinLimit returns the largest number of pinned connections. While the limit is low, transactions get
// half of it at least: one connection for each slot would leave them hardly any for as long as a home holds
// few connections after a move.
func (e *endpointClient) pinLimit() int {
	return max(e.limit-min(e.target.Slots+slotMargin, e.limit/2), 1)
}

// grantPins lets waiting transactions pin a connection while the limit allows. The lock must be held.
func (e *endpointClient) grantPins() {
	for len(e.pinWaiters) > 0 && e.pinnedConnections < e.pinLimit() {
		e.pinnedConnections++
		e.grantNextPin()
	}
}

// grantNextPin passes a permission to pin a connection on to a waiting transaction. The lock must be
// held.
func (e *endpointClient) grantNextPin() {
	next := e.nextPinWaiter()
	e.pinWaiters[next].granted <- struct{}{}
	e.pinWaiters = slices.Delete(e.pinWaiters, next, next+1)
}

// expectedWait returns the expected wait for a slot of another statement like the request: of
// its workspace, and of its priority if statements are ordered by urgency.
func (e *endpointClient) expectedWait(request *peer.RunRequest) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Timer.Now()
	if e.config.UrgencyAcrossWorkspaces {
		return e.queue.ExpectedWaitFor(now, request.Workspace, request.Priority)
	}
	return e.queue.ExpectedWait(now, request.Workspace)
}

// reportIfUnresponsive reports the endpoint if statements run there and none of them
// got a reply for unresponsiveThreshold. It does not wait for the statements to time
// out. The lock must be held.
func (e *endpointClient) reportIfUnresponsive(now time.Time) {
	if e.queue.Running() == 0 || now.Sub(e.lastProgress) < unresponsiveThreshold || now.Sub(e.lastReport) < unresponsiveReportInterval {
		return
	}
	e.lastReport = now
	if e.config.ReportUnresponsive != nil {
		go e.config.ReportUnresponsive(e.target)
	}
}

// recordResponse records that the endpoint replied.
func (e *endpointClient) recordResponse() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastProgress = e.config.Timer.Now()
	if !e.unresponsive {
		return
	}
	e.unresponsive = false
	if e.noResponseLogged {
		e.noResponseLogged = false
		e.config.Log.Info("The endpoint answers again.", "endpoint", e.target.Key.ID, "database", e.target.Database)
	}
}

// recordNoResponse records that a reply is missing, and logs and reports the endpoint
// unless that was done a short time ago or this VM ended the wait.
func (e *endpointClient) recordNoResponse(err error) {
	if errors.Is(err, errEndedHere) {
		return
	}
	e.mu.Lock()
	now := e.config.Timer.Now()
	logDue := !e.unresponsive && now.Sub(e.noResponseLoggedAt) >= noResponseLogInterval
	if logDue {
		e.noResponseLogged = true
		e.noResponseLoggedAt = now
	}
	e.unresponsive = true
	reportDue := now.Sub(e.lastReport) >= unresponsiveReportInterval
	if reportDue {
		e.lastReport = now
	}
	e.mu.Unlock()
	if logDue {
		e.config.Log.Info("The endpoint does not answer.", "endpoint", e.target.Key.ID, "database", e.target.Database)
	}
	if reportDue && e.config.ReportUnresponsive != nil {
		e.config.ReportUnresponsive(e.target)
	}
}
