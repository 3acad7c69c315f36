// Package promotion decides when a database gets a new primary and which member
// it is, and which log positions are durable. It does no I/O.
package promotion

import (
	"slices"
	"time"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/routing"
)

// Member is a member of a database as declared in the configuration.
type Member struct {
	Endpoint string
	Region   string
	Leaving  bool
}

// FenceResult is a member's response to a Fence. LastPosition is the position of the
// member's last log entry.
type FenceResult struct {
	Endpoint     string
	Accepted     bool
	LastPosition logpos.Position
}

// Status is what a member reports about itself.
type Status struct {
	Endpoint string
	Role     routing.Role
	// FencedTerm is the highest term that the member has accepted.
	FencedTerm uint64
	// LastPosition is the position of the last log entry.
	LastPosition logpos.Position
	// TermStart is, on a primary, the position of the first entry of its term.
	TermStart logpos.Position
	// ReplicationSilence is, on a replica, the time since it last received a message
	// from its primary; on a primary, the time since the last response of any replica.
	ReplicationSilence time.Duration
}

// Choose returns the member to promote after a fence: the one with the highest last
// position, and on a tie the one in the store's region. It returns false unless a
// majority of the members accepted the fence. A leaving member is passed over if a
// majority accepted without it, because every durable entry is then on one of the
// other members.
func Choose(members []Member, results []FenceResult, storeRegion string) (string, bool) {
	majority := len(members)/2 + 1
	var accepted, notLeaving []candidate
	for _, m := range members {
		for _, r := range results {
			if r.Endpoint != m.Endpoint || !r.Accepted {
				continue
			}
			c := candidate{
				endpoint:      m.Endpoint,
				last:          r.LastPosition,
				inStoreRegion: m.Region == storeRegion,
			}
			accepted = append(accepted, c)
			if !m.Leaving {
				notLeaving = append(notLeaving, c)
			}
		}
	}
	if len(accepted) < majority {
		return "", false
	}
	if len(notLeaving) >= majority {
		accepted = notLeaving
	}
	return slices.MaxFunc(accepted, candidate.compare).endpoint, true
}

// candidate is a member that accepted a fence.
type candidate struct {
	endpoint      string
	last          logpos.Position
	inStoreRegion bool
}

// compare orders candidates from the least to the most suitable for promotion.
func (c candidate) compare(other candidate) int {
	if order := c.last.Compare(other.last); order != 0 {
		return order
	}
	switch {
	case c.inStoreRegion == other.inStoreRegion:
		return 0
	case c.inStoreRegion:
		return 1
	default:
		return -1
	}
}

// DurablePosition returns the last durable position of a term whose first entry is at
// start: the highest position of the term that the logs of a majority of the members
// have reached. Nothing is durable until the first entry of the term is, because until
// then a member with a newer last term can still be promoted and replace entries of
// earlier terms. The statuses contain each member once; a member that has sent no
// status has the zero LastPosition.
func DurablePosition(term uint64, start logpos.Position, statuses []Status) (logpos.Position, bool) {
	if term == 0 || start.Term != term || len(statuses) == 0 {
		return logpos.Position{}, false
	}
	positions := make([]logpos.Position, 0, len(statuses))
	for _, s := range statuses {
		position := s.LastPosition
		if position.Term != term {
			position = logpos.Position{}
		}
		positions = append(positions, position)
	}
	slices.SortFunc(positions, func(a, b logpos.Position) int { return b.Compare(a) })
	majorityPosition := positions[len(positions)/2]
	return majorityPosition, majorityPosition.Covers(start)
}
