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

// maxSearchStates ends a search that does not terminate as expected.
const maxSearchStates = 3_000_000

var (
	searchMembers = []promotion.Member{{Endpoint: "m0"}, {Endpoint: "m1"}, {Endpoint: "m2"}}
	// searchOrders let each member win a tie, so that members are symmetric and
	// states that differ only in their order count as one.
	searchOrders = [][]promotion.Member{
		{searchMembers[0], searchMembers[1], searchMembers[2]},
		{searchMembers[1], searchMembers[2], searchMembers[0]},
		{searchMembers[2], searchMembers[0], searchMembers[1]},
	}
	searchWrites = []string{"w", "x"}
)

// world is one state of three members, the claims of the terms and the home that
// acknowledges writes. Messages that are not delivered stand for cuts.
type world struct {
	logs [3]*memberlog.Log
	// claims holds one claim for each term from 1.
	claims []pendingClaim
	// seen are the statuses that the home has; they may be old.
	seen [3]promotion.Status
	// acknowledged is, for each of searchWrites, the lowest term in which it was
	// acknowledged; 0 if it was not.
	acknowledged [2]uint64
	path         *step
}

type pendingClaim struct {
	reports  [3]*logpos.Position
	promoted bool
}

// step is one transition on the way to a state.
type step struct {
	name     string
	previous *step
}

func (s *step) list() []string {
	if s == nil {
		return nil
	}
	return append(s.previous.list(), s.name)
}

// search explores all states breadth first.
type search struct {
	terms int
	// stale lets the home act on old statuses.
	stale bool
	// paused lets each claimant stop between any two of its calls; else a claim
	// is one step, with or without its promotion.
	paused bool
	known  map[string]struct{}
	queue  []*world
	broken *step
}

func (s *search) run() {
	first := &world{claims: make([]pendingClaim, s.terms)}
	for i := range first.logs {
		first.logs[i] = memberlog.New()
		first.seen[i] = first.status(i)
	}
	s.known = map[string]struct{}{}
	s.add(first)
	for len(s.queue) > 0 && s.broken == nil && len(s.known) < maxSearchStates {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.expand(next)
	}
}

// add finishes a transition: the home looks, acknowledges and is checked.
func (s *search) add(w *world) {
	for i := range w.logs {
		if !s.stale {
			w.seen[i] = w.status(i)
		}
	}
	w.acknowledge()
	if w.lost() {
		s.broken = w.path
	}
	key := w.key()
	if _, ok := s.known[key]; ok {
		return
	}
	s.known[key] = struct{}{}
	s.queue = append(s.queue, w)
}

// try adds the state after a change of the logs of the given members.
func (s *search) try(w *world, name string, members []int, change func(*world) bool) {
	c := *w
	c.claims = slices.Clone(w.claims)
	for _, i := range members {
		c.logs[i] = w.logs[i].Clone()
	}
	if change(&c) {
		c.path = &step{
			name:     name,
			previous: w.path,
		}
		s.add(&c)
	}
}

func (s *search) expand(w *world) {
	if s.paused {
		s.expandPaused(w)
	} else {
		s.expandClaims(w)
	}
	for i, log := range w.logs {
		if s.stale && w.seen[i] != w.status(i) {
			s.try(w, fmt.Sprintf("observe m%d", i), nil, func(c *world) bool {
				c.seen[i] = c.status(i)
				return true
			})
		}
		if !log.Leads() {
			continue
		}
		s.try(w, fmt.Sprintf("restart m%d", i), []int{i}, func(c *world) bool {
			c.logs[i] = c.logs[i].Restart()
			return true
		})
		for _, id := range searchWrites {
			s.try(w, fmt.Sprintf("write %s at m%d", id, i), []int{i}, func(c *world) bool {
				if _, repeated := c.logs[i].Find(id); repeated {
					return false
				}
				_, _, ok := c.logs[i].Commit(memberlog.Entry{RequestID: id})
				return ok
			})
		}
		for j := range w.logs {
			for index := uint64(1); i != j && index <= log.Last().Index; index++ {
				s.try(w, fmt.Sprintf("replicate entry %d from m%d to m%d", index, i, j), []int{j}, func(c *world) bool {
					return c.replicate(i, j, index)
				})
			}
		}
	}
}

func (s *search) expandClaims(w *world) {
	term := 1
	for _, log := range w.logs {
		term = max(term, int(log.FencedTerm())+1)
	}
	if term > s.terms {
		return
	}
	for _, targets := range [][]int{{0}, {1}, {2}, {0, 1}, {0, 2}, {1, 2}, {0, 1, 2}} {
		s.try(w, fmt.Sprintf("claim term %d at %v without promotion", term, targets), targets, func(c *world) bool {
			c.claim(term, targets)
			c.claims[term-1] = pendingClaim{promoted: true}
			return true
		})
		for _, order := range searchOrders {
			s.try(w, fmt.Sprintf("claim term %d at %v", term, targets), targets, func(c *world) bool {
				c.claim(term, targets)
				return c.promote(term, order)
			})
		}
	}
}

