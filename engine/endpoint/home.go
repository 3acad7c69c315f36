package endpoint

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/connections"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/retries"
	"amaranthdock.dev/decision/slowstart"
	"amaranthdock.dev/decision/staleness"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/guard"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/timer"
)

const (
	// idleClientTimeout is how long an endpoint client without statements keeps its
	// connections when the endpoint is gone or this VM is not its first home.
	idleClientTimeout = 2 * time.Second
)

// Config configures a Home.
type Config struct {
	Dialer   Dialer
	Timer    timer.Service
	Log      logr.Logger
	Registry metrics.Registry
	// Lookup returns the newest report of an endpoint; false if the endpoint is unknown.
	Lookup func(id string) (catalog.Endpoint, bool)
	// IsFirstHome reports whether this VM is ranked first among the endpoint's homes.
	IsFirstHome func(catalog.Endpoint) bool
	// Standing returns the place of this VM among an endpoint's homes; nil if IsFirstHome decides.
	Standing func(catalog.Endpoint) connections.Standing
	// Coldness returns what is known about a cold endpoint; may be nil.
	Coldness func(catalog.Endpoint) slowstart.Coldness
	// ColdTolerance states what cold endpoints tolerate.
	ColdTolerance slowstart.Config
	// CheckFirstHome is called to check whether this VM reaches the first home of an endpoint;
	// may be nil. It returns immediately.
	CheckFirstHome func(catalog.Endpoint)
	// ReportUnresponsive is called for endpoints that do not respond; may be nil.
	ReportUnresponsive func(catalog.Endpoint)
	// ReportFailing is called for endpoints that fail many of their statements; may be nil.
	ReportFailing func(catalog.Endpoint)
	// Places tells where requests may be sent; nil if there are no restrictions.
	Places Places
	// UrgencyAcrossWorkspaces orders the statements of all workspaces by urgency.
	UrgencyAcrossWorkspaces bool
	// Metrics is set by New.
	Metrics homeMetrics
}

type homeMetrics struct {
	connectionsOpened metrics.Counter
	// connectionsEvicted counts the unused connections that were closed for another one,
	// connectionsIdle those that were closed because they were not needed, connectionsRefused those
	// that endpoints refused to open, and connectionsReleased the transactions that were rolled back
	// because the limit of this home was lowered.
	connectionsEvicted, connectionsIdle, connectionsRefused, connectionsReleased metrics.Counter
	statements                                                                   metrics.Counter
	openTransactions                                                             metrics.Gauge
	limitsLowered                                                                metrics.Counter
	limitsRaised                                                                 metrics.Counter
	busyReplies                                                                  metrics.Counter
	// ejections counts how often an endpoint was ejected, busyRetries the statements that were sent
	// again after a busy reply, and retriesRefused the retries for which a workspace had no budget.
	ejections, busyRetries, retriesRefused metrics.Counter
	// rejectionsIgnored counts the busy replies for which another home may be the reason.
	rejectionsIgnored metrics.Counter
	// coldEndpoints is the number of endpoints whose requests are limited after their start.
	coldEndpoints metrics.Counter
	// coldRequests counts the requests sent to cold endpoints, coldWaits the statements that had
	// to wait for a budget, and coldRefused those that were refused.
	coldRequests, coldWaits, coldRefused metrics.Counter
}

// Home holds the connections of this VM to the endpoints of which it is the home, and
// the transactions that are open on them. It is safe for concurrent use.
type Home struct {
	config Config
	// running is the number of calls of Run that have not returned.
	running atomic.Int64
	// retryBudgets limits the statements that are sent again, by workspace.
	retryBudgets *retries.Budgets

	mu           sync.Mutex
	clients      map[catalog.EndpointKey]*endpointClient
	transactions map[peer.TransactionKey]*transaction
	// tenures tells since when this VM is the first home, by the endpoint's id.
	tenures map[string]*connections.Tenure
	// control holds a token for each control command in progress, by the endpoint's id.
	control map[string]chan struct{}
}

