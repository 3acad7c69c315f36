package member

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/timer"
)

// defaultHeartbeat is the heartbeat interval of a status watch that requests none.
const defaultHeartbeat = time.Second

// Fence accepts a term for a claimant.
func (m *Member) Fence(_ context.Context, request *endpointv1.FenceRequest) (*endpointv1.FenceResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changes, accepted := m.log.Fence(request.GetTerm(), request.GetClaimant())
	m.persistAndApply(changes)
	m.config.Logger.V(1).Info("member: handled a fence request", "term", request.GetTerm(), "claimant", request.GetClaimant(), "accepted", accepted)
	return &endpointv1.FenceResponse{
		Accepted: accepted,
		Status:   m.status(),
	}, nil
}

// GetOutcome returns the recorded result of the request with an ID, if the log has
// one.
func (m *Member) GetOutcome(_ context.Context, request *endpointv1.GetOutcomeRequest) (*endpointv1.GetOutcomeResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	response := &endpointv1.GetOutcomeResponse{Status: m.status()}
	if e, ok := m.log.Find(request.GetRequestId()); ok {
		response.Found = true
		response.Position = toPosition(e.Position())
		response.Rows = toRows(e.Rows)
		response.RowsAffected = e.RowsAffected
	}
	return response, nil
}

// GetStatus returns the current status.
func (m *Member) GetStatus(context.Context, *endpointv1.GetStatusRequest) (*endpointv1.Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status(), nil
}

// Promote makes the member the primary of a term that it accepted.
func (m *Member) Promote(_ context.Context, request *endpointv1.PromoteRequest) (*endpointv1.PromoteResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changes, accepted := m.log.Promote(request.GetTerm(), request.GetClaimant())
	if len(changes) > 0 {
		m.replicaContactAt = m.config.Timer.Now()
	}
	m.persistAndApply(changes)
	m.config.Logger.Info("member: handled a promotion request", "term", request.GetTerm(), "claimant", request.GetClaimant(), "accepted", accepted)
	return &endpointv1.PromoteResponse{
		Accepted: accepted,
		Status:   m.status(),
	}, nil
}

// WatchStatus sends the status immediately, after each change and as a heartbeat.
func (m *Member) WatchStatus(ctx context.Context, request *endpointv1.WatchStatusRequest, stream *connect.ServerStream[endpointv1.Status]) error {
	heartbeat := request.GetHeartbeat().AsDuration()
	if heartbeat <= 0 {
		heartbeat = defaultHeartbeat
	}
	for {
		m.mu.Lock()
		status := m.status()
		changed := m.changed
		m.mu.Unlock()
		if err := stream.Send(status); err != nil {
			return err
		}
		if interval := request.GetMinInterval().AsDuration(); interval > 0 {
			if err := timer.Sleep(ctx, m.config.Timer, interval); err != nil {
				return err
			}
		}
		if err := m.waitForChange(ctx, changed, heartbeat); err != nil {
			return err
		}
	}
}

// status returns the current status. The caller holds the lock.
func (m *Member) status() *endpointv1.Status {
	now := m.config.Timer.Now()
	status := &endpointv1.Status{
		Endpoint:           m.config.Name,
		Role:               endpointv1.Role_ROLE_REPLICA,
		FencedTerm:         m.log.FencedTerm(),
		Last:               toPosition(m.log.Last()),
		ReplicationSilence: durationpb.New(now.Sub(m.primaryContactAt)),
		Connections:        int32(m.connections),
		ConnectionLimit:    int32(m.config.MaxConnections),
		Slots:              int32(m.config.Slots),
		Incarnation:        m.incarnation,
	}
	if m.log.IsPrimary() {
		status.Role = endpointv1.Role_ROLE_PRIMARY
		status.TermStart = toPosition(m.log.TermStart())
		status.ReplicationSilence = durationpb.New(now.Sub(m.replicaContactAt))
	}
	return status
}

// waitForChange waits until changed is closed or the timeout has passed.
func (m *Member) waitForChange(ctx context.Context, changed <-chan struct{}, timeout time.Duration) error {
	subscription := m.config.Timer.After(timeout)
	defer subscription.Stop()
	select {
	case <-changed:
		return nil
	case <-subscription.C():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func fromPosition(p *endpointv1.Position) logpos.Position {
	return logpos.Position{
		Term:  p.GetTerm(),
		Index: p.GetIndex(),
	}
}

func toPosition(p logpos.Position) *endpointv1.Position {
	return &endpointv1.Position{
		Term:  p.Term,
		Index: p.Index,
	}
}
