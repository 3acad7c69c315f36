package takeover_test

import (
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/takeover"
)

const (
	endpointCount = 3
	maxCommits    = 3
	maxLeaders    = 3
	// maxScheduleLength is more than the steps after which no new states follow.
	maxScheduleLength = 40
	none              = -1
)

var endpointIDs = [endpointCount]string{"p", "a", "b"}

// phase is what a leader does next.
type phase int

const (
	recordsIntent phase = iota
	stepsDown
	awaitsStepDown
	chooses
	reservesToken
	requested
	resumes
)

// order is a promotion request that may take effect at any time; its token is 0 if there is none.
type order struct{ target, token int }

// schedule is a state of a database with the primary p at first, of leaders that replace it, and of
// the commands in flight. It is comparable.
type schedule struct {
	syncReplicas int
	// The endpoints. acknowledged is the last commit that was acknowledged.
	primary, term int
	positions     [endpointCount]logpos.Position
	restarted     [endpointCount]bool
	acknowledged  logpos.Position
	commits       int
	steppedDown   bool
	// position is that of the primary when it stepped down.
	position logpos.Position
	// The current leader. snapshot is the intent as it read it, chosen the endpoint to be promoted.
	leader       int
	phase        phase
	snapshot     takeover.Intent
	chosen       int
	stepDownSent bool
	// The store and the orders in flight; fenced is the highest token that took effect.
	intent        takeover.Intent
	token, fenced int
	orders        [maxLeaders]order
}

func newSchedule(syncReplicas int) schedule {
	positions := initialPositions()
	return schedule{
		syncReplicas: syncReplicas,
		term:         3,
		chosen:       none,
		leader:       1,
		positions:    positions,
		acknowledged: positions[0],
	}
}

// initialPositions are the ends of the logs at first.
func initialPositions() [endpointCount]logpos.Position {
	var positions [endpointCount]logpos.Position
	for i := range positions {
		positions[i] = logpos.Position{
			Term:  3,
			Index: 1,
		}
	}
	return positions
}

// report returns the report of an endpoint in a term with a primary.
func report(i int, received logpos.Position, primary, term int) takeover.Report {
	return takeover.Report{
		Candidate: takeover.Candidate{
			ID:               endpointIDs[i],
			ReceivedPosition: received,
		},
		IsPrimary: primary == i,
		Term:      uint64(term),
	}
}

// next returns the states that may follow.
func (s schedule) next() []schedule {
	states := append(s.databaseSteps(), s.deliveries()...)
	states = append(states, s.leaderSteps()...)
	if s.leader < maxLeaders {
		n := s
		n.leader, n.phase, n.snapshot, n.chosen = s.leader+1, resumes, s.intent, none
		states = append(states, n)
	}
	return states
}

// databaseSteps are a commit, the replication of the log to one endpoint, and a restart.
func (s schedule) databaseSteps() []schedule {
	var states []schedule
	if s.primary != none && s.commits < maxCommits {
		n := s
		n.commits++
		n.positions[n.primary] = logpos.Position{
			Term:  uint64(n.term),
			Index: n.positions[n.primary].Index + 1,
		}
		states = append(states, n.acknowledge())
	}
	source := s.primary
	if source == none {
		source = 0
	}
	for i := range s.positions {
		if i != source && s.positions[source].Compare(s.positions[i]) > 0 {
			n := s
			n.positions[i] = n.positions[source]
			states = append(states, n.acknowledge())
		}
		// An order names only the id of an endpoint, so a restart between the choice and the order
		// cannot be excluded by a decision. It is left out here.
		if i != s.primary && i != s.chosen && !s.anyRestarted() && !s.isOrdered(i) {
			n := s
			n.positions[i], n.restarted[i] = logpos.Position{}, true
			states = append(states, n)
		}
	}
	return states
}

func (s schedule) anyRestarted() bool { return s.restarted != [endpointCount]bool{} }

func (s schedule) isOrdered(i int) bool {
	for _, o := range s.orders {
		if o.token > 0 && o.target == i {
			return true
		}
	}
	return false
}

// acknowledge acknowledges the commits that enough endpoints have.
func (s schedule) acknowledge() schedule {
	if s.primary == none {
		return s
	}
	last := s.positions[s.primary]
	holders := 0
	for i, p := range s.positions {
		if i != s.primary && p == last {
			holders++
		}
	}
	if holders >= s.syncReplicas {
		s.acknowledged = logpos.Max(s.acknowledged, last)
	}
	return s
}

// deliveries are the command to step down and the orders, which take effect at any time or never.
func (s schedule) deliveries() []schedule {
	var states []schedule
	if s.stepDownSent {
		n := s
		n.stepDownSent = false
		if n.primary == 0 && n.term == 3 {
			n.primary, n.steppedDown, n.position = none, true, n.positions[0]
		}
		states = append(states, n)
	}
	for i, o := range s.orders {
		if o.token == 0 {
			continue
		}
		n := s
		n.orders[i] = order{}
		states = append(states, n)
		if o.token > n.fenced {
			n.fenced = o.token
			if n.primary != o.target {
				n.expectNoLoss(o.target)
				n.primary = o.target
				n.term++
			}
			states = append(states, n)
		}
	}
	return states
}

