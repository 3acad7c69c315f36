// Package endpoint implements the home of database endpoints. The home of an
// endpoint is the VM that holds the connections to it. It receives steps
// (statements, the begin, commit or rollback of a transaction, and outcome look-ups)
// from all VMs, queues them for each endpoint and runs them on pooled connections. If
// the first home of an endpoint is lost, its fallback home takes over.
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
	// DefaultIdleTimeout is the time without a step after which a transaction is
	// rolled back.
	DefaultIdleTimeout = 30 * time.Second
	// sweepInterval is the interval between two sweeps for idle transactions and
	// unused endpoint clients.
	sweepInterval = time.Second
	// rowsPerMessage is the maximum number of rows in one message between VMs.
	rowsPerMessage = 256
)

// Configuration provides configuration snapshots.
type Configuration interface {
	Current() *declaration.Snapshot
	Subscribe() (changes <-chan struct{}, cancel func())
}

// Directory lists the live VMs.
type Directory interface {
	Live() []routing.VM
	Self() routing.VM
}

// Observer provides the observed state of the databases and their logs.
type Observer interface {
	// WatchTemporarily watches a database for a limited time although this VM is not
	// the home of any of its endpoints.
	WatchTemporarily(database string)
	// DurablePosition returns the last known durable position in the primary's term;
	// false if there is none.
	DurablePosition(database string) (logpos.Position, bool)
	// LookUpOutcome looks up a write in the primary's log. The outcome of a write that
	// is not found is Unknown.
	LookUpOutcome(ctx context.Context, database, requestID string) failover.Resolution
	// ExpectedCatchUp estimates the time until an endpoint reaches a position; false
	// if there is no estimate.
	ExpectedCatchUp(endpoint string, required logpos.Position) (time.Duration, bool)
	// PrimaryConfirmed reports whether a majority was in the primary's term within the
	// failure detection timeout.
	PrimaryConfirmed(database string) bool
	// Resolve waits until a write that this VM sent in a term is known to be done or
	// not run. No other copy of the write may be in flight.
	Resolve(ctx context.Context, database, requestID string, sentTerm uint64) failover.Resolution
	View(database string) (routing.DatabaseView, bool)
	// WaitApplied waits until the endpoint has applied the position.
	WaitApplied(ctx context.Context, endpoint string, required logpos.Position) error
	// WaitDurable waits until the position is durable. The position's term is that of
	// the primary that responded, even if the write was recorded in an earlier term.
	WaitDurable(ctx context.Context, database string, position logpos.Position) error
	// WritesHealthy reports whether a write is expected to become durable.
	WritesHealthy(database string) bool
}

// Config configures a Home. Metrics, Log and IdleTimeout are optional.
type Config struct {
	Configuration Configuration
	Dial          func(address netip.AddrPort) endpointv1connect.EndpointServiceClient
	Directory     Directory
	// IdleTimeout is the time without a step after which a transaction is rolled back;
	// 0 means DefaultIdleTimeout.
	IdleTimeout time.Duration
	Log         logr.Logger
	Metrics     metrics.Registry
	NewQueue    func(QueueConfig) Queue
	Observer    Observer
	Timer       timer.Service
}

// Home runs steps at the endpoints whose home is this VM.
type Home struct {
	// base is the context of the connections; shutdown cancels it.
	base          context.Context
	config        Config
	homeEndpoints homeEndpointCache
	homes         routing.HomeCache
	inFlight      peer.InFlight
	shutdown      context.CancelFunc
	steps         metrics.Meter
	queueWait     metrics.Timer

	mu       sync.Mutex
	draining bool
	clients  map[string]*endpointClient
	// retired contains the clients that were replaced and may have steps in flight.
	retired      []*endpointClient
	transactions map[string]*transaction
}

// New returns a Home. The caller must also call Run, which does the background work.
func New(config Config) (*Home, error) {
	if config.Configuration == nil || config.Dial == nil || config.Directory == nil ||
		config.NewQueue == nil || config.Observer == nil || config.Timer == nil {
		return nil, eris.New("endpoint: Config lacks Configuration, Dial, Directory, NewQueue, Observer or Timer")
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
		queueWait:    metrics.GetOrRegisterTimer("endpoint.queueWait", config.Metrics),
		clients:      map[string]*endpointClient{},
		transactions: map[string]*transaction{},
	}, nil
}

// Run opens connections in advance, applies configuration changes and rolls back
// idle transactions until the context ends. It then closes all connections.
func (h *Home) Run(ctx context.Context) error {
	defer h.closeAll()
	changes, cancel := h.config.Configuration.Subscribe()
	defer cancel()
	ticks := h.config.Timer.Every(sweepInterval)
	defer ticks.Stop()
	for {
		h.reconcile(ctx)
		h.rollBackIdleTransactions()
		select {
		case <-changes:
		case <-ticks.C():
		case <-ctx.Done():
			return nil
		}
	}
}

// Drain refuses new steps, except those of open transactions, and waits until all
// steps and transactions have ended.
func (h *Home) Drain(ctx context.Context) error {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	return h.inFlight.Wait(ctx)
}

// Forward runs a step that another VM forwarded and streams its rows and result.
func (h *Home) Forward(ctx context.Context, request *peerv1.ForwardRequest, stream *connect.ServerStream[peerv1.ForwardResponse]) error {
	result := h.Execute(ctx, request, func(rows []*callerv1.Row) error {
		return stream.Send(&peerv1.ForwardResponse{Rows: rows})
	})
	return stream.Send(&peerv1.ForwardResponse{Result: result})
}

// Execute runs a step. It passes the rows to send in chunks once the response is
// complete.
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

// encodedView returns the observer's view of the database with the expected waits in
// this home's queues; nil if there is no view.
func (h *Home) encodedView(request *peerv1.ForwardRequest) *peerv1.DatabaseView {
	view, ok := h.config.Observer.View(request.GetDatabase())
	if !ok {
		return nil
	}
	encoded := peer.EncodeView(view)
	for _, member := range encoded.GetMembers() {
		if client, ok := h.existingClient(member.GetEndpoint()); ok {
			member.QueueWait = durationpb.New(client.expectedWait(subjectOf(request)))
		}
	}
	return encoded
}

func (h *Home) existingClient(endpoint string) (*endpointClient, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	client, ok := h.clients[endpoint]
	return client, ok
}
