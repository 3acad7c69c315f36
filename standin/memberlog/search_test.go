package memberlog_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/promotion"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/standin/memberlog"
)

// maxSearchStates stops a search that visits far more states than expected.
const maxSearchStates = 3_000_000

var (
	searchMembers = []promotion.Member{{Endpoint: "m0"}, {Endpoint: "m1"}, {Endpoint: "m2"}}
	// tieBreakOrders let each member win a tie in turn. The members are therefore
	// symmetric, and states that differ only in the order of the members count as
	// one.
	tieBreakOrders = [][]promotion.Member{
		{searchMembers[0], searchMembers[1], searchMembers[2]},
		{searchMembers[1], searchMembers[2], searchMembers[0]},
		{searchMembers[2], searchMembers[0], searchMembers[1]},
	}
	searchWrites = []string{"w", "x"}
)

// clusterState is one state of three members, of the claims of all terms and of the
// home VM that acknowledges writes. A network partition is modelled by messages
// that are never delivered.
type clusterState struct {
	logs [3]*memberlog.Log
	// claims holds the claims of the terms, starting at term 1, for one claimant after the
	// other.
	claims []pendingClaim
	// observed are the statuses that the home VM last received; they may be stale.
	observed [3]promotion.Status
	// acknowledged is, for each of searchWrites, the lowest term in which it was
	// acknowledged; 0 if it was not.
	acknowledged [2]uint64
	lastStep     *step
}

// pendingClaim is a claimant's attempt to promote a primary in a term. It records the
// last log positions that the fenced members returned.
type pendingClaim struct {
	lastPositions [3]*logpos.Position
	promoted      bool
}

// step is one transition on the way to a state.
type step struct {
	name     string
	previous *step
}

func (s *step) path() []string {
	if s == nil {
		return nil
	}
	return append(s.previous.path(), s.name)
}

// search explores all reachable states breadth first.
type search struct {
	terms int
	// staleStatuses lets the home VM act on stale statuses.
	staleStatuses bool
	// interruptedClaims lets each claimant pause between any two of its calls. If it
	// is false, a claim is one transition, with or without the promotion.
	interruptedClaims bool
	// claimants is the number of claimants of each term. Several need interruptedClaims.
	claimants int
	visited   map[string]struct{}
	queue     []*clusterState
	// violation is the last step to the first state that lost a write.
	violation *step
}

func (s *search) run() {
	initial := &clusterState{claims: make([]pendingClaim, s.terms*s.claimants)}
	for i := range initial.logs {
		initial.logs[i] = memberlog.New()
		initial.observed[i] = initial.status(i)
	}
	s.visited = map[string]struct{}{}
	s.addState(initial)
	for len(s.queue) > 0 && s.violation == nil && len(s.visited) < maxSearchStates {
		state := s.queue[0]
		s.queue = s.queue[1:]
		s.expand(state)
	}
}

// addState completes a transition: the home VM updates its statuses and acknowledges
// writes, the state is checked, and a state not visited before is queued.
func (s *search) addState(state *clusterState) {
	for i := range state.logs {
		if !s.staleStatuses {
			state.observed[i] = state.status(i)
		}
	}
	state.acknowledge()
	if state.hasLostWrite() {
		s.violation = state.lastStep
	}
	key := state.key()
	if _, ok := s.visited[key]; ok {
		return
	}
	s.visited[key] = struct{}{}
	s.queue = append(s.queue, state)
}

// addTransition applies a change to a copy of the state, with copies of the logs of
// the given members, and adds the copy if the change was possible.
func (s *search) addTransition(state *clusterState, name string, members []int, change func(*clusterState) bool) {
	next := *state
	next.claims = slices.Clone(state.claims)
	for _, i := range members {
		next.logs[i] = state.logs[i].Clone()
	}
	if change(&next) {
		next.lastStep = &step{
			name:     name,
			previous: state.lastStep,
		}
		s.addState(&next)
	}
}

