// Package operator implements the operator protocol, which reads and changes the
// configuration and returns the status and the state dump of a proxy.
package operator

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	operatorv1 "amaranthdock.dev/api/amaranthdock/operator/v1"
	"amaranthdock.dev/api/amaranthdock/operator/v1/operatorv1connect"
	"amaranthdock.dev/api/amaranthdock/peer/v1/peerv1connect"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/declaration"
	"amaranthdock.dev/proxy/platform"
	"amaranthdock.dev/timer"
)

const (
	// ConfigurationKey is the store key of the configuration document.
	ConfigurationKey = "configuration"
	// maxMessageSize is the maximum size of a request in bytes. It limits documents,
	// which are about ten times as large in JSON as compressed in the store.
	maxMessageSize = 16 << 20
)

// Store is the platform's key-value service.
type Store interface {
	CompareAndSwap(ctx context.Context, key string, value []byte, expected uint64) (entry platform.Entry, swapped bool, err error)
	Get(ctx context.Context, key string) (platform.Entry, error)
}

// Directory provides the members of the fleet.
type Directory interface {
	// Address returns the address of a VM's peer listener.
	Address(vm string) (netip.AddrPort, bool)
	// Incarnation returns the incarnation of a VM's process; false if it is unknown.
	Incarnation(vm string) (uint64, bool)
	Live() []routing.VM
	Self() routing.VM
}

// Configuration provides this VM's snapshot of the configuration.
type Configuration interface {
	// AuthorityAge returns the time since the snapshot was last known to be the newest
	// version.
	AuthorityAge() time.Duration
	// Authorized reports whether the snapshot is recent enough to authorize requests.
	Authorized() bool
	// Current returns nil until the first configuration arrives.
	Current() *declaration.Snapshot
}

// Observer provides views of the databases, which hold the state of their members.
type Observer interface {
	// FetchView returns the view of a database. If this VM does not watch the
	// database, it requests the view from a VM that does.
	FetchView(ctx context.Context, database string) (routing.DatabaseView, error)
	// View returns the last view of a database that this VM knows.
	View(database string) (routing.DatabaseView, bool)
}

// Dumps provides the state dump of the process.
type Dumps interface {
	// JSON returns the state dump as JSON, without secrets.
	JSON() ([]byte, error)
}

// Explainer explains the routes of requests to this VM.
type Explainer interface {
	// ExplainRoute sends no statement and opens no connection to an endpoint. Its errors
	// are refusals.
	ExplainRoute(ctx context.Context, request *operatorv1.ExplainRouteRequest) (*operatorv1.ExplainRouteResponse, error)
}

// Config configures an Operator; all fields are required.
type Config struct {
	Timer         timer.Service
	Logger        logr.Logger
	Registry      metrics.Registry
	Store         Store
	Directory     Directory
	Configuration Configuration
	Observer      Observer
	Dumps         Dumps
	Explainer     Explainer
	Dial          func(address netip.AddrPort) peerv1connect.PeerServiceClient
}

// Operator is the handler of the operator protocol.
type Operator struct {
	config         Config
	logger         logr.Logger
	changes        metrics.Counter
	conflicts      metrics.Counter
	explanations   metrics.Counter
	unknownChanges metrics.Counter
}

// New returns an Operator.
func New(config Config) (*Operator, error) {
	if config.Timer == nil || config.Store == nil || config.Directory == nil || config.Configuration == nil ||
		config.Observer == nil || config.Dumps == nil || config.Explainer == nil || config.Dial == nil {
		return nil, eris.New("operator: Config lacks Timer, Store, Directory, Configuration, Observer, Dumps, Explainer or Dial")
	}
	return &Operator{
		config:         config,
		logger:         config.Logger.WithName("operator"),
		changes:        metrics.GetOrRegisterCounter("operator.changes", config.Registry),
		conflicts:      metrics.GetOrRegisterCounter("operator.conflicts", config.Registry),
		explanations:   metrics.GetOrRegisterCounter("operator.explanations", config.Registry),
		unknownChanges: metrics.GetOrRegisterCounter("operator.unknownChanges", config.Registry),
	}, nil
}

// Handler returns the URL path and the HTTP handler for the operator listener.
func (o *Operator) Handler() (string, http.Handler) {
	return operatorv1connect.NewOperatorServiceHandler(o, connect.WithReadMaxBytes(maxMessageSize))
}

// GetDump returns the state dump of this VM. Dumps of other VMs have to be requested
// from their own operator listeners, because the peer protocol has no call for them.
func (o *Operator) GetDump(_ context.Context, r *operatorv1.GetDumpRequest) (*operatorv1.GetDumpResponse, error) {
	if err := o.checkVM(r.GetVm()); err != nil {
		return nil, err
	}
	dump, err := o.config.Dumps.JSON()
	if err != nil {
		return nil, o.refusalError(connect.CodeInternal, refusal.NewNotRun(refusal.Internal, err.Error()))
	}
	return &operatorv1.GetDumpResponse{Dump: dump}, nil
}

// checkVM returns an error if a request is for another VM.
func (o *Operator) checkVM(vm string) error {
	self := o.config.Directory.Self().Name
	if vm == "" || vm == self {
		return nil
	}
	return o.refusalError(connect.CodeInvalidArgument, &refusal.Error{
		Outcome: refusal.NotRun,
		Reason:  refusal.InvalidRequest,
		Message: "this is " + self + "; send the request to the operator listener of " + vm,
		Field:   "vm",
	})
}

// currentVersion returns the version of this VM's snapshot of the configuration; 0 if
// it has none yet.
func (o *Operator) currentVersion() uint64 {
	current := o.config.Configuration.Current()
	if current == nil {
		return 0
	}
	return current.Version()
}
