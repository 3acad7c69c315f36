package caller_test

import (
	"fmt"
	"strings"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/budget"
	"amaranthdock.dev/engine/caller"
	"amaranthdock.dev/engine/statement"
	"amaranthdock.dev/timer"
)

// holdIn makes a session take its memory from a new budget.
func holdIn(session *caller.Session, limits budget.Limits) *budget.Account {
	GinkgoHelper()
	b := budget.New(budget.Config{
		Limits:   limits.WithDefaults(0, 0),
		Timer:    timer.NewSystem(),
		Log:      logr.Discard(),
		Registry: metrics.NewRegistry(),
	})
	account, ok := b.Connect(func() {})
	Expect(ok).To(BeTrue())
	Expect(session.HoldIn(account)).To(BeNil())
	return account
}

func set(s *caller.Session, name, value string) statement.Response {
	return do(s, statement.Set{
		Name:  name,
		Value: value,
	}, "")
}

// Guards against callers that fill the memory of their VM with the state of their sessions.
var _ = Describe("the memory of a session", func() {
	var (
		f *fixture
		s *caller.Session
	)

	BeforeEach(func() {
		f = newFixture().start()
		s = f.open("strict")
	})

	It("is limited by the number of names", func() {
		holdIn(s, budget.Limits{SessionNames: 3})
		for i := range 2 {
			expectServed(set(s, fmt.Sprint("v", i), "x"), statement.Idle)
		}
		expectServed(do(s, statement.Prepare{Name: "p"}, ""), statement.Idle)
		expectRefused(set(s, "v2", "x"), refusal.NotRun, refusal.InvalidRequest, statement.Idle)
		expectServed(set(s, "v1", "y"), statement.Idle)
		expectServed(do(s, statement.Deallocate{Name: "p"}, ""), statement.Idle)
		expectServed(set(s, "v2", "x"), statement.Idle)
	})

	It("is limited by the length of the texts", func() {
		holdIn(s, budget.Limits{SessionBytes: 10 << 10})
		expectServed(set(s, "v1", strings.Repeat("x", 8<<10)), statement.Idle)
		expectRefused(set(s, "v2", strings.Repeat("x", 8<<10)), refusal.NotRun, refusal.InvalidRequest, statement.Idle)
		expectServed(set(s, "v1", "x"), statement.Idle)
		expectServed(do(s, statement.Prepare{
			Name:     "p",
			Prepared: statement.Prepared{Shape: strings.Repeat("x", 8<<10)},
		}, ""), statement.Idle)
	})

	It("is limited by the memory of the process, and returned", func() {
		account := holdIn(s, budget.Limits{MemoryBytes: 8 << 20})
		value := strings.Repeat("x", 1<<20)
		expectServed(set(s, "v1", value), statement.Idle)
		Expect(account.TryTake(1 << 20)).To(BeTrue())
		expectRefused(set(s, "v2", value), refusal.NotRun, refusal.Overloaded, statement.Idle)
		expectServed(set(s, "v1", "x"), statement.Idle)
		expectServed(set(s, "v2", value), statement.Idle)
	})

	It("includes answers until they are sent", func() {
		account := holdIn(s, budget.Limits{MemoryBytes: 8 << 20})
		small, held := s.HoldAnswer(statement.Response{Rows: []string{"x"}})
		Expect(small.Rows).To(HaveLen(1))
		Expect(held).To(BeZero())
		answer := statement.Response{Rows: []string{strings.Repeat("x", 2<<20)}}
		kept, held := s.HoldAnswer(answer)
		Expect(kept.Rows).To(HaveLen(1))
		Expect(held).To(Equal(int64(2 << 20)))
		refused, none := s.HoldAnswer(answer)
		expectRefused(refused, refusal.Unknown, refusal.Overloaded, statement.Idle)
		Expect(refused.Rows).To(BeEmpty())
		Expect(none).To(BeZero())
		account.Release(held)
		kept, _ = s.HoldAnswer(answer)
		Expect(kept.Rows).To(HaveLen(1))
	})
})