func (s *search) expandPaused(w *world) {
	for term := 1; term <= s.terms; term++ {
		for i := range w.logs {
			s.try(w, fmt.Sprintf("fence m%d in term %d", i, term), []int{i}, func(c *world) bool {
				return c.fence(term, i)
			})
		}
		for _, order := range searchOrders {
			s.try(w, fmt.Sprintf("promote in term %d", term), []int{0, 1, 2}, func(c *world) bool {
				return c.promote(term, order)
			})
		}
	}
}

func claimant(term int) string {
	return fmt.Sprintf("claimant of term %d", term)
}

func (w *world) claim(term int, targets []int) {
	for _, i := range targets {
		w.fence(term, i)
	}
}

func (w *world) fence(term, i int) bool {
	claim := &w.claims[term-1]
	if claim.promoted || claim.reports[i] != nil {
		return false
	}
	if _, accepted := w.logs[i].Fence(uint64(term), claimant(term)); !accepted {
		return false
	}
	last := w.logs[i].Last()
	claim.reports[i] = &last
	return true
}

func (w *world) promote(term int, order []promotion.Member) bool {
	claim := &w.claims[term-1]
	var reports []promotion.FenceResult
	for i, last := range claim.reports {
		if last != nil {
			reports = append(reports, promotion.FenceResult{
				Endpoint: searchMembers[i].Endpoint,
				Accepted: true,
				Last:     *last,
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
			w.logs[i].Promote(uint64(term), claimant(term))
		}
	}
	return true
}

func (w *world) replicate(i, j int, index uint64) bool {
	var previous logpos.Position
	if e, ok := w.logs[i].At(index - 1); ok {
		previous = e.Position()
	}
	done := w.logs[j].Append(memberlog.AppendRequest{
		Term:     w.logs[i].FencedTerm(),
		Claimant: w.logs[i].Claimant(),
		Previous: previous,
		Entries:  w.logs[i].Entries(index, 1),
	})
	return len(done.Changes) > 0
}

func (w *world) status(i int) promotion.Status {
	role := routing.RoleReplica
	if w.logs[i].Leads() {
		role = routing.RolePrimary
	}
	return promotion.Status{
		Endpoint:   searchMembers[i].Endpoint,
		Role:       role,
		FencedTerm: w.logs[i].FencedTerm(),
		Last:       w.logs[i].Last(),
		TermStart:  w.logs[i].TermStart(),
	}
}

// acknowledge lets the home answer each write, or its repetition, that a primary
// holds.
func (w *world) acknowledge() {
	var monitor *promotion.Monitor
	for _, log := range w.logs {
		for k, id := range searchWrites {
			entry, found := log.Find(id)
			term := log.FencedTerm()
			if !found || !log.Leads() || w.acknowledged[k] != 0 && w.acknowledged[k] <= term {
				continue
			}
			if monitor == nil {
				monitor = w.monitor()
			}
			if monitor.IsDurable(term, entry.Position()) {
				w.acknowledged[k] = term
			}
		}
	}
}

func (w *world) monitor() *promotion.Monitor {
	monitor := promotion.New(promotion.Config{Members: searchMembers})
	for _, s := range w.seen {
		monitor.Observe(time.Time{}, s)
	}
	return monitor
}

// lost tells whether the primary of the term in which a write was acknowledged,
// or of a higher one, lacks the write. That includes a primary that had replaced
// the acknowledging one already.
func (w *world) lost() bool {
	for _, log := range w.logs {
		for k, id := range searchWrites {
			term := w.acknowledged[k]
			if term == 0 || !log.Leads() || log.FencedTerm() < term {
				continue
			}
			if _, found := log.Find(id); !found {
				return true
			}
		}
	}
	return false
}

// key is equal for states that differ at most in the order of the members; all
// numbers are below 250.
func (w *world) key() string {
	parts := make([]string, 0, len(w.logs))
	for i, log := range w.logs {
		seen := w.seen[i]
		b := append(make([]byte, 0, 64), byte(log.FencedTerm()), byte(log.TermStart().Index), byte(log.Last().Index))
		for _, e := range log.Entries(1, 100) {
			b = append(b, byte(e.Term))
			b = append(b, e.RequestID...)
		}
		b = append(b, 250, byte(seen.Last.Term), byte(seen.Last.Index), byte(seen.FencedTerm), byte(seen.TermStart.Index))
		for _, c := range w.claims {
			if r := c.reports[i]; r != nil {
				b = append(b, byte(r.Term), byte(r.Index))
			}
			b = append(b, 251)
		}
		parts = append(parts, string(b))
	}
	slices.Sort(parts)
	for _, c := range w.claims {
		parts = append(parts, fmt.Sprint(c.promoted))
	}
	return strings.Join(append(parts, fmt.Sprint(w.acknowledged)), "|")
}

// Guards against the loss of an acknowledged record by a promotion. The searches run at once, because the largest takes about 20 s.
var _ = It("Search over three members finds no lost record", func() {
	searches := map[string]*search{
		"terms up to 4":                   {terms: 4},
		"paused claimants, terms up to 3": {terms: 3, paused: true},
		"old statuses, terms up to 2":     {terms: 2, stale: true},
	}
	var group sync.WaitGroup
	for _, s := range searches {
		group.Go(s.run)
	}
	group.Wait()
	for name, s := range searches {
		AddReportEntry(name, len(s.known))
		Expect(s.broken.list()).To(BeEmpty(), name)
		Expect(s.queue).To(BeEmpty(), "%s: the search is complete", name)
	}
})
