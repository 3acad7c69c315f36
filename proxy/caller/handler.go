// Package caller serves the callers' protocol. The VM that receives a request checks its
// key and rate limit, verifies its session tokens and forwards its statement to the home
// of an endpoint: the VM that holds the connections to it.
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
	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/decision/session"
	"amaranthdock.dev/declaration"
	"amaranthdock.dev/engine/budget"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/proxy/reqmem"
	"amaranthdock.dev/timer"
)

// DefaultMaxRequestBytes limits the size of a request, both compressed and
// decompressed.
const DefaultMaxRequestBytes = 1 << 20

// Configuration provides configuration snapshots.
type Configuration interface {
	// Authorized reports whether the configuration is recent enough to accept keys, so
	// that a key that was revoked since is not accepted for long.
	Authorized() bool
	Current() *declaration.Snapshot
	Subscribe() (changes <-chan struct{}, cancel func())
}

// Directory lists the live VMs.
type Directory interface {
	Address(vm string) (netip.AddrPort, bool)
	// Incarnation returns a number that changes when the VM's process restarts.
	Incarnation(vm string) (uint64, bool)
	Live() []routing.VM
	Self() routing.VM
}

// Forwarder runs steps at the homes of endpoints.
type Forwarder interface {
	Forward(ctx context.Context, vm string, request *peerv1.ForwardRequest, send peer.SendRows) *peerv1.ForwardResult
}

// Explainer asks the homes of endpoints what they would do with steps. It is implemented
// by the Forwarder of the proxy.
type Explainer interface {
	// Explain returns what Forward would lead to, without running the step. If the VM
	// does not answer, it returns an error, together with the refusal of Forward if that
	// is certain.
	Explain(ctx context.Context, vm string, request *peerv1.ForwardRequest) (*peerv1.ExplainStepResponse, error)
}

// Limiter admits requests within the rate and burst of their subject.
type Limiter interface {
	Admit(ctx context.Context, subject string) error
	// Evaluate returns how Admit would admit a request now, without effects.
	Evaluate(subject string) (limits.Admission, error)
}

// Observer provides this VM's views of the databases.
type Observer interface {
	View(database string) (routing.DatabaseView, bool)
}

// RetryBudget limits the retries of each subject to a share of its requests.
type RetryBudget interface {
	// CountRequest counts an admitted request of a subject.
	CountRequest(subject string)
	// TakeRetry takes one retry from the budget of a subject; false if the budget is
	// used up.
	TakeRetry(subject string) bool
}

// Config configures a Caller. Log, Metrics, MaxRequestBytes and RetryBudget are optional;
// without a RetryBudget, the number of retries is not limited.
type Config struct {
	// Budget limits the memory of requests and responses; nil for no limit.
	Budget          *budget.Budget
	Configuration   Configuration
	Dial            func(address netip.AddrPort) peerv1connect.PeerServiceClient
	Directory       Directory
	Explainer       Explainer
	Forwarder       Forwarder
	Limiter         Limiter
	Log             logr.Logger
	MaxRequestBytes int
	Metrics         metrics.Registry
	Observer        Observer
	RetryBudget     RetryBudget
	Signer          *session.Signer
	Timer           timer.Service
}

// Caller serves CallerService.
type Caller struct {
	config          Config
	homes           routing.HomeCache
	inFlight        peer.InFlight
	refusals        metrics.Meter
	requestDuration metrics.Timer
	transactions    openTransactions
	views           *viewCache
}

var _ callerv1connect.CallerServiceHandler = (*Caller)(nil)

// New returns a Caller. The caller must also call Run, which does the background work.
func New(config Config) (*Caller, error) {
	if config.Configuration == nil || config.Dial == nil || config.Directory == nil || config.Explainer == nil || config.Forwarder == nil ||
		config.Limiter == nil || config.Observer == nil || config.Signer == nil || config.Timer == nil {
		return nil, eris.New("caller: Config lacks Configuration, Dial, Directory, Explainer, Forwarder, Limiter, Observer, Signer or Timer")
	}
	if config.MaxRequestBytes == 0 {
		config.MaxRequestBytes = DefaultMaxRequestBytes
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewRegistry()
	}
	if config.RetryBudget == nil {
		config.RetryBudget = unlimitedRetries{}
	}
	return &Caller{
		config:          config,
		refusals:        metrics.GetOrRegisterMeter("caller.refused", config.Metrics),
		requestDuration: metrics.GetOrRegisterTimer("caller.requests", config.Metrics),
		views:           newViewCache(config),
	}, nil
}

