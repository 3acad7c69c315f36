package promotion

import (
	"slices"
	"time"

	"amaranthdock.dev/decision/routing"
)

// condition is why a new primary is needed, and in which term.
type condition struct {
	cause Cause
	term  uint64
	// suspect is the endpoint that a second VM has to find unreachable too.
	suspect string
}

// confirmation is what other VMs said of a suspect.
type confirmation struct {
	suspect string
	askedAt time.Time
	// confirmedAt is zero until another VM did not reach the suspect either.
	confirmedAt time.Time
	handOver    bool
}

// claim is a term that this VM tries to give a primary.
type claim struct {
	term    uint64
	started time.Time
	// chosen is the endpoint to promote; empty until the fence is through.
	chosen string
	// pending is returned by the next Step.
	pending Decision
}

// HandleConfirmation takes the answers of other VMs about a suspect. Confirmed is false if
// any of them reached it; a call without answers is not reported.
func (m *Monitor) HandleConfirmation(now time.Time, suspect string, confirmed bool) {
	if m.confirm.suspect != suspect {
		return
	}
	if confirmed {
		m.confirm.confirmedAt = now
		return
	}
	m.confirm.confirmedAt = time.Time{}
	m.confirm.handOver = true
}

// HandleFenceResults takes the members' answers to a Fence.
func (m *Monitor) HandleFenceResults(now time.Time, term uint64, reports []FenceResult) {
	if m.claim == nil || m.claim.term != term || m.claim.chosen != "" {
		return
	}
	endpoint, ok := m.choose(now, reports)
	if !ok {
		m.fail(now)
		return
	}
	m.claim.chosen = endpoint
	m.claim.pending = Promote{
		Endpoint: endpoint,
		Term:     term,
		Claimant: m.config.Claimant,
	}
}

// HandlePromoteResult takes the answer to a Promote. A lost answer counts as refused; the
// statuses show if the member leads after all.
func (m *Monitor) HandlePromoteResult(now time.Time, term uint64, accepted bool) {
	if m.claim == nil || m.claim.term != term {
		return
	}
	if !accepted {
		m.fail(now)
		return
	}
	m.claim.pending = Publish{
		Endpoint: m.claim.chosen,
		Term:     term,
	}
}

// Step returns the next thing to do. The rank is this VM's among the claimants,
// from 0; the jitter is a random value in [0, 1).
func (m *Monitor) Step(now time.Time, rank int, jitter float64) Decision {
	if m.claim != nil {
		return m.stepClaim(now)
	}
	found := m.find(now)
	if found != m.current {
		m.current = found
		m.since = now
		m.jitter = jitter
	}
	if found.cause == CauseNone {
		m.attempts = 0
		return m.stepHealthy(rank)
	}
	if found.suspect != "" && !m.confirmedNow(now, found.suspect) {
		return m.ask(now, found.suspect)
	}
	due := m.since.Add(m.grace(found) + time.Duration(rank)*rankDelay + time.Duration(m.jitter*float64(jitterSpan)))
	if now.Before(due) || now.Before(m.retryAt) || m.countFresh(now) < m.majority() {
		return None{}
	}
	return m.start(now, found)
}

func (m *Monitor) ask(now time.Time, suspect string) Decision {
	if m.confirm.suspect != suspect {
		m.confirm = confirmation{suspect: suspect}
	}
	if m.confirm.handOver {
		m.confirm.handOver = false
		return DeferToOthers{Endpoint: suspect}
	}
	if now.Sub(m.confirm.askedAt) < confirmInterval {
		return None{}
	}
	m.confirm.askedAt = now
	return ConfirmSuspicion{Endpoint: suspect}
}

func (m *Monitor) confirmedNow(now time.Time, suspect string) bool {
	c := m.confirm
	return c.suspect == suspect && !c.confirmedAt.IsZero() && now.Sub(c.confirmedAt) < confirmValidity
}

func (m *Monitor) countFresh(now time.Time) int {
	fresh := 0
	for _, o := range m.members {
		if o.fresh(now) {
			fresh++
		}
	}
	return fresh
}

// choose picks the member to promote. A primary that its replicas do not hear may
// hold the longest log, of entries that no other member can get. Two other members
// hold every durable entry, so that it is passed over if a majority can do without.
func (m *Monitor) choose(now time.Time, reports []FenceResult) (string, bool) {
	if m.stalledAt.IsZero() || now.Sub(m.stalledAt) >= stalledHold {
		return Choose(m.config.Members, reports, m.config.StoreRegion)
	}
	others := slices.DeleteFunc(slices.Clone(reports), func(r FenceResult) bool { return r.Endpoint == m.stalledPrimary })
	if endpoint, ok := Choose(m.config.Members, others, m.config.StoreRegion); ok {
		return endpoint, true
	}
	return Choose(m.config.Members, reports, m.config.StoreRegion)
}

// fail ends a claim without effect. The next one waits longer, so that two
// claimants do not fence each other's terms for ever.
func (m *Monitor) fail(now time.Time) {
	m.claim = nil
	m.attempts = min(m.attempts+1, maxAttempts)
	delay := time.Duration(m.attempts)*retryDelay + time.Duration(m.jitter*float64(jitterSpan))
	m.retryAt = now.Add(delay)
}

