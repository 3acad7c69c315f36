package promotion

import (
	"slices"
	"time"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/routing"
)

const (
	// DetectionTime without a status makes a member suspect.
	DetectionTime = 500 * time.Millisecond
	// StallBound without progress at every replica stops new writes.
	StallBound = time.Second
	// rankDelay lets the claimant of a better rank finish first.
	rankDelay = 300 * time.Millisecond
	// jitterSpan separates claimants that see different ranks.
	jitterSpan = 100 * time.Millisecond
	// claimGrace is the time that another VM's claim gets for its promotion.
	claimGrace = 400 * time.Millisecond
	// claimTimeout abandons a claim, for instance after a pause of this VM.
	claimTimeout = time.Second
	// confirmInterval separates two questions to other VMs.
	confirmInterval = 250 * time.Millisecond
	// confirmValidity of another VM's answer.
	confirmValidity = time.Second
	// stalledHold separates replacements for stalled replicas, which do not
	// help if the replicas themselves are at fault.
	stalledHold = 5 * time.Second
	// retryDelay after a failed claim, for each attempt.
	retryDelay = 100 * time.Millisecond
	// sampleInterval is the resolution of the data's age.
	sampleInterval = 10 * time.Millisecond
	// maxAttempts bounds the growth of the retry delay.
	maxAttempts = 10
)

// Config configures a Monitor.
type Config struct {
	Database string
	// Claimant is unique for each run of each VM.
	Claimant    string
	Members     []Member
	StoreRegion string
	StartedAt   time.Time
}

// Monitor watches the members of one database. It is not safe for concurrent
// use.
type Monitor struct {
	config  Config
	members map[string]*observed
	// highest is the highest term that any member accepted.
	highest uint64
	// leader is the last primary seen, of leaderTerm since leaderSince.
	leader      string
	leaderTerm  uint64
	leaderStart logpos.Position
	leaderSince time.Time

	freshness *DataAgeTracker
	// confirmedAt is when a majority was known to be in confirmedTerm.
	confirmedAt   time.Time
	confirmedTerm uint64

	current  condition
	since    time.Time
	jitter   float64
	confirm  confirmation
	claim    *claim
	attempts int
	retryAt  time.Time
	// stalledPrimary was found without replicas that hear it at stalledAt, and
	// stalledTerm was claimed to replace it.
	stalledPrimary string
	stalledTerm    uint64
	stalledAt      time.Time
	published      uint64
}

// observed is what is known of one member.
type observed struct {
	status Status
	seen   time.Time
	missed bool
	// behindSince is when a replica fell behind the primary without progress
	// since; zero if it is not behind.
	behindSince time.Time
}

// New returns a Monitor that has heard of no member.
func New(config Config) *Monitor {
	m := &Monitor{
		config:    config,
		members:   map[string]*observed{},
		freshness: NewDataAgeTracker(sampleInterval),
	}
	m.SetMembers(config.Members)
	return m
}

// DataAge bounds the age of data that ends at a position.
func (m *Monitor) DataAge(now time.Time, position logpos.Position) (time.Duration, bool) {
	return m.freshness.Age(now, position)
}

// DurablePosition returns the last durable position of the newest term with a primary.
func (m *Monitor) DurablePosition() (logpos.Position, bool) {
	return DurablePosition(m.leaderTerm, m.leaderStart, m.statuses())
}

// Fresh tells whether a member sent a status within the detection time.
func (m *Monitor) Fresh(now time.Time, endpoint string) bool {
	o, ok := m.members[endpoint]
	return ok && o.fresh(now)
}

// IsDurable tells whether an entry that the primary of a term returned is durable.
// An entry of an earlier term, returned for a repeated request, is durable as
// soon as the opening entry of the primary's own term is.
func (m *Monitor) IsDurable(term uint64, position logpos.Position) bool {
	if term != m.leaderTerm || m.IsTermSuperseded(term) {
		return false
	}
	durable, ok := m.DurablePosition()
	return ok && durable.Covers(position)
}

// LatestPrimary returns the primary of the newest term with one, and that term; the
// member may have failed since.
func (m *Monitor) LatestPrimary() (string, uint64) {
	return m.leader, m.leaderTerm
}

// Members returns the declared members in the order of the configuration.
func (m *Monitor) Members() []Member {
	return slices.Clone(m.config.Members)
}

// MarkStreamBroken notes that a member's status stream broke. The suspicion still waits for
// the detection time, because a stream can break without a failure.
func (m *Monitor) MarkStreamBroken(endpoint string) {
	if o, ok := m.members[endpoint]; ok {
		o.missed = true
	}
}

// Observe notes a status.
func (m *Monitor) Observe(now time.Time, status Status) {
	o, ok := m.members[status.Endpoint]
	if !ok {
		return
	}
	advanced := status.Last.Compare(o.status.Last) > 0
	o.status = status
	o.seen = now
	o.missed = false
	m.highest = max(m.highest, status.FencedTerm)
	if status.Role == routing.RolePrimary && status.FencedTerm >= m.leaderTerm {
		m.noteLeader(now, status)
	}
	m.noteBehind(now, o, advanced)
}