// Drain waits until no request is in flight. Requests that arrive in the meantime are
// served, because the load balancer still sends requests for a while after the VM has
// begun to leave.
func (c *Caller) Drain(ctx context.Context) error {
	return c.inFlight.Wait(ctx)
}

// HTTPHandler returns the path of the service and its handler.
func (c *Caller) HTTPHandler() (string, http.Handler) {
	path, handler := callerv1connect.NewCallerServiceHandler(c,
		connect.WithReadMaxBytes(c.config.MaxRequestBytes),
		connect.WithInterceptors(connect.UnaryInterceptorFunc(markMethodReached)),
		peer.HandlerOptions())
	errorWriter := connect.NewErrorWriter()
	return path, http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		defer c.inFlight.Begin()()
		started := c.config.Timer.Now()
		defer func() { c.requestDuration.Update(c.config.Timer.Now().Sub(started)) }()
		held := reqmem.New(reqmem.Config{
			Budget:   c.config.Budget,
			Timer:    c.config.Timer,
			Response: response,
		})
		defer held.Close()
		if err := c.readBody(response, request, held); err != nil {
			// The handler responds to a request of an unknown protocol.
			if errorWriter.IsSupported(request) {
				_ = errorWriter.Write(response, request, c.callerError(err, "", c.configurationVersion()))
				return
			}
		}
		methodReached := false
		errorFilter := &earlyErrorWriter{
			ResponseWriter: held.Writer(response),
			methodReached:  &methodReached,
		}
		ctx := held.WithContext(withMethodReached(request.Context(), &methodReached))
		handler.ServeHTTP(errorFilter, request.WithContext(ctx))
		if refused := errorFilter.refusal(); refused != nil {
			_ = errorWriter.Write(response, request, c.callerError(refused, "", c.configurationVersion()))
		}
	})
}

// envelopeBytes is the size of the prefix of a message in the gRPC protocols.
const envelopeBytes = 5

// readBody reads and decompresses the body before the handler does, so that a request
// that is too large gets a refusal with a Refusal detail.
func (c *Caller) readBody(response http.ResponseWriter, request *http.Request, held *reqmem.Request) error {
	limit := int64(c.config.MaxRequestBytes + envelopeBytes)
	body, err := c.readLimited(request, limit, held)
	if !held.EndBody() {
		return refusal.NewNotRun(refusal.Overloaded, "the request was ended, because it stalled and others need its memory")
	}
	// The ReadTimeout of the server is for the body only. Otherwise it would end requests over
	// HTTP/1 that are still running then. Without a server, as in tests, there is none.
	_ = http.NewResponseController(response).SetReadDeadline(time.Time{})
	if refused, ok := refusal.As(err); ok {
		return refused
	}
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

// count increments a counter. The part of the name after a slash is a label.
func (c *Caller) count(name string) {
	metrics.GetOrRegisterCounter("caller."+name, c.config.Metrics).Inc(1)
}

// countRead counts a read by the role of the endpoint that served it; it ignores
// writes.
func (c *Caller) countRead(d *dispatch, result *peerv1.ForwardResult) {
	switch {
	case !d.read:
	case result.GetFromReplica():
		c.count("reads/replica")
	default:
		c.count("reads/primary")
	}
}

// configurationVersion returns the version of the current configuration; 0 if there
// is none.
func (c *Caller) configurationVersion() uint64 {
	if snapshot := c.config.Configuration.Current(); snapshot != nil {
		return snapshot.Version()
	}
	return 0
}

// dump is the state of a Caller, encoded as JSON.
type dump struct {
	InFlight         int `json:"inFlight"`
	OpenTransactions int `json:"openTransactions"`
	Views            any `json:"views"`
}

// Dump returns the state of the Caller for operators.
func (c *Caller) Dump() any {
	return dump{
		InFlight:         c.inFlight.Count(),
		OpenTransactions: c.transactions.count(),
		Views:            c.views.dump(),
	}
}

// unlimitedRetries is a retry budget without a limit.
type unlimitedRetries struct{}

func (unlimitedRetries) CountRequest(string)   {}
func (unlimitedRetries) TakeRetry(string) bool { return true }

// minTimeout is the least remaining time with which a step is still sent to a home.
const minTimeout = time.Millisecond
