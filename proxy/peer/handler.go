// Package peer speaks the protocol between the proxies: the handler, the cached
// clients, and the forwarding of steps to the homes of endpoints.
package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/api/amaranthdock/peer/v1/peerv1connect"
)

// Config configures a Handler; all parts are required.
type Config struct {
	Failover   Failover
	Forwarding Forwarding
	Gossip     Gossip
	Lending    Lending
}

// Failover answers questions about databases and their members.
type Failover interface {
	ConfirmSuspicion(context.Context, *peerv1.ConfirmSuspicionRequest) (*peerv1.ConfirmSuspicionResponse, error)
	GetDatabaseView(context.Context, *peerv1.GetDatabaseViewRequest) (*peerv1.DatabaseView, error)
}

// Forwarding runs steps at the home of their endpoint.
type Forwarding interface {
	Forward(context.Context, *peerv1.ForwardRequest, *connect.ServerStream[peerv1.ForwardResponse]) error
}

// Gossip is the membership and the propagation of the configuration.
type Gossip interface {
	FetchConfiguration(context.Context, *peerv1.FetchConfigurationRequest) (*peerv1.FetchConfigurationResponse, error)
	Probe(context.Context, *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error)
	ProbeOther(context.Context, *peerv1.ProbeOtherRequest) (*peerv1.ProbeOtherResponse, error)
	PushConfiguration(context.Context, *peerv1.PushConfigurationRequest) (*peerv1.PushConfigurationResponse, error)
}

// Lending lends tokens of the workspaces' limits.
type Lending interface {
	Borrow(context.Context, *peerv1.BorrowRequest) (*peerv1.BorrowResponse, error)
}

// Handler serves PeerService with the methods of its parts.
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
		return nil, eris.New("peer: a part of the handler is missing")
	}
	return &Handler{
		Failover:   config.Failover,
		Forwarding: config.Forwarding,
		Gossip:     config.Gossip,
		Lending:    config.Lending,
	}, nil
}

// HTTPHandler returns the path of the service and its handler.
func (h *Handler) HTTPHandler() (string, http.Handler) {
	return peerv1connect.NewPeerServiceHandler(h)
}