// PrimaryConfirmed tells whether a majority was in the newest primary's term
// within the detection time, so that no other primary acknowledged before that.
func (m *Monitor) PrimaryConfirmed(now time.Time) bool {
	return m.leaderTerm > 0 &&
		m.confirmedTerm == m.leaderTerm &&
		!m.IsTermSuperseded(m.leaderTerm) &&
		now.Sub(m.confirmedAt) < DetectionTime
}

// Reachable tells whether a member answers now as far as this VM knows.
func (m *Monitor) Reachable(now time.Time, endpoint string) bool {
	o, ok := m.members[endpoint]
	return ok && o.fresh(now) && !o.missed
}

// IsTermSuperseded tells whether a term can no longer make entries durable: a primary of
// a higher term exists, or a majority accepted one.
func (m *Monitor) IsTermSuperseded(term uint64) bool {
	if m.leaderTerm > term {
		return true
	}
	higher := 0
	for _, o := range m.members {
		if o.status.FencedTerm > term {
			higher++
		}
	}
	return higher >= m.majority()
}

// AddSample takes statuses that were all asked for at the time sent or later. If a
// majority with the primary is in one term, no higher term had a primary at the
// time sent, so data up to that primary's position is as fresh as that time.
// Statuses from a stream do not do: they may have waited in a buffer.
func (m *Monitor) AddSample(sent time.Time, statuses []Status) bool {
	for _, primary := range statuses {
		if primary.Role != routing.RolePrimary {
			continue
		}
		same := 0
		for _, s := range statuses {
			if s.FencedTerm == primary.FencedTerm {
				same++
			}
		}
		if same < m.majority() || primary.FencedTerm < m.confirmedTerm {
			continue
		}
		m.confirmedTerm = primary.FencedTerm
		if sent.After(m.confirmedAt) {
			m.confirmedAt = sent
		}
		m.freshness.Add(sent, primary.Last)
		return true
	}
	return false
}

// SetMembers follows a change of the configuration.
func (m *Monitor) SetMembers(members []Member) {
	m.config.Members = slices.Clone(members)
	names := map[string]bool{}
	for _, member := range members {
		names[member.Endpoint] = true
		if m.members[member.Endpoint] == nil {
			m.members[member.Endpoint] = &observed{status: Status{Endpoint: member.Endpoint}}
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
	o, ok := m.members[endpoint]
	if !ok || o.seen.IsZero() {
		return Status{}, false
	}
	return o.status, true
}

// WritesHealthy tells whether a new write can be expected to become durable: the
// primary answers, and a replica hears it and advances within the stall bound.
func (m *Monitor) WritesHealthy(now time.Time) bool {
	if m.primary(now) == nil {
		return false
	}
	if len(m.members) == 1 {
		return true
	}
	for name, o := range m.members {
		if name == m.leader || o.seen.IsZero() || o.status.FencedTerm != m.leaderTerm {
			continue
		}
		heard := now.Sub(o.seen) + o.status.ReplicationSilence
		stuck := !o.behindSince.IsZero() && now.Sub(o.behindSince) >= StallBound
		if heard < StallBound && !stuck {
			return true
		}
	}
	return false
}

func (m *Monitor) majority() int {
	return len(m.members)/2 + 1
}

func (m *Monitor) noteBehind(now time.Time, o *observed, advanced bool) {
	if o.status.Role == routing.RolePrimary {
		for name, other := range m.members {
			if name != o.status.Endpoint {
				other.updateBehind(now, o.status.Last, false)
			}
		}
		return
	}
	if leader := m.members[m.leader]; leader != nil {
		o.updateBehind(now, leader.status.Last, advanced)
	}
}

func (m *Monitor) noteLeader(now time.Time, status Status) {
	if status.FencedTerm > m.leaderTerm {
		m.leaderSince = now
	}
	m.leader = status.Endpoint
	m.leaderTerm = status.FencedTerm
	m.leaderStart = status.TermStart
}

// primary returns the member that leads the newest term, if it is fresh.
func (m *Monitor) primary(now time.Time) *observed {
	o := m.members[m.leader]
	if o == nil || !o.fresh(now) || o.status.Role != routing.RolePrimary || o.status.FencedTerm != m.leaderTerm {
		return nil
	}
	return o
}

func (m *Monitor) statuses() []Status {
	statuses := make([]Status, 0, len(m.members))
	for _, o := range m.members {
		statuses = append(statuses, o.status)
	}
	return statuses
}

func (o *observed) fresh(now time.Time) bool {
	return !o.seen.IsZero() && now.Sub(o.seen) < DetectionTime
}

func (o *observed) updateBehind(now time.Time, primary logpos.Position, advanced bool) {
	switch {
	case o.status.Last.Covers(primary):
		o.behindSince = time.Time{}
	case advanced || o.behindSince.IsZero():
		o.behindSince = now
	}
}
