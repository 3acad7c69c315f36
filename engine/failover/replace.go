package failover

import (
	"context"
	"errors"
	"sync"
	"time"

	"amaranthdock.dev/decision/evacuation"
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
	// maxTokenAttempts is the number of attempts to reserve a fencing token.
	maxTokenAttempts = 3
	// catchUpTimeout is how long a switchover waits for a replica that has received the whole
	// log of the primary that stepped down.
	catchUpTimeout = 1500 * time.Millisecond
	// switchoverRetryDelay is the delay after no endpoint could take over from a draining
	// primary.
	switchoverRetryDelay = 400 * time.Millisecond
	// pollInterval is the time between two status queries while waiting for a replica to
	// catch up or for a promotion to take effect.
	pollInterval = 40 * time.Millisecond
	// promotionTimeout is how long to wait for a promotion to take effect, which takes up
	// to a second.
	promotionTimeout = 1600 * time.Millisecond
)

// replacePrimary promotes the responding endpoint that may succeed a lost primary. It promotes
// none if too few endpoints respond to be sure that one of them has received each acknowledged
// commit.
func (m *Manager) replacePrimary(ctx context.Context, name string, old catalog.Endpoint, cause string) {
	statuses := m.successorStatuses(ctx, name, old)
	candidates := m.candidatesOf(statuses, old)
	replicas, syncReplicas := m.knownReplicas(name, old), m.syncReplicas(name)
	chosen, ok := takeover.ChooseAfterLoss(candidates, replicas, syncReplicas)
	if !ok {
		m.config.Log.Info("Too few endpoints responded to promote one safely.", "database", name, "cause", cause, "answered", len(candidates), "replicas", replicas,
			"syncReplicas", syncReplicas)
		return
	}
	m.promote(ctx, name, chosen, store.Intent{
		Primary:   old.Key,
		Term:      highestTerm(statuses),
		Step:      takeover.Request,
		Successor: m.member(name, catalog.EndpointKey{ID: chosen.ID}).Key,
		Cause:     cause,
	})
}

// switchOver makes a draining or evacuated primary step down, so that it acknowledges no more commits,
// waits until another endpoint has received its whole log, and promotes that one. If none has
// within catchUpTimeout, takeover.ChooseAfterStepDown decides. It does nothing while no other
// endpoint can take over.
func (m *Manager) switchOver(ctx context.Context, name string, old catalog.Endpoint) {
	before, err := m.config.Prober.RunControlCommand(ctx, old, endpoint.Status{})
	if err != nil {
		m.config.Log.Info("Could not read the term of a primary to be replaced.", "database", name, "endpoint", old.Key.ID, "cause", m.switchoverCause(old),
			"error", err.Error())
		m.suspectEvacuated(old)
		return
	}
	m.handOver(ctx, name, old, before, m.switchoverCause(old))
}

// handOver is switchOver for a primary whose report is known. It reports whether the primary has
// confirmed that it stepped down.
func (m *Manager) handOver(ctx context.Context, name string, old catalog.Endpoint, before *endpoint.Report, cause string) bool {
	log := m.config.Log.WithValues("database", name, "endpoint", old.Key.ID, "cause", cause)
	leads := before.Role == catalog.RolePrimary
	if !leads && !m.mayRepeatStepDown(name, old) {
		log.Info("A primary to be replaced has stepped down already; its replacement is continued.")
		m.postponeSwitchover(name)
		return false
	}
	if !takeover.MayStepDown(m.candidate(old, before, old), m.candidates(ctx, name, old), m.syncReplicas(name)) {
		log.Info("No endpoint can take over from a primary to be replaced yet.")
		m.postponeSwitchover(name)
		return false
	}
	intent := store.Intent{
		Primary: old.Key,
		Term:    before.Term,
		Step:    takeover.StepDown,
		Cause:   cause,
	}
	if err := m.recordIntent(ctx, name, intent, leads); err != nil {
		log.Info("Could not record the intent to replace a primary, which stays.", "error", err.Error())
		m.postponeSwitchover(name)
		return false
	}
	after, err := m.config.Prober.RunControlCommand(ctx, old, endpoint.StepDown{Term: max(before.Term, before.FencedTerm) + 1})
	if err != nil {
		// It may lead on and acknowledge commits. The intent is pending, so the endpoints are asked.
		log.Info("A primary to be replaced did not confirm that it stepped down.", "error", err.Error())
		return false
	}
	if after.Role == catalog.RolePrimary {
		log.Info("A primary to be replaced did not step down.", "term", after.Term)
		m.endIntent(name)
		m.postponeSwitchover(name)
		return false
	}
	m.config.View.RecordPromotion(name, "", false)
	m.awaitSuccessor(ctx, name, old, m.candidate(old, after, old), cause)
	return true
}

// mayRepeatStepDown reports whether a primary that has stepped down may be told so again. That is for
// leaders of older builds, which leave no intent. With an intent, or if it is not known yet, the
// promotion of a successor may have been requested.
func (m *Manager) mayRepeatStepDown(name string, old catalog.Endpoint) bool {
	_, known := m.knownIntents()
	m.mu.Lock()
	defer m.mu.Unlock()
	i := &m.databaseState(name).intent
	if i.pending {
		i.asked = false
		return false
	}
	isPromoted := i.stored != nil && i.stored.Primary.ID == old.Key.ID && i.stored.Step == takeover.Promote
	return known && !isPromoted
}

