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
)

// Directory finds the addresses of peers.
type Directory interface {
	Address(vm string) (netip.AddrPort, bool)
	Self() routing.VM
}

// Local runs steps in this process. It passes rows to send in order and returns
// the result, which is never nil.
type Local interface {
	Execute(ctx context.Context, request *peerv1.ForwardRequest, send SendRows) *peerv1.ForwardResult
}

// SendRows takes the next rows of an answer.
type SendRows func(rows []*callerv1.Row) error

// ForwarderConfig configures a Forwarder; all fields are required.
type ForwarderConfig struct {
	Dial      func(address netip.AddrPort) peerv1connect.PeerServiceClient
	Directory Directory
	Local     Local
}

// Forwarder runs steps at the home of their endpoint, wherever that is.
type Forwarder struct {
	config ForwarderConfig
}

// NewForwarder returns a Forwarder.
func NewForwarder(config ForwarderConfig) (*Forwarder, error) {
	if config.Dial == nil || config.Directory == nil || config.Local == nil {
		return nil, eris.New("peer: a part of the forwarder is missing")
	}
	return &Forwarder{config: config}, nil
}

// Forward runs a step at a VM. A failure of the transport is reported as not run
// only if the request never left this process; its result is never nil.
func (f *Forwarder) Forward(ctx context.Context, vm string, request *peerv1.ForwardRequest, send SendRows) *peerv1.ForwardResult {
	if vm == f.config.Directory.Self().Name {
		return f.config.Local.Execute(ctx, request, send)
	}
	address, ok := f.config.Directory.Address(vm)
	if !ok {
		return EncodeRefusal(refusal.NewNotRun(refusal.Unreachable, "the home has no known address"))
	}
	if ctx.Err() != nil {
		return EncodeRefusal(refusal.NewNotRun(refusal.DeadlineExceeded, "the request ended before it was forwarded"))
	}
	return f.remote(ctx, f.config.Dial(address), request, send)
}

func (f *Forwarder) remote(ctx context.Context, client peerv1connect.PeerServiceClient, request *peerv1.ForwardRequest, send SendRows) *peerv1.ForwardResult {
	// Cancels the stream when the caller takes no more rows.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.Forward(ctx, request)
	if err != nil {
		return classify(ctx, err)
	}
	defer stream.Close()
	total := int64(0)
	for stream.Receive() {
		message := stream.Msg()
		total += int64(len(message.GetRows()))
		if len(message.GetRows()) > 0 {
			if err := send(message.GetRows()); err != nil {
				return EncodeRefusal(asRefusal(err))
			}
		}
		if result := message.GetResult(); result != nil {
			return checkTotal(result, total)
		}
	}
	if err := stream.Err(); err != nil {
		return classify(ctx, err)
	}
	return EncodeRefusal(refusal.NewUnknown(refusal.ConnectionLost, "the home ended its answer without a result"))
}

func asRefusal(err error) error {
	if refused, ok := refusal.As(err); ok {
		return refused
	}
	return refusal.NewUnknown(refusal.ConnectionLost, "the answer could not be delivered")
}

func checkTotal(result *peerv1.ForwardResult, total int64) *peerv1.ForwardResult {
	if result.GetOutcome() == callerv1.Outcome_OUTCOME_DONE && result.GetTotalRows() != total {
		return EncodeRefusal(refusal.NewUnknown(refusal.ConnectionLost, "the answer is incomplete"))
	}
	return result
}

func classify(ctx context.Context, err error) *peerv1.ForwardResult {
	if NeverSent(err) {
		return EncodeRefusal(refusal.NewNotRun(refusal.Unreachable, "the home cannot be reached"))
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return EncodeRefusal(refusal.NewUnknown(refusal.DeadlineExceeded, "the deadline passed at the home"))
	}
	return EncodeRefusal(refusal.NewUnknown(refusal.ConnectionLost, "the connection to the home was lost"))
}
