// Package peer implements the protocol between the proxies: the handler, a cache of
// clients, and the forwarding of steps to the home VMs of endpoints.
package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/api/amaranthdock/peer/v1/peerv1connect"
)

// Config configures a Handler; all fields are required.
type Config struct {
	Failover   Failover
	Forwarding Forwarding
	Gossip     Gossip
	Lending    Lending
}

// Failover handles requests about databases and their members.
type Failover interface {
	ConfirmSuspicion(context.Context, *peerv1.ConfirmSuspicionRequest) (*peerv1.ConfirmSuspicionResponse, error)
	GetDatabaseView(context.Context, *peerv1.GetDatabaseViewRequest) (*peerv1.DatabaseView, error)
}

// Forwarding runs steps on the home VM of their endpoint.
type Forwarding interface {
	ExplainStep(context.Context, *peerv1.ForwardRequest) (*peerv1.ExplainStepResponse, error)
	Forward(context.Context, *peerv1.ForwardRequest, *connect.ServerStream[peerv1.ForwardResponse]) error
}

// Gossip handles membership probes and the propagation of the configuration.
type Gossip interface {
	FetchConfiguration(context.Context, *peerv1.FetchConfigurationRequest) (*peerv1.FetchConfigurationResponse, error)
	Probe(context.Context, *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error)
	ProbeOther(context.Context, *peerv1.ProbeOtherRequest) (*peerv1.ProbeOtherResponse, error)
	PushConfiguration(context.Context, *peerv1.PushConfigurationRequest) (*peerv1.PushConfigurationResponse, error)
}

// Lending lends rate limit tokens to other VMs.
type Lending interface {
	Borrow(context.Context, *peerv1.BorrowRequest) (*peerv1.BorrowResponse, error)
}

// Handler implements PeerService with the methods of the embedded interfaces.
type Handler struct {
	Failover
	Forwarding
	Gossip
	Lending
}

var _ peerv1connect.PeerServiceHandler = (*Handler)(nil)

// New returns a Handler.
func New(config Config) (*Handler, error) {
	if config.Failover == nil || config.Forwarding == nil || config.Gossip == nil || config.Lending == nil {
		return nil, eris.New("peer: Config lacks Failover, Forwarding, Gossip or Lending")
	}
	return &Handler{
		Failover:   config.Failover,
		Forwarding: config.Forwarding,
		Gossip:     config.Gossip,
		Lending:    config.Lending,
	}, nil
}

// HTTPHandler returns the URL path of the service and its HTTP handler.
func (h *Handler) HTTPHandler() (string, http.Handler) {
	return peerv1connect.NewPeerServiceHandler(h)
}
