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

// The model has 3 VMs and a limit with a burst of 3 requests and a rate of 10 per
// second. Time advances in steps of half of LoanTimeout. Two VMs start with half of
// the limit each.
const (
	modelBurst     = 3
	modelRate      = 10
	modelStep      = LoanTimeout / 2
	maxModelStates = 3_000_000
	modelSubject   = "w"
)

var (
	modelLimit = Limit{
		Rate:  modelRate,
		Burst: modelBurst,
	}
	modelNames = [3]string{"a", "b", "c"}
)

// modelLoan is a request for one token. grantedTokens is -1 until the lender has
// responded.
type modelLoan struct {
	borrower, lender int
	grantedTokens    int64
	loan             Loan
}

// modelWrite is a write of the record whose response was lost and which can still
// take effect.
type modelWrite struct {
	record   ShareRecord
	expected uint64
}

// modelBounds limits the number of events, so that the number of states is finite.
type modelBounds struct {
	loans, transfers, restarts int
}

type modelState struct {
	bounds       modelBounds
	now          time.Time
	shares       [3]LocalShare
	record       ShareRecord
	revision     uint64
	loans        []modelLoan
	pendingWrite *modelWrite
	transfers    int
	restarts     int
	// remainingAllowance is a token bucket with the burst and rate of the limit
	// that starts full. It becomes negative if and only if the requests admitted in
	// some window exceed the limit.
	remainingAllowance float64
	trace              *modelTrace
}

type modelTrace struct {
	format   string
	args     []any
	previous *modelTrace
}

func newModel(bounds modelBounds) modelState {
	now := time.Unix(0, 0)
	s := modelState{
		bounds:             bounds,
		now:                now,
		revision:           1,
		remainingAllowance: modelBurst,
	}
	s.record.setShare(modelSubject, "a", TotalMillionths/2)
	s.record.setShare(modelSubject, "b", TotalMillionths/2)
	for i := range s.shares {
		s.shares[i] = *NewLocalShare(now.Add(-time.Minute), modelLimit, 0)
		s.shares[i].Apply(now.Add(-time.Minute), 1, s.record.Share(modelSubject, modelNames[i]))
		s.shares[i].Available(now)
	}
	return s
}

func (s modelState) clone(step string, args ...any) modelState {
	s.loans = append([]modelLoan(nil), s.loans...)
	s.trace = &modelTrace{
		format:   step,
		args:     args,
		previous: s.trace,
	}
	return s
}

// key identifies a state without its time and trace.
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
	add(s.revision, uint64(s.transfers), uint64(s.restarts), math.Float64bits(s.remainingAllowance))
	addRecord(s.record)
	for _, h := range s.shares {
		add(uint64(h.share.Millionths), h.share.Epoch, h.revision, math.Float64bits(h.bucket.tokens))
		if h.pendingReduction.active {
			add(uint64(h.pendingReduction.millionths), h.pendingReduction.expectedRevision)
		}
		b = append(b, '|')
	}
	for _, l := range s.loans {
		add(uint64(l.borrower), uint64(l.grantedTokens+1), uint64(s.now.Sub(l.loan.RequestedAt)))
	}
	if s.pendingWrite != nil {
		b = append(b, 'w')
		add(s.pendingWrite.expected)
		addRecord(s.pendingWrite.record)
	}
	return xxhash.Sum64(b)
}

// successors returns all states that are one step away.
func (s modelState) successors() []modelState {
	states := []modelState{s.tick()}
	for v := range s.shares {
		if c := s.clone("admit %d", v); c.shares[v].Take(c.now, 1) == 1 {
			c.remainingAllowance--
			states = append(states, c)
		}
		if c := s.clone("load record %d", v); c.shares[v].revision < c.revision {
			c.shares[v].Apply(c.now, c.revision, c.record.Share(modelSubject, modelNames[v]))
			states = append(states, c)
		}
		if c := s.clone("rewrite record %d", v); c.shares[v].ReductionPending() && c.shares[v].revision == c.revision {
			c.revision++
			states = append(states, c)
		}
		states = append(states, s.restart(v)...)
		states = append(states, s.borrow(v)...)
		for w := range s.shares {
			if v != w {
				states = append(states, s.transferShare(v, w)...)
			}
		}
	}
	for i := range s.loans {
		states = append(states, s.respond(i))
	}
	if s.pendingWrite != nil {
		c := s.clone("pending write takes effect")
		if c.pendingWrite.expected == c.revision {
			c.record = c.pendingWrite.record
			c.revision++
		}
		c.pendingWrite = nil
		states = append(states, c)
	}
	return states
}

// respond lets the lender grant the loan, or delivers the lender's response. A lost
// response is the same as one that is never delivered.
func (s modelState) respond(i int) modelState {
	c := s.clone("respond %+v", s.loans[i])
	l := &c.loans[i]
	if l.grantedTokens < 0 {
		l.grantedTokens = GrantLoan(c.now, &c.shares[l.lender], 1, 0)
		if l.grantedTokens > 0 {
			return c
		}
	}
	if l.loan.UsableAt(c.now) {
		c.remainingAllowance -= float64(l.grantedTokens)
	}
	c.loans = append(c.loans[:i:i], c.loans[i+1:]...)
	return c
}

