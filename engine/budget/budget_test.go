package budget_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/memory"
	"amaranthdock.dev/engine/budget"
	"amaranthdock.dev/timer"
)

func TestBudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine/budget")
}

const large = 3 << 20

// fixture is a budget whose large part is of two large messages, and of three connections.
type fixture struct {
	clock    *timer.Manual
	registry metrics.Registry
	lines    atomic.Int64
	budget   *budget.Budget
}

func newFixture() *fixture {
	f := &fixture{
		clock:    timer.NewManual(timer.ManualConfig{Start: time.Unix(1000, 0)}),
		registry: metrics.NewRegistry(),
	}
	f.budget = budget.New(budget.Config{
		Limits: budget.Limits{
			MemoryBytes: 16 << 20,
			Connections: 3,
		}.WithDefaults(0, 0),
		Timer:    f.clock,
		Log:      funcr.New(func(_, _ string) { f.lines.Add(1) }, funcr.Options{}),
		Registry: f.registry,
	})
	return f
}

// connection is a connection that records whether it was closed.
type connection struct {
	*budget.Account
	ended atomic.Bool
}

func (f *fixture) connect() *connection {
	GinkgoHelper()
	c := &connection{}
	account, ok := f.budget.Connect(func() { c.ended.Store(true) })
	Expect(ok).To(BeTrue())
	c.Account = account
	c.SetGroup("w1")
	return c
}

// take starts to wait for memory.
func (f *fixture) take(c *connection, bytes int64) chan error {
	result := make(chan error, 1)
	subscribers := f.clock.Subscribers()
	go func() { result <- c.Take(bytes, f.clock.Now().Add(30*time.Second)) }()
	Eventually(func() bool { return len(result) > 0 || f.clock.Subscribers() >= subscribers+2 }).Should(BeTrue())
	return result
}

func (f *fixture) count(reason string) int64 {
	return metrics.GetOrRegisterCounter("callerLimits."+reason, f.registry).Count()
}

var _ = Describe("memory", func() {
	var f *fixture

	BeforeEach(func() { f = newFixture() })

	It("is granted to a request that waits once another one returns it", func() {
		first, second, third := f.connect(), f.connect(), f.connect()
		Expect(first.Take(large, f.clock.Now())).To(Succeed())
		Expect(second.Take(large, f.clock.Now())).To(Succeed())
		result := f.take(third, large)
		Consistently(result, "50ms").ShouldNot(Receive())
		first.Release(large)
		Eventually(result).Should(Receive(BeNil()))
		Expect(third.TryTake(large)).To(BeFalse())
		third.Close()
		Expect(first.TryTake(large)).To(BeTrue(), "the memory of a closed connection")
	})

	// Guards against callers that stop inside of messages and keep the memory from all others.
	It("is taken from the connection that holds it without progress", func() {
		first, second, third := f.connect(), f.connect(), f.connect()
		Expect(first.Take(large, f.clock.Now())).To(Succeed())
		Expect(second.Take(large, f.clock.Now())).To(Succeed())
		f.clock.Advance(10 * time.Second)
		second.SetPhase(memory.Receiving)
		result := f.take(third, large)
		f.clock.Advance(250 * time.Millisecond)
		Eventually(first.ended.Load).Should(BeTrue())
		Expect(second.ended.Load()).To(BeFalse())
		first.Close()
		Eventually(result).Should(Receive(BeNil()))
		Expect(f.count("closedForMemory")).To(Equal(int64(1)))
	})

	// Guards against connections that are closed although their memory is of no use to an answer.
	It("of another part is not taken for an answer", func() {
		idle := f.connect()
		Expect(idle.Take(large, f.clock.Now())).To(Succeed())
		unread := &connection{}
		unread.Account = f.budget.OpenResponse("w1", func() { unread.ended.Store(true) })
		Expect(unread.Take(2<<20, f.clock.Now())).To(Succeed())
		unread.SetPhase(memory.Sending)
		f.clock.Advance(10 * time.Second)
		waiting := &connection{Account: f.budget.OpenAnswers("w2")}
		result := f.take(waiting, 1<<20)
		f.clock.Advance(250 * time.Millisecond)
		Eventually(unread.ended.Load).Should(BeTrue())
		unread.Close()
		Eventually(result).Should(Receive(BeNil()))
		Expect(idle.ended.Load()).To(BeFalse())
		Expect(f.count("closedForMemory")).To(Equal(int64(1)))
	})

	It("is refused after the time limit, or once the connection is closed", func() {
		first, second, third := f.connect(), f.connect(), f.connect()
		Expect(first.Take(2*large, f.clock.Now())).To(Succeed())
		first.SetPhase(memory.Running)
		result := f.take(second, large)
		f.clock.Advance(31 * time.Second)
		Eventually(result).Should(Receive(MatchError(budget.ErrNoMemory)))
		result = f.take(third, large)
		third.Close()
		Eventually(result).Should(Receive(MatchError(budget.ErrClosed)))
		Expect(third.Take(1, f.clock.Now())).To(MatchError(budget.ErrClosed))
	})

	It("is not limited without a budget", func() {
		var none *budget.Budget
		account, ok := none.Connect(nil)
		Expect(ok).To(BeTrue())
		Expect(account.Take(1<<40, time.Time{})).To(Succeed())
		account.Release(1 << 40)
		account.Close()
	})
})

