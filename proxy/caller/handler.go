// Package caller speaks the callers' protocol at the entry: it checks keys and
// limits, opens session tokens, and routes statements to the homes of endpoints.
package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/api/amaranthdock/caller/v1/callerv1connect"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/api/amaranthdock/peer/v1/peerv1connect"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/decision/session"
	"amaranthdock.dev/declaration"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/timer"
)

// DefaultMaxRequestBytes bounds a request as it arrives and once decompressed.
const DefaultMaxRequestBytes = 1 << 20

// Configuration is the source of snapshots.
type Configuration interface {
	// Authorized tells whether revoked keys are known to this VM in time.
	Authorized() bool
	Current() *declaration.Snapshot
	Subscribe() (changes <-chan struct{}, cancel func())
}

// Directory knows the live VMs.
type Directory interface {
	Address(vm string) (netip.AddrPort, bool)
	Incarnation(vm string) (uint64, bool)
	Live() []routing.VM
	Self() routing.VM
}

// Forwarder runs steps at the homes of endpoints.
type Forwarder interface {
	Forward(ctx context.Context, vm string, request *peerv1.ForwardRequest, send peer.SendRows) *peerv1.ForwardResult
}

// Limiter admits requests within the rate and burst of their subject.
type Limiter interface {
	Admit(ctx context.Context, subject string) error
}

// Observer knows the members of the databases that this VM watches.
type Observer interface {
	View(database string) (routing.DatabaseView, bool)
}

// Retries is the budget of each subject for sending a request again.
type Retries interface {
	// Request counts a request that was admitted.
	Request(subject string)
	// Retry takes a retry out of the budget, or returns false.
	Retry(subject string) bool
}

// Config configures a Caller. Log, Metrics, MaxRequestBytes and Retries may be
// left out; without Retries there is no budget.
type Config struct {
	Configuration   Configuration
	Dial            func(address netip.AddrPort) peerv1connect.PeerServiceClient
	Directory       Directory
	Forwarder       Forwarder
	Limiter         Limiter
	Log             logr.Logger
	MaxRequestBytes int
	Metrics         metrics.Registry
	Observer        Observer
	RetryBudget     Retries
	Signer          *session.Signer
	Timer           timer.Service
}

// Caller serves CallerService.
type Caller struct {
	config       Config
	homes        routing.HomeCache
	inFlight     peer.InFlight
	refused      metrics.Meter
	served       metrics.Timer
	transactions openTransactions
	views        *views
}

var _ callerv1connect.CallerServiceHandler = (*Caller)(nil)

// New returns a Caller. Run must be called for its background work.
func New(config Config) (*Caller, error) {
	if config.Configuration == nil || config.Dial == nil || config.Directory == nil || config.Forwarder == nil ||
		config.Limiter == nil || config.Observer == nil || config.Signer == nil || config.Timer == nil {
		return nil, eris.New("caller: a part of the handler is missing")
	}
	if config.MaxRequestBytes == 0 {
		config.MaxRequestBytes = DefaultMaxRequestBytes
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewRegistry()
	}
	if config.RetryBudget == nil {
		config.RetryBudget = unlimited{}
	}
	return &Caller{
		config:  config,
		refused: metrics.GetOrRegisterMeter("caller.refused", config.Metrics),
		served:  metrics.GetOrRegisterTimer("caller.requests", config.Metrics),
		views:   newViews(config),
	}, nil
}

// Drain waits until no request is in flight. Requests that arrive meanwhile are
// served, because the load balancer learns late that the VM is leaving.
func (c *Caller) Drain(ctx context.Context) error {
	return c.inFlight.Wait(ctx)
}

// HTTPHandler returns the path of the service and its handler.
func (c *Caller) HTTPHandler() (string, http.Handler) {
	path, handler := callerv1connect.NewCallerServiceHandler(c,
		connect.WithReadMaxBytes(c.config.MaxRequestBytes),
		connect.WithInterceptors(connect.UnaryInterceptorFunc(markReached)),
		peer.HandlerOptions())
	writer := connect.NewErrorWriter()
	return path, http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		defer c.inFlight.Begin()()
		began := c.config.Timer.Now()
		defer func() { c.served.Update(c.config.Timer.Now().Sub(began)) }()
		if err := c.readBody(request); err != nil {
			// A request that no protocol recognizes is left to the handler.
			if writer.IsSupported(request) {
				_ = writer.Write(response, request, c.toConnect(err, "", c.version()))
				return
			}
		}
		reached := false
		held := &early{
			ResponseWriter: response,
			reached:        &reached,
		}
		handler.ServeHTTP(held, request.WithContext(withReached(request.Context(), &reached)))
		if refused := held.refusal(); refused != nil {
			_ = writer.Write(response, request, c.toConnect(refused, "", c.version()))
		}
	})
}

// envelopeBytes precede a message in the gRPC protocols.
const envelopeBytes = 5

// readBody reads the body before the handler does, so that one that is too large
// gets a refusal with its detail.
func (c *Caller) readBody(request *http.Request) error {
	limit := int64(c.config.MaxRequestBytes + envelopeBytes)
	body, err := io.ReadAll(io.LimitReader(request.Body, limit+1))
	if err != nil && !errors.Is(err, io.EOF) {
		return refusal.NewNotRun(refusal.InvalidRequest, "the request body could not be read")
	}
	if int64(len(body)) <= limit {
		body, err = decompress(request, body, limit)
		if err != nil {
			return err
		}
	}
	if int64(len(body)) > limit {
		return refusal.NewNotRun(refusal.InvalidRequest, "the request is larger than the limit")
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// count counts an event. What follows a slash in the name is a label.
func (c *Caller) count(name string) {
	metrics.GetOrRegisterCounter("caller."+name, c.config.Metrics).Inc(1)
}

// countRead counts a read by the role of the member that served it.
func (c *Caller) countRead(d *dispatch, result *peerv1.ForwardResult) {
	switch {
	case !d.read:
	case result.GetFromReplica():
		c.count("reads/replica")
	default:
		c.count("reads/primary")
	}
}

func (c *Caller) version() uint64 {
	if snapshot := c.config.Configuration.Current(); snapshot != nil {
		return snapshot.Version()
	}
	return 0
}

// dump is the state of a Caller.
type dump struct {
	InFlight         int `json:"inFlight"`
	OpenTransactions int `json:"openTransactions"`
	Views            any `json:"views"`
}

// Dump returns the state of the entry for its operators.
func (c *Caller) Dump() any {
	return dump{
		InFlight:         c.inFlight.Count(),
		OpenTransactions: c.transactions.count(),
		Views:            c.views.dump(),
	}
}

// unlimited is the budget that allows every retry.
type unlimited struct{}

func (unlimited) Request(string)    {}
func (unlimited) Retry(string) bool { return true }

// minTimeout leaves the home some time when the deadline is near.
const minTimeout = time.Millisecond
