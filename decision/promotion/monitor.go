package promotion

import (
	"slices"
	"time"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/routing"
)

const (
	// FailureDetectionTimeout is how long a member may send no status before it is
	// suspected to have failed.
	FailureDetectionTimeout = 500 * time.Millisecond
	// ReplicationStallTimeout is how long all replicas may make no progress before new
	// writes are no longer accepted.
	ReplicationStallTimeout = time.Second
	// claimDelayPerRank is the delay of a claim per rank, so that a claimant with a
	// lower rank number can finish first.
	claimDelayPerRank = 300 * time.Millisecond
	// maxJitter limits the random delay that separates VMs which compute the same rank
	// for themselves because they see different fleets.
	maxJitter = 100 * time.Millisecond
	// otherClaimGracePeriod is how long this VM waits for the promotion that should
	// follow another VM's claim.
	otherClaimGracePeriod = 400 * time.Millisecond
	// claimTimeout is the age at which an unfinished claim is abandoned, for example
	// after this VM was paused.
	claimTimeout = time.Second
	// confirmInterval is the minimum time between two confirmation requests to other
	// VMs.
	confirmInterval = 250 * time.Millisecond
	// confirmationTTL is how long a confirmation by another VM is valid.
	confirmationTTL = time.Second
	// stallFailoverInterval is the minimum time between two failovers because of
	// stalled replicas. They do not help if the replicas themselves are at fault.
	stallFailoverInterval = 5 * time.Second
	// retryBackoff is the delay after a failed claim, multiplied by the number of
	// failed attempts.
	retryBackoff = 100 * time.Millisecond
	// sampleInterval is the resolution of the data age.
	sampleInterval = 10 * time.Millisecond
	// maxBackoffAttempts limits the growth of the retry delay.
	maxBackoffAttempts = 10
)

// Config configures a Monitor.
type Config struct {
	Database string
	// Claimant identifies this process in claims. It is unique for each start of each
	// VM.
	Claimant    string
	Members     []Member
	StoreRegion string
	// StartedAt is when this VM began to watch the database.
	StartedAt time.Time
}

// Monitor tracks the members of one database and decides when it needs a failover. It
// is not safe for concurrent use.
type Monitor struct {
	config  Config
	members map[string]*memberState
	// highestTerm is the highest term that any member has accepted.
	highestTerm uint64
	// primaryEndpoint is the latest known primary, and primaryTerm is its term, which
	// begins with the log entry at primaryTermStart. primarySince is when this VM first
	// saw a primary of that term.
	primaryEndpoint  string
	primaryTerm      uint64
	primaryTermStart logpos.Position
	primarySince     time.Time

	dataAge *DataAgeTracker
	// confirmedAt is the latest time at which a majority was known to be in
	// confirmedTerm.
	confirmedAt   time.Time
	confirmedTerm uint64

	condition      failoverCondition
	conditionSince time.Time
	// jitter is the random value in [0, 1) that was drawn for the condition.
	jitter         float64
	confirmation   suspicionConfirmation
	claim          *claim
	failedAttempts int
	retryAt        time.Time
	// stalledPrimary is the primary whose replication was last found to be stalled, at
	// stallDetectedAt. stallFailoverTerm is the term claimed to replace it.
	stalledPrimary    string
	stallFailoverTerm uint64
	stallDetectedAt   time.Time
	publishedTerm     uint64
}

// memberState is what this VM knows about one member.
type memberState struct {
	status       Status
	lastStatusAt time.Time
	streamBroken bool
	// behindSince is when a replica that is behind the primary last advanced or fell
	// behind; zero if it is not behind.
	behindSince time.Time
}

// New returns a Monitor that has no status of any member yet.
func New(config Config) *Monitor {
	m := &Monitor{
		config:  config,
		members: map[string]*memberState{},
		dataAge: NewDataAgeTracker(sampleInterval),
	}
	m.SetMembers(config.Members)
	return m
}

