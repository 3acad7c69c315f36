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
	// outcomeRetry between two questions about an unknown write.
	outcomeRetry = 20 * time.Millisecond
)

// Resolution is what is known of a write.
type Resolution struct {
	Outcome refusal.Outcome
	// Position of the write if it is done: in the term of the primary that holds
	// it, so that a token with it is covered by that primary's log only.
	Position logpos.Position
	// Rows and RowsAffected are the recorded answer of a write that is done.
	Rows         []*callerv1.Row
	RowsAffected int64
}

// LookUpOutcome tells once what became of a request: done, or unknown, because a copy
// of it may still be on its way.
func (p *Manager) LookUpOutcome(ctx context.Context, database, requestID string) Resolution {
	d, ok := p.find(database)
	if !ok {
		return Resolution{Outcome: refusal.Unknown}
	}
	found, _ := d.lookUp(ctx, requestID)
	return found
}

// Resolve finds out what became of a write that this VM sent in a term and of
// which no other copy is under way. It waits until the write is known to be done
// or not run, or the context ends. It reports not run only if the primary of a
// higher term, whose opening entry is durable, has no record of the request:
// members of that term refuse the copy that was sent.
func (p *Manager) Resolve(ctx context.Context, database, requestID string, sentTerm uint64) Resolution {
	for {
		d, ok := p.find(database)
		if !ok {
			return Resolution{Outcome: refusal.Unknown}
		}
		found, term := d.lookUp(ctx, requestID)
		if found.Outcome == refusal.Done {
			return found
		}
		if term > sentTerm && sentTerm > 0 {
			return Resolution{Outcome: refusal.NotRun}
		}
		if err := timer.Sleep(ctx, p.config.Timer, outcomeRetry); err != nil {
			return Resolution{Outcome: refusal.Unknown}
		}
	}
}

// lookUp asks the primary for a request id. It returns done if the primary holds
// it durably. It returns the primary's term if that has no record of it although
// its opening entry is durable; else 0.
func (d *database) lookUp(ctx context.Context, requestID string) (Resolution, uint64) {
	unknown := Resolution{Outcome: refusal.Unknown}
	d.mu.Lock()
	primary, term := d.monitor.LatestPrimary()
	w, ok := d.watches[primary]
	d.mu.Unlock()
	if !ok || requestID == "" {
		return unknown, 0
	}
	ctx, cancel := timer.WithTimeout(ctx, d.part.config.Timer, outcomeTimeout)
	defer cancel()
	response, err := w.client.GetOutcome(ctx, &endpointv1.GetOutcomeRequest{RequestId: requestID})
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