func (s *search) expand(state *clusterState) {
	if s.interruptedClaims {
		s.expandInterruptedClaims(state)
	} else {
		s.expandClaims(state)
	}
	for i, log := range state.logs {
		if s.staleStatuses && state.observed[i] != state.status(i) {
			s.addTransition(state, fmt.Sprintf("observe m%d", i), nil, func(next *clusterState) bool {
				next.observed[i] = next.status(i)
				return true
			})
		}
		if !log.IsPrimary() {
			continue
		}
		s.addTransition(state, fmt.Sprintf("restart m%d", i), []int{i}, func(next *clusterState) bool {
			next.logs[i] = next.logs[i].Restart()
			return true
		})
		for _, id := range searchWrites {
			s.addTransition(state, fmt.Sprintf("write %s at m%d", id, i), []int{i}, func(next *clusterState) bool {
				if _, repeated := next.logs[i].Find(id); repeated {
					return false
				}
				_, _, ok := next.logs[i].Commit(memberlog.Entry{RequestID: id})
				return ok
			})
		}
		for j := range state.logs {
			for index := uint64(1); i != j && index <= log.Last().Index; index++ {
				s.addTransition(state, fmt.Sprintf("replicate entry %d from m%d to m%d", index, i, j), []int{j}, func(next *clusterState) bool {
					return next.replicate(i, j, index)
				})
			}
		}
	}
}

func (s *search) expandClaims(state *clusterState) {
	term := 1
	for _, log := range state.logs {
		term = max(term, int(log.FencedTerm())+1)
	}
	if term > s.terms {
		return
	}
	for _, targets := range [][]int{{0}, {1}, {2}, {0, 1}, {0, 2}, {1, 2}, {0, 1, 2}} {
		s.addTransition(state, fmt.Sprintf("claim term %d at %v without promotion", term, targets), targets, func(next *clusterState) bool {
			next.fenceAll(term-1, term, targets)
			next.claims[term-1] = pendingClaim{promoted: true}
			return true
		})
		for _, order := range tieBreakOrders {
			s.addTransition(state, fmt.Sprintf("claim term %d at %v", term, targets), targets, func(next *clusterState) bool {
				next.fenceAll(term-1, term, targets)
				return next.promote(term-1, term, order)
			})
		}
	}
}

func (s *search) expandInterruptedClaims(state *clusterState) {
	for claim := range state.claims {
		term := claim%s.terms + 1
		for i := range state.logs {
			s.addTransition(state, fmt.Sprintf("fence m%d in term %d by claim %d", i, term, claim), []int{i}, func(next *clusterState) bool {
				return next.fence(claim, term, i)
			})
		}
		for _, order := range tieBreakOrders {
			s.addTransition(state, fmt.Sprintf("promote in term %d by claim %d", term, claim), []int{0, 1, 2}, func(next *clusterState) bool {
				return next.promote(claim, term, order)
			})
		}
	}
}

func claimant(claim int) string {
	return fmt.Sprintf("claimant of claim %d", claim)
}

func (state *clusterState) fenceAll(index, term int, targets []int) {
	for _, i := range targets {
		state.fence(index, term, i)
	}
}

func (state *clusterState) fence(index, term, i int) bool {
	claim := &state.claims[index]
	if claim.promoted || claim.lastPositions[i] != nil {
		return false
	}
	if _, accepted := state.logs[i].Fence(uint64(term), claimant(index)); !accepted {
		return false
	}
	last := state.logs[i].Last()
	claim.lastPositions[i] = &last
	return true
}

func (state *clusterState) promote(index, term int, order []promotion.Member) bool {
	claim := &state.claims[index]
	var reports []promotion.FenceResult
	for i, last := range claim.lastPositions {
		if last != nil {
			reports = append(reports, promotion.FenceResult{
				Endpoint:     searchMembers[i].Endpoint,
				Accepted:     true,
				LastPosition: *last,
			})
		}
	}
	chosen, ok := promotion.Choose(order, reports, "")
	if claim.promoted || !ok {
		return false
	}
	*claim = pendingClaim{promoted: true}
	for i, m := range searchMembers {
		if m.Endpoint == chosen {
			state.logs[i].Promote(uint64(term), claimant(index))
		}
	}
	return true
}

func (state *clusterState) replicate(from, to int, index uint64) bool {
	var previous logpos.Position
	if e, ok := state.logs[from].At(index - 1); ok {
		previous = e.Position()
	}
	result := state.logs[to].Append(memberlog.AppendRequest{
		Term:     state.logs[from].FencedTerm(),
		Claimant: state.logs[from].Claimant(),
		Previous: previous,
		Entries:  state.logs[from].Entries(index, 1),
	})
	return len(result.Changes) > 0
}

