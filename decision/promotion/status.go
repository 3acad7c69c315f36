// Package promotion decides when a database gets a new primary and which member
// it is, and which log positions are durable. It does no I/O.
package promotion

import (
	"slices"
	"time"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/routing"
)

// Member is one member of a database as the configuration declares it.
type Member struct {
	Endpoint string
	Region   string
	Leaving  bool
}

// FenceResult is a member's answer to a fence.
type FenceResult struct {
	Endpoint string
	Accepted bool
	Last     logpos.Position
}

// Status is what a member reports of itself.
type Status struct {
	Endpoint string
	Role     routing.Role
	// FencedTerm is the highest term accepted.
	FencedTerm uint64
	Last       logpos.Position
	// TermStart is, on a primary, the entry that opened its term.
	TermStart logpos.Position
	// ReplicationSilence is, on a replica, the time since it last heard its
	// primary; on a primary, the time since any replica last answered.
	ReplicationSilence time.Duration
}

// Choose returns the member to promote after a fence: the one with the last
// position that covers all others, in the store's region on a tie. It returns
// false unless a majority of the members accepted the fence. A leaving member is
// passed over if a majority accepted without it, because each durable entry is
// then on one of the others.
func Choose(members []Member, reports []FenceResult, storeRegion string) (string, bool) {
	majority := len(members)/2 + 1
	var all, staying []candidate
	for _, m := range members {
		for _, r := range reports {
			if r.Endpoint != m.Endpoint || !r.Accepted {
				continue
			}
			c := candidate{
				endpoint: m.Endpoint,
				last:     r.Last,
				near:     m.Region == storeRegion,
			}
			all = append(all, c)
			if !m.Leaving {
				staying = append(staying, c)
			}
		}
	}
	if len(all) < majority {
		return "", false
	}
	if len(staying) >= majority {
		all = staying
	}
	return slices.MaxFunc(all, candidate.compare).endpoint, true
}

// candidate is a member that accepted a fence.
type candidate struct {
	endpoint string
	last     logpos.Position
	near     bool
}

func (c candidate) compare(other candidate) int {
	if order := c.last.Compare(other.last); order != 0 {
		return order
	}
	switch {
	case c.near == other.near:
		return 0
	case c.near:
		return 1
	default:
		return -1
	}
}

// DurablePosition returns the last durable position of a term whose primary opened it
// at start: a majority of the members reports a last entry of the term that is
// not before it. Nothing is durable until the opening entry is: entries of
// earlier terms can still be lost to a member with a newer last term. The
// statuses name each member once; a member never heard has the zero Last.
func DurablePosition(term uint64, start logpos.Position, statuses []Status) (logpos.Position, bool) {
	if term == 0 || start.Term != term || len(statuses) == 0 {
		return logpos.Position{}, false
	}
	positions := make([]logpos.Position, 0, len(statuses))
	for _, s := range statuses {
		position := s.Last
		if position.Term != term {
			position = logpos.Position{}
		}
		positions = append(positions, position)
	}
	slices.SortFunc(positions, func(a, b logpos.Position) int { return b.Compare(a) })
	held := positions[len(positions)/2]
	return held, held.Covers(start)
}
