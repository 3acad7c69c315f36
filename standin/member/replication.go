package member

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	"amaranthdock.dev/api/amaranthdock/endpoint/v1/endpointv1connect"
	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/standin/memberlog"
	"amaranthdock.dev/timer"
)

const (
	// appendTimeout must exceed the configured lag of a replica.
	appendTimeout = 10 * time.Second
	// maxBatchEntries is the maximum number of entries in one append request.
	maxBatchEntries = 256
	// heartbeatInterval is far below the failure detection timeout of the proxies,
	// which is 500 ms.
	heartbeatInterval = 50 * time.Millisecond
	heartbeatTimeout  = 500 * time.Millisecond
	// appendRetryDelay is the delay after a rejected or failed append.
	appendRetryDelay = 20 * time.Millisecond
)

// replicator sends the primary's entries to one peer.
type replicator struct {
	member *Member
	name   string
	client endpointv1connect.ReplicationServiceClient
	// term is the term to which nextIndex applies.
	term uint64
	// nextIndex is the index of the next entry to send.
	nextIndex uint64
}

// Append appends entries from the primary, after the configured lag.
func (m *Member) Append(ctx context.Context, request *endpointv1.AppendRequest) (*endpointv1.AppendResponse, error) {
	if request.GetHeartbeat() {
		return m.handleHeartbeat(request), nil
	}
	m.mu.Lock()
	lag := m.replicationLag
	m.mu.Unlock()
	if lag > 0 && len(request.GetEntries()) > 0 {
		if err := timer.Sleep(ctx, m.config.Timer, lag); err != nil {
			return nil, err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.replicationStopped {
		return &endpointv1.AppendResponse{FencedTerm: m.log.FencedTerm()}, nil
	}
	result := m.log.Append(memberlog.AppendRequest{
		Term:     request.GetTerm(),
		Claimant: request.GetClaimant(),
		Previous: fromPosition(request.GetPrevious()),
		Entries:  toEntries(request.GetEntries()),
	})
	m.persistAndApply(result.Changes)
	if result.Accepted {
		m.primaryContactAt = m.config.Timer.Now()
	}
	return &endpointv1.AppendResponse{
		Accepted:   result.Accepted,
		FencedTerm: m.log.FencedTerm(),
		MatchLimit: result.MatchLimit,
	}, nil
}

func (m *Member) handleHeartbeat(request *endpointv1.AppendRequest) *endpointv1.AppendResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.replicationStopped {
		return &endpointv1.AppendResponse{FencedTerm: m.log.FencedTerm()}
	}
	changes, ok := m.log.FollowPrimary(request.GetTerm(), request.GetClaimant())
	m.persistAndApply(changes)
	if ok {
		m.primaryContactAt = m.config.Timer.Now()
	}
	return &endpointv1.AppendResponse{
		Accepted:   ok,
		FencedTerm: m.log.FencedTerm(),
	}
}

func (m *Member) startReplication(ctx context.Context, group *errgroup.Group, name string, address netip.AddrPort) {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	// Replication connects from the member's own address, because the simulated
	// network between the hosts identifies the member by it.
	dialer := &net.Dialer{
		LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(m.config.Listen.Addr(), 0)),
	}
	client := &http.Client{
		Transport: &http.Transport{
			DialContext: dialer.DialContext,
			Protocols:   protocols,
		},
	}
	r := &replicator{
		member: m,
		name:   name,
		client: endpointv1connect.NewReplicationServiceClient(client, "http://"+address.String()),
	}
	group.Go(func() error {
		defer client.CloseIdleConnections()
		r.run(ctx)
		return nil
	})
	group.Go(func() error {
		r.sendHeartbeats(ctx)
		return nil
	})
}

// run sends entries until the context ends.
func (r *replicator) run(ctx context.Context) {
	for ctx.Err() == nil {
		request, changed := r.nextBatch()
		if request == nil {
			if err := r.member.waitForChange(ctx, changed, heartbeatInterval); err != nil {
				return
			}
			continue
		}
		if r.send(ctx, request) {
			continue
		}
		if err := timer.Sleep(ctx, r.member.config.Timer, appendRetryDelay); err != nil {
			return
		}
	}
}

