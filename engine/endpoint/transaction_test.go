package endpoint_test

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/endpoint"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/timer"
)

var _ = Describe("transactions", func() {
	var fake *fakeEndpoint
	var home *endpoint.Home
	ctx := context.Background()
	numbered := func(number uint64) func(*peer.RunRequest) {
		return func(r *peer.RunRequest) { r.Transaction.Number = number }
	}

	BeforeEach(func() {
		fake = &fakeEndpoint{}
		home = newHome(fake)
	})

	It("run all statements on one connection, which is used again", func() {
		expectServed(home.Run(ctx, request(peer.StepFirst, "READ a")))
		expectServed(home.Run(ctx, request(peer.StepNext, "WRITE a b")))
		expectServed(home.Run(ctx, request(peer.StepCommit, "COMMIT")))
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ c")))
		expectCommands(fake, "start ws", "begin", "READ a", "WRITE a b", "commit", "READ c")
	})

	It("keep their connection from other sessions", func() {
		expectServed(home.Run(ctx, request(peer.StepFirst, "READ a")))
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ b")))
		expectCommands(fake, "start ws", "begin", "READ a", "start ws", "READ b")
	})

	// On a day of the users, begin and first read went out together; the begin was
	// refused by a replaced primary, and the read ran outside of a transaction.
	It("send no statement before the endpoint has accepted the begin", func() {
		fake.answer = func(c endpoint.Command) (endpoint.Reply, error) {
			if _, ok := c.(endpoint.Begin); ok {
				return problem(endpoint.NotPrimary)
			}
			return endpoint.Reply{}, nil
		}
		expectRefused(home.Run(ctx, request(peer.StepFirst, "READ a")), refusal.NotRun, refusal.NotPrimary)
		Expect(fake.commands()).NotTo(ContainElement("READ a"))
		Expect(home.OpenTransactions()).To(BeZero())
	})

	// A first statement without an answer was sent again in another transaction, and
	// ran in two.
	It("are given up when the first statement's answer is lost, for it may have run", func() {
		fake.answer = func(c endpoint.Command) (endpoint.Reply, error) {
			if _, ok := c.(endpoint.Forward); ok {
				return endpoint.Reply{}, errLost
			}
			return endpoint.Reply{}, nil
		}
		expectRefused(home.Run(ctx, request(peer.StepFirst, "READ a")), refusal.NotRun, refusal.TransactionConflict)
		Expect(home.OpenTransactions()).To(BeZero())
		Expect(fake.connections()).To(BeZero())
	})

	It("leave the outcome open when the commit's answer is lost", func() {
		expectServed(home.Run(ctx, request(peer.StepFirst, "WRITE a b")))
		fake.answer = func(endpoint.Command) (endpoint.Reply, error) { return endpoint.Reply{}, errLost }
		expectRefused(home.Run(ctx, request(peer.StepCommit, "COMMIT")), refusal.Unknown, refusal.OutcomeNotKnown)
		Expect(home.OpenTransactions()).To(BeZero())
	})

	It("ask a busy endpoint again to commit, for it has kept the transaction open", func() {
		expectServed(home.Run(ctx, request(peer.StepFirst, "WRITE a b")))
		tries := 0
		fake.answer = func(endpoint.Command) (endpoint.Reply, error) {
			tries++
			if tries < 3 {
				return problem(endpoint.Busy)
			}
			return endpoint.Reply{}, nil
		}
		expectServed(home.Run(ctx, request(peer.StepCommit, "COMMIT")))
		Expect(tries).To(Equal(3))
	})

	// A commit that the queue refused left its transaction open on a connection that
	// went back to the pool, where another session's statement ran inside of it.
	It("are rolled back when the queue refuses their commit", func() {
		expectServed(home.Run(ctx, request(peer.StepFirst, "WRITE a b")))
		fake.mu.Lock()
		fake.hold = make(chan struct{})
		fake.mu.Unlock()
		// Two slots, and one statement more, are in use.
		for range 3 {
			go home.Run(ctx, request(peer.StepSingle, "READ x"))
		}
		Eventually(func() int { return strings.Count(strings.Join(fake.commands(), " "), "READ x") }).Should(Equal(3))
		short := func(r *peer.RunRequest) { r.Timeout = 60 * time.Millisecond }
		ran := home.Run(ctx, request(peer.StepCommit, "COMMIT", short))
		Expect(ran.Refused.Outcome).To(Equal(refusal.NotRun))
		Expect(fake.commands()).To(ContainElement("rollback"))
		Expect(fake.commands()).NotTo(ContainElement("commit"))
		close(fake.hold)
	})

	It("are rolled back once a statement fails, and their connection is used again", func() {
		expectServed(home.Run(ctx, request(peer.StepFirst, "READ a")))
		fake.answer = func(c endpoint.Command) (endpoint.Reply, error) {
			if f, ok := c.(endpoint.Forward); ok && f.Text == "WRITE a b" {
				return problem(endpoint.NotPrimary)
			}
			return endpoint.Reply{}, nil
		}
		ran := home.Run(ctx, request(peer.StepNext, "WRITE a b"))
		expectRefused(ran, refusal.NotRun, refusal.NotPrimary)
		Expect(ran.Failed).To(BeTrue())
		expectRefused(home.Run(ctx, request(peer.StepCommit, "COMMIT")), refusal.NotRun, refusal.TransactionUnknown)
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ c")))
		expectCommands(fake, "start ws", "begin", "READ a", "WRITE a b", "rollback", "READ c")
	})

	It("are rolled back when their caller's VM is gone", func() {
		expectServed(home.Run(ctx, request(peer.StepFirst, "WRITE a b")))
		home.RollBackTransaction(request(peer.StepFirst, "").Transaction)
		expectCommands(fake, "start ws", "begin", "WRITE a b", "rollback")
		expectRefused(home.Run(ctx, request(peer.StepCommit, "COMMIT")), refusal.NotRun, refusal.TransactionUnknown)
	})

	It("are rolled back when they rest too long", func() {
		idle := func(r *peer.RunRequest) { r.TransactionIdle = 20 * time.Millisecond }
		expectServed(home.Run(ctx, request(peer.StepFirst, "WRITE a b", idle)))
		time.Sleep(40 * time.Millisecond)
		home.Sweep(func(catalog.EndpointKey) bool { return true })
		Expect(home.OpenTransactions()).To(BeZero())
	})

	It("leave a connection for each slot to single statements", func() {
		// 80% of 10 connections, less 2 slots and one more statement.
		const allowed = 5
		short := func(r *peer.RunRequest) { r.Timeout = 60 * time.Millisecond }
		for i := range uint64(allowed) {
			expectServed(home.Run(ctx, request(peer.StepFirst, "READ a", numbered(i))))
		}
		expectRefused(home.Run(ctx, request(peer.StepFirst, "READ a", numbered(99), short)), refusal.NotRun, refusal.Overloaded)
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ b")))
	})

	It("start in turn when one ends", func() {
		for i := range uint64(5) {
			expectServed(home.Run(ctx, request(peer.StepFirst, "READ a", numbered(i))))
		}
		started := make(chan *peer.RunResponse)
		go func() { started <- home.Run(ctx, request(peer.StepFirst, "READ b", numbered(99))) }()
		Consistently(started).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
		expectServed(home.Run(ctx, request(peer.StepCommit, "COMMIT", numbered(2))))
		expectServed(<-started)
	})
})