// borrow requests a loan from VM w. The VM after it represents any borrower.
func (s modelState) borrow(w int) []modelState {
	if len(s.loans) == s.bounds.loans {
		return nil
	}
	v := (w + 1) % len(s.shares)
	c := s.clone("borrow %d from %d", v, w)
	c.loans = append(c.loans, modelLoan{
		borrower:      v,
		lender:        w,
		grantedTokens: -1,
		loan:          Loan{RequestedAt: c.now},
	})
	return []modelState{c}
}

// transferShare releases the share of v to w, based on the record that v has loaded.
// The write stays pending and can take effect later or never.
func (s modelState) transferShare(v, w int) []modelState {
	current := s.shares[v].revision == s.revision
	held := s.record.Share(modelSubject, modelNames[v]).Millionths > 0
	if !current || !held || s.transfers == s.bounds.transfers || s.pendingWrite != nil {
		return nil
	}
	fleet := Fleet{
		LiveVMs:         []routing.VM{{Name: modelNames[v]}, {Name: modelNames[w]}},
		ListedActiveVMs: []string{modelNames[v], modelNames[w]},
	}
	subjects := []Subject{{Name: modelSubject, Limit: modelLimit}}
	changed, ok := Release(s.record, subjects, fleet, modelNames[v]).(Changed)
	if !ok {
		return nil
	}
	pending := s.clone("transfer share of %d to %d, write pending", v, w)
	pending.transfers++
	for _, reduction := range changed.Reductions {
		pending.shares[v].Reduce(s.now, reduction.Millionths, s.revision)
	}
	pending.pendingWrite = &modelWrite{
		record:   changed.Record,
		expected: s.revision,
	}
	return []modelState{pending}
}

// restart replaces the process of v, which loses its bucket and its calls. A second
// state has v gone for good and its share assigned to another VM.
func (s modelState) restart(v int) []modelState {
	if s.restarts == s.bounds.restarts {
		return nil
	}
	c := s.clone("restart %d", v)
	c.restarts++
	c.shares[v] = *NewLocalShare(c.now, modelLimit, c.revision)
	remaining := c.loans[:0]
	for _, l := range c.loans {
		if l.borrower != v && (l.lender != v || l.grantedTokens >= 0) {
			remaining = append(remaining, l)
		}
	}
	c.loans = remaining
	states := []modelState{c}
	w := (v + 1) % len(s.shares)
	fleet := Fleet{
		LiveVMs:         []routing.VM{{Name: modelNames[w]}},
		ListedActiveVMs: []string{modelNames[w]},
		LongAbsentVMs:   map[string]bool{modelNames[v]: true},
	}
	subjects := []Subject{{Name: modelSubject, Limit: modelLimit}}
	if changed, ok := Reconcile(c.record, subjects, fleet).(Changed); ok {
		g := c.clone("share of %d is assigned to %d", v, w)
		g.record = changed.Record
		g.revision++
		states = append(states, g)
	}
	return states
}

func (s modelState) tick() modelState {
	c := s.clone("tick")
	c.now = c.now.Add(modelStep)
	c.remainingAllowance = min(c.remainingAllowance+modelRate*modelStep.Seconds(), modelBurst)
	for v := range c.shares {
		c.shares[v].Available(c.now)
	}
	// All loans that are past the timeout are equivalent, regardless of their age.
	for i, l := range c.loans {
		if c.now.Sub(l.loan.RequestedAt) > LoanTimeout {
			c.loans[i].loan.RequestedAt = c.now.Add(-LoanTimeout - 1)
		}
	}
	return c
}

func (p *modelTrace) String() string {
	if p == nil {
		return ""
	}
	return p.previous.String() + "\n  " + fmt.Sprintf(p.format, p.args...)
}

// TestModelKeepsBound explores the states of the share protocol breadth-first. It
// guards against any order of transfers, restarts, late loans and lost responses
// that admits more than burst + rate x t in a window of t seconds.
func TestModelKeepsBound(t *testing.T) {
	for name, bounds := range map[string]modelBounds{
		"a transfer and a restart": {loans: 1, transfers: 1, restarts: 1},
		"two loans":                {loans: 2, restarts: 1},
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
		for _, s := range queue[0].successors() {
			if s.remainingAllowance < -tokenEpsilon {
				t.Fatalf("a window exceeds the limit after %d states:%v", len(seen), s.trace)
			}
			key := s.key()
			if seen[key] {
				continue
			}
			seen[key] = true
			queue = append(queue, s)
		}
		if len(seen) > maxModelStates {
			t.Fatalf("more than %d states", maxModelStates)
		}
	}
	t.Logf("no window exceeds the limit in any of %d states", len(seen))
}
