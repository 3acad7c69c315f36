package endpoint

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/staleness"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/timer"
)

const (
	// homeShare of an endpoint's connections for the VM that is ranked first. The
	// rest is left for a second home while views of the fleet differ.
	homeShare = 0.8
	// otherShare for a VM that is not ranked first.
	otherShare = 0.2
	// idleNode is how long a node without statements keeps its connections if this
	// VM is not the first home.
	idleNode = 2 * time.Second
)

// Config configures a Home.
type Config struct {
	Dialer Dialer
	Timer  timer.Service
	Log    logr.Logger
	// Registry of the metrics.
	Registry metrics.Registry
	// Lookup returns what an endpoint reports of itself.
	Lookup func(id string) (catalog.Endpoint, bool)
	// IsFirstHome tells whether this VM is ranked first for the endpoint.
	IsFirstHome func(catalog.Endpoint) bool
	// ReportUnresponsive is told of endpoints that did not answer; may be nil.
	ReportUnresponsive func(catalog.Endpoint)
	// Metrics is filled by New.
	Metrics homeMetrics
}

type homeMetrics struct {
	connectionsOpened metrics.Counter
	statements        metrics.Counter
	openTransactions  metrics.Gauge
}

// Home holds the connections of this VM to endpoints.
type Home struct {
	config Config

	mu           sync.Mutex
	nodes        map[catalog.EndpointKey]*node
	transactions map[peer.TransactionKey]*transaction
}

// New returns a Home without connections.
func New(config Config) *Home {
	config.Metrics = homeMetrics{
		connectionsOpened: metrics.GetOrRegisterCounter("endpoint.connectionsOpened", config.Registry),
		statements:        metrics.GetOrRegisterCounter("endpoint.statements", config.Registry),
		openTransactions:  metrics.GetOrRegisterGauge("endpoint.openTransactions", config.Registry),
	}
	return &Home{
		config:       config,
		nodes:        map[catalog.EndpointKey]*node{},
		transactions: map[peer.TransactionKey]*transaction{},
	}
}

// Run runs a statement at its endpoint. It never returns nil.
func (h *Home) Run(ctx context.Context, request *peer.RunRequest) *peer.RunResponse {
	h.config.Metrics.statements.Inc(1)
	began := h.config.Timer.SinceBoot()
	ran := h.run(ctx, request)
	if !ran.ProvedPrimary || request.Step == peer.StepPosition {
		return ran
	}
	if n, ok := h.existing(request.Endpoint); ok {
		n.take(staleness.Sample{
			At:       began,
			Position: ran.Position,
		})
	}
	return ran
}

func (h *Home) run(ctx context.Context, request *peer.RunRequest) *peer.RunResponse {
	deadline := h.config.Timer.Now().Add(request.Timeout)
	switch request.Step {
	case peer.StepSingle:
		return h.single(ctx, request, deadline)
	case peer.StepFirst:
		return h.begin(ctx, request, deadline)
	case peer.StepNext, peer.StepCommit:
		return h.next(ctx, request, deadline)
	case peer.StepRollback:
		return h.rollBack(request.Transaction)
	case peer.StepPosition:
		return h.position(ctx, request, deadline)
	default:
		return refused(refusal.NewNotRun(refusal.InvalidRequest, "the step is unknown"))
	}
}

// node returns the node of an endpoint, with its limit brought up to date. The view of
// the home may be behind that of the VM which asks.
func (h *Home) node(request *peer.RunRequest) (*node, error) {
	target, known := h.config.Lookup(request.Endpoint)
	if !known {
		return nil, refusal.NewNotRun(refusal.NotReady, "the home does not know the endpoint yet")
	}
	h.mu.Lock()
	n, ok := h.nodes[target.Key]
	if !ok {
		n = newNode(&h.config, target)
		h.nodes[target.Key] = n
	}
	h.mu.Unlock()
	share := homeShare
	if !h.config.IsFirstHome(target) {
		share = otherShare
	}
	n.setLimit(int(share * float64(request.MaxConnections)))
	return n, nil
}

