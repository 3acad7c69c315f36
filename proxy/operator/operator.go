// Package operator serves the operator protocol: the configuration, the status
// and the dump of a proxy.
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
	// ConfigurationKey is the document's key in the store.
	ConfigurationKey = "configuration"
	// maxMessageSize in bytes bounds a document as JSON, which takes about ten
	// times the space of the compressed value.
	maxMessageSize = 16 << 20
)

// Store is the platform's key-value service.
type Store interface {
	CompareAndSwap(ctx context.Context, key string, value []byte, expected uint64) (entry platform.Entry, swapped bool, err error)
	Get(ctx context.Context, key string) (platform.Entry, error)
}

// Directory knows the VMs that respond.
type Directory interface {
	Address(vm string) (netip.AddrPort, bool)
	Incarnation(vm string) (uint64, bool)
	Live() []routing.VM
	Self() routing.VM
}

// Configuration is the proxy's own snapshot; Current may return nil.
type Configuration interface {
	AuthorityAge() time.Duration
	Authorized() bool
	Current() *declaration.Snapshot
}

// Observer knows the members of the databases.
type Observer interface {
	// FetchView asks a VM that watches the database if this one does not.
	FetchView(ctx context.Context, database string) (routing.DatabaseView, error)
	View(database string) (routing.DatabaseView, bool)
}

// Dumps encodes the state of the process as JSON without secrets.
type Dumps interface {
	JSON() ([]byte, error)
}

// Config configures an Operator.
type Config struct {
	Timer         timer.Service
	Logger        logr.Logger
	Registry      metrics.Registry
	Store         Store
	Directory     Directory
	Configuration Configuration
	Observer      Observer
	Dumps         Dumps
	Dial          func(address netip.AddrPort) peerv1connect.PeerServiceClient
}

// Operator is the handler of the operator protocol.
type Operator struct {
	config    Config
	logger    logr.Logger
	changes   metrics.Counter
	conflicts metrics.Counter
	unknowns  metrics.Counter
}

// New returns an Operator.
func New(config Config) (*Operator, error) {
	if config.Timer == nil || config.Store == nil || config.Directory == nil || config.Configuration == nil ||
		config.Observer == nil || config.Dumps == nil || config.Dial == nil {
		return nil, eris.New("the operator protocol needs all interfaces of its configuration")
	}
	return &Operator{
		config:    config,
		logger:    config.Logger.WithName("operator"),
		changes:   metrics.GetOrRegisterCounter("operator.changes", config.Registry),
		conflicts: metrics.GetOrRegisterCounter("operator.conflicts", config.Registry),
		unknowns:  metrics.GetOrRegisterCounter("operator.unknownChanges", config.Registry),
	}, nil
}

// Handler returns the path and the handler for the operator listener.
func (o *Operator) Handler() (string, http.Handler) {
	return operatorv1connect.NewOperatorServiceHandler(o, connect.WithReadMaxBytes(maxMessageSize))
}

// GetDump returns the dump of this VM. The peer protocol has no call for the dump
// of another VM, whose own operator listener must be asked.
func (o *Operator) GetDump(_ context.Context, r *operatorv1.GetDumpRequest) (*operatorv1.GetDumpResponse, error) {
	self := o.config.Directory.Self().Name
	if r.GetVm() != "" && r.GetVm() != self {
		return nil, o.fail(connect.CodeInvalidArgument, &refusal.Error{
			Outcome: refusal.NotRun,
			Reason:  refusal.InvalidRequest,
			Message: "this is " + self + "; ask the operator listener of " + r.GetVm(),
			Field:   "vm",
		})
	}
	dump, err := o.config.Dumps.JSON()
	if err != nil {
		return nil, o.fail(connect.CodeInternal, refusal.NewNotRun(refusal.Internal, err.Error()))
	}
	return &operatorv1.GetDumpResponse{Dump: dump}, nil
}

// currentVersion returns 0 before the first configuration.
func (o *Operator) currentVersion() uint64 {
	current := o.config.Configuration.Current()
	if current == nil {
		return 0
	}
	return current.Version()
}
