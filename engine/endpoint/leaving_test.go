package endpoint_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/endpoint"
	"amaranthdock.dev/engine/peer"
)

var _ = Describe("a home whose VM leaves", func() {
	var fake *fakeEndpoint
	var home *endpoint.Home
	ctx := context.Background()

	// runHeldRead runs a read whose reply the endpoint holds back, and returns its result once
	// it has one.
	runHeldRead := func(step peer.Step) chan *peer.RunResponse {
		result := make(chan *peer.RunResponse, 1)
		go func() { result <- home.Run(ctx, request(step, "READ a")) }()
		Eventually(fake.commands).Should(ContainElement("READ a"))
		return result
	}

	BeforeEach(func() {
		fake = &fakeEndpoint{holdReads: make(chan struct{})}
		home = newHome(fake)
	})

	It("rolls back open transactions and refuses their further steps", func() {
		// Guards against a transaction whose statements go on until the process ends, and
		// whose commit is then cut off.
		expectServed(home.Run(ctx, request(peer.StepFirst, "WRITE a b")))
		home.EndTransactions()
		Eventually(home.OpenTransactions).Should(BeZero())
		expectRefused(home.Run(ctx, request(peer.StepCommit, "COMMIT")), refusal.NotRun, refusal.TransactionUnknown)
		expectCommands(fake, "start ws", "begin", "WRITE a b", "rollback")
	})

	It("rolls a transaction back only after its running statement", func() {
		// Guards against statements that started in time and lose their response.
		expectServed(home.Run(ctx, request(peer.StepFirst, "WRITE a b")))
		result := runHeldRead(peer.StepNext)
		home.EndTransactions()
		Consistently(home.OpenTransactions).WithTimeout(50 * time.Millisecond).Should(Equal(1))
		close(fake.holdReads)
		expectServed(<-result)
		Eventually(home.OpenTransactions).Should(BeZero())
	})

	It("waits until no statement runs", func() {
		// Guards against a process that ends while it runs the statements of other VMs.
		result := runHeldRead(peer.StepSingle)
		idle := make(chan struct{})
		go func() {
			home.AwaitIdle(ctx)
			close(idle)
		}()
		Consistently(idle).WithTimeout(60 * time.Millisecond).ShouldNot(BeClosed())
		close(fake.holdReads)
		expectServed(<-result)
		Eventually(idle).Should(BeClosed())
	})

	It("ends the statements that still run", func() {
		// Guards against a process that ends before its callers have a final response.
		running, stop := context.WithCancel(ctx)
		result := make(chan *peer.RunResponse, 1)
		go func() { result <- home.Run(running, request(peer.StepSingle, "READ a")) }()
		Eventually(fake.commands).Should(ContainElement("READ a"))
		stop()
		home.EndStatements()
		Eventually(result).WithTimeout(100 * time.Millisecond).Should(Receive(HaveField("Refused.Reason", refusal.DeadlineExceeded)))
		Expect(fake.connections()).To(BeZero())
	})
})
