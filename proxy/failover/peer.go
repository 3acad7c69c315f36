package failover

import (
	"context"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/timer"
)

// ConfirmSuspicion asks an endpoint for its status now, for another VM.
func (p *Manager) ConfirmSuspicion(ctx context.Context, request *peerv1.ConfirmSuspicionRequest) (*peerv1.ConfirmSuspicionResponse, error) {
	snapshot := p.config.Configuration.Current()
	if snapshot == nil {
		return nil, connect.NewError(connect.CodeUnavailable, eris.New("failover: no configuration yet"))
	}
	endpoint, ok := snapshot.Endpoint(request.GetEndpoint())
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, eris.New("failover: the endpoint is not declared"))
	}
	timeout := request.GetTimeout().AsDuration()
	if timeout <= 0 || timeout > peerTimeout {
		timeout = confirmTimeout
	}
	ctx, cancel := timer.WithTimeout(ctx, p.config.Timer, timeout)
	defer cancel()
	status, err := p.config.DialEndpoint(endpoint.Address).GetStatus(ctx, &endpointv1.GetStatusRequest{})
	if err != nil {
		return &peerv1.ConfirmSuspicionResponse{}, nil
	}
	return &peerv1.ConfirmSuspicionResponse{
		Reachable: true,
		Status:    status,
	}, nil
}

// GetDatabaseView returns the view of a database that this VM watches.
func (p *Manager) GetDatabaseView(_ context.Context, request *peerv1.GetDatabaseViewRequest) (*peerv1.DatabaseView, error) {
	d, ok := p.find(request.GetDatabase())
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, eris.New("failover: this VM does not watch the database"))
	}
	return peer.EncodeView(d.view()), nil
}
