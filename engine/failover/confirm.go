package failover

import (
	"context"

	"amaranthdock.dev/decision/takeover"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/store"
	"amaranthdock.dev/timer"
)

// causeOutstanding is the cause of the request for the promotion of a primary that leads already.
const causeOutstanding = "an earlier promotion request may still take effect"

// confirmPrimary supersedes the promotion requests without a response: it requests the promotion of the
// endpoint that leads, which changes nothing but the highest fencing token that the platform has seen.
// With synchronous replicas, VMs send no writes until this request is answered and a request that was
// accepted just before it has taken effect.
func (m *Manager) confirmPrimary(ctx context.Context, name string, leading takeover.Report) {
	key := m.member(name, catalog.EndpointKey{ID: leading.ID}).Key
	token, ok := m.beginPromotion(ctx, name, store.Intent{
		Primary:   key,
		Term:      leading.Term,
		Step:      takeover.Request,
		Successor: key,
		Contested: true,
		Cause:     causeOutstanding,
	})
	if !ok {
		m.deferIntent(name)
		return
	}
	stored, ok := m.storedIntent(name)
	if !ok {
		return
	}
	holdsWrites := m.syncReplicas(name) > 0
	if holdsWrites {
		m.broadcastPromotion(name, "", false)
	}
	if !m.requestPromotion(ctx, name, stored.Intent, leading.ReceivedPosition, token) {
		m.deferIntent(name)
		return
	}
	if holdsWrites {
		// The wait of the VMs began before the request and goes on from its response.
		m.broadcastPromotion(name, "", false)
		if !m.leadsAfterPromotionTimeout(ctx, name, stored, leading.ID) {
			m.config.Log.Info("Another promotion took effect before it was superseded.", "database", name, "endpoint", leading.ID)
			return
		}
		m.broadcastPromotion(name, leading.ID, true)
	}
	m.config.Log.Info("Superseded the promotion requests without a response.", "database", name, "endpoint", leading.ID, "number", token)
	m.endIntent(name)
	m.removeIntents(ctx, map[string]uint64{name: stored.Revision}, m.currentLeadership().revision)
}

// leadsAfterPromotionTimeout waits until a promotion that was accepted before has taken effect, and reports
// whether an endpoint leads still.
func (m *Manager) leadsAfterPromotionTimeout(ctx context.Context, name string, stored store.StoredIntent, id string) bool {
	if err := timer.Sleep(ctx, m.config.Timer, promotionTimeout); err != nil {
		return false
	}
	resumption := takeover.Resumption{
		Intent:  takeover.Intent{Term: stored.Term},
		Reports: m.reports(ctx, name, stored.Intent, m.member(name, stored.Primary)),
	}
	leading := resumption.Leading()
	return leading != nil && leading.ID == id
}
