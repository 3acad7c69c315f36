package endpoint_test

import (
	"context"
	"fmt"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/endpoint"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/timer"
)

var _ = Describe("urgency across workspaces", func() {
	var (
		fake     *fakeEndpoint
		clock    *timer.Manual
		home     *endpoint.Home
		registry metrics.Registry
		results  chan *peer.RunResponse
	)
	ctx := context.Background()
	// capacity is the number of statements that run at the fake endpoint at the same time.
	const capacity = 3

	BeforeEach(func() {
		fake = &fakeEndpoint{holdReads: make(chan struct{})}
		clock = timer.NewManual(timer.ManualConfig{Start: time.Unix(1000, 0)})
		registry = metrics.NewRegistry()
		results = make(chan *peer.RunResponse, 100)
		home = endpoint.New(endpoint.Config{
			Dialer:                  fake,
			Timer:                   clock,
			Log:                     logr.Discard(),
			Registry:                registry,
			Lookup:                  func(id string) (catalog.Endpoint, bool) { return target, id == target.Key.ID },
			IsFirstHome:             func(catalog.Endpoint) bool { return true },
			UrgencyAcrossWorkspaces: true,
		})
	})

	// run runs a request in the background. It does not use the variables later, which the next
	// spec sets again.
	run := func(r *peer.RunRequest) {
		h, to := home, results
		go func() { to <- h.Run(ctx, r) }()
	}

	send := func(step peer.Step, workspace, text string, priority int) {
		run(request(step, text, func(r *peer.RunRequest) {
			r.Workspace = workspace
			r.Priority = priority
			r.ID = text
		}))
	}

	// fill makes statements run in all slots.
	fill := func() {
		GinkgoHelper()
		for i := range capacity {
			send(peer.StepSingle, "a", fmt.Sprint("READ running", i), 2)
		}
		Eventually(fake.commands).Should(HaveLen(2 * capacity))
	}

	It("starts an urgent statement of one workspace before less urgent ones of another", func() {
		// Guards against urgent statements that wait in the order of arrival of the workspaces.
		fill()
		for i := range 3 {
			send(peer.StepSingle, "b", fmt.Sprint("READ later", i), 2)
			Eventually(clock.Subscribers).Should(Equal(i + 1))
		}
		send(peer.StepSingle, "c", "READ urgent", 0)
		Eventually(clock.Subscribers).Should(Equal(4))
		fake.holdReads <- struct{}{}
		Eventually(fake.commands).Should(HaveLen(2*capacity + 2))
		Expect(fake.commands()).To(ContainElement("READ urgent"))
		close(fake.holdReads)
		for range capacity + 4 {
			expectServed(<-results)
		}
	})

	It("displaces waiting statements for more urgent ones, as not run and with a time to return", func() {
		// Guards against refusing urgent statements at a full queue, and against less urgent ones
		// that wait in vain.
		fill()
		const waiting = 20
		for i := range waiting {
			send(peer.StepSingle, "b", fmt.Sprint("READ later", i), 2)
			Eventually(clock.Subscribers).Should(Equal(i + 1))
		}
		for i := range waiting {
			send(peer.StepSingle, "c", fmt.Sprint("READ urgent", i), 0)
			if i == 0 {
				Eventually(clock.Subscribers).Should(Equal(waiting + 1))
			}
		}
		displaced := <-results
		expectRefused(displaced, refusal.NotRun, refusal.Overloaded)
		Expect(displaced.Refused.RetryAfter).To(BeNumerically(">", 0))
		Expect(metrics.GetOrRegisterCounter("endpoint.queue.displaced", registry).Count()).To(BeNumerically(">=", 1))
		Expect(metrics.GetOrRegisterCounter("endpoint.queue.refused.priority2", registry).Count()).To(BeNumerically(">=", 1))
		Expect(metrics.GetOrRegisterCounter("endpoint.queue.refused.priority0", registry).Count()).To(BeZero())
		close(fake.holdReads)
		for range capacity + 2*waiting - 1 {
			<-results
		}
	})

	It("gives the permission to pin a connection to the most urgent transaction", func() {
		// Guards against urgent transactions that wait for less urgent ones.
		one := func(r *peer.RunRequest) { r.MaxConnections = 1 }
		open := request(peer.StepFirst, "WRITE a 1", one)
		expectServed(home.Run(ctx, open))
		for _, priority := range []int{2, 1, 0} {
			run(request(peer.StepFirst, fmt.Sprint("WRITE a ", priority), one, func(r *peer.RunRequest) {
				r.Priority = priority
				r.Transaction.Number = uint64(10 + priority)
			}))
			Eventually(clock.Subscribers).Should(Equal(3 - priority))
		}
		home.RollBackTransaction(open.Transaction)
		expectServed(<-results)
		Expect(fake.commands()).To(ContainElement("WRITE a 0"))
		Expect(fake.commands()).NotTo(ContainElement("WRITE a 2"))
		clock.Advance(time.Second)
		for range 2 {
			expectRefused(<-results, refusal.NotRun, refusal.Overloaded)
		}
	})

	It("gives a free connection to the most urgent of the statements that wait for it", func() {
		// Guards against urgent statements that compete for a connection with less urgent ones
		// while the endpoint is at its connection limit.
		one := func(r *peer.RunRequest) { r.MaxConnections = 1 }
		expectLast := func(text string) {
			GinkgoHelper()
			Eventually(func() string {
				commands := fake.commands()
				return commands[len(commands)-1]
			}).Should(Equal(text))
		}
		// Without an order, chance decides each round.
		for range 8 {
			run(request(peer.StepSingle, "READ running", one))
			Eventually(fake.commands).ShouldNot(BeEmpty())
			expectLast("READ running")
			for i, priority := range []int{2, 0} {
				run(request(peer.StepSingle, fmt.Sprint("READ ", priority), one, func(r *peer.RunRequest) { r.Priority = priority }))
				Eventually(clock.Subscribers).Should(Equal(i + 1))
			}
			for i, next := range []string{"READ 0", "READ 2"} {
				fake.holdReads <- struct{}{}
				expectServed(<-results)
				Eventually(clock.Subscribers).Should(Equal(2 - i))
				clock.Advance(20 * time.Millisecond)
				expectLast(next)
				// A statement that has not checked again yet would take the next free connection
				// without another wait.
				Eventually(clock.Subscribers).Should(Equal(1 - i))
			}
			fake.holdReads <- struct{}{}
			expectServed(<-results)
		}
	})

	It("reports the wait that another statement of the same priority will have", func() {
		// Guards against reads that avoid an endpoint where they would not wait, or go to one
		// where they would.
		fill()
		for i := range 10 {
			send(peer.StepSingle, "b", fmt.Sprint("READ later", i), 2)
			Eventually(clock.Subscribers).Should(Equal(i + 1))
		}
		expectedWait := func(priority int) time.Duration {
			return home.Run(ctx, request(peer.StepSingle, "READ a", func(r *peer.RunRequest) {
				r.Workspace = "c"
				r.Priority = priority
				r.Timeout = time.Millisecond
			})).ExpectedWait
		}
		Expect(expectedWait(0)).To(BeNumerically("<", 50*time.Millisecond))
		Expect(expectedWait(3)).To(BeNumerically(">", 100*time.Millisecond))
		close(fake.holdReads)
		for range capacity + 10 {
			expectServed(<-results)
		}
	})
})