// awaitSuccessor waits until an endpoint may succeed a primary that has stepped down, and promotes
// it. If none has received the whole log within catchUpTimeout, takeover.ChooseAfterStepDown decides.
func (m *Manager) awaitSuccessor(ctx context.Context, name string, old catalog.Endpoint, stepped takeover.Candidate, cause string) {
	log := m.config.Log.WithValues("database", name, "endpoint", old.Key.ID, "cause", cause)
	deadline := m.config.Timer.Now().Add(catchUpTimeout)
	for {
		timeOver := !m.config.Timer.Now().Before(deadline)
		chosen, ok := takeover.ChooseAfterStepDown(stepped, m.candidates(ctx, name, old), m.syncReplicas(name), timeOver)
		if ok {
			log.Info("A primary stepped down.", "position", stepped.ReceivedPosition.String(), "successor", chosen.ID,
				"received", chosen.ReceivedPosition.String(), "complete", chosen.ReceivedPosition.Covers(stepped.ReceivedPosition))
			m.promotePlanned(ctx, name, chosen)
			return
		}
		if timeOver {
			log.Info("No endpoint has received the whole log of an evacuated primary yet.")
			m.endIntent(name)
			return
		}
		if err := timer.Sleep(ctx, m.config.Timer, pollInterval); err != nil {
			return
		}
	}
}

// postponeSwitchover delays the next attempt to replace a primary in a planned way.
func (m *Manager) postponeSwitchover(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.databaseState(name).switchoverAfter = m.config.Timer.SinceBoot() + switchoverRetryDelay
}

// syncReplicas returns how many replicas must confirm a commit of the database before it
// is acknowledged.
func (m *Manager) syncReplicas(name string) int {
	c := m.config.View.Configuration()
	if c == nil {
		return 0
	}
	return c.Databases[name].SyncReplicas
}

// memberStatus is the response of a member of a database to a status request.
type memberStatus struct {
	endpoint catalog.Endpoint
	report   *endpoint.Report
}

// candidates queries the log positions of all members except the old primary and those in
// evacuated data centres.
func (m *Manager) candidates(ctx context.Context, name string, old catalog.Endpoint) []takeover.Candidate {
	return m.candidatesOf(m.successorStatuses(ctx, name, old), old)
}

// successorStatuses queries the status of all members except the old primary and those in evacuated data
// centres.
func (m *Manager) successorStatuses(ctx context.Context, name string, old catalog.Endpoint) []memberStatus {
	return m.statuses(ctx, name, func(e catalog.Endpoint) bool { return e.Key != old.Key && m.config.View.Access(e) == evacuation.Open })
}

// candidatesOf returns the members that responded as candidates to succeed the old primary.
func (m *Manager) candidatesOf(statuses []memberStatus, old catalog.Endpoint) []takeover.Candidate {
	var candidates []takeover.Candidate
	for _, s := range statuses {
		candidates = append(candidates, m.candidate(s.endpoint, s.report, old))
	}
	return candidates
}

// highestTerm returns the highest term that the members which responded know of.
func highestTerm(statuses []memberStatus) uint64 {
	term := uint64(0)
	for _, s := range statuses {
		term = max(term, s.report.Term, s.report.ReceivedPosition.Term)
	}
	return term
}

// statuses queries the status of the members of a database that are included, at the same time.
func (m *Manager) statuses(ctx context.Context, name string, included func(catalog.Endpoint) bool) []memberStatus {
	var (
		mu        sync.Mutex
		responses []memberStatus
		probes    sync.WaitGroup
	)
	for _, e := range m.config.View.Members(name) {
		if !included(e) {
			continue
		}
		probes.Go(func() {
			report, err := m.config.Prober.RunControlCommand(ctx, e, endpoint.Status{})
			if err != nil {
				m.config.Log.Info("Could not read an endpoint's log position.", "database", name, "endpoint", e.Key.ID, "error", err.Error())
				return
			}
			mu.Lock()
			defer mu.Unlock()
			responses = append(responses, memberStatus{
				endpoint: e,
				report:   report,
			})
		})
	}
	probes.Wait()
	return responses
}

// candidate returns an endpoint as a candidate to succeed the old primary.
func (m *Manager) candidate(e catalog.Endpoint, report *endpoint.Report, old catalog.Endpoint) takeover.Candidate {
	return takeover.Candidate{
		ID:               e.Key.ID,
		ReceivedPosition: report.ReceivedPosition,
		Draining:         e.Draining,
		Evacuated:        m.config.View.Access(e) != evacuation.Open,
		AllowingRoutes:   m.allowingRoutes(e),
		Cold:             m.config.Timer.SinceBoot() < m.config.View.Coldness(e).Until,
		SameRegion:       m.config.View.Region(e.DataCentre) == m.config.View.Region(old.DataCentre),
	}
}

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
	m.mu.Lock()
	m.databaseState(name).promotionRequestedAt = m.config.Timer.SinceBoot()
	m.mu.Unlock()
	// The request may take effect before its response arrives.
	m.broadcastPromotion(name, chosen.ID, false)
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

// isEndpointError reports whether the endpoint itself replied with an error.
func isEndpointError(err error) bool {
	var replyError *endpoint.ReplyError
	return errors.As(err, &replyError)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