// find returns why a new primary is needed.
func (m *Monitor) find(now time.Time) condition {
	found := condition{term: m.highest}
	primary := m.primary(now)
	switch {
	case primary == nil:
		found.cause, found.suspect = m.findLost(now)
	case m.highest > m.leaderTerm:
		found.cause = CauseTermUnled
	case m.leaves(now):
		found.cause = CauseLeaving
	case m.stalled(now, primary):
		found.cause = CauseReplicasStalled
	}
	return found
}

// findLost returns the cause if no primary is fresh, and the member that may be
// the primary still. Any two members know the highest term that can have a
// primary, because a majority accepted it.
func (m *Monitor) findLost(now time.Time) (Cause, string) {
	if m.countFresh(now) < m.majority() {
		return m.unheard(now)
	}
	if now.Sub(m.config.StartedAt) < DetectionTime {
		return CauseNone, ""
	}
	leaderKnown := m.highest == m.leaderTerm
	if m.highest == 0 || leaderKnown && m.Fresh(now, m.leader) {
		return CauseNoPrimary, ""
	}
	if leaderKnown {
		return CausePrimaryLost, m.leader
	}
	for _, member := range m.config.Members {
		if !m.Fresh(now, member.Endpoint) {
			return CausePrimaryLost, member.Endpoint
		}
	}
	return CauseNoPrimary, ""
}

// unheard returns no cause while too few members answer for a fence, except for
// a known primary that is lost, so that the confirmation does not wait.
func (m *Monitor) unheard(now time.Time) (Cause, string) {
	if m.leader == "" || m.Fresh(now, m.leader) {
		return CauseNone, ""
	}
	return CausePrimaryLost, m.leader
}

// grace is the wait before a claim. A term that somebody claimed gets time for
// its promotion; a primary that merely restarts is replaced after a short wait.
func (m *Monitor) grace(found condition) time.Duration {
	switch {
	case found.term > m.leaderTerm:
		return claimGrace
	case found.cause == CauseNoPrimary:
		return rankDelay / 2
	default:
		return 0
	}
}

// leaves tells whether the primary is leaving and a majority can do without it.
func (m *Monitor) leaves(now time.Time) bool {
	staying := 0
	leaving := false
	for _, member := range m.config.Members {
		switch {
		case member.Endpoint == m.leader:
			leaving = member.Leaving
		case !member.Leaving && m.Fresh(now, member.Endpoint):
			staying++
		}
	}
	return leaving && staying >= m.majority()
}

// stalled tells whether all members answer, but for the detection time the primary
// got no answer of a replica, and each replica heard nothing or did not advance. A
// replica that hears the primary's heartbeats still gets no entries if the primary
// does not get its answers.
func (m *Monitor) stalled(now time.Time, primary *observed) bool {
	if len(m.members) == 1 || now.Sub(m.leaderSince) < DetectionTime {
		return false
	}
	if !m.stalledAt.IsZero() && now.Sub(m.stalledAt) < stalledHold && !m.stallEnded() {
		return false
	}
	if primary.status.ReplicationSilence < DetectionTime {
		return false
	}
	for name, o := range m.members {
		if name == m.leader {
			continue
		}
		stuck := !o.behindSince.IsZero() && now.Sub(o.behindSince) >= DetectionTime
		if !o.fresh(now) || o.status.ReplicationSilence < DetectionTime && !stuck {
			return false
		}
	}
	return true
}

// stallEnded tells whether a replica holds the opening entry of a primary that
// replaced the stalled one, which shows that the replicas were not at fault.
func (m *Monitor) stallEnded() bool {
	_, durable := m.DurablePosition()
	return durable && m.leaderTerm >= m.stalledTerm
}

func (m *Monitor) start(now time.Time, found condition) Decision {
	if found.cause == CauseReplicasStalled {
		m.stalledAt = now
		m.stalledPrimary = m.leader
		m.stalledTerm = m.highest + 1
	}
	m.highest++
	m.claim = &claim{
		term:    m.highest,
		started: now,
	}
	targets := make([]string, 0, len(m.config.Members))
	for _, member := range m.config.Members {
		targets = append(targets, member.Endpoint)
	}
	slices.Sort(targets)
	return Fence{
		Term:     m.highest,
		Claimant: m.config.Claimant,
		Targets:  targets,
		Cause:    found.cause,
	}
}

func (m *Monitor) stepClaim(now time.Time) Decision {
	if publish, ok := m.claim.pending.(Publish); ok {
		m.claim = nil
		m.published = max(m.published, publish.Term)
		return publish
	}
	if now.Sub(m.claim.started) > claimTimeout {
		m.fail(now)
		return None{}
	}
	if pending := m.claim.pending; pending != nil {
		m.claim.pending = nil
		return pending
	}
	return None{}
}

// stepHealthy lets the first claimant publish a primary that it has not seen
// published, for instance after a claimant died before it could.
func (m *Monitor) stepHealthy(rank int) Decision {
	leader := m.members[m.leader]
	if rank != 0 || leader == nil || leader.status.Role != routing.RolePrimary || m.published >= m.leaderTerm {
		return None{}
	}
	m.published = m.leaderTerm
	return Publish{
		Endpoint: m.leader,
		Term:     m.leaderTerm,
	}
}
