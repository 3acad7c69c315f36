package failover

import (
	"context"
	"errors"
	"sync"
	"time"

	"amaranthdock.dev/decision/evacuation"
	"amaranthdock.dev/decision/takeover"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/endpoint"
	"amaranthdock.dev/engine/store"
	"amaranthdock.dev/timer"
)

const (
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
)

// replacePrimary promotes the responding endpoint that may succeed a lost primary. It promotes
// none if too few endpoints respond to be sure that one of them has received each acknowledged
// commit.
func (m *Manager) replacePrimary(ctx context.Context, name string, old catalog.Endpoint, cause string) {
	statuses := m.successorStatuses(ctx, name, old)
	chosen, ok := m.chooseAfterLoss(name, old, statuses, cause)
	if !ok {
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

// chooseAfterLoss returns the successor of a lost primary among the members that responded; false if too few did.
func (m *Manager) chooseAfterLoss(name string, old catalog.Endpoint, statuses []memberStatus, cause string) (takeover.Candidate, bool) {
	candidates := m.candidatesOf(statuses, old)
	replicas, syncReplicas := m.knownReplicas(name, old), m.syncReplicas(name)
	chosen, ok := takeover.ChooseAfterLoss(candidates, replicas, syncReplicas)
	if !ok {
		m.config.Log.Info("Too few endpoints responded to promote one safely.", "database", name, "cause", cause, "answered", len(candidates), "replicas", replicas,
			"syncReplicas", syncReplicas)
	}
	return chosen, ok
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
