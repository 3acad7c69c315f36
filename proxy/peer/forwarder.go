package peer

import (
	"context"
	"errors"
	"net/netip"

	"github.com/rotisserie/eris"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	"amaranthdock.dev/api/amaranthdock/peer/v1/peerv1connect"

	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/proxy/reqmem"
)

// Directory provides the addresses of peers.
type Directory interface {
	// Address returns the peer address of a VM, and false if it is unknown.
	Address(vm string) (netip.AddrPort, bool)
	Self() routing.VM
}

// LocalExecutor runs steps whose endpoint has its home on this VM. Execute passes the
// rows to send in order, and never returns nil.
type LocalExecutor interface {
	// ExplainStep returns what Execute would do with a step, without effects.
	ExplainStep(ctx context.Context, request *peerv1.ForwardRequest) (*peerv1.ExplainStepResponse, error)
	Execute(ctx context.Context, request *peerv1.ForwardRequest, send SendRows) *peerv1.ForwardResult
}

// SendRows receives the next rows of a response.
type SendRows func(rows []*callerv1.Row) error

// ForwarderConfig configures a Forwarder; all fields are required.
type ForwarderConfig struct {
	Dial          func(address netip.AddrPort) peerv1connect.PeerServiceClient
	Directory     Directory
	LocalExecutor LocalExecutor
}

// Forwarder runs steps on the home VM of their endpoint, which may be this VM or
// another one.
type Forwarder struct {
	config ForwarderConfig
}

// NewForwarder returns a Forwarder.
func NewForwarder(config ForwarderConfig) (*Forwarder, error) {
	if config.Dial == nil || config.Directory == nil || config.LocalExecutor == nil {
		return nil, eris.New("peer: ForwarderConfig lacks Dial, Directory or LocalExecutor")
	}
	return &Forwarder{config: config}, nil
}

// Forward runs a step on a VM. If the transport fails, the outcome is NotRun if the
// request was provably not sent, and Unknown otherwise. The result is never nil.
func (f *Forwarder) Forward(ctx context.Context, vm string, request *peerv1.ForwardRequest, send SendRows) *peerv1.ForwardResult {
	if vm == f.config.Directory.Self().Name {
		return f.config.LocalExecutor.Execute(ctx, request, send)
	}
	address, ok := f.config.Directory.Address(vm)
	if !ok {
		return EncodeRefusal(errAddressUnknown())
	}
	if ctx.Err() != nil {
		return EncodeRefusal(refusal.NewNotRun(refusal.DeadlineExceeded, "the request ended before it was forwarded"))
	}
	return f.forwardRemote(ctx, f.config.Dial(address), request, send)
}

// Explain returns what Forward would lead to, without running the step. If the VM does
// not answer, it returns an error, together with the refusal of Forward if that is
// certain.
func (f *Forwarder) Explain(ctx context.Context, vm string, request *peerv1.ForwardRequest) (*peerv1.ExplainStepResponse, error) {
	if vm == f.config.Directory.Self().Name {
		return f.config.LocalExecutor.ExplainStep(ctx, request)
	}
	address, ok := f.config.Directory.Address(vm)
	if !ok {
		refused := errAddressUnknown()
		return &peerv1.ExplainStepResponse{Result: EncodeRefusal(refused)}, refused
	}
	response, err := f.config.Dial(address).ExplainStep(ctx, request)
	if NeverSent(err) {
		response = &peerv1.ExplainStepResponse{Result: EncodeRefusal(errNotReachable())}
	}
	return response, err
}

func errAddressUnknown() *refusal.Error {
	return refusal.NewNotRun(refusal.Unreachable, "the address of the endpoint's home VM is unknown")
}

func errNotReachable() *refusal.Error {
	return refusal.NewNotRun(refusal.Unreachable, "the endpoint's home VM is not reachable")
}

func (f *Forwarder) forwardRemote(ctx context.Context, client peerv1connect.PeerServiceClient, request *peerv1.ForwardRequest, send SendRows) *peerv1.ForwardResult {
	// The cancellation ends the stream if send fails before all rows are received.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var refused error
	held := reqmem.FromContext(ctx)
	// This takes the memory of one message as it is sent, which may be compressed. Whoever keeps the
	// rows takes the rest.
	ctx = WithCharge(ctx, func(length int64) error {
		if err := held.HoldAnswer(request.GetWorkspace(), length, length); err != nil {
			refused = refusal.NewUnknown(refusal.Overloaded, "this VM has no memory left for the response")
		}
		return refused
	})
	stream, err := client.Forward(ctx, request)
	if err != nil {
		return transportFailure(ctx, err)
	}
	defer stream.Close()
	total := int64(0)
	for stream.Receive() {
		message := stream.Msg()
		total += int64(len(message.GetRows()))
		if len(message.GetRows()) > 0 {
			if err := send(message.GetRows()); err != nil {
				return EncodeRefusal(deliveryFailure(err))
			}
		}
		if result := message.GetResult(); result != nil {
			return verifyTotal(result, total)
		}
	}
	if refused != nil {
		return EncodeRefusal(refused)
	}
	if err := stream.Err(); err != nil {
		return transportFailure(ctx, err)
	}
	return EncodeRefusal(refusal.NewUnknown(refusal.ConnectionLost, "the endpoint's home VM ended its response without a result"))
}

// deliveryFailure returns the refusal of a step whose rows could not be sent on.
func deliveryFailure(err error) error {
	if refused, ok := refusal.As(err); ok {
		return refused
	}
	return refusal.NewUnknown(refusal.ConnectionLost, "the response could not be delivered")
}

// verifyTotal replaces a successful result by a refusal if rows are missing.
func verifyTotal(result *peerv1.ForwardResult, total int64) *peerv1.ForwardResult {
	if result.GetOutcome() == callerv1.Outcome_OUTCOME_DONE && result.GetTotalRows() != total {
		return EncodeRefusal(refusal.NewUnknown(refusal.ConnectionLost, "the response is incomplete"))
	}
	return result
}

// transportFailure returns the result of a step whose call to the home VM failed.
func transportFailure(ctx context.Context, err error) *peerv1.ForwardResult {
	if NeverSent(err) {
		return EncodeRefusal(errNotReachable())
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return EncodeRefusal(refusal.NewUnknown(refusal.DeadlineExceeded, "the deadline passed while the step ran on the endpoint's home VM"))
	}
	return EncodeRefusal(refusal.NewUnknown(refusal.ConnectionLost, "the connection to the endpoint's home VM was lost"))
}
