package endpoint

import (
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/scheduling"
	"amaranthdock.dev/engine/peer"
)

const (
	// displacedLogInterval is the least time between two log lines about displaced
	// statements. A burst can displace hundreds in a second.
	displacedLogInterval = time.Second
	// maxPriorityMetric is the priority from which on refusals are counted together.
	maxPriorityMetric = 7
)

// pinWaiter is a transaction that waits for the permission to pin a connection.
type pinWaiter struct {
	granted chan struct{}
	item    scheduling.Item
}

// urgencyState is what an endpoint's client needs to order statements by urgency outside of
// its queue.
type urgencyState struct {
	// pinGrants is the number of permissions to pin a connection that were waited for.
	pinGrants uint64
	// connectionWaiters holds the statements that wait for a connection.
	connectionWaiters map[*peer.RunRequest]scheduling.Item
	// displaced is the number of displaced statements since the log line at displacedLoggedAt.
	displaced         int
	displacedLoggedAt time.Time
}

// queuePolicy returns the order of the statements at an endpoint.
func queuePolicy(config *Config) scheduling.Policy {
	if config.UrgencyAcrossWorkspaces {
		return scheduling.MostUrgentFirst{}
	}
	return scheduling.WeightedFair{}
}

// queueItem returns the queue item of a request that arrives now.
func queueItem(id uint64, request *peer.RunRequest, now, deadline time.Time) scheduling.Item {
	item := scheduling.Item{
		ID:          id,
		Subject:     request.Workspace,
		Weight:      1,
		ArrivedAt:   now,
		Deadline:    deadline,
		Transaction: request.Step == peer.StepNext || request.Step == peer.StepCommit,
		Priority:    request.Priority,
		Spread:      spread(request.ID),
		Write:       countsAsWrite(request),
		Requests:    requestCount(request),
	}
	if request.Target != 0 {
		item.Target = now.Add(request.Target)
	}
	return item
}

// spread returns a number in [0, 1) that depends on the request ID only.
func spread(id string) float64 {
	hash := fnv.New32a()
	// Writes to a hash do not fail.
	_, _ = hash.Write([]byte(id))
	return float64(hash.Sum32()) / (math.MaxUint32 + 1)
}

// countRefusal counts a statement that the queue refused, by priority.
func (e *endpointClient) countRefusal(priority int) {
	name := fmt.Sprintf("endpoint.queue.refused.priority%d", min(max(priority, 0), maxPriorityMetric))
	metrics.GetOrRegisterCounter(name, e.config.Registry).Inc(1)
}

// displacedRefusal counts a displaced statement and returns its refusal. The lock must be
// held.
func (e *endpointClient) displacedRefusal(displaced scheduling.Displaced) *refusal.Error {
	e.countRefusal(displaced.Item.Priority)
	metrics.GetOrRegisterCounter("endpoint.queue.displaced", e.config.Registry).Inc(1)
	e.urgency.displaced++
	if now := e.config.Timer.Now(); now.Sub(e.urgency.displacedLoggedAt) >= displacedLogInterval {
		e.config.Log.Info("Waiting statements gave way to more urgent ones.", "endpoint", e.target.Key.ID, "database", e.target.Database,
			"displaced", e.urgency.displaced, "priority", displaced.Item.Priority, "waiting", e.queue.Waiting(), "retryAfter", displaced.RetryAfter.String())
		e.urgency.displaced = 0
		e.urgency.displacedLoggedAt = now
	}
	return &refusal.Error{
		Outcome:    refusal.NotRun,
		Reason:     refusal.Overloaded,
		Message:    "the statement gave way to more urgent ones in the endpoint's queue",
		RetryAfter: displaced.RetryAfter,
	}
}

// nextPinWaiter returns the index of the transaction that gets the next permission to pin a
// connection. The lock must be held.
func (e *endpointClient) nextPinWaiter() int {
	if !e.config.UrgencyAcrossWorkspaces {
		return 0
	}
	items := make([]scheduling.Item, 0, len(e.pinWaiters))
	for _, w := range e.pinWaiters {
		items = append(items, w.item)
	}
	e.urgency.pinGrants++
	return scheduling.NextPermit(e.config.Timer.Now(), e.urgency.pinGrants, items)
}

// beginConnectionWait records that a statement waits for a connection.
func (e *endpointClient) beginConnectionWait(request *peer.RunRequest, deadline time.Time) {
	if !e.config.UrgencyAcrossWorkspaces {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.urgency.connectionWaiters[request]; ok {
		return
	}
	if e.urgency.connectionWaiters == nil {
		e.urgency.connectionWaiters = map[*peer.RunRequest]scheduling.Item{}
	}
	e.urgency.connectionWaiters[request] = queueItem(0, request, e.config.Timer.Now(), deadline)
}

// endConnectionWait records that a statement does not wait for a connection any more.
func (e *endpointClient) endConnectionWait(request *peer.RunRequest) {
	if !e.config.UrgencyAcrossWorkspaces {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.urgency.connectionWaiters, request)
}

// yieldsConnection reports whether a request leaves the next free connection to a more urgent
// one that waits for it. A starved request does not. The lock must be held.
func (e *endpointClient) yieldsConnection(request *peer.RunRequest) bool {
	if len(e.urgency.connectionWaiters) == 0 {
		return false
	}
	now := e.config.Timer.Now()
	own, ok := e.urgency.connectionWaiters[request]
	if !ok {
		own = queueItem(0, request, now, now.Add(request.Timeout))
	}
	if own.Starved(now) {
		return false
	}
	for other, item := range e.urgency.connectionWaiters {
		if other != request && scheduling.MoreUrgent(now, item, own) {
			return true
		}
	}
	return false
}
