package endpoint

import (
	"time"

	"amaranthdock.dev/decision/evacuation"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/guard"
	"amaranthdock.dev/engine/peer"
)

// Places tells where requests may be sent.
type Places interface {
	// Access returns which requests may be sent to an endpoint because of evacuations.
	Access(e catalog.Endpoint) evacuation.Access
	// MayKeepConnections reports whether unused connections to an endpoint may stay open.
	MayKeepConnections(e catalog.Endpoint) bool
	// Region returns the region of a data centre.
	Region(dataCentre string) string
}

// EvacuationRetryAfter is after how long a statement that was refused because of an evacuation
// may be retried. Most replacements of a primary are complete by then.
const EvacuationRetryAfter = time.Second

// access returns the access to an endpoint.
func (c *Config) access(target catalog.Endpoint) evacuation.Access {
	if c.Places == nil {
		return evacuation.Open
	}
	return c.Places.Access(target)
}

// refusePlace returns a refusal of a request that may not be sent to an endpoint, because its
// data centre is evacuated or in a region where the statement may not run; nil if it may. It is
// called again before each command of the request, since the request may have waited.
func (e *endpointClient) refusePlace(request *peer.RunRequest) error {
	if e.config.Places == nil {
		return nil
	}
	step := request.Step
	if region := e.config.Places.Region(e.target.DataCentre); (step == peer.StepSingle || step == peer.StepFirst) && !request.Regions.Allows(region) {
		return refusal.NewNotRun(refusal.RegionNotAllowed, "the endpoint is in a region where the statement may not run")
	}
	access := e.config.access(e.target)
	isRead := step == peer.StepSingle && !request.Write || step == peer.StepFirst && request.ReadOnly
	if access == evacuation.Open || access == evacuation.WritesOnly && !isRead {
		return nil
	}
	if step == peer.StepNext || step == peer.StepCommit {
		return evacuatedTransactionRefusal()
	}
	return EvacuatedRefusal()
}

// EvacuatedRefusal returns the refusal of a statement that may not be sent to its endpoint,
// because the endpoint's data centre is evacuated.
func EvacuatedRefusal() *refusal.Error {
	return &refusal.Error{
		Outcome:    refusal.NotRun,
		Reason:     refusal.DataCentreEvacuated,
		Message:    "the data centre of the endpoint is evacuated",
		RetryAfter: EvacuationRetryAfter,
	}
}

func evacuatedTransactionRefusal() *refusal.Error {
	return refusal.NewNotRun(refusal.TransactionConflict, "the data centre of the endpoint is evacuated, so the transaction was rolled back")
}

// refusedStep returns the result of a transaction's step that may not be sent any more; nil if it
// may.
func refusedStep(client *endpointClient, request *peer.RunRequest) *peer.RunResponse {
	err := client.refusePlace(request)
	if err == nil {
		return nil
	}
	result := errorResult(err)
	result.Failed = true
	return result
}

// closedTransactionRefusal returns the refusal of a step whose transaction is not open.
func (h *Home) closedTransactionRefusal(request *peer.RunRequest) *refusal.Error {
	if target, ok := h.config.Lookup(request.Endpoint); ok && h.config.access(target) == evacuation.Closed {
		return evacuatedTransactionRefusal()
	}
	return refusal.NewNotRun(refusal.TransactionUnknown, "the transaction is no longer open")
}

// rollBackOpen rolls back the transaction that is open on a connection, and reports whether the
// connection can be reused. Nothing is sent to an endpoint that may get no requests: it rolls
// back when the connection is closed.
func (e *endpointClient) rollBackOpen(c *pooledConnection) bool {
	return e.config.access(e.target) != evacuation.Closed && rollBackOnConnection(c)
}

// Evacuate closes the unused connections to endpoints in evacuated data centres, and rolls back
// the transactions at those that may get no more requests, each once its running step has ended.
func (h *Home) Evacuate() {
	if h.config.Places == nil {
		return
	}
	h.mu.Lock()
	var unused []*endpointClient
	for _, client := range h.clients {
		if !h.config.Places.MayKeepConnections(client.target) {
			unused = append(unused, client)
		}
	}
	var open []*transaction
	for _, t := range h.transactions {
		if !t.evacuated && h.config.access(t.client.target) == evacuation.Closed {
			t.evacuated = true
			open = append(open, t)
		}
	}
	h.mu.Unlock()
	for _, client := range unused {
		client.closeIdleSince(h.config.Timer.Now())
	}
	if len(open) > 0 {
		h.config.Log.Info("Rolling back the transactions in an evacuated data centre.", "transactions", len(open))
	}
	for _, t := range open {
		go func() {
			defer guard.Recover(h.config.Log, "rollback")
			h.rollBackAndRelease(t, false)
		}()
	}
}

// Usage is what a VM still uses in a data centre.
type Usage struct {
	// Statements is the number of running statements and open transactions.
	Statements int
	// Connections is the number of open connections.
	Connections int
}

// Usage returns what this VM still uses in a data centre.
func (h *Home) Usage(dataCentre string) Usage {
	h.mu.Lock()
	defer h.mu.Unlock()
	var usage Usage
	for _, client := range h.clients {
		if client.target.DataCentre != dataCentre {
			continue
		}
		client.mu.Lock()
		usage.Statements += len(client.inUse)
		usage.Connections += client.open
		client.mu.Unlock()
	}
	return usage
}
