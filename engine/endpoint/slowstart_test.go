package endpoint_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/slowstart"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/endpoint"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/timer"
)

var _ = Describe("a cold endpoint", func() {
	// The endpoint tolerates 20 requests in a second, and a home sends at most 10.
	const rate = 10
	const warmAt = time.Minute
	var (
		fake  *fakeEndpoint
		clock *timer.Manual
		// received holds the time of each begin, statement, commit and rollback.
		received   []time.Duration
		receivedMu sync.Mutex
		share      float64
		home       *endpoint.Home
	)
	ctx := context.Background()

	// newColdHome returns the home of one VM, whose share of the budget may change.
	newColdHome := func(share *float64) *endpoint.Home {
		return endpoint.New(endpoint.Config{
			Dialer:      fake,
			Timer:       clock,
			Log:         logr.Discard(),
			Registry:    metrics.NewRegistry(),
			Lookup:      func(id string) (catalog.Endpoint, bool) { return target, id == target.Key.ID },
			IsFirstHome: func(catalog.Endpoint) bool { return true },
			Coldness: func(catalog.Endpoint) slowstart.Coldness {
				return slowstart.Coldness{
					Rate:  rate,
					Until: warmAt,
					Share: *share,
				}
			},
			ColdTolerance: slowstart.Config{
				Overage: 1.5,
				Slack:   5,
			},
		})
	}

	write := func(changes ...func(*peer.RunRequest)) *peer.RunRequest {
		return request(peer.StepSingle, "WRITE a b", changes...)
	}
	lasting := func(timeout time.Duration) func(*peer.RunRequest) {
		return func(r *peer.RunRequest) { r.Timeout = timeout }
	}

	// passFirstSecond lets the home learn of the endpoint, so that its budget counts as spent,
	// and waits until it does not any more.
	passFirstSecond := func() {
		GinkgoHelper()
		expectRefused(home.Run(ctx, write()), refusal.NotRun, refusal.Overloaded)
		clock.Advance(1100 * time.Millisecond)
	}

	// spend sends writes until one is refused. They may not wait, since the clock stands still.
	spend := func(h *endpoint.Home) (served int, refused *peer.RunResponse) {
		for range 50 {
			if ran := h.Run(ctx, write(lasting(50*time.Millisecond))); ran.Refused != nil {
				return served, ran
			}
			served++
		}
		return served, nil
	}

	// start runs a request that has to wait, and returns once so many timers run.
	start := func(r *peer.RunRequest, timers int) chan *peer.RunResponse {
		GinkgoHelper()
		result := make(chan *peer.RunResponse, 1)
		go func() { result <- home.Run(ctx, r) }()
		Eventually(clock.Subscribers).Should(Equal(timers))
		return result
	}
	expectResult := func(result chan *peer.RunResponse) *peer.RunResponse {
		GinkgoHelper()
		var ran *peer.RunResponse
		Eventually(result).Should(Receive(&ran))
		return ran
	}

	// requests returns what the endpoint has received.
	requests := func() []time.Duration {
		receivedMu.Lock()
		defer receivedMu.Unlock()
		return slices.Clone(received)
	}

	BeforeEach(func() {
		received, share = nil, 1
		clock = timer.NewManual(timer.ManualConfig{Start: time.Unix(1000, 0)})
		fake = &fakeEndpoint{respond: func(c endpoint.Command) (endpoint.Reply, error) {
			switch c.(type) {
			case endpoint.Set, endpoint.Prepare, endpoint.Discard:
			default:
				receivedMu.Lock()
				received = append(received, clock.SinceBoot())
				receivedMu.Unlock()
			}
			return endpoint.Reply{}, nil
		}}
		home = newColdHome(&share)
	})

	It("gets no more writes than its budget allows, and the others are refused with a time", func() {
		// Guards against a cold endpoint that is flooded, and against callers that try again
		// before there is room.
		passFirstSecond()
		served, refused := spend(home)
		Expect(served).To(Equal(rate))
		expectRefused(refused, refusal.NotRun, refusal.Overloaded)
		Expect(refused.Refused.RetryAfter).To(Equal(1100 * time.Millisecond))
		Expect(refused.Report.BudgetWait).To(Equal(1100 * time.Millisecond))
		Expect(requests()).To(HaveLen(rate))
		clock.Advance(1100 * time.Millisecond)
		expectServed(home.Run(ctx, write()))
	})

	It("gets a write later if its deadline allows", func() {
		passFirstSecond()
		spend(home)
		Eventually(clock.Subscribers).Should(BeZero())
		var results []chan *peer.RunResponse
		for i := range 3 {
			// Guards against a timer for each statement that waits for the budget: there is one
			// for each deadline, and one for the budget.
			results = append(results, start(write(lasting(2*time.Second)), 2+i))
		}
		Expect(requests()).To(HaveLen(rate))
		clock.Advance(1100 * time.Millisecond)
		for _, result := range results {
			expectServed(expectResult(result))
		}
	})

	It("leaves reads that can run elsewhere to other endpoints", func() {
		// Guards against reads that wait for a cold replica while others are warm.
		passFirstSecond()
		spend(home)
		ran := home.Run(ctx, request(peer.StepSingle, "READ a", lasting(10*time.Second)))
		expectRefused(ran, refusal.NotRun, refusal.Overloaded)
		Expect(ran.Report.BudgetWait).To(BeNumerically(">", 0))
	})

	It("gets nothing from a VM that is not its home", func() {
		share = 0
		ran := home.Run(ctx, write())
		expectRefused(ran, refusal.NotRun, refusal.NotReady)
		Expect(ran.Report.BudgetWait).To(BeNumerically(">", 0))
		clock.Advance(2 * time.Second)
		expectRefused(home.Run(ctx, request(peer.StepPosition, "")), refusal.NotRun, refusal.NotReady)
		Expect(requests()).To(BeEmpty())
	})

	// Guards against a successor that sends its budget in the same second as the lost home, and
	// against one that never gets a budget.
	It("gets no more than it tolerates while its home is lost", func() {
		otherShare := 0.0
		successor := newColdHome(&otherShare)
		passFirstSecond()
		spend(home)
		expectRefused(successor.Run(ctx, write()), refusal.NotRun, refusal.NotReady)
		otherShare = slowstart.SecondHomeShare
		ran := successor.Run(ctx, write())
		expectRefused(ran, refusal.NotRun, refusal.Overloaded)
		Expect(ran.Refused.RetryAfter).To(Equal(1100 * time.Millisecond))
		clock.Advance(900 * time.Millisecond)
		expectRefused(successor.Run(ctx, write(lasting(50*time.Millisecond))), refusal.NotRun, refusal.Overloaded)
		Expect(requests()).To(HaveLen(rate))
		// The lost home is only cut off from its successor, and goes on.
		clock.Advance(200 * time.Millisecond)
		spend(home)
		served, _ := spend(successor)
		Expect(served).To(Equal(rate / 2))
		Expect(requests()).To(HaveLen(2*rate + rate/2))
	})

	It("refuses waiting writes once another VM is its home", func() {
		// Guards against writes that wait until their time limit for a budget that does not come.
		passFirstSecond()
		spend(home)
		Eventually(clock.Subscribers).Should(BeZero())
		result := start(write(lasting(5*time.Second)), 2)
		share = 0
		clock.Advance(1100 * time.Millisecond)
		expectRefused(expectResult(result), refusal.NotRun, refusal.NotReady)
	})

	It("gets the steps of open transactions before new statements", func() {
		// Guards against transactions that stay open because new statements use up the budget.
		passFirstSecond()
		expectServed(home.Run(ctx, write()))
		clock.Advance(50 * time.Millisecond)
		expectServed(home.Run(ctx, request(peer.StepFirst, "WRITE t 1")))
		spend(home)
		Eventually(clock.Subscribers).Should(BeZero())
		waiting := start(write(lasting(3*time.Second)), 2)
		commit := start(request(peer.StepCommit, "COMMIT", lasting(3*time.Second)), 3)
		// Only the first write has left the window.
		clock.Advance(1050 * time.Millisecond)
		expectServed(expectResult(commit))
		Consistently(waiting).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
		clock.Advance(50 * time.Millisecond)
		expectServed(expectResult(waiting))
	})

	It("counts position samples, and answers more of them from one", func() {
		// Guards against samples that use up the budget of the statements.
		passFirstSecond()
		expectProved := func() {
			GinkgoHelper()
			Expect(home.Run(ctx, request(peer.StepPosition, "")).ProvedPrimary).To(BeTrue())
		}
		expectProved()
		clock.Advance(900 * time.Millisecond)
		expectProved()
		Expect(requests()).To(HaveLen(2))
		served, _ := spend(home)
		Expect(served).To(Equal(rate - 2))
	})

	It("gets no rollback beyond its budget, but the connection is closed", func() {
		// Guards against rollbacks that exceed the budget, and against transactions that stay
		// open because of it.
		passFirstSecond()
		expectServed(home.Run(ctx, request(peer.StepFirst, "WRITE t 1")))
		spend(home)
		Expect(home.Run(ctx, request(peer.StepRollback, "")).Refused).To(BeNil())
		Expect(strings.Join(fake.commands(), " ")).To(HaveSuffix("close"))
		Expect(requests()).To(HaveLen(rate))
		Expect(home.OpenTransactions()).To(BeZero())
	})
})