// New returns a Home without connections.
func New(config Config) *Home {
	config.Metrics = homeMetrics{
		connectionsOpened:   metrics.GetOrRegisterCounter("endpoint.connectionsOpened", config.Registry),
		connectionsEvicted:  metrics.GetOrRegisterCounter("endpoint.connections.evicted", config.Registry),
		connectionsIdle:     metrics.GetOrRegisterCounter("endpoint.connections.closedIdle", config.Registry),
		connectionsRefused:  metrics.GetOrRegisterCounter("endpoint.connections.refused", config.Registry),
		connectionsReleased: metrics.GetOrRegisterCounter("endpoint.connections.released", config.Registry),
		statements:          metrics.GetOrRegisterCounter("endpoint.statements", config.Registry),
		openTransactions:    metrics.GetOrRegisterGauge("endpoint.openTransactions", config.Registry),
		limitsLowered:       metrics.GetOrRegisterCounter("endpoint.capacity.lowered", config.Registry),
		limitsRaised:        metrics.GetOrRegisterCounter("endpoint.capacity.raised", config.Registry),
		busyReplies:         metrics.GetOrRegisterCounter("endpoint.capacity.busyReplies", config.Registry),
		ejections:           metrics.GetOrRegisterCounter("endpoint.ejections", config.Registry),
		busyRetries:         metrics.GetOrRegisterCounter("endpoint.busyRetries", config.Registry),
		retriesRefused:      metrics.GetOrRegisterCounter("endpoint.retriesRefused", config.Registry),
		rejectionsIgnored:   metrics.GetOrRegisterCounter("endpoint.rejectionsIgnored", config.Registry),
		coldEndpoints:       metrics.GetOrRegisterCounter("endpoint.coldEndpoints", config.Registry),
		coldRequests:        metrics.GetOrRegisterCounter("endpoint.coldRequests", config.Registry),
		coldWaits:           metrics.GetOrRegisterCounter("endpoint.coldWaits", config.Registry),
		coldRefused:         metrics.GetOrRegisterCounter("endpoint.coldRefused", config.Registry),
	}
	return &Home{
		config:       config,
		clients:      map[catalog.EndpointKey]*endpointClient{},
		transactions: map[peer.TransactionKey]*transaction{},
		tenures:      map[string]*connections.Tenure{},
		control:      map[string]chan struct{}{},
		retryBudgets: retries.NewBudgets(),
	}
}

// Run runs a statement at its endpoint. It never returns nil.
func (h *Home) Run(ctx context.Context, request *peer.RunRequest) *peer.RunResponse {
	h.config.Metrics.statements.Inc(1)
	h.running.Add(1)
	defer h.running.Add(-1)
	beganBoot := h.config.Timer.SinceBoot()
	result := h.run(ctx, request)
	client, ok := h.existingClient(request.Endpoint)
	if !ok {
		return result
	}
	result.Report.Ejected = client.isEjected()
	client.reportCapacity(request, &result.Report)
	client.reportBudget(result)
	if result.ProvedPrimary && request.Step != peer.StepPosition {
		client.storeSample(staleness.Sample{
			At:       beganBoot,
			Position: result.Position,
		})
	}
	return result
}

// run runs one step of a request according to its kind.
func (h *Home) run(ctx context.Context, request *peer.RunRequest) *peer.RunResponse {
	deadline := h.config.Timer.Now().Add(request.Timeout)
	switch request.Step {
	case peer.StepSingle:
		return h.runSingle(ctx, request, deadline)
	case peer.StepFirst:
		return h.runFirst(ctx, request, deadline)
	case peer.StepNext, peer.StepCommit:
		return h.runNext(ctx, request, deadline)
	case peer.StepRollback:
		return h.rollBack(request.Transaction)
	case peer.StepPosition:
		return h.primaryPosition(ctx, request, deadline)
	default:
		return refusedResult(refusal.NewNotRun(refusal.InvalidRequest, "unknown step"))
	}
}

// clientFor returns the client of the request's endpoint and updates its connection
// limit. It returns an error if this VM does not know the endpoint yet, because its
// view of the fleet may be older than that of the VM that sent the request.
func (h *Home) clientFor(request *peer.RunRequest) (*endpointClient, error) {
	target, known := h.config.Lookup(request.Endpoint)
	if !known {
		return nil, refusal.NewNotRun(refusal.NotReady, "the home VM does not know the endpoint yet")
	}
	h.mu.Lock()
	client, ok := h.clients[target.Key]
	if !ok {
		client = newEndpointClient(&h.config, target)
		h.clients[target.Key] = client
	}
	h.mu.Unlock()
	if err := client.refusePlace(request); err != nil {
		return nil, err
	}
	h.limitConnections(client, request.MaxConnections)
	if err := client.refuseIfNotColdHome(); err != nil {
		return nil, err
	}
	return client, nil
}

