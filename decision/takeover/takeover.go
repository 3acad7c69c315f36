// Package takeover decides when the primary of a database is replaced, and by which
// endpoint, where the endpoints keep their terms themselves and a promotion is
// ordered from outside. The order takes effect at once for the old primary, and the
// new one leads with what it has received and nothing more.
package takeover

import (
	"time"

	"amaranthdock.dev/decision/logpos"
)

const (
	// MinStoreHealthyTime is how long the store must have answered before a missing report
	// counts: reports that lapsed during an outage are back within about 2 s.
	MinStoreHealthyTime = 2500 * time.Millisecond
	// MissingFor is how long a database may be without a reported primary before one
	// is promoted, so that a report on its way arrives.
	MissingFor = 1200 * time.Millisecond
	// OrderPause after an order, in which a promotion takes effect.
	OrderPause = 1800 * time.Millisecond
	// SuspicionTTL is how long the word of a home counts.
	SuspicionTTL = 1500 * time.Millisecond
)

// DatabaseState of one database, as the leader sees it.
type DatabaseState struct {
	// PrimaryReported tells that the store lists an endpoint that leads.
	PrimaryReported bool
	// PrimaryDraining tells that this endpoint is leaving.
	PrimaryDraining bool
	// MissingFor is how long no endpoint has been reported to lead.
	MissingFor time.Duration
	// StoreHealthyFor is how long the store has answered the leader.
	StoreHealthyFor time.Duration
	// SuspectedFor is how long homes have said that they do not reach the primary;
	// 0 if none does.
	SuspectedFor time.Duration
	// SinceOrder is the time since the last order, if Ordered.
	SinceOrder time.Duration
	Ordered    bool
}

// Decision is Keep, HandOver, Verify or Replace.
type Decision interface{ decision() }

// Keep leaves the primary in place.
type Keep struct{}

// Switchover replaces a primary that is leaving, without the loss of a commit.
type Switchover struct{}

// VerifyPrimary asks other VMs whether they reach the primary.
type VerifyPrimary struct{}

// Failover promotes another endpoint at once.
type Failover struct{}

func (Keep) decision()          {}
func (Switchover) decision()    {}
func (VerifyPrimary) decision() {}
func (Failover) decision()      {}

// Decide returns what to do about a database's primary.
func Decide(s DatabaseState) Decision {
	switch {
	case s.Ordered && s.SinceOrder < OrderPause:
		return Keep{}
	case s.StoreHealthyFor == 0:
		// An order that cannot be numbered cannot be given.
		return Keep{}
	case s.PrimaryReported && s.PrimaryDraining && s.SuspectedFor == 0:
		// Its successor is one that has its whole log, so that reports which are missing
		// after an outage do no harm.
		return Switchover{}
	case s.StoreHealthyFor < MinStoreHealthyTime:
		// Reports of primaries that live, and of replicas that have received more, may
		// be missing.
		return Keep{}
	case s.PrimaryReported && s.SuspectedFor > 0:
		return VerifyPrimary{}
	case s.PrimaryReported:
		return Keep{}
	case s.MissingFor >= MissingFor:
		return Failover{}
	default:
		return Keep{}
	}
}

// ReachabilityResults of the VMs that were asked to reach a primary, without the leader's own.
type ReachabilityResults struct {
	// LeaderReached tells whether the leader itself reached it.
	LeaderReached bool
	// Asked VMs, of which some may not have answered.
	Asked     int
	Reached   int
	Unreached int
}

// ConfirmsLoss tells whether the primary counts as lost: nobody reached it, and most of
// the VMs that were asked, with the leader, say so. A leader that is cut off together
// with a few VMs reaches nothing either, while the others still use the primary.
func (a ReachabilityResults) ConfirmsLoss() bool {
	return !a.LeaderReached && a.Reached == 0 && 2*(a.Unreached+1) > a.Asked+1 && a.Unreached > 0
}

// ReplicaRetention is how long a replica that is no longer reported counts as one that may
// hold an acknowledged commit. After it, its log is taken to be lost.
const ReplicaRetention = 10 * time.Second

// CoversAcknowledgedCommits tells whether the endpoints that told what they have received are sure to hold
// each acknowledged commit among them. Known counts the database's replicas, and
// syncReplicas how many of them confirm a commit before it is acknowledged; with none,
// nothing is promised and any answer is enough.
func CoversAcknowledgedCommits(answered, known, syncReplicas int) bool {
	if syncReplicas == 0 {
		return answered > 0
	}
	return answered > 0 && answered > known-syncReplicas
}

// Candidate is an endpoint that may be promoted.
type Candidate struct {
	ID       string
	Received logpos.Position
	// SameRegion tells that it is in the region of the database's old primary.
	SameRegion bool
}

// Choose returns the candidate that has received most; the nearer one on a tie.
func Choose(candidates []Candidate) (Candidate, bool) {
	var best Candidate
	found := false
	for _, c := range candidates {
		if found {
			order := c.Received.Compare(best.Received)
			if order < 0 || (order == 0 && (best.SameRegion && !c.SameRegion || best.SameRegion == c.SameRegion && best.ID < c.ID)) {
				continue
			}
		}
		best, found = c, true
	}
	return best, found
}