// nextBatch returns a request with the next entries to send. If there are none, it
// returns nil and a channel that is closed at the next change. The first batch of a
// term begins with the first entry of the term; the response shows whether the logs
// match up to that entry.
func (r *replicator) nextBatch() (*endpointv1.AppendRequest, <-chan struct{}) {
	m := r.member
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.log.IsPrimary() || m.replicationStopped {
		return nil, m.changed
	}
	if r.term != m.log.FencedTerm() {
		r.term = m.log.FencedTerm()
		r.nextIndex = m.log.TermStart().Index
	}
	entries := m.log.Entries(r.nextIndex, maxBatchEntries)
	if len(entries) == 0 {
		return nil, m.changed
	}
	var previous logpos.Position
	if e, ok := m.log.At(r.nextIndex - 1); ok {
		previous = e.Position()
	}
	return &endpointv1.AppendRequest{
		Term:     r.term,
		Claimant: m.log.Claimant(),
		Previous: toPosition(previous),
		Entries:  fromEntries(entries),
	}, nil
}

// send sends a batch and sets nextIndex from the response. It returns false if the next
// attempt must be delayed.
func (r *replicator) send(ctx context.Context, request *endpointv1.AppendRequest) bool {
	ctx, cancel := timer.WithTimeout(ctx, r.member.config.Timer, appendTimeout)
	defer cancel()
	response, err := r.client.Append(ctx, request)
	if err != nil {
		return false
	}
	if response.GetAccepted() {
		r.nextIndex += uint64(len(request.GetEntries()))
		r.member.recordReplicaContact()
		return true
	}
	if response.GetFencedTerm() == request.GetTerm() && request.GetPrevious().GetIndex() > 0 {
		r.nextIndex = min(r.nextIndex-1, response.GetMatchLimit()+1)
		return response.GetMatchLimit() > 0
	}
	return false
}

func (r *replicator) sendHeartbeats(ctx context.Context) {
	subscription := r.member.config.Timer.Every(heartbeatInterval)
	defer subscription.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-subscription.C():
			r.sendHeartbeat(ctx)
		}
	}
}

func (r *replicator) sendHeartbeat(ctx context.Context) {
	m := r.member
	m.mu.Lock()
	shouldSend := m.log.IsPrimary() && !m.replicationStopped
	request := &endpointv1.AppendRequest{
		Term:      m.log.FencedTerm(),
		Claimant:  m.log.Claimant(),
		Heartbeat: true,
	}
	m.mu.Unlock()
	if !shouldSend {
		return
	}
	ctx, cancel := timer.WithTimeout(ctx, m.config.Timer, heartbeatTimeout)
	defer cancel()
	response, err := r.client.Append(ctx, request)
	if err == nil && response.GetAccepted() {
		m.recordReplicaContact()
	}
}

func (m *Member) recordReplicaContact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.replicaContactAt = m.config.Timer.Now()
}

func fromEntries(entries []memberlog.Entry) []*endpointv1.LogEntry {
	converted := make([]*endpointv1.LogEntry, 0, len(entries))
	for _, e := range entries {
		writes := make([]*endpointv1.LogWrite, 0, len(e.Writes))
		for _, w := range e.Writes {
			writes = append(writes, &endpointv1.LogWrite{
				Key:   w.Key,
				Value: w.Value,
			})
		}
		converted = append(converted, &endpointv1.LogEntry{
			Position:  toPosition(e.Position()),
			RequestId: e.RequestID,
			Workspace: e.Workspace,
			Statement: &callerv1.Statement{
				Command:   e.Command,
				Arguments: e.Arguments,
			},
			Writes:       writes,
			Rows:         toRows(e.Rows),
			RowsAffected: e.RowsAffected,
		})
	}
	return converted
}

func toEntries(entries []*endpointv1.LogEntry) []memberlog.Entry {
	converted := make([]memberlog.Entry, 0, len(entries))
	for _, e := range entries {
		var writes []memberlog.Write
		for _, w := range e.GetWrites() {
			writes = append(writes, memberlog.Write{
				Key:   w.GetKey(),
				Value: w.GetValue(),
			})
		}
		var rows [][]string
		for _, r := range e.GetRows() {
			rows = append(rows, r.GetColumns())
		}
		converted = append(converted, memberlog.Entry{
			Term:         e.GetPosition().GetTerm(),
			Index:        e.GetPosition().GetIndex(),
			RequestID:    e.GetRequestId(),
			Workspace:    e.GetWorkspace(),
			Command:      e.GetStatement().GetCommand(),
			Arguments:    e.GetStatement().GetArguments(),
			Writes:       writes,
			Rows:         rows,
			RowsAffected: e.GetRowsAffected(),
		})
	}
	return converted
}