// existingClient returns the client of an endpoint that this home has used.
func (h *Home) existingClient(id string) (*endpointClient, bool) {
	target, known := h.config.Lookup(id)
	if !known {
		return nil, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	client, ok := h.clients[target.Key]
	return client, ok
}

// runSingle runs a statement outside of a transaction. A read whose reply is lost is
// retried on another connection while its deadline allows.
func (h *Home) runSingle(ctx context.Context, request *peer.RunRequest, deadline time.Time) *peer.RunResponse {
	client, err := h.clientFor(request)
	if err != nil {
		return errorResult(err)
	}
	if refused := client.admitRead(request); refused != nil {
		return refusedResult(refused)
	}
	a := h.newAttempts(client, request, deadline)
	var result *peer.RunResponse
	err = client.runInSlot(ctx, request, deadline, func() bool {
		for {
			var retry bool
			if result, retry = h.tryRunSingle(ctx, a); !retry {
				return measuresServiceTime(result)
			}
		}
	})
	if err != nil {
		result = errorResult(err)
	}
	result.ExpectedWait = client.expectedWait(request)
	return result
}

// tryRunSingle runs the statement once. It returns true if the statement is to be sent again.
func (h *Home) tryRunSingle(ctx context.Context, a *attempts) (*peer.RunResponse, bool) {
	client, request := a.client, a.request
	c, name, _, err := h.acquireSetUp(ctx, a)
	if err != nil {
		return errorResult(err), false
	}
	commands := []Command{statementCommand(request, name)}
	if request.Fenced {
		commands = []Command{Begin{}, commands[0], Rollback{}}
	}
	timeout := a.deadline.Sub(h.config.Timer.Now())
	if !request.Write {
		// Leave time for a second attempt if the reply to the read is lost.
		timeout /= 2
	}
	sample := client.beginSample(request, timeout)
	replies, err := c.Run(timeout, commands)
	sample.end(replies, err)
	if err != nil {
		client.put(c, false)
		client.recordNoResponse(err)
		return noReplyResult(request, err), !request.Write && a.mayRetry(ctx, requestCount(request))
	}
	client.recordResponse()
	if !request.Fenced {
		client.putBack(c, true)
		return resultFromReply(replies[0], request.Write), a.retriesBusy(ctx, replies[0].Err)
	}
	if refused := replies[0].Err; refused != nil {
		// The read ran outside of a transaction, so its reply proves nothing.
		client.put(c, refused.Code == NotPrimary)
		return notRunResult(refused), false
	}
	client.putBack(c, true)
	return resultFromReply(replies[1], true), a.retriesBusy(ctx, replies[1].Err)
}

// RollBackTransaction rolls back a transaction, once its running step has ended. It is
// called when the VM that serves the transaction's caller has disconnected.
func (h *Home) RollBackTransaction(key peer.TransactionKey) {
	h.rollBack(key)
}

// OpenTransactions returns the number of transactions that are open on this home.
func (h *Home) OpenTransactions() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.transactions)
}

// idleCheckInterval is how often AwaitIdle looks for running statements and transactions.
const idleCheckInterval = 20 * time.Millisecond

// AwaitIdle waits until no statement runs and no transaction is open, or the context ends.
func (h *Home) AwaitIdle(ctx context.Context) {
	for h.running.Load() > 0 || h.OpenTransactions() > 0 {
		if err := timer.Sleep(ctx, h.config.Timer, idleCheckInterval); err != nil {
			return
		}
	}
}

// EndTransactions rolls back all open transactions, each once its running step has ended. The
// further steps of their callers are refused.
func (h *Home) EndTransactions() {
	h.mu.Lock()
	open := slices.Collect(maps.Values(h.transactions))
	h.mu.Unlock()
	for _, t := range open {
		go func() {
			defer guard.Recover(h.config.Log, "rollback")
			h.rollBackAndRelease(t, true)
		}()
	}
}

// EndStatements ends the statements that still run, by closing their connections. Those whose
// effect is not certain then have an unknown outcome.
func (h *Home) EndStatements() {
	h.mu.Lock()
	clients := slices.Collect(maps.Values(h.clients))
	h.mu.Unlock()
	for _, client := range clients {
		client.closeInUse()
	}
}
