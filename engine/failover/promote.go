package failover

import (
	"context"
	"time"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/takeover"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/endpoint"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/store"
	"amaranthdock.dev/timer"
)

const (
	// promoteCallTimeout bounds the wait for the response to a promotion request.
	promoteCallTimeout = 800 * time.Millisecond
	// promotionTimeout is how long to wait for a promotion to take effect, which takes up
	// to a second.
	promotionTimeout = 1600 * time.Millisecond
)

// promotePlanned promotes the successor of a primary that has stepped down. The intent is changed
// with the fencing token, so that the next leader promotes no other endpoint beside it.
func (m *Manager) promotePlanned(ctx context.Context, name string, chosen takeover.Candidate) {
	stored, ok := m.storedIntent(name)
	if !ok {
		return
	}
	successor, ok := m.config.View.Endpoint(chosen.ID)
	if !ok || isRestarted(successor.Key, stored.Primary) {
		m.config.Log.Info("The successor of a primary is gone, or has restarted and lost its log.", "database", name, "endpoint", chosen.ID, "cause", stored.Cause)
		m.endIntent(name)
		return
	}
	intent := stored.Intent
	intent.Step, intent.Successor = takeover.Promote, successor.Key
	m.promote(ctx, name, chosen, intent)
}

// promote requests a promotion, announces it to the fleet, and waits until the endpoint is the primary.
func (m *Manager) promote(ctx context.Context, name string, chosen takeover.Candidate, intent store.Intent) {
	token, ok := m.beginPromotion(ctx, name, intent)
	if !ok {
		return
	}
	// The request may take effect before its response arrives.
	m.broadcastPromotion(name, chosen.ID, false)
	if !m.mayStillPromote(ctx, name, intent) {
		m.config.Log.Info("The endpoints have changed since one was chosen to be promoted.", "database", name, "endpoint", chosen.ID, "cause", intent.Cause)
		return
	}
	m.mu.Lock()
	m.databaseState(name).promotionRequestedAt = m.config.Timer.SinceBoot()
	m.mu.Unlock()
	if !m.requestPromotion(ctx, name, intent, chosen.ReceivedPosition, token) {
		m.broadcastPromotion(name, chosen.ID, false)
	}
	m.awaitPromotion(ctx, name, chosen.ID)
}

// beginPromotion writes the intent of a promotion and reserves its fencing token; false if the promotion
// may not be requested.
func (m *Manager) beginPromotion(ctx context.Context, name string, intent store.Intent) (uint64, bool) {
	m.updateIntent(name, func(i *intentState) { intent.Contested = intent.Contested || i.isContested(intent.Successor.ID) })
	token, err := m.nextFencingToken(ctx, name, intent)
	if err != nil {
		m.config.Log.Info("Could not reserve a fencing token for a promotion.", "database", name, "error", err.Error())
		return 0, false
	}
	if !m.IsLeader() {
		m.config.Log.Info("The failover lease expired before a promotion was requested.", "database", name)
		return 0, false
	}
	return token, true
}

// mayStillPromote reports whether the successor of a lost primary is still the right one, once VMs send no writes
// any more: until then, which takes long if the store is slow or this VM is suspended, the primary may have
// returned and acknowledged commits. It matters only with synchronous replicas, which promise that these are
// not lost. A primary that has stepped down acknowledges none.
func (m *Manager) mayStillPromote(ctx context.Context, name string, intent store.Intent) bool {
	if intent.Step != takeover.Request || m.syncReplicas(name) == 0 {
		return true
	}
	old := m.member(name, intent.Primary)
	chosen, ok := m.chooseAfterLoss(name, old, m.successorStatuses(ctx, name, old), intent.Cause)
	return ok && chosen.ID == intent.Successor.ID
}

// requestPromotion requests the promotion of the successor of an intent. It reports whether the request was
// answered. Otherwise it may take effect at any time later, as may earlier ones without a response.
func (m *Manager) requestPromotion(ctx context.Context, name string, intent store.Intent, received logpos.Position, token uint64) bool {
	m.promotionRequests.Inc(1)
	child, cancel := timer.WithTimeout(ctx, m.config.Timer, promoteCallTimeout)
	defer cancel()
	err := m.config.Promoter.Promote(child, name, intent.Successor.ID, m.config.View.Self().Name, token)
	m.config.Log.Info("Requested a promotion.", "database", name, "endpoint", intent.Successor.ID, "received", received.String(), "number", token,
		"cause", intent.Cause, "contested", intent.Contested, "error", errorText(err))
	if err != nil {
		m.unansweredRequests.Inc(1)
		return false
	}
	m.updateIntent(name, func(i *intentState) { i.unanswered = false })
	return true
}

// awaitPromotion waits until the endpoint reports that it is the primary, and announces
// that to the fleet.
func (m *Manager) awaitPromotion(ctx context.Context, name, id string) {
	deadline := m.config.Timer.Now().Add(promotionTimeout)
	for m.config.Timer.Now().Before(deadline) {
		target, ok := m.config.View.Endpoints().ByID[id]
		if !ok {
			return
		}
		report, err := m.config.Prober.RunControlCommand(ctx, target, endpoint.Status{})
		if err == nil && report.Role == catalog.RolePrimary {
			m.config.Log.Info("A promotion took effect.", "database", name, "endpoint", id, "term", report.Term)
			m.broadcastPromotion(name, id, true)
			m.completeIntent(name)
			return
		}
		if err := timer.Sleep(ctx, m.config.Timer, pollInterval); err != nil {
			return
		}
	}
	m.config.Log.Info("A promotion did not take effect before the timeout.", "database", name, "endpoint", id)
}

// broadcastPromotion announces to all VMs that a promotion was requested or, with leads
// set, that it took effect.
func (m *Manager) broadcastPromotion(name, id string, leads bool) {
	promotion := &peer.PromotionNotice{
		Database: name,
		Endpoint: id,
		Leads:    leads,
	}
	m.ApplyPromotion(promotion)
	for _, vm := range m.config.View.Peers() {
		go func() {
			if err := m.config.Clients.Call(context.Background(), vm, "Promoted", promotion, &peer.Empty{}, peerCallTimeout); err != nil {
				m.config.Log.Info("Could not announce a promotion to a VM.", "peer", vm.Name, "database", name, "error", err.Error())
			}
		}()
	}
}
