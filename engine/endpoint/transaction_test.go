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

	It("run all statements on one connection, which is reused afterwards", func() {
		// Guards against statements that run outside of their transaction, and against
		// connections that are not returned to the pool.
		expectServed(home.Run(ctx, request(peer.StepFirst, "READ a")))
		expectServed(home.Run(ctx, request(peer.StepNext, "WRITE a b")))
		expectServed(home.Run(ctx, request(peer.StepCommit, "COMMIT")))
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ c")))
		expectCommands(fake, "start ws", "begin", "READ a", "WRITE a b", "commit", "READ c")
	})

	It("do not share their connection with other sessions", func() {
		// Guards against a statement of another session that runs inside of the
		// transaction.
		expectServed(home.Run(ctx, request(peer.StepFirst, "READ a")))
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ b")))
		expectCommands(fake, "start ws", "begin", "READ a", "start ws", "READ b")
	})

	// Guards against a first read that runs outside of a transaction. It did so in a user
	// scenario in which begin and read were sent together and a replaced primary
	// refused the begin.
	It("send no statement before the endpoint has accepted the begin", func() {
		fake.respond = func(c endpoint.Command) (endpoint.Reply, error) {
			if _, ok := c.(endpoint.Begin); ok {
				return scriptedRefusal(endpoint.NotPrimary)
			}
			return endpoint.Reply{}, nil
		}
		expectRefused(home.Run(ctx, request(peer.StepFirst, "READ a")), refusal.NotRun, refusal.NotPrimary)
		Expect(fake.commands()).NotTo(ContainElement("READ a"))
		Expect(home.OpenTransactions()).To(BeZero())
	})

	// Guards against a first statement that runs in two transactions because it was
	// retried in another one after its reply was lost.
	It("are aborted when the reply to the first statement is lost, because it may have run", func() {
		fake.respond = func(c endpoint.Command) (endpoint.Reply, error) {
			if _, ok := c.(endpoint.Forward); ok {
				return endpoint.Reply{}, errConnectionLost
			}
			return endpoint.Reply{}, nil
		}
		expectRefused(home.Run(ctx, request(peer.StepFirst, "READ a")), refusal.NotRun, refusal.TransactionConflict)
		Expect(home.OpenTransactions()).To(BeZero())
		Expect(fake.connections()).To(BeZero())
	})

	It("report an unknown outcome when the reply to the commit is lost", func() {
		expectServed(home.Run(ctx, request(peer.StepFirst, "WRITE a b")))
		fake.respond = func(endpoint.Command) (endpoint.Reply, error) { return endpoint.Reply{}, errConnectionLost }
		expectRefused(home.Run(ctx, request(peer.StepCommit, "COMMIT")), refusal.Unknown, refusal.OutcomeNotKnown)
		Expect(home.OpenTransactions()).To(BeZero())
	})

	It("retry the commit at a busy endpoint, because the transaction is still open", func() {
		expectServed(home.Run(ctx, request(peer.StepFirst, "WRITE a b")))
		tries := 0
		fake.respond = func(endpoint.Command) (endpoint.Reply, error) {
			tries++
			if tries < 3 {
				return scriptedRefusal(endpoint.Busy)
			}
			return endpoint.Reply{}, nil
		}
		expectServed(home.Run(ctx, request(peer.StepCommit, "COMMIT")))
		Expect(tries).To(Equal(3))
	})

	// Guards against a transaction that stays open on a pooled connection after the queue
	// refused its commit, so that another session's statement runs inside of it.
	It("are rolled back when the queue refuses their commit", func() {
		expectServed(home.Run(ctx, request(peer.StepFirst, "WRITE a b")))
		fake.mu.Lock()
		fake.holdReads = make(chan struct{})
		fake.mu.Unlock()
		// Occupy the two slots and the one extra statement that the queue allows.
		for range 3 {
			go home.Run(ctx, request(peer.StepSingle, "READ x"))
		}
		Eventually(func() int { return strings.Count(strings.Join(fake.commands(), " "), "READ x") }).Should(Equal(3))
		short := func(r *peer.RunRequest) { r.Timeout = 60 * time.Millisecond }
		ran := home.Run(ctx, request(peer.StepCommit, "COMMIT", short))
		Expect(ran.Refused.Outcome).To(Equal(refusal.NotRun))
		Expect(fake.commands()).To(ContainElement("rollback"))
		Expect(fake.commands()).NotTo(ContainElement("commit"))
		close(fake.holdReads)
	})

	It("are rolled back once a statement fails, and their connection is reused", func() {
		expectServed(home.Run(ctx, request(peer.StepFirst, "READ a")))
		fake.respond = func(c endpoint.Command) (endpoint.Reply, error) {
			if f, ok := c.(endpoint.Forward); ok && f.Text == "WRITE a b" {
				return scriptedRefusal(endpoint.NotPrimary)
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

	It("are rolled back when their caller's VM has disconnected", func() {
		// Guards against a transaction that stays open because nobody can end it.
		expectServed(home.Run(ctx, request(peer.StepFirst, "WRITE a b")))
		home.RollBackTransaction(request(peer.StepFirst, "").Transaction)
		expectCommands(fake, "start ws", "begin", "WRITE a b", "rollback")
		expectRefused(home.Run(ctx, request(peer.StepCommit, "COMMIT")), refusal.NotRun, refusal.TransactionUnknown)
	})

	It("are rolled back when they exceed their idle timeout", func() {
		// Guards against an idle transaction that keeps its connection.
		idle := func(r *peer.RunRequest) { r.TransactionIdle = 20 * time.Millisecond }
		expectServed(home.Run(ctx, request(peer.StepFirst, "WRITE a b", idle)))
		time.Sleep(40 * time.Millisecond)
		home.Sweep(func(catalog.EndpointKey) bool { return true })
		Expect(home.OpenTransactions()).To(BeZero())
	})

	It("leave a connection for each slot to statements outside of transactions", func() {
		// Guards against transactions that use all connections, so that single statements
		// cannot run.
		// 80% of 10 connections, minus 2 slots, minus one extra statement.
		const allowed = 5
		short := func(r *peer.RunRequest) { r.Timeout = 60 * time.Millisecond }
		for i := range uint64(allowed) {
			expectServed(home.Run(ctx, request(peer.StepFirst, "READ a", numbered(i))))
		}
		expectRefused(home.Run(ctx, request(peer.StepFirst, "READ a", numbered(99), short)), refusal.NotRun, refusal.Overloaded)
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ b")))
	})

	It("wait for a free connection until another transaction ends", func() {
		// Guards against refusing a transaction that could begin before its timeout.
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

	It("are waited for while this home's other connections are in use", func() {
		// Guards against statements that fail at the limit of connections although one
		// becomes free in time.
		fake := &fakeEndpoint{
			limit:     1,
			holdReads: make(chan struct{}),
		}
		home := newHome(fake)
		first, second := make(chan *peer.RunResponse, 1), make(chan *peer.RunResponse, 1)
		go func() { first <- home.Run(ctx, request(peer.StepSingle, "READ a")) }()
		Eventually(fake.commands).Should(ContainElement("READ a"))
		go func() { second <- home.Run(ctx, request(peer.StepSingle, "READ b")) }()
		Consistently(second).WithTimeout(60 * time.Millisecond).ShouldNot(Receive())
		close(fake.holdReads)
		expectServed(<-first)
		expectServed(<-second)
		Expect(fake.connections()).To(Equal(1))
	})

	It("are closed for another workspace that needs one", func() {
		// Guards against idle connections of one workspace that keep another one from
		// connecting.
		fake := &fakeEndpoint{limit: 1}
		home := newHome(fake)
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ a")))
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ b", func(r *peer.RunRequest) { r.Workspace = "other" })))
		Expect(fake.connections()).To(Equal(1))
	})

	It("make a statement fail as not run when none is free before the timeout", func() {
		fake := &fakeEndpoint{limit: 1}
		home := newHome(fake)
		expectServed(home.Run(ctx, request(peer.StepFirst, "READ a")))
		short := func(r *peer.RunRequest) { r.Timeout = 80 * time.Millisecond }
		expectRefused(home.Run(ctx, request(peer.StepSingle, "WRITE a b", short)), refusal.NotRun, refusal.Overloaded)
	})

	// Guards against a home that keeps all the connections that it ever needed. Endpoints
	// count the connections of a VM that lost power for 3 s more, so that none would be
	// left for the next home.
	It("are closed only when they have been idle for long", func() {
		fake := &fakeEndpoint{}
		clock := timer.NewManual(timer.ManualConfig{Start: time.Unix(1000, 0)})
		home := newHomeWithClock(fake, clock)
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

	It("are closed when the endpoint is gone", func() {
		// Guards against connections to removed endpoints that are kept forever.
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
