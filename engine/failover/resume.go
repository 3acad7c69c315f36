package failover

import (
	"context"

	"amaranthdock.dev/decision/evacuation"
	"amaranthdock.dev/decision/takeover"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/store"
)

// resume goes on with a planned replacement that was begun, or supersedes a promotion request without a known
// outcome, of this leader or an earlier one.
func (m *Manager) resume(ctx context.Context, name string) {
	stored, ok := m.storedIntent(name)
	if !ok {
		return
	}
	primary := m.member(name, stored.Primary)
	resumption := takeover.Resumption{
		Intent:          takeoverIntent(stored.Intent),
		Superseded:      stored.Superseded,
		Reports:         m.reports(ctx, name, stored.Intent, primary),
		KnownReplicas:   m.knownReplicas(name, primary),
		SyncReplicas:    m.syncReplicas(name),
		MayMissReplicas: m.config.StoreStatus.StoreHealthyFor() < takeover.MinStoreHealthyTime,
	}
	log := m.config.Log.WithValues("database", name, "endpoint", stored.Primary.ID, "step", stored.Step, "cause", stored.Cause)
	switch decided := resumption.Decide().(type) {
	case takeover.DiscardIntent:
		log.Info("A replacement of a primary has ended; its intent is discarded.")
		m.discardedIntents.Inc(1)
		// Only those of earlier leaders are removed: this one's are replaced by its next one.
		inherited := stored.Revision < m.currentLeadership().revision
		m.updateIntent(name, func(i *intentState) { i.pending, i.unanswered, i.discarded = false, false, inherited })
		if decided.Primary != nil && m.syncReplicas(name) > 0 {
			m.broadcastPromotion(name, decided.Primary.ID, true)
		}
	case takeover.ConfirmPrimary:
		m.confirmPrimary(ctx, name, decided.Primary)
	case takeover.PromoteSuccessor:
		log.Info("Going on with a planned replacement.", "successor", decided.Successor.ID)
		m.beginResumption(name, stored)
		m.promotePlanned(ctx, name, decided.Successor)
	case takeover.AwaitSuccessor:
		log.Info("Going on with a planned replacement; no endpoint has received the whole log yet.")
		m.beginResumption(name, stored)
		m.awaitSuccessor(ctx, name, primary, decided.Primary, stored.Cause)
	case takeover.UseRegularRules:
		if m.deferIntent(name) {
			log.Info("A replacement of a primary cannot be continued safely; the regular rules apply.")
		}
		m.postponeSwitchover(name)
		m.verifyIfSilent(ctx, name, primary, resumption)
	}
}

// verifyIfSilent verifies the primary of an intent if it is reported and does not respond. After a promotion
// outside of a planned replacement it does not while the reports of replicas may be missing, as one of these
// may have received most of the log.
func (m *Manager) verifyIfSilent(ctx context.Context, name string, primary catalog.Endpoint, r takeover.Resumption) {
	reported, ok := m.config.View.ReportedPrimary(name)
	if !ok || reported.Key != primary.Key || r.Intent.Step == takeover.Request && r.MayMissReplicas {
		return
	}
	if !m.responds(ctx, primary) {
		m.verify(ctx, name, primary)
	}
}

// beginResumption records that a planned replacement goes on: the database has no primary.
func (m *Manager) beginResumption(name string, stored store.StoredIntent) {
	m.resumedReplacements.Inc(1)
	m.config.View.RecordPromotion(name, "", false)
	if stored.Cause == causeFailing {
		m.setFailingReplacedAt(name, m.config.Timer.SinceBoot())
	}
}

// reports queries the status of the members of a database, except those that may get no control
// commands. The primary is the one that the intent names.
func (m *Manager) reports(ctx context.Context, name string, intent store.Intent, primary catalog.Endpoint) []takeover.Report {
	statuses := m.statuses(ctx, name, func(e catalog.Endpoint) bool {
		return m.config.View.Access(e) == evacuation.Open || (e.Key.ID == primary.Key.ID || m.config.View.IsPrimary(e)) && m.mayControl(e)
	})
	reports := make([]takeover.Report, 0, len(statuses))
	for _, s := range statuses {
		reports = append(reports, takeover.Report{
			Candidate: m.candidate(s.endpoint, s.report, primary),
			IsPrimary: s.report.Role == catalog.RolePrimary,
			Term:      s.report.Term,
			Restarted: isRestarted(s.endpoint.Key, intent.Primary) || isRestarted(s.endpoint.Key, intent.Successor),
		})
	}
	return reports
}

// isRestarted reports whether an endpoint is a later process of one that an intent names.
func isRestarted(current, named catalog.EndpointKey) bool {
	return current.ID == named.ID && !current.Born.Equal(named.Born)
}

// member returns the reported endpoint of a key; only its key if it is not reported.
func (m *Manager) member(name string, key catalog.EndpointKey) catalog.Endpoint {
	if e, ok := m.config.View.Endpoint(key.ID); ok && e.Database == name {
		return e
	}
	return catalog.Endpoint{
		Key:      key,
		Database: name,
	}
}