// DataAge returns an upper bound of the age of data that ends at a position, or false if
// it is unknown.
func (m *Monitor) DataAge(now time.Time, position logpos.Position) (time.Duration, bool) {
	return m.dataAge.Age(now, position)
}

// DurablePosition returns the last durable position of the newest term that has a primary.
func (m *Monitor) DurablePosition() (logpos.Position, bool) {
	return DurablePosition(m.primaryTerm, m.primaryTermStart, m.statuses())
}

// HasRecentStatus reports whether a member sent a status within the failure detection
// timeout.
func (m *Monitor) HasRecentStatus(now time.Time, endpoint string) bool {
	state, ok := m.members[endpoint]
	return ok && state.hasRecentStatus(now)
}

// IsDurable reports whether an entry that the primary of a term returned is durable. For
// a repeated request, a primary may return an entry of an earlier term. Such an entry
// is durable as soon as the first entry of the primary's own term is.
func (m *Monitor) IsDurable(term uint64, position logpos.Position) bool {
	if term != m.primaryTerm || m.IsTermSuperseded(term) {
		return false
	}
	durable, ok := m.DurablePosition()
	return ok && durable.Covers(position)
}

// LatestPrimary returns the primary of the newest term that has one, and that term. The
// member may have failed since.
func (m *Monitor) LatestPrimary() (string, uint64) {
	return m.primaryEndpoint, m.primaryTerm
}

// Members returns the declared members in the order of the configuration.
func (m *Monitor) Members() []Member {
	return slices.Clone(m.config.Members)
}

// MarkStreamBroken records that a member's status stream broke. The member becomes
// suspect only after the failure detection timeout, because a stream can break while
// the member is healthy.
func (m *Monitor) MarkStreamBroken(endpoint string) {
	if state, ok := m.members[endpoint]; ok {
		state.streamBroken = true
	}
}

// Observe records a status that a member sent.
func (m *Monitor) Observe(now time.Time, status Status) {
	state, ok := m.members[status.Endpoint]
	if !ok {
		return
	}
	advanced := status.LastPosition.Compare(state.status.LastPosition) > 0
	state.status = status
	state.lastStatusAt = now
	state.streamBroken = false
	m.highestTerm = max(m.highestTerm, status.FencedTerm)
	if status.Role == routing.RolePrimary && status.FencedTerm >= m.primaryTerm {
		m.recordPrimary(now, status)
	}
	m.updateReplicationLag(now, state, advanced)
}

// PrimaryConfirmed reports whether a majority was in the newest primary's term at some
// time within the failure detection timeout. Up to that time, no other primary can
// have acknowledged a write.
func (m *Monitor) PrimaryConfirmed(now time.Time) bool {
	return m.primaryTerm > 0 &&
		m.confirmedTerm == m.primaryTerm &&
		!m.IsTermSuperseded(m.primaryTerm) &&
		now.Sub(m.confirmedAt) < FailureDetectionTimeout
}

// Reachable reports whether a member is responding, as far as this VM knows.
func (m *Monitor) Reachable(now time.Time, endpoint string) bool {
	state, ok := m.members[endpoint]
	return ok && state.hasRecentStatus(now) && !state.streamBroken
}

// IsTermSuperseded reports whether entries of a term can no longer become durable,
// because a higher term has a primary or was accepted by a majority.
func (m *Monitor) IsTermSuperseded(term uint64) bool {
	if m.primaryTerm > term {
		return true
	}
	higher := 0
	for _, state := range m.members {
		if state.status.FencedTerm > term {
			higher++
		}
	}
	return higher >= m.majority()
}

// AddSample evaluates statuses that were all requested at the time sent or later, and
// reports whether they confirm a primary. If a majority, including the primary, is in
// one term, no higher term had a primary at the time sent. Data up to that primary's
// position is then at least as recent as that time. Statuses from a stream must not be
// passed, because they may have been delayed in a buffer.
func (m *Monitor) AddSample(sent time.Time, statuses []Status) bool {
	for _, primary := range statuses {
		if primary.Role != routing.RolePrimary {
			continue
		}
		sameTerm := 0
		for _, s := range statuses {
			if s.FencedTerm == primary.FencedTerm {
				sameTerm++
			}
		}
		if sameTerm < m.majority() || primary.FencedTerm < m.confirmedTerm {
			continue
		}
		m.confirmedTerm = primary.FencedTerm
		if sent.After(m.confirmedAt) {
			m.confirmedAt = sent
		}
		m.dataAge.Add(sent, primary.LastPosition)
		return true
	}
	return false
}

