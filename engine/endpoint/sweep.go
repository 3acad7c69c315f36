package endpoint

import (
	"maps"
	"slices"
	"time"

	"amaranthdock.dev/decision/connections"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/guard"
)

// releaseAfter is after how long the transactions are rolled back that hold connections beyond a
// lowered limit. The rest of connections.ReleaseTime is for the sweep and the rollback.
const releaseAfter = connections.ReleaseTime - time.Second

// Sweep rolls back transactions that exceeded their idle timeout, and closes idle
// connections: those that are not needed, and those to an endpoint that no longer
// exists or of which another VM is the first home. The function exists reports whether
// an endpoint still exists.
func (h *Home) Sweep(exists func(catalog.EndpointKey) bool) {
	now := h.config.Timer.Now()
	h.mu.Lock()
	var idleTransactions []*transaction
	for _, t := range h.transactions {
		// A transaction whose lock is held is running a step, so it is not idle.
		if t.mu.TryLock() {
			if now.Sub(t.lastUsed) > t.idleTimeout {
				idleTransactions = append(idleTransactions, t)
			}
			t.mu.Unlock()
		}
	}
	h.config.Metrics.openTransactions.Update(int64(len(h.transactions)))
	var unusedClients, counting []*endpointClient
	for key, client := range h.clients {
		if h.limitConnectionsLocked(client, 0) {
			counting = append(counting, client)
		}
		client.closeUnneeded()
		client.mu.Lock()
		unused := now.Sub(client.lastUsed) > idleClientTimeout && client.pinnedConnections == 0
		if client.updateSlowStart() && unused && !exists(key) {
			client.endSlowStart()
		}
		client.mu.Unlock()
		switch {
		case unused && !exists(key):
			delete(h.clients, key)
			unusedClients = append(unusedClients, client)
		case unused && !h.config.IsFirstHome(client.target):
			unusedClients = append(unusedClients, client)
		}
	}
	excess := h.transactionsBeyondLimits(now)
	h.forgetEndpoints()
	h.mu.Unlock()
	h.releaseBeyondLimits(excess)
	for _, client := range counting {
		go h.countConnections(client)
	}
	for _, t := range idleTransactions {
		h.config.Log.Info("Rolling back a transaction that exceeded its idle timeout.", "process", t.key.Process, "endpoint", t.client.target.Key.ID)
		h.rollBackAndRelease(t, true)
	}
	for _, client := range unusedClients {
		client.closeIdleSince(now)
	}
}

// limitConnections updates how many connections this home may have open at an endpoint. The declared
// limit is that of a request; 0 if there is none.
func (h *Home) limitConnections(client *endpointClient, declared int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limitConnectionsLocked(client, declared)
}

// limitConnectionsLocked does the work of limitConnections, and reports whether the number of
// connections at the endpoint would tell that more may be opened that were needed since the last
// call that returned true. The home's lock must be held.
func (h *Home) limitConnectionsLocked(client *endpointClient, declared int) bool {
	now := h.config.Timer.SinceBoot()
	id := client.target.Key.ID
	tenure, ok := h.tenures[id]
	if !ok {
		tenure = &connections.Tenure{}
		h.tenures[id] = tenure
	}
	standing := h.config.standing(client.target)
	changed := tenure.Update(now, standing)
	open, limit := client.setLimit(now, declared, tenure)
	if changed {
		h.config.Log.Info("Whether this VM is the first home of an endpoint has changed.", "endpoint", id, "database", client.target.Database,
			"rank", standing.Rank, "confirmed", standing.Confirmed, "connections", open, "limit", limit)
	}
	return declared == 0 && tenure.MayCount(now) && client.takeNeedsMore()
}

// standing returns the place of this VM among an endpoint's homes.
func (c *Config) standing(target catalog.Endpoint) connections.Standing {
	switch {
	case c.Standing != nil:
		return c.Standing(target)
	case c.IsFirstHome(target):
		return connections.Standing{
			Confirmed: true,
			Since:     -connections.HoldTime,
		}
	default:
		return connections.Standing{Rank: 1}
	}
}

// setLimit sets the number of connections that this home may have open, and closes the unused ones
// beyond it. It returns the number of open connections and the limit.
func (e *endpointClient) setLimit(now time.Duration, declared int, tenure *connections.Tenure) (int, int) {
	e.mu.Lock()
	if declared > 0 {
		if applied := e.declared.Update(now, declared); applied != e.splitLimit {
			e.splitLimit, e.shares = applied, connections.Split(applied)
		}
	}
	before := e.limit
	e.limit = max(tenure.Limit(now, e.shares), 1)
	if e.limit > before {
		e.grantPins()
	}
	count := min(max(e.open-e.limit, 0), len(e.idle))
	closed := slices.Clone(e.idle[:count])
	e.idle = slices.Delete(e.idle, 0, count)
	e.removeClosed(count)
	if e.open <= e.limit {
		e.beyondLimitSince = time.Time{}
	} else if e.beyondLimitSince.IsZero() {
		e.beyondLimitSince = e.config.Timer.Now()
	}
	open, limit := e.open, e.limit
	e.mu.Unlock()
	for _, c := range closed {
		c.Close()
	}
	return open, limit
}

// transactionsBeyondLimits returns the transactions that hold connections beyond the limits of their
// endpoints for releaseAfter, those first that were used last the longest time ago. Transactions that
// run a step are left for the next time. The home's lock must be held.
func (h *Home) transactionsBeyondLimits(now time.Time) []*transaction {
	excess := map[*endpointClient]int{}
	for _, client := range h.clients {
		client.mu.Lock()
		if !client.beyondLimitSince.IsZero() && now.Sub(client.beyondLimitSince) >= releaseAfter {
			excess[client] = client.open - client.limit
		}
		client.mu.Unlock()
	}
	if len(excess) == 0 {
		return nil
	}
	lastUsed := map[*transaction]time.Time{}
	for _, t := range h.transactions {
		if excess[t.client] > 0 && t.mu.TryLock() {
			lastUsed[t] = t.lastUsed
			t.mu.Unlock()
		}
	}
	longestUnused := slices.SortedFunc(maps.Keys(lastUsed), func(a, b *transaction) int { return lastUsed[a].Compare(lastUsed[b]) })
	return slices.DeleteFunc(longestUnused, func(t *transaction) bool {
		excess[t.client]--
		return excess[t.client] < 0
	})
}

// releaseBeyondLimits rolls back transactions that hold connections beyond the limit.
func (h *Home) releaseBeyondLimits(excess []*transaction) {
	for _, t := range excess {
		h.config.Log.Info("Rolling back a transaction whose connection is beyond the limit of this home.", "process", t.key.Process, "endpoint", t.client.target.Key.ID)
		h.config.Metrics.connectionsReleased.Inc(1)
		go func() {
			defer guard.Recover(h.config.Log, "rollback")
			h.rollBackAndRelease(t, false)
		}()
	}
}

// forgetEndpoints removes what is kept about endpoints that are not known any more. The home's lock
// must be held.
func (h *Home) forgetEndpoints() {
	known := func(id string) bool {
		_, ok := h.config.Lookup(id)
		return ok
	}
	maps.DeleteFunc(h.tenures, func(id string, _ *connections.Tenure) bool { return !known(id) })
	maps.DeleteFunc(h.control, func(id string, turn chan struct{}) bool { return !known(id) && len(turn) == 0 })
}