var _ = Describe("connections", func() {
	var f *fixture

	BeforeEach(func() { f = newFixture() })

	It("beyond the limit close the newest idle one", func() {
		f.connect().SetPhase(memory.Idle)
		f.clock.Advance(time.Millisecond)
		newest := f.connect()
		newest.SetPhase(memory.Idle)
		f.connect().SetPhase(memory.InTransaction)
		f.connect()
		Expect(newest.ended.Load()).To(BeTrue())
		Expect(f.count("closedForConnection")).To(Equal(int64(1)))
	})

	It("are refused while all others are in use", func() {
		for range 3 {
			f.connect().SetPhase(memory.Running)
		}
		_, ok := f.budget.Connect(func() {})
		Expect(ok).To(BeFalse())
		Expect(f.count("connectionRefused")).To(Equal(int64(1)))
	})

	// Guards against a log that is filled by what it reports.
	It("log a reason at most every few seconds", func() {
		for range 100 {
			f.budget.Count("connectionRefused")
		}
		Expect(f.lines.Load()).To(Equal(int64(1)))
		f.clock.Advance(6 * time.Second)
		f.budget.Count("connectionRefused")
		Expect(f.lines.Load()).To(Equal(int64(2)))
	})
})

var _ = Describe("the default limits", func() {
	It("leave descriptors and memory on the smallest VM", func() {
		l := budget.Limits{}.WithDefaults(136, 3010)
		Expect(l.Connections).To(BeNumerically(">", 4*4000/69), "four times the sessions of a VM")
		Expect(l.Connections + l.PeerConnections + 200).To(BeNumerically("<", 3010*3/4))
		largest := budget.Limits{}.WithDefaults(1<<20, 3010)
		Expect(largest.Connections+largest.PeerConnections+200).To(BeNumerically("<", 3010-300), "descriptors for connections to 295 VMs")
		Expect(l.PeerConnections).To(BeNumerically(">", 2*295))
		Expect(l.MemoryBytes).To(BeNumerically("<", 136<<20*6/10))
		Expect(l.AnswerBytes).To(BeNumerically(">", 4<<20))
	})

	It("are replaced by those that are set", func() {
		l := budget.Limits{
			Connections: 7,
			Stall:       time.Minute,
		}.WithDefaults(136, 3010)
		Expect(l.Connections).To(Equal(7))
		Expect(l.Stall).To(Equal(time.Minute))
	})
})