// SetMembers replaces the members after a change of the configuration.
func (m *Monitor) SetMembers(members []Member) {
	m.config.Members = slices.Clone(members)
	names := map[string]bool{}
	for _, member := range members {
		names[member.Endpoint] = true
		if m.members[member.Endpoint] == nil {
			m.members[member.Endpoint] = &memberState{status: Status{Endpoint: member.Endpoint}}
		}
	}
	for name := range m.members {
		if !names[name] {
			delete(m.members, name)
		}
	}
}

// Status returns the last status of a member.
func (m *Monitor) Status(endpoint string) (Status, bool) {
	state, ok := m.members[endpoint]
	if !ok || state.lastStatusAt.IsZero() {
		return Status{}, false
	}
	return state.status, true
}

// WritesHealthy reports whether a new write can be expected to become durable: the
// primary is responding, and at least one replica receives its messages and makes
// progress within the replication stall timeout.
func (m *Monitor) WritesHealthy(now time.Time) bool {
	if m.livePrimary(now) == nil {
		return false
	}
	if len(m.members) == 1 {
		return true
	}
	for name, state := range m.members {
		if name == m.primaryEndpoint || state.lastStatusAt.IsZero() || state.status.FencedTerm != m.primaryTerm {
			continue
		}
		silence := now.Sub(state.lastStatusAt) + state.status.ReplicationSilence
		notAdvancing := !state.behindSince.IsZero() && now.Sub(state.behindSince) >= ReplicationStallTimeout
		if silence < ReplicationStallTimeout && !notAdvancing {
			return true
		}
	}
	return false
}

func (m *Monitor) majority() int {
	return len(m.members)/2 + 1
}

// updateReplicationLag updates behindSince of the members that a new status affects:
// of all replicas for a status of a primary, else of the replica that sent it.
func (m *Monitor) updateReplicationLag(now time.Time, state *memberState, advanced bool) {
	if state.status.Role == routing.RolePrimary {
		for name, other := range m.members {
			if name != state.status.Endpoint {
				other.updateBehind(now, state.status.LastPosition, false)
			}
		}
		return
	}
	if primary := m.members[m.primaryEndpoint]; primary != nil {
		state.updateBehind(now, primary.status.LastPosition, advanced)
	}
}

func (m *Monitor) recordPrimary(now time.Time, status Status) {
	if status.FencedTerm > m.primaryTerm {
		m.primarySince = now
	}
	m.primaryEndpoint = status.Endpoint
	m.primaryTerm = status.FencedTerm
	m.primaryTermStart = status.TermStart
}

// livePrimary returns the primary of the newest term, or nil if it has sent no recent
// status.
func (m *Monitor) livePrimary(now time.Time) *memberState {
	state := m.members[m.primaryEndpoint]
	if state == nil || !state.hasRecentStatus(now) || state.status.Role != routing.RolePrimary || state.status.FencedTerm != m.primaryTerm {
		return nil
	}
	return state
}

func (m *Monitor) statuses() []Status {
	statuses := make([]Status, 0, len(m.members))
	for _, state := range m.members {
		statuses = append(statuses, state.status)
	}
	return statuses
}

func (state *memberState) hasRecentStatus(now time.Time) bool {
	return !state.lastStatusAt.IsZero() && now.Sub(state.lastStatusAt) < FailureDetectionTimeout
}

func (state *memberState) updateBehind(now time.Time, primary logpos.Position, advanced bool) {
	switch {
	case state.status.LastPosition.Covers(primary):
		state.behindSince = time.Time{}
	case advanced || state.behindSince.IsZero():
		state.behindSince = now
	}
}
