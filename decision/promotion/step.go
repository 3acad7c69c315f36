package promotion

import (
	"slices"
	"time"

	"amaranthdock.dev/decision/routing"
)

// failoverCondition is why a new primary is needed, and the highest term known when
// that was detected.
type failoverCondition struct {
	cause Cause
	term  uint64
	// suspect is the endpoint that another VM has to find unreachable too before a
	// claim; empty if no confirmation is needed.
	suspect string
}

// suspicionConfirmation is what other VMs reported about a suspect.
type suspicionConfirmation struct {
	suspect     string
	requestedAt time.Time
	// confirmedAt is when another VM reported that it cannot reach the suspect either;
	// zero if none has.
	confirmedAt time.Time
	// refuted is set when another VM reached the suspect, until Step returns DeferToOthers.
	refuted bool
}

// claim is this VM's attempt to give a new term a primary.
type claim struct {
	term      uint64
	startedAt time.Time
	// target is the endpoint to promote; empty until a majority accepted the fence.
	target string
	// nextDecision is what the next call of Step returns; nil if there is nothing to
	// do.
	nextDecision Decision
}

// HandleConfirmation handles the result of a ConfirmSuspicion. The parameter confirmed
// is false if any VM reached the suspect. The caller does not report a round of
// requests that no VM responded to.
func (m *Monitor) HandleConfirmation(now time.Time, suspect string, confirmed bool) {
	if m.confirmation.suspect != suspect {
		return
	}
	if confirmed {
		m.confirmation.confirmedAt = now
		return
	}
	m.confirmation.confirmedAt = time.Time{}
	m.confirmation.refuted = true
}

// HandleFenceResults handles the results of a Fence.
func (m *Monitor) HandleFenceResults(now time.Time, term uint64, results []FenceResult) {
	if m.claim == nil || m.claim.term != term || m.claim.target != "" {
		return
	}
	endpoint, ok := m.choosePromotionTarget(now, results)
	if !ok {
		m.failClaim(now)
		return
	}
	m.claim.target = endpoint
	m.claim.nextDecision = Promote{
		Endpoint: endpoint,
		Term:     term,
		Claimant: m.config.Claimant,
	}
}

// HandlePromoteResult handles the result of a Promote. A lost response counts as
// rejected; if the member became the primary nevertheless, its status shows that later.
func (m *Monitor) HandlePromoteResult(now time.Time, term uint64, accepted bool) {
	if m.claim == nil || m.claim.term != term {
		return
	}
	if !accepted {
		m.failClaim(now)
		return
	}
	m.claim.nextDecision = Publish{
		Endpoint: m.claim.target,
		Term:     term,
	}
}

// Step returns the next action. The rank, from 0, is the place of this VM in the order
// in which VMs claim a term. The jitter is a random value in [0, 1).
func (m *Monitor) Step(now time.Time, rank int, jitter float64) Decision {
	if m.claim != nil {
		return m.stepClaim(now)
	}
	detected := m.detectCondition(now)
	if detected != m.condition {
		m.condition = detected
		m.conditionSince = now
		m.jitter = jitter
	}
	if detected.cause == CauseNone {
		m.failedAttempts = 0
		return m.publishIfNeeded(rank)
	}
	if detected.suspect != "" && !m.hasConfirmation(now, detected.suspect) {
		return m.requestConfirmation(now, detected.suspect)
	}
	claimAt := m.conditionSince.Add(m.claimDelay(detected) + time.Duration(rank)*claimDelayPerRank + time.Duration(m.jitter*float64(maxJitter)))
	if now.Before(claimAt) || now.Before(m.retryAt) || m.countRecentStatuses(now) < m.majority() {
		return None{}
	}
	return m.startClaim(now, detected)
}

// requestConfirmation returns the next decision while a suspicion is unconfirmed.
func (m *Monitor) requestConfirmation(now time.Time, suspect string) Decision {
	if m.confirmation.suspect != suspect {
		m.confirmation = suspicionConfirmation{suspect: suspect}
	}
	if m.confirmation.refuted {
		m.confirmation.refuted = false
		return DeferToOthers{Endpoint: suspect}
	}
	if now.Sub(m.confirmation.requestedAt) < confirmInterval {
		return None{}
	}
	m.confirmation.requestedAt = now
	return ConfirmSuspicion{Endpoint: suspect}
}