var _ = Describe("connections at an endpoint's limit", func() {
	ctx := context.Background()

	It("are waited for while others of this home are in use", func() {
		fake := &fakeEndpoint{
			limit: 1,
			hold:  make(chan struct{}),
		}
		home := newHome(fake)
		first, second := make(chan *peer.RunResponse, 1), make(chan *peer.RunResponse, 1)
		go func() { first <- home.Run(ctx, request(peer.StepSingle, "READ a")) }()
		Eventually(fake.commands).Should(ContainElement("READ a"))
		go func() { second <- home.Run(ctx, request(peer.StepSingle, "READ b")) }()
		Consistently(second).WithTimeout(60 * time.Millisecond).ShouldNot(Receive())
		close(fake.hold)
		expectServed(<-first)
		expectServed(<-second)
		Expect(fake.connections()).To(Equal(1))
	})

	It("are closed for another workspace that needs one", func() {
		fake := &fakeEndpoint{limit: 1}
		home := newHome(fake)
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ a")))
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ b", func(r *peer.RunRequest) { r.Workspace = "other" })))
		Expect(fake.connections()).To(Equal(1))
	})

	It("are given up with a true promise when the time is over", func() {
		fake := &fakeEndpoint{limit: 1}
		home := newHome(fake)
		expectServed(home.Run(ctx, request(peer.StepFirst, "READ a")))
		short := func(r *peer.RunRequest) { r.Timeout = 80 * time.Millisecond }
		expectRefused(home.Run(ctx, request(peer.StepSingle, "WRITE a b", short)), refusal.NotRun, refusal.Overloaded)
	})

	// Endpoints count the connections of a VM that has lost power for 3 s more, so that
	// a home which keeps all that it ever needed leaves none to its successor.
	It("are closed when they have rested for long, and only those", func() {
		fake := &fakeEndpoint{}
		clock := timer.NewManual(timer.ManualConfig{Start: time.Unix(1000, 0)})
		home := newHomeOn(fake, clock)
		present := func(catalog.EndpointKey) bool { return true }
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ a")))
		clock.Advance(3 * time.Second)
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ b", func(r *peer.RunRequest) { r.Workspace = "other" })))
		home.Sweep(present)
		Expect(fake.connections()).To(Equal(2))
		clock.Advance(2 * time.Second)
		home.Sweep(present)
		Expect(fake.connections()).To(Equal(1))
		clock.Advance(10 * time.Second)
		home.Sweep(present)
		Expect(fake.connections()).To(BeZero())
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ c")))
	})

	It("are used by the first home only, once this VM is not", func() {
		fake := &fakeEndpoint{}
		home := newHome(fake)
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ a")))
		Expect(fake.connections()).To(Equal(1))
		gone := func(catalog.EndpointKey) bool { return false }
		Eventually(func() int {
			home.Sweep(gone)
			return fake.connections()
		}).WithTimeout(4 * time.Second).Should(BeZero())
	})
})
