package view

import (
	"time"

	"amaranthdock.dev/engine/catalog"
)

const (
	// announcementTTL is how long the leader's announcement of a new primary overrides the
	// endpoints' reports. The new primary's own report arrives after its next heartbeat
	// and the next poll.
	announcementTTL = 4 * time.Second
	// promotionTimeout is how long a database has no primary after a promotion was
	// requested, unless an endpoint proves that it is the primary. A leader that is alive
	// announces the new primary earlier.
	promotionTimeout = 1800 * time.Millisecond
	// outstandingPromotionTimeout is how long VMs send no writes to a database with synchronous
	// replicas after a promotion was requested, unless the leader announces the primary: the request
	// may take effect late, and would drop what the former primary acknowledges until then. It is
	// enough for the leader to be lost and for the next one to supersede the request.
	outstandingPromotionTimeout = 6 * time.Second
)

// Primary returns the endpoint that this VM takes for the primary of a database; false if
// there is none, or if a promotion that was requested may still take effect.
func (v *View) Primary(name string) (catalog.Endpoint, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.config.Timer.Now().Before(v.database(name).promotionOutstandingUntil) {
		return catalog.Endpoint{}, false
	}
	return v.reportedPrimary(name)
}

// ReportedPrimary returns the endpoint that this VM takes for the primary, also while a promotion with
// synchronous replicas may take effect: the leader needs it to supersede that request. A primary that the
// leader has announced comes first, then the one that proved the highest term.
func (v *View) ReportedPrimary(name string) (catalog.Endpoint, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.reportedPrimary(name)
}

// reportedPrimary does the work of ReportedPrimary. The caller holds the lock.
func (v *View) reportedPrimary(name string) (catalog.Endpoint, bool) {
	reported := v.endpoints.Load().ByID
	d := v.database(name)
	if announced, ok := reported[d.announcedPrimary]; ok && announced.Database == name && v.config.Timer.Now().Before(d.announcedUntil) {
		return announced, true
	}
	if v.config.Timer.Now().Before(d.promotionPendingUntil) {
		return catalog.Endpoint{}, false
	}
	var best catalog.Endpoint
	var bestState *endpointState
	for _, e := range reported {
		if e.Database != name {
			continue
		}
		state := d.endpoint(e.Key)
		isCandidate := e.Role == catalog.RolePrimary || (state.provedTerm != 0 && state.provedTerm == d.highestProvedTerm)
		if !isCandidate || state.demoted {
			continue
		}
		if bestState == nil || state.provedTerm > bestState.provedTerm || (state.provedTerm == bestState.provedTerm && e.Key.ID < best.Key.ID) {
			best, bestState = e, state
		}
	}
	return best, bestState != nil
}

// IsPrimaryMissing reports whether any database of the configuration has neither a known
// primary nor a pending promotion.
func (v *View) IsPrimaryMissing() bool {
	c := v.configuration.Load()
	if c == nil {
		return false
	}
	now := v.config.Timer.Now()
	for name := range c.Databases {
		v.mu.Lock()
		d := v.database(name)
		promotionPending := now.Before(d.promotionPendingUntil) || now.Before(d.promotionOutstandingUntil)
		v.mu.Unlock()
		if _, ok := v.Primary(name); !ok && !promotionPending {
			return true
		}
	}
	return false
}

// recordProvedPrimary records that an endpoint was the primary in a term. A late response
// from a term that is lower than the highest proved one does not end a demotion.
func (v *View) recordProvedPrimary(d *database, e catalog.Endpoint, state *endpointState, term uint64) {
	if term <= state.provedTerm && !state.demoted {
		return
	}
	if term >= d.highestProvedTerm {
		if term > d.highestProvedTerm {
			d.promotionOutstandingUntil = time.Time{}
		}
		d.highestProvedTerm = term
		state.demoted = false
		if d.announcedPrimary == e.Key.ID {
			d.announcedPrimary = ""
		}
		d.promotionPendingUntil = time.Time{}
		v.config.Log.Info("An endpoint proved that it is the primary.", "endpoint", e.Key.ID, "database", e.Database, "term", term)
		v.notifyChange()
	}
	state.provedTerm = max(state.provedTerm, term)
}

// recordNotPrimary demotes an endpoint that rejected a statement because it is not the
// primary, unless the leader has announced it as the primary.
func (v *View) recordNotPrimary(d *database, e catalog.Endpoint, state *endpointState) {
	if d.announcedPrimary == e.Key.ID || state.demoted {
		return
	}
	state.demoted = true
	v.config.Log.Info("An endpoint rejected a statement because it is not the primary.", "endpoint", e.Key.ID, "database", e.Database, "term", state.provedTerm)
	v.notifyChange()
}

// RecordPromotion records the leader's announcement that the promotion of an endpoint was
// requested or, with isPrimary set, that the endpoint is the primary now. Between the two
// the database has no primary, so that statements wait for the new primary instead of
// trying both. The leader itself passes no endpoint while it has not chosen one yet.
func (v *View) RecordPromotion(databaseName, endpoint string, isPrimary bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	d := v.database(databaseName)
	now := v.config.Timer.Now()
	if isPrimary {
		d.announcedPrimary = endpoint
		d.announcedUntil = now.Add(announcementTTL)
		d.promotionPendingUntil, d.promotionOutstandingUntil = time.Time{}, time.Time{}
	} else {
		d.announcedPrimary = ""
		if c := v.configuration.Load(); c != nil && c.Databases[databaseName].SyncReplicas > 0 {
			d.promotionOutstandingUntil = now.Add(outstandingPromotionTimeout)
		} else {
			d.promotionPendingUntil = now.Add(promotionTimeout)
		}
	}
	v.config.Log.Info("The leader announced a promotion.", "database", databaseName, "endpoint", endpoint, "leads", isPrimary)
	v.notifyChange()
}