func (m *Monitor) hasConfirmation(now time.Time, suspect string) bool {
	c := m.confirmation
	return c.suspect == suspect && !c.confirmedAt.IsZero() && now.Sub(c.confirmedAt) < confirmationTTL
}

func (m *Monitor) countRecentStatuses(now time.Time) int {
	count := 0
	for _, state := range m.members {
		if state.hasRecentStatus(now) {
			count++
		}
	}
	return count
}

// choosePromotionTarget returns the member to promote. A primary whose replication has
// stalled may have the longest log, with entries that never reached another member. It
// is passed over if a majority of the members accepted the fence without it, because
// that majority has every durable entry.
func (m *Monitor) choosePromotionTarget(now time.Time, results []FenceResult) (string, bool) {
	if m.stallDetectedAt.IsZero() || now.Sub(m.stallDetectedAt) >= stallFailoverInterval {
		return Choose(m.config.Members, results, m.config.StoreRegion)
	}
	others := slices.DeleteFunc(slices.Clone(results), func(r FenceResult) bool { return r.Endpoint == m.stalledPrimary })
	if endpoint, ok := Choose(m.config.Members, others, m.config.StoreRegion); ok {
		return endpoint, true
	}
	return Choose(m.config.Members, results, m.config.StoreRegion)
}

// failClaim ends a claim that did not succeed. The delay before the next one grows with
// each failure, so that two claimants do not fence each other's terms forever.
func (m *Monitor) failClaim(now time.Time) {
	m.claim = nil
	m.failedAttempts = min(m.failedAttempts+1, maxBackoffAttempts)
	delay := time.Duration(m.failedAttempts)*retryBackoff + time.Duration(m.jitter*float64(maxJitter))
	m.retryAt = now.Add(delay)
}

// detectCondition returns why a new primary is needed, with CauseNone if none is.
func (m *Monitor) detectCondition(now time.Time) failoverCondition {
	detected := failoverCondition{term: m.highestTerm}
	primary := m.livePrimary(now)
	switch {
	case primary == nil:
		detected.cause, detected.suspect = m.detectLostPrimary(now)
	case m.highestTerm > m.primaryTerm:
		detected.cause = CauseTermWithoutPrimary
	case m.canReplaceLeavingPrimary(now):
		detected.cause = CauseLeaving
	case m.replicationStalled(now, primary):
		detected.cause = CauseReplicasStalled
	}
	return detected
}

// detectLostPrimary returns the cause while no primary has a recent status, and the
// member that may still be the primary. Any majority includes a member that knows the
// highest term that can have a primary, because a majority accepted that term.
func (m *Monitor) detectLostPrimary(now time.Time) (Cause, string) {
	if m.countRecentStatuses(now) < m.majority() {
		return m.detectWithoutMajority(now)
	}
	if now.Sub(m.config.StartedAt) < FailureDetectionTimeout {
		return CauseNone, ""
	}
	primaryKnown := m.highestTerm == m.primaryTerm
	if m.highestTerm == 0 || primaryKnown && m.HasRecentStatus(now, m.primaryEndpoint) {
		return CauseNoPrimary, ""
	}
	if primaryKnown {
		return CausePrimaryLost, m.primaryEndpoint
	}
	for _, member := range m.config.Members {
		if !m.HasRecentStatus(now, member.Endpoint) {
			return CausePrimaryLost, member.Endpoint
		}
	}
	return CauseNoPrimary, ""
}

// detectWithoutMajority returns the cause while too few members respond for a fence to
// succeed. It returns CauseNone, except for a known primary that is lost, so that its
// confirmation can start at once.
func (m *Monitor) detectWithoutMajority(now time.Time) (Cause, string) {
	if m.primaryEndpoint == "" || m.HasRecentStatus(now, m.primaryEndpoint) {
		return CauseNone, ""
	}
	return CausePrimaryLost, m.primaryEndpoint
}