// expectNoLoss checks a promotion: an endpoint that has each acknowledged commit must not lose them
// to one that has not.
func (s schedule) expectNoLoss(target int) {
	if s.positions[target].Covers(s.acknowledged) {
		return
	}
	for i, p := range s.positions {
		Expect(p.Covers(s.acknowledged)).To(BeFalse(), "%s is promoted and lacks a commit that %s has: %+v", endpointIDs[target], endpointIDs[i], s)
	}
}

// reports returns the reports of the endpoints except one that does not respond; none for all.
func (s schedule) reports(missing int) []takeover.Report {
	var reports []takeover.Report
	for i := range endpointIDs {
		if i == missing {
			continue
		}
		r := report(i, s.positions[i], s.primary, s.term)
		r.Restarted = s.restarted[i]
		reports = append(reports, r)
	}
	return reports
}

// leaderSteps are the steps of the current leader. A leader that was succeeded takes none: the store
// rejects its changes, and its commands are in flight already.
func (s schedule) leaderSteps() []schedule {
	n := s
	switch s.phase {
	case recordsIntent:
		n.intent = takeover.Intent{
			Primary: "p",
			Term:    3,
			Step:    takeover.StepDown,
		}
		n.phase = stepsDown
	case stepsDown:
		n.stepDownSent, n.phase = true, awaitsStepDown
	case awaitsStepDown:
		if !s.steppedDown {
			return nil
		}
		n.phase = chooses
	case chooses:
		return s.choices()
	case reservesToken:
		n.token++
		n.intent.Step, n.intent.Successor = takeover.Promote, endpointIDs[s.chosen]
		n.orders[s.leader-1] = order{
			target: s.chosen,
			token:  n.token,
		}
		n.phase = requested
	case resumes:
		return s.resumptions()
	default:
		return nil
	}
	return []schedule{n}
}

// resumption is what the current leader knows about the intent, if an endpoint does not respond.
func (s schedule) resumption(missing int) takeover.Resumption {
	return takeover.Resumption{
		Intent:       s.snapshot,
		Reports:      s.reports(missing),
		SyncReplicas: s.syncReplicas,
	}
}

// resumptions are the states after the leader has decided about the intent of the one before.
func (s schedule) resumptions() []schedule {
	if s.snapshot == (takeover.Intent{}) {
		s.phase = recordsIntent
		return []schedule{s}
	}
	var states []schedule
	for missing := none; missing < endpointCount; missing++ {
		switch decided := s.resumption(missing).Decide().(type) {
		case takeover.PromoteSuccessor:
			states = append(states, s.choose(decided.Successor))
		case takeover.AwaitSuccessor:
			n := s
			n.phase = chooses
			states = append(states, n)
		case takeover.UseRegularRules:
			if s.primary == 0 && s.term == 3 {
				// The primary has not stepped down, so its replacement may begin anew.
				n := s
				n.phase = recordsIntent
				states = append(states, n)
			}
		}
	}
	return states
}

// choices returns the states after the leader has chosen a successor, for each endpoint that may not
// respond. Without synchronous replicas, commits may be lost once the time is over, so it never is.
func (s schedule) choices() []schedule {
	var states []schedule
	primary := takeover.Candidate{
		ID:               "p",
		ReceivedPosition: s.position,
	}
	for missing := none; missing < endpointCount; missing++ {
		var others []takeover.Candidate
		for _, e := range s.reports(missing) {
			if e.ID != "p" {
				others = append(others, e.Candidate)
			}
		}
		for _, timeOver := range []bool{false, s.syncReplicas > 0} {
			chosen, ok := takeover.ChooseAfterStepDown(primary, others, s.syncReplicas, timeOver)
			// A primary that has restarted since it stepped down does not lead again.
			if ok && (chosen.ID != "p" || !s.restarted[0]) {
				states = append(states, s.choose(chosen))
			}
		}
	}
	return states
}

func (s schedule) choose(successor takeover.Candidate) schedule {
	s.phase = reservesToken
	s.chosen = slices.Index(endpointIDs[:], successor.ID)
	return s
}

// check verifies that the leader goes on with the intent if the primary has stepped down, nothing
// has replaced it and all endpoints respond.
func (s schedule) check() {
	GinkgoHelper()
	if s.primary != none || s.anyRestarted() || s.phase != resumes || s.snapshot.Step == "" || s.term != 3 {
		return
	}
	Expect(s.resumption(none).Decide()).To(Or(BeAssignableToTypeOf(takeover.PromoteSuccessor{}), BeAssignableToTypeOf(takeover.AwaitSuccessor{})), "%+v", s)
}
