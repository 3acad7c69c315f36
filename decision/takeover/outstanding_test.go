package takeover_test

import (
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/takeover"
)

const (
	maxOutages  = 2
	maxRequests = 4
)

// outage is a state of a database with one synchronous replica whose primaries crash and return, of the
// promotion requests in flight, and of the leaders. It is comparable.
type outage struct {
	primary, term int
	// down is the primary that has crashed, successor the endpoint that takes over; none for none.
	down, successor int
	outages         int
	positions       [endpointCount]logpos.Position
	acknowledged    logpos.Position
	// held is true while the VMs send no writes, because the leader has announced no primary.
	held bool
	// requested is set after the loss of the primary until the leader reads the endpoints' state again, and
	// confirmed while it waits for requests that were accepted before its own to take effect.
	requested, confirmed bool
	// intent and unanswered are what the leader knows, token and fenced the last tokens that were reserved
	// and seen.
	intent        takeover.Intent
	unanswered    bool
	token, fenced int
	requests      [maxRequests]order
}

func newOutage() outage {
	positions := initialPositions()
	return outage{
		term:         3,
		down:         none,
		successor:    none,
		positions:    positions,
		acknowledged: positions[0],
	}
}

// next returns the states that may follow.
func (o outage) next() []outage {
	states := append(o.databaseSteps(), o.deliveries()...)
	if !o.requested && o.unanswered && !o.confirmed {
		states = append(states, o.resumptions()...)
	}
	switch {
	case o.held && !o.unanswered && !o.confirmed && o.successor == none && o.down == none:
		n := o
		n.held = false
		states = append(states, n)
	case o.confirmed && o.successor == none:
		n := o
		n.confirmed = false
		n.held = n.primary != endpointIndex(n.intent.Successor)
		states = append(states, n)
	case o.requested:
		n := o
		n.requested = false
		states = append(states, n)
	case o.down != none && o.successor == none:
		states = append(states, o.failovers()...)
	}
	return states
}

// databaseSteps are a commit with its replication to one endpoint, a crash and a return of the primary,
// and the end of a promotion. An endpoint that is promoted while the primary is down replaces it.
func (o outage) databaseSteps() []outage {
	var states []outage
	leads := o.down == none
	if leads && !o.held && o.positions[o.primary].Index < maxCommits {
		for i := range o.positions {
			if i != o.primary {
				n := o
				n.acknowledged = logpos.Position{
					Term:  uint64(n.term),
					Index: n.positions[n.primary].Index + 1,
				}
				n.positions[n.primary], n.positions[i] = n.acknowledged, n.acknowledged
				states = append(states, n)
			}
		}
	}
	if n := o; leads && o.outages < maxOutages {
		n.outages++
		n.down = n.primary
		states = append(states, n)
	}
	if n := o; !leads {
		n.down = none
		states = append(states, n)
	}
	if n := o; o.successor != none {
		Expect(o.positions[o.successor].Covers(o.acknowledged)).To(BeTrue(), "%s lacks an acknowledged commit: %+v", endpointIDs[o.successor], o)
		n.primary, n.successor, n.down = o.successor, none, none
		n.term++
		states = append(states, n)
	}
	return states
}

// deliveries are the requests in flight, which are carried out at any time. The leader may get the response of
// the last one.
func (o outage) deliveries() []outage {
	var states []outage
	for i, r := range o.requests {
		if r.token == 0 {
			continue
		}
		n := o
		n.requests[i] = order{}
		if r.token > o.fenced && o.successor == none {
			n.fenced = r.token
			if r.target != n.primary {
				n.successor = r.target
			}
			if r.token == n.token {
				answered := n
				answered.unanswered, answered.requested = false, false
				answered.confirmed = answered.intent.Contested
				states = append(states, answered)
			}
		}
		states = append(states, n)
	}
	return states
}

func endpointIndex(id string) int { return slices.Index(endpointIDs[:], id) }

// reports returns the reports of the endpoints that run, except one that does not respond; none for all.
func (o outage) reports(missing int) []takeover.Report {
	var reports []takeover.Report
	for i := range endpointIDs {
		if i != missing && i != o.down {
			reports = append(reports, report(i, o.positions[i], o.primary, o.term))
		}
	}
	return reports
}

// request returns the state after the leader has requested a promotion.
func (o outage) request(successor string, confirms bool) []outage {
	if o.token == maxRequests {
		return nil
	}
	o.intent = takeover.Intent{
		Term:      uint64(o.term),
		Step:      takeover.Request,
		Successor: successor,
		Contested: confirms || o.unanswered && (o.intent.Contested || o.intent.Successor != successor),
	}
	o.token++
	o.requests[o.token-1] = order{
		target: endpointIndex(successor),
		token:  o.token,
	}
	o.unanswered, o.requested, o.held = true, !confirms, true
	return []outage{o}
}

// failovers are the requests of a leader that has lost the primary, for each endpoint that may not respond.
func (o outage) failovers() []outage {
	var states []outage
	for missing := none; missing < endpointCount; missing++ {
		var candidates []takeover.Candidate
		for _, r := range o.reports(missing) {
			candidates = append(candidates, r.Candidate)
		}
		if chosen, ok := takeover.ChooseAfterLoss(candidates, endpointCount-1, 1); ok {
			states = append(states, o.request(chosen.ID, false)...)
		}
	}
	return states
}

// resumptions are the states after this leader, or the next one, has decided about the request without a
// response.
func (o outage) resumptions() []outage {
	var states []outage
	for missing := none; missing < endpointCount; missing++ {
		decided := takeover.Resumption{
			Intent:        o.intent,
			Reports:       o.reports(missing),
			KnownReplicas: endpointCount - 1,
			SyncReplicas:  1,
		}.Decide()
		switch decided := decided.(type) {
		case takeover.ConfirmPrimary:
			states = append(states, o.request(decided.Primary.ID, true)...)
		case takeover.DiscardIntent:
			n := o
			n.unanswered, n.held = false, decided.Primary == nil
			states = append(states, n)
		}
	}
	return states
}

var _ = Describe("promotion requests without a response", func() {
	It("drop no acknowledged commit in any short schedule of crashes, returns and late requests", func() {
		// Guards against a request that is carried out when the former primary acknowledges commits again.
		seen := map[outage]bool{}
		states := []outage{newOutage()}
		for len(states) > 0 {
			var following []outage
			for _, o := range states {
				for _, n := range o.next() {
					if !seen[n] {
						seen[n] = true
						following = append(following, n)
					}
				}
			}
			states = following
		}
		AddReportEntry("states", len(seen))
		Expect(len(seen)).To(BeNumerically(">", 10_000))
	})
})
