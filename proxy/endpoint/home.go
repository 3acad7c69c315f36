// Package endpoint is the home of endpoints: it queues the steps for each of
// them and runs them on pooled database connections.
package endpoint

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/types/known/durationpb"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	"amaranthdock.dev/api/amaranthdock/endpoint/v1/endpointv1connect"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/declaration"
	"amaranthdock.dev/proxy/failover"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/timer"
)

const (
	// DefaultIdleTimeout of a transaction, after which it is rolled back.
	DefaultIdleTimeout = 30 * time.Second
	// sweepInterval between two searches for idle transactions and nodes.
	sweepInterval = time.Second
	// rowsPerMessage bounds the messages between the proxies.
	rowsPerMessage = 256
)

// Configuration is the source of snapshots.
type Configuration interface {
	Current() *declaration.Snapshot
	Subscribe() (changes <-chan struct{}, cancel func())
}

// Directory knows the live VMs.
type Directory interface {
	Live() []routing.VM
	Self() routing.VM
}

// Observer knows the members of the databases.
type Observer interface {
	// WatchTemporarily watches a database for a while that has no endpoint homed here.
	WatchTemporarily(database string)
	DurablePosition(database string) (logpos.Position, bool)
	// LookUpOutcome tells whether a write is done; a write that is not found is unknown.
	LookUpOutcome(ctx context.Context, database, requestID string) failover.Resolution
	// ExpectedCatchUp estimates the time until an endpoint reaches a position; it
	// returns false without an estimate.
	ExpectedCatchUp(endpoint string, required logpos.Position) (time.Duration, bool)
	PrimaryConfirmed(database string) bool
	// Resolve waits until a write that this VM sent in a term, and of which no
	// other copy is under way, is known to be done or not run.
	Resolve(ctx context.Context, database, requestID string, sentTerm uint64) failover.Resolution
	View(database string) (routing.DatabaseView, bool)
	WaitApplied(ctx context.Context, endpoint string, required logpos.Position) error
	// WaitDurable returns nil once the position is durable, also under the term
	// of the present primary.
	WaitDurable(ctx context.Context, database string, position logpos.Position) error
	WritesHealthy(database string) bool
}

// Config configures a Home. Metrics, Log and IdleTimeout may be left out.
type Config struct {
	Configuration Configuration
	Dial          func(address netip.AddrPort) endpointv1connect.EndpointServiceClient
	Directory     Directory
	// IdleTimeout of transactions.
	IdleTimeout time.Duration
	Log         logr.Logger
	Metrics     metrics.Registry
	NewQueue    func(QueueConfig) Queue
	Observer    Observer
	Timer       timer.Service
}

// Home runs the steps of the endpoints that it is the home of.
type Home struct {
	base     context.Context
	config   Config
	homed    homed
	homes    routing.HomeCache
	inFlight peer.InFlight
	shutdown context.CancelFunc
	steps    metrics.Meter
	waited   metrics.Timer

	mu           sync.Mutex
	draining     bool
	nodes        map[string]*node
	retired      []*node
	transactions map[string]*transaction
}

// New returns a Home. Run must be called for its background work.
func New(config Config) (*Home, error) {
	if config.Configuration == nil || config.Dial == nil || config.Directory == nil ||
		config.NewQueue == nil || config.Observer == nil || config.Timer == nil {
		return nil, eris.New("endpoint: a part of the home is missing")
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewRegistry()
	}
	if config.IdleTimeout == 0 {
		config.IdleTimeout = DefaultIdleTimeout
	}
	base, shutdown := context.WithCancel(context.Background())
	return &Home{
		base:         base,
		config:       config,
		shutdown:     shutdown,
		steps:        metrics.GetOrRegisterMeter("endpoint.steps", config.Metrics),
		waited:       metrics.GetOrRegisterTimer("endpoint.queueWait", config.Metrics),
		nodes:        map[string]*node{},
		transactions: map[string]*transaction{},
	}, nil
}

// Run opens connections in advance, follows the configuration and rolls back idle
// transactions until the context ends; then it closes all connections.
func (h *Home) Run(ctx context.Context) error {
	defer h.closeAll()
	changes, cancel := h.config.Configuration.Subscribe()
	defer cancel()
	ticks := h.config.Timer.Every(sweepInterval)
	defer ticks.Stop()
	for {
		h.reconcile(ctx)
		h.rollBackIdle()
		select {
		case <-changes:
		case <-ticks.C():
		case <-ctx.Done():
			return nil
		}
	}
}

// Drain refuses new work and waits until the steps in flight and the open
// transactions have ended.
func (h *Home) Drain(ctx context.Context) error {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	return h.inFlight.Wait(ctx)
}

// Forward serves the forwarded steps of other proxies.
func (h *Home) Forward(ctx context.Context, request *peerv1.ForwardRequest, stream *connect.ServerStream[peerv1.ForwardResponse]) error {
	result := h.Execute(ctx, request, func(rows []*callerv1.Row) error {
		return stream.Send(&peerv1.ForwardResponse{Rows: rows})
	})
	return stream.Send(&peerv1.ForwardResponse{Result: result})
}

// Execute runs a step. It passes the rows to send once the answer is complete.
func (h *Home) Execute(ctx context.Context, request *peerv1.ForwardRequest, send peer.SendRows) *peerv1.ForwardResult {
	h.steps.Mark(1)
	done := h.inFlight.Begin()
	defer done()
	ctx, cancel := timer.WithTimeout(ctx, h.config.Timer, request.GetTimeout().AsDuration())
	defer cancel()
	result, rows, err := h.execute(ctx, request)
	if err != nil {
		result = peer.EncodeRefusal(err)
	}
	result.View = h.encodedView(request)
	result.TotalRows = int64(len(rows))
	for len(rows) > 0 {
		count := min(len(rows), rowsPerMessage)
		if err := send(rows[:count]); err != nil {
			return peer.EncodeRefusal(err)
		}
		rows = rows[count:]
	}
	return result
}

// encodedView adds the waits of this home's queues to the observer's view.
func (h *Home) encodedView(request *peerv1.ForwardRequest) *peerv1.DatabaseView {
	view, ok := h.config.Observer.View(request.GetDatabase())
	if !ok {
		return nil
	}
	encoded := peer.EncodeView(view)
	for _, member := range encoded.GetMembers() {
		if n, ok := h.existingNode(member.GetEndpoint()); ok {
			member.QueueWait = durationpb.New(n.expectedWait(subjectOf(request)))
		}
	}
	return encoded
}

func (h *Home) existingNode(endpoint string) (*node, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n, ok := h.nodes[endpoint]
	return n, ok
}