// claimDelay returns how long to wait before a claim. If another VM has claimed a term,
// its promotion gets time to complete. A missing primary that may just be restarting is
// replaced after a short delay.
func (m *Monitor) claimDelay(detected failoverCondition) time.Duration {
	switch {
	case detected.term > m.primaryTerm:
		return otherClaimGracePeriod
	case detected.cause == CauseNoPrimary:
		return claimDelayPerRank / 2
	default:
		return 0
	}
}

// canReplaceLeavingPrimary reports whether the primary is leaving, and the other members
// that are responding and not leaving are a majority.
func (m *Monitor) canReplaceLeavingPrimary(now time.Time) bool {
	staying := 0
	leaving := false
	for _, member := range m.config.Members {
		switch {
		case member.Endpoint == m.primaryEndpoint:
			leaving = member.Leaving
		case !member.Leaving && m.HasRecentStatus(now, member.Endpoint):
			staying++
		}
	}
	return leaving && staying >= m.majority()
}

// replicationStalled reports whether replication has stopped although all members
// respond to this VM: for at least the failure detection timeout, the primary got no
// response from any replica, and every replica received nothing from the primary or
// made no progress. Progress is checked too because a replica may receive the primary's
// heartbeats but no entries, if its own responses do not reach the primary.
func (m *Monitor) replicationStalled(now time.Time, primary *memberState) bool {
	if len(m.members) == 1 || now.Sub(m.primarySince) < FailureDetectionTimeout {
		return false
	}
	if !m.stallDetectedAt.IsZero() && now.Sub(m.stallDetectedAt) < stallFailoverInterval && !m.stallResolved() {
		return false
	}
	if primary.status.ReplicationSilence < FailureDetectionTimeout {
		return false
	}
	for name, state := range m.members {
		if name == m.primaryEndpoint {
			continue
		}
		notAdvancing := !state.behindSince.IsZero() && now.Sub(state.behindSince) >= FailureDetectionTimeout
		if !state.hasRecentStatus(now) || state.status.ReplicationSilence < FailureDetectionTimeout && !notAdvancing {
			return false
		}
	}
	return true
}

// stallResolved reports whether the first entry of a primary that replaced the stalled
// one is durable, which shows that the replicas were not at fault.
func (m *Monitor) stallResolved() bool {
	_, durable := m.DurablePosition()
	return durable && m.primaryTerm >= m.stallFailoverTerm
}

// startClaim claims the next term.
func (m *Monitor) startClaim(now time.Time, detected failoverCondition) Decision {
	if detected.cause == CauseReplicasStalled {
		m.stallDetectedAt = now
		m.stalledPrimary = m.primaryEndpoint
		m.stallFailoverTerm = m.highestTerm + 1
	}
	m.highestTerm++
	m.claim = &claim{
		term:      m.highestTerm,
		startedAt: now,
	}
	targets := make([]string, 0, len(m.config.Members))
	for _, member := range m.config.Members {
		targets = append(targets, member.Endpoint)
	}
	slices.Sort(targets)
	return Fence{
		Term:     m.highestTerm,
		Claimant: m.config.Claimant,
		Targets:  targets,
		Cause:    detected.cause,
	}
}

// stepClaim returns the next decision of the current claim.
func (m *Monitor) stepClaim(now time.Time) Decision {
	if publish, ok := m.claim.nextDecision.(Publish); ok {
		m.claim = nil
		m.publishedTerm = max(m.publishedTerm, publish.Term)
		return publish
	}
	if now.Sub(m.claim.startedAt) > claimTimeout {
		m.failClaim(now)
		return None{}
	}
	if pending := m.claim.nextDecision; pending != nil {
		m.claim.nextDecision = nil
		return pending
	}
	return None{}
}

// publishIfNeeded lets the claimant of rank 0 publish a primary that it has not
// published yet, in case the claimant that promoted it failed before publishing.
func (m *Monitor) publishIfNeeded(rank int) Decision {
	primary := m.members[m.primaryEndpoint]
	if rank != 0 || primary == nil || primary.status.Role != routing.RolePrimary || m.publishedTerm >= m.primaryTerm {
		return None{}
	}
	m.publishedTerm = m.primaryTerm
	return Publish{
		Endpoint: m.primaryEndpoint,
		Term:     m.primaryTerm,
	}
}