func (state *clusterState) status(i int) promotion.Status {
	role := routing.RoleReplica
	if state.logs[i].IsPrimary() {
		role = routing.RolePrimary
	}
	return promotion.Status{
		Endpoint:     searchMembers[i].Endpoint,
		Role:         role,
		FencedTerm:   state.logs[i].FencedTerm(),
		LastPosition: state.logs[i].Last(),
		TermStart:    state.logs[i].TermStart(),
	}
}

// acknowledge lets the home VM acknowledge each write that a primary has in its log,
// as a response to the write itself or to a repeated request.
func (state *clusterState) acknowledge() {
	var monitor *promotion.Monitor
	for _, log := range state.logs {
		for k, id := range searchWrites {
			entry, found := log.Find(id)
			term := log.FencedTerm()
			if !found || !log.IsPrimary() || state.acknowledged[k] != 0 && state.acknowledged[k] <= term {
				continue
			}
			if monitor == nil {
				monitor = state.monitor()
			}
			if monitor.IsDurable(term, entry.Position()) {
				state.acknowledged[k] = term
			}
		}
	}
}

func (state *clusterState) monitor() *promotion.Monitor {
	monitor := promotion.New(promotion.Config{Members: searchMembers})
	for _, s := range state.observed {
		monitor.Observe(time.Time{}, s)
	}
	return monitor
}

// hasLostWrite reports whether the log of a primary lacks an acknowledged write. It
// checks the primaries of the term in which the write was acknowledged and of all
// higher terms, including one that had replaced the acknowledging primary before the
// acknowledgement.
func (state *clusterState) hasLostWrite() bool {
	for _, log := range state.logs {
		for k, id := range searchWrites {
			term := state.acknowledged[k]
			if term == 0 || !log.IsPrimary() || log.FencedTerm() < term {
				continue
			}
			if _, found := log.Find(id); !found {
				return true
			}
		}
	}
	return false
}

// key encodes the state for comparison. States that differ only in the order of the
// members have the same key. The bytes 250 and 251 are separators, because all
// encoded numbers are below 250.
func (state *clusterState) key() string {
	parts := make([]string, 0, len(state.logs))
	for i, log := range state.logs {
		status := state.observed[i]
		encoded := append(make([]byte, 0, 64), byte(log.FencedTerm()), byte(log.TermStart().Index), byte(log.Last().Index))
		for _, e := range log.Entries(1, 100) {
			encoded = append(encoded, byte(e.Term))
			encoded = append(encoded, e.RequestID...)
		}
		encoded = append(encoded, log.Claimant()...)
		encoded = append(encoded, 250, byte(status.LastPosition.Term), byte(status.LastPosition.Index), byte(status.FencedTerm), byte(status.TermStart.Index))
		for _, claim := range state.claims {
			if position := claim.lastPositions[i]; position != nil {
				encoded = append(encoded, byte(position.Term), byte(position.Index))
			}
			encoded = append(encoded, 251)
		}
		parts = append(parts, string(encoded))
	}
	slices.Sort(parts)
	for _, claim := range state.claims {
		parts = append(parts, fmt.Sprint(claim.promoted))
	}
	return strings.Join(append(parts, fmt.Sprint(state.acknowledged)), "|")
}

// Guards against a promotion that loses an acknowledged write. The searches run in
// parallel, because the largest takes about 20 s.
var _ = It("Search over three members finds no lost write", func() {
	searches := map[string]*search{
		"terms up to 4":                      {terms: 4, claimants: 1},
		"interrupted claims, terms up to 3":  {terms: 3, claimants: 1, interruptedClaims: true},
		"two claimants of each of two terms": {terms: 2, claimants: 2, interruptedClaims: true},
		"stale statuses, terms up to 2":      {terms: 2, claimants: 1, staleStatuses: true},
	}
	var group sync.WaitGroup
	for _, s := range searches {
		group.Go(s.run)
	}
	group.Wait()
	for name, s := range searches {
		AddReportEntry(name, len(s.visited))
		Expect(s.violation.path()).To(BeEmpty(), name)
		Expect(s.queue).To(BeEmpty(), "%s: the search is complete", name)
	}
})
