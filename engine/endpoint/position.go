package endpoint

import (
	"context"
	"time"

	"amaranthdock.dev/decision/staleness"
	"amaranthdock.dev/engine/peer"
)

// sampleLife is the age up to which one sample answers the requests of all VMs, so
// that the questions to an endpoint do not grow with the fleet.
const sampleLife = 250 * time.Millisecond

// position returns a recent position of the endpoint, if it leads its database. A
// transaction that is opened and rolled back takes no slot.
func (h *Home) position(ctx context.Context, request *peer.RunRequest, deadline time.Time) *peer.RunResponse {
	n, err := h.node(request)
	if err != nil {
		return refusedError(err)
	}
	if sample, ok := n.sampled(h.config.Timer.SinceBoot()); ok {
		return &peer.RunResponse{
			Position:      sample.Position,
			ProvedPrimary: true,
			Age:           h.config.Timer.SinceBoot() - sample.At,
		}
	}
	began := h.config.Timer.SinceBoot()
	c := n.takeAny()
	if c == nil {
		if c, err = n.connection(ctx, request.Workspace, deadline); err != nil {
			return refusedError(err)
		}
	}
	replies, err := c.Run(request.Timeout, []Command{Begin{}, Rollback{}})
	if err != nil {
		n.put(c, false)
		n.unanswered()
		return lost(request, err)
	}
	n.answered()
	n.put(c, true)
	if problem := replies[0].Err; problem != nil {
		return refused(refusedBy(problem))
	}
	n.take(staleness.Sample{
		At:       began,
		Position: replies[0].Position,
	})
	return &peer.RunResponse{
		Position:      replies[0].Position,
		ProvedPrimary: true,
		Age:           h.config.Timer.SinceBoot() - began,
	}
}

// takeAny returns the idle connection that was used last, of any workspace; nil if
// there is none.
func (n *node) takeAny() *pooled {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.idle) == 0 {
		return nil
	}
	return n.takeIdle(n.idle[len(n.idle)-1].workspace)
}

// sampled returns the newest position of a proven primary, if it is recent.
func (n *node) sampled(boot time.Duration) (staleness.Sample, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sample, !n.sample.Position.IsZero() && boot-n.sample.At <= sampleLife
}

func (n *node) take(sample staleness.Sample) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if sample.At > n.sample.At {
		n.sample = sample
	}
}