// existing returns the node of an endpoint that this home has used.
func (h *Home) existing(id string) (*node, bool) {
	target, known := h.config.Lookup(id)
	if !known {
		return nil, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	n, ok := h.nodes[target.Key]
	return n, ok
}

// single runs a statement outside of a transaction. Reads without an answer are run
// again on another connection while their time allows.
func (h *Home) single(ctx context.Context, request *peer.RunRequest, deadline time.Time) *peer.RunResponse {
	n, err := h.node(request)
	if err != nil {
		return refusedError(err)
	}
	var result *peer.RunResponse
	err = n.inSlot(ctx, request, deadline, func() bool {
		for {
			var retry bool
			result, retry = h.singleOnce(ctx, n, request, deadline)
			if !retry {
				return answeredBy(result)
			}
		}
	})
	if err != nil {
		result = refusedError(err)
	}
	result.ExpectedWait = n.expectedWait(request.Workspace)
	return result
}

func (h *Home) singleOnce(ctx context.Context, n *node, request *peer.RunRequest, deadline time.Time) (*peer.RunResponse, bool) {
	c, err := n.connection(ctx, request.Workspace, deadline)
	if err != nil {
		return refusedError(err), false
	}
	commands, name := c.matching(request.Values, request.Prepared, false)
	position := len(commands)
	body := bodyOf(request, name)
	if request.Fenced {
		position++
		commands = append(commands, Begin{}, body, Rollback{})
	} else {
		commands = append(commands, body)
	}
	timeout := deadline.Sub(h.config.Timer.Now())
	if !request.Write {
		// A read whose answer is lost has time for a second try.
		timeout /= 2
	}
	replies, err := c.Run(timeout, commands)
	if err != nil {
		n.put(c, false)
		n.unanswered()
		return lost(request, err), !request.Write && deadline.Sub(h.config.Timer.Now()) > minRetryTime && ctx.Err() == nil
	}
	n.answered()
	for _, r := range replies[:position] {
		if r.Err != nil {
			n.put(c, r.Err.Code == NotPrimary)
			return h.preparationFailed(request, replies[position], r.Err), false
		}
	}
	reply := replies[position]
	n.put(c, true)
	return ranFrom(reply, request.Write || request.Fenced), false
}

// minRetryTime is the least time that is worth another try of a read.
const minRetryTime = 50 * time.Millisecond

// preparationFailed answers for a statement whose preceding commands failed. A read
// did no harm; a write may have run without the session's values.
func (h *Home) preparationFailed(request *peer.RunRequest, reply Reply, problem *ReplyError) *peer.RunResponse {
	if problem.Code != NotPrimary {
		h.config.Log.Info("A command before the statement failed.", "request", request.ID, "problem", problem.Text)
	}
	if request.Write && reply.Err == nil {
		return refused(refusal.NewUnknown(refusal.OutcomeNotKnown, "the session could not be set up at the endpoint"))
	}
	failed := refusedBy(problem)
	failed.Outcome = refusal.NotRun
	return refused(failed)
}

// RollBackTransaction rolls back a transaction whose caller is gone, once its running step has
// ended.
func (h *Home) RollBackTransaction(key peer.TransactionKey) {
	h.rollBack(key)
}

// OpenTransactions returns how many transactions are open on this home.
func (h *Home) OpenTransactions() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.transactions)
}

// Sweep closes what is not needed any longer: connections to endpoints that are gone
// or whose home is elsewhere, and transactions that were forgotten.
func (h *Home) Sweep(present func(catalog.EndpointKey) bool) {
	now := h.config.Timer.Now()
	h.mu.Lock()
	var forgotten []*transaction
	for _, t := range h.transactions {
		// A transaction whose lock is held is running a step.
		if t.mu.TryLock() {
			if now.Sub(t.lastUsed) > t.idle {
				forgotten = append(forgotten, t)
			}
			t.mu.Unlock()
		}
	}
	h.config.Metrics.openTransactions.Update(int64(len(h.transactions)))
	var unused []*node
	for key, n := range h.nodes {
		n.closeRested(now.Add(-idleLife))
		n.mu.Lock()
		quiet := now.Sub(n.lastUsed) > idleNode && n.pinned == 0
		n.mu.Unlock()
		switch {
		case quiet && !present(key):
			delete(h.nodes, key)
			unused = append(unused, n)
		case quiet && !h.config.IsFirstHome(n.target):
			unused = append(unused, n)
		}
	}
	h.mu.Unlock()
	for _, t := range forgotten {
		h.config.Log.Info("Rolling back a transaction that rests too long.", "process", t.key.Process, "endpoint", t.node.target.Key.ID)
		h.finish(t, true)
	}
	for _, n := range unused {
		n.closeRested(now)
	}
}
