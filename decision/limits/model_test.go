package limits

import (
	"encoding/binary"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthdock.dev/decision/routing"
)

// The model has 3 VMs, a limit of 3 requests of burst and 10 a second, and time
// in steps of half a loan bound. Two VMs begin with half of the limit each.
const (
	modelBurst   = 3
	modelRate    = 10
	modelStep    = LoanTimeout / 2
	modelStates  = 3_000_000
	modelSubject = "w"
)

var (
	modelLimit = Limit{
		Rate:  modelRate,
		Burst: modelBurst,
	}
	modelNames = [3]string{"a", "b", "c"}
)

// modelLoan is a call for one token; granted is -1 until the lender has answered.
type modelLoan struct {
	borrower, lender int
	granted          int64
	loan             Loan
}

// modelWrite is a write whose answer was lost and which may still land.
type modelWrite struct {
	record   ShareRecord
	expected uint64
}

// modelBounds keep the number of states finite.
type modelBounds struct {
	loans, moves, restarts int
}

type modelState struct {
	bounds   modelBounds
	now      time.Time
	shares   [3]LocalShare
	record   ShareRecord
	revision uint64
	loans    []modelLoan
	write    *modelWrite
	moves    int
	restarts int
	// allowed is what any window may still admit: a bucket of burst and rate that
	// starts full. It goes negative exactly if some window admits too much.
	allowed float64
	path    *modelPath
}

type modelPath struct {
	step     string
	args     []any
	previous *modelPath
}

func newModel(bounds modelBounds) modelState {
	now := time.Unix(0, 0)
	s := modelState{
		bounds:   bounds,
		now:      now,
		revision: 1,
		allowed:  modelBurst,
	}
	s.record.set(modelSubject, "a", TotalMillionths/2)
	s.record.set(modelSubject, "b", TotalMillionths/2)
	for i := range s.shares {
		s.shares[i] = *NewLocalShare(now.Add(-time.Minute), modelLimit, 0)
		s.shares[i].Apply(now.Add(-time.Minute), 1, s.record.Share(modelSubject, modelNames[i]))
		s.shares[i].Available(now)
	}
	return s
}

func (s modelState) clone(step string, args ...any) modelState {
	s.loans = append([]modelLoan(nil), s.loans...)
	s.path = &modelPath{
		step:     step,
		args:     args,
		previous: s.path,
	}
	return s
}

// key identifies a state apart from its time and path.
func (s modelState) key() uint64 {
	var b []byte
	add := func(values ...uint64) {
		for _, v := range values {
			b = binary.AppendUvarint(b, v)
		}
	}
	addRecord := func(r ShareRecord) {
		add(r.Epoch)
		for _, p := range r.Shares(modelSubject) {
			add(uint64(p.VM[0]), uint64(p.Millionths), p.Epoch)
		}
	}
	add(s.revision, uint64(s.moves), uint64(s.restarts), math.Float64bits(s.allowed))
	addRecord(s.record)
	for _, h := range s.shares {
		add(uint64(h.part.Millionths), h.part.Epoch, h.revision, math.Float64bits(h.bucket.tokens))
		if h.shrink.active {
			add(uint64(h.shrink.millionths), h.shrink.expected)
		}
		b = append(b, '|')
	}
	for _, l := range s.loans {
		add(uint64(l.borrower), uint64(l.granted+1), uint64(s.now.Sub(l.loan.RequestedAt)))
	}
	if s.write != nil {
		b = append(b, 'w')
		add(s.write.expected)
		addRecord(s.write.record)
	}
	return xxhash.Sum64(b)
}

// next returns every state that one step leads to.
func (s modelState) next() []modelState {
	states := []modelState{s.tick()}
	for v := range s.shares {
		if c := s.clone("admit %d", v); c.shares[v].Take(c.now, 1) == 1 {
			c.allowed--
			states = append(states, c)
		}
		if c := s.clone("load %d", v); c.shares[v].revision < c.revision {
			c.shares[v].Apply(c.now, c.revision, c.record.Share(modelSubject, modelNames[v]))
			states = append(states, c)
		}
		if c := s.clone("write again %d", v); c.shares[v].ReductionPending() && c.shares[v].revision == c.revision {
			c.revision++
			states = append(states, c)
		}
		states = append(states, s.restart(v)...)
		states = append(states, s.borrow(v)...)
		for w := range s.shares {
			if v != w {
				states = append(states, s.move(v, w)...)
			}
		}
	}
	for i := range s.loans {
		states = append(states, s.answer(i))
	}
	if s.write != nil {
		c := s.clone("land")
		if c.write.expected == c.revision {
			c.record = c.write.record
			c.revision++
		}
		c.write = nil
		states = append(states, c)
	}
	return states
}

