package failover

import (
	"context"
	"time"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/timer"
)

const (
	outcomeTimeout = 500 * time.Millisecond
	// outcomeRetryInterval is the delay between two queries for the outcome of a write.
	outcomeRetryInterval = 20 * time.Millisecond
)

// Resolution is what is known about the outcome of a write.
type Resolution struct {
	Outcome refusal.Outcome
	// Position is the position of the write if it is done. Its term is that of the
	// primary that holds the write, so that only this primary's log satisfies a session
	// token with it.
	Position logpos.Position
	// Rows and RowsAffected are the recorded result of a write that is done.
	Rows         []*callerv1.Row
	RowsAffected int64
}

// LookUpOutcome looks up a request once. The outcome is either Done or Unknown, because
// a copy of the request may still be in flight.
func (m *Manager) LookUpOutcome(ctx context.Context, database, requestID string) Resolution {
	d, ok := m.findWatch(database)
	if !ok {
		return Resolution{Outcome: refusal.Unknown}
	}
	resolution, _ := d.lookUpRequest(ctx, requestID)
	return resolution
}

// Resolve determines the outcome of a write that this VM sent in a term and of which no
// other copy is in flight. It waits until the write is known to be done or not run, or
// until the context ends. It returns NotRun only if a primary of a higher term has no
// record of the request and the first entry of that term is durable: the members of that
// term refuse the copy that was sent.
func (m *Manager) Resolve(ctx context.Context, database, requestID string, sentTerm uint64) Resolution {
	for {
		d, ok := m.findWatch(database)
		if !ok {
			return Resolution{Outcome: refusal.Unknown}
		}
		resolution, term := d.lookUpRequest(ctx, requestID)
		if resolution.Outcome == refusal.Done {
			return resolution
		}
		if term > sentTerm && sentTerm > 0 {
			return Resolution{Outcome: refusal.NotRun}
		}
		if err := timer.Sleep(ctx, m.config.Timer, outcomeRetryInterval); err != nil {
			return Resolution{Outcome: refusal.Unknown}
		}
	}
}

// lookUpRequest asks the primary for the outcome of a request id. The resolution is Done
// if the write is durable in the primary's log, otherwise Unknown. The second result is
// the primary's term if the first entry of that term is durable and the primary has no
// record of the request; otherwise it is 0.
func (d *databaseWatch) lookUpRequest(ctx context.Context, requestID string) (Resolution, uint64) {
	unknown := Resolution{Outcome: refusal.Unknown}
	d.mu.Lock()
	primary, term := d.monitor.LatestPrimary()
	stream, ok := d.streams[primary]
	d.mu.Unlock()
	if !ok || requestID == "" {
		return unknown, 0
	}
	ctx, cancel := timer.WithTimeout(ctx, d.manager.config.Timer, outcomeTimeout)
	defer cancel()
	response, err := stream.client.GetOutcome(ctx, &endpointv1.GetOutcomeRequest{RequestId: requestID})
	if err != nil {
		return unknown, 0
	}
	status := decodeStatus(primary, response.GetStatus())
	if status.Role != routing.RolePrimary || status.FencedTerm != term {
		return unknown, 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !response.GetFound() {
		if d.monitor.IsDurable(term, status.TermStart) {
			return unknown, term
		}
		return unknown, 0
	}
	position := peer.DecodePosition(response.GetPosition())
	if !d.monitor.IsDurable(term, position) {
		return unknown, 0
	}
	return Resolution{
		Outcome: refusal.Done,
		Position: logpos.Position{
			Term:  term,
			Index: max(position.Index, status.TermStart.Index),
		},
		Rows:         response.GetRows(),
		RowsAffected: response.GetRowsAffected(),
	}, 0
}
