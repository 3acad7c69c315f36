package endpoint

import (
	"context"
	"time"

	"amaranthdock.dev/decision/staleness"
	"amaranthdock.dev/engine/peer"
)

// sampleTTL is the age up to which one position sample serves the requests of all VMs,
// so that the number of requests to an endpoint does not grow with the fleet.
const sampleTTL = 250 * time.Millisecond

// primaryPosition returns a recent log position of the endpoint, if it is the primary
// of its database. It opens a transaction and rolls it back, which only a primary
// accepts and which takes no slot.
func (h *Home) primaryPosition(ctx context.Context, request *peer.RunRequest, deadline time.Time) *peer.RunResponse {
	client, err := h.clientFor(request)
	if err != nil {
		return errorResult(err)
	}
	if sample, ok := client.recentSample(h.config.Timer.SinceBoot()); ok {
		return &peer.RunResponse{
			Position:      sample.Position,
			ProvedPrimary: true,
			Age:           h.config.Timer.SinceBoot() - sample.At,
		}
	}
	if err := client.reserveSample(request); err != nil {
		return errorResult(err)
	}
	defer client.releaseSample(request)
	beganBoot := h.config.Timer.SinceBoot()
	c := client.takeAnyIdle()
	if c == nil {
		if c, err = client.acquireConnection(ctx, request, deadline); err != nil {
			return errorResult(err)
		}
	}
	c.request = request
	replies, err := c.Run(request.Timeout, []Command{Begin{}, Rollback{}})
	if err != nil {
		client.put(c, false)
		client.recordNoResponse(err)
		return noReplyResult(request, err)
	}
	client.recordResponse()
	client.put(c, true)
	if problem := replies[0].Err; problem != nil {
		return refusedResult(refusalFromReply(problem))
	}
	client.storeSample(staleness.Sample{
		At:       beganBoot,
		Position: replies[0].Position,
	})
	return &peer.RunResponse{
		Position:      replies[0].Position,
		ProvedPrimary: true,
		Age:           h.config.Timer.SinceBoot() - beganBoot,
	}
}

// takeAnyIdle returns the most recently used idle connection of any workspace; nil if
// there is none.
func (e *endpointClient) takeAnyIdle() *pooledConnection {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.idle) == 0 {
		return nil
	}
	latest := e.idle[len(e.idle)-1]
	return e.takeIdle(latest.workspace, latest.values, nil)
}

// recentSample returns the newest position sample; false if it is older than sampleTTL.
func (e *endpointClient) recentSample(boot time.Duration) (staleness.Sample, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ttl := sampleTTL
	if e.slow.budget != nil {
		ttl = coldSampleTTL
	}
	return e.sample, !e.sample.Position.IsZero() && boot-e.sample.At <= ttl
}

// storeSample keeps a position sample if it is newer than the last.
func (e *endpointClient) storeSample(sample staleness.Sample) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if sample.At > e.sample.At {
		e.sample = sample
	}
}