// answer lets the lender grant, or delivers its answer. A lost answer equals one
// that is never delivered.
func (s modelState) answer(i int) modelState {
	c := s.clone("answer %+v", s.loans[i])
	l := &c.loans[i]
	if l.granted < 0 {
		l.granted = GrantLoan(c.now, &c.shares[l.lender], 1, 0)
		if l.granted > 0 {
			return c
		}
	}
	if l.loan.UsableAt(c.now) {
		c.allowed -= float64(l.granted)
	}
	c.loans = append(c.loans[:i:i], c.loans[i+1:]...)
	return c
}

// borrow asks the VM w. The next VM stands for any borrower.
func (s modelState) borrow(w int) []modelState {
	if len(s.loans) == s.bounds.loans {
		return nil
	}
	v := (w + 1) % len(s.shares)
	c := s.clone("borrow %d from %d", v, w)
	c.loans = append(c.loans, modelLoan{
		borrower: v,
		lender:   w,
		granted:  -1,
		loan:     Loan{RequestedAt: c.now},
	})
	return []modelState{c}
}

// move releases the part of v to w from the record that v has loaded. The write is
// answered, or its answer is lost after or before it took effect.
func (s modelState) move(v, w int) []modelState {
	current := s.shares[v].revision == s.revision
	held := s.record.Share(modelSubject, modelNames[v]).Millionths > 0
	if !current || !held || s.moves == s.bounds.moves || s.write != nil {
		return nil
	}
	fleet := Fleet{
		Live:         []routing.VM{{Name: modelNames[v]}, {Name: modelNames[w]}},
		ListedActive: []string{modelNames[v], modelNames[w]},
	}
	subjects := []Subject{{Name: modelSubject, Limit: modelLimit}}
	changed, ok := Release(s.record, subjects, fleet, modelNames[v]).(Changed)
	if !ok {
		return nil
	}
	pending := s.clone("move %d to %d, write pending", v, w)
	pending.moves++
	for _, shrunk := range changed.Reductions {
		pending.shares[v].Reduce(s.now, shrunk.Millionths, s.revision)
	}
	pending.write = &modelWrite{
		record:   changed.Record,
		expected: s.revision,
	}
	return []modelState{pending}
}

// restart replaces the process of v, which forgets its bucket and its calls, or
// lets v go for good and moves its part.
func (s modelState) restart(v int) []modelState {
	if s.restarts == s.bounds.restarts {
		return nil
	}
	c := s.clone("restart %d", v)
	c.restarts++
	c.shares[v] = *NewLocalShare(c.now, modelLimit, c.revision)
	kept := c.loans[:0]
	for _, l := range c.loans {
		if l.borrower != v && (l.lender != v || l.granted >= 0) {
			kept = append(kept, l)
		}
	}
	c.loans = kept
	states := []modelState{c}
	w := (v + 1) % len(s.shares)
	fleet := Fleet{
		Live:         []routing.VM{{Name: modelNames[w]}},
		ListedActive: []string{modelNames[w]},
		Gone:         map[string]bool{modelNames[v]: true},
	}
	subjects := []Subject{{Name: modelSubject, Limit: modelLimit}}
	if changed, ok := Reconcile(c.record, subjects, fleet).(Changed); ok {
		g := c.clone("part of %d moves to %d", v, w)
		g.record = changed.Record
		g.revision++
		states = append(states, g)
	}
	return states
}

func (s modelState) tick() modelState {
	c := s.clone("tick")
	c.now = c.now.Add(modelStep)
	c.allowed = min(c.allowed+modelRate*modelStep.Seconds(), modelBurst)
	for v := range c.shares {
		c.shares[v].Available(c.now)
	}
	// An answer that is too late stays so, whatever its age.
	for i, l := range c.loans {
		if c.now.Sub(l.loan.RequestedAt) > LoanTimeout {
			c.loans[i].loan.RequestedAt = c.now.Add(-LoanTimeout - 1)
		}
	}
	return c
}

func (p *modelPath) String() string {
	if p == nil {
		return ""
	}
	return p.previous.String() + "\n  " + fmt.Sprintf(p.step, p.args...)
}

// TestModelKeepsBound searches the share protocol breadth first. It guards against
// any order of moves, restarts, late loans and lost answers that admits more than
// burst + rate x t in a window t.
func TestModelKeepsBound(t *testing.T) {
	for name, bounds := range map[string]modelBounds{
		"a move and a restart": {loans: 1, moves: 1, restarts: 1},
		"two loans":            {loans: 2, restarts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			searchModel(t, newModel(bounds))
		})
	}
}

func searchModel(t *testing.T, start modelState) {
	seen := map[uint64]bool{start.key(): true}
	for queue := []modelState{start}; len(queue) > 0; queue = queue[1:] {
		for _, s := range queue[0].next() {
			if s.allowed < -rounding {
				t.Fatalf("a window admits too much after %d states:%v", len(seen), s.path)
			}
			key := s.key()
			if seen[key] {
				continue
			}
			seen[key] = true
			queue = append(queue, s)
		}
		if len(seen) > modelStates {
			t.Fatalf("more than %d states", modelStates)
		}
	}
	t.Logf("no window admits too much in all %d states", len(seen))
}
