package endpoint_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/endpoint"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/statement"
	"amaranthdock.dev/timer"
)

var _ = Describe("single statements", func() {
	var fake *fakeEndpoint
	var home *endpoint.Home
	ctx := context.Background()

	BeforeEach(func() {
		fake = &fakeEndpoint{}
		home = newHome(fake)
	})

	It("run on one connection after another", func() {
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ a")))
		expectServed(home.Run(ctx, request(peer.StepSingle, "WRITE a b")))
		expectCommands(fake, "start ws", "READ a", "WRITE a b")
	})

	It("run on a connection of their own workspace only", func() {
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ a")))
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ b", func(r *peer.RunRequest) { r.Workspace = "other" })))
		expectCommands(fake, "start ws", "READ a", "start other", "READ b")
	})

	It("carry the position that the log must hold", func() {
		after := logpos.Position{
			Term:  3,
			Index: 9,
		}
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ a", func(r *peer.RunRequest) { r.After = after })))
		expectCommands(fake, "start ws", "READ a after 3/9")
	})

	It("are fenced by a transaction where the endpoint must lead", func() {
		ran := home.Run(ctx, request(peer.StepSingle, "READ a", func(r *peer.RunRequest) { r.Fenced = true }))
		expectServed(ran)
		Expect(ran.ProvedPrimary).To(BeTrue())
		expectCommands(fake, "start ws", "begin", "READ a", "rollback")
	})

	It("return nothing of a fenced read at an endpoint that lost the lead", func() {
		fake.answer = func(c endpoint.Command) (endpoint.Reply, error) {
			if _, ok := c.(endpoint.Begin); ok {
				return problem(endpoint.NotPrimary)
			}
			return endpoint.Reply{}, nil
		}
		ran := home.Run(ctx, request(peer.StepSingle, "READ a", func(r *peer.RunRequest) { r.Fenced = true }))
		expectRefused(ran, refusal.NotRun, refusal.NotPrimary)
		Expect(ran.Signature).To(BeEmpty())
	})

	It("run reads again whose answer is lost", func() {
		lost := 0
		fake.answer = func(endpoint.Command) (endpoint.Reply, error) {
			lost++
			if lost == 1 {
				return endpoint.Reply{}, errLost
			}
			return endpoint.Reply{}, nil
		}
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ a")))
		expectCommands(fake, "start ws", "READ a", "close", "start ws", "READ a")
	})

	It("never run a write again whose answer is lost, nor promise that it did not run", func() {
		fake.answer = func(endpoint.Command) (endpoint.Reply, error) { return endpoint.Reply{}, errLost }
		expectRefused(home.Run(ctx, request(peer.StepSingle, "WRITE a b")), refusal.Unknown, refusal.OutcomeNotKnown)
		expectCommands(fake, "start ws", "WRITE a b", "close")
	})

	DescribeTable("carry the endpoint's refusals with a true promise",
		func(code endpoint.ErrorCode, outcome refusal.Outcome, reason refusal.Reason) {
			fake.answer = func(endpoint.Command) (endpoint.Reply, error) { return problem(code) }
			expectRefused(home.Run(ctx, request(peer.StepSingle, "WRITE a b")), outcome, reason)
		},
		Entry("busy", endpoint.Busy, refusal.NotRun, refusal.Overloaded),
		Entry("behind", endpoint.ReplicaBehind, refusal.NotRun, refusal.ReplicaBehind),
		Entry("no primary", endpoint.NotPrimary, refusal.NotRun, refusal.NotPrimary),
		Entry("ran and failed", endpoint.ExecutionFailed, refusal.Unknown, refusal.StatementFailed),
		Entry("ran into its time limit", endpoint.ExecutionTimeout, refusal.Unknown, refusal.DeadlineExceeded),
		Entry("a code that is not known", endpoint.UnknownCode, refusal.Unknown, refusal.StatementFailed),
	)

	// The leader was told of a silent primary only when the first statement's time was
	// over, half a second later.
	It("tell on an endpoint that is quiet before their own time is over", func() {
		clock := timer.NewManual(timer.ManualConfig{Start: time.Unix(1000, 0)})
		home = newHomeOn(fake, clock)
		fake.hold = make(chan struct{})
		for range 2 {
			go home.Run(ctx, request(peer.StepSingle, "READ a"))
		}
		Eventually(fake.commands).Should(HaveLen(4))
		clock.Advance(300 * time.Millisecond)
		go home.Run(ctx, request(peer.StepSingle, "READ b"))
		Eventually(func() int {
			fake.mu.Lock()
			defer fake.mu.Unlock()
			return fake.told
		}).Should(Equal(1))
		close(fake.hold)
	})

	It("are refused without a wait at an endpoint that did not answer a moment ago", func() {
		fake.silent = true
		expectRefused(home.Run(ctx, request(peer.StepSingle, "READ a")), refusal.NotRun, refusal.Unreachable)
		fake.silent = false
		started := time.Now()
		expectRefused(home.Run(ctx, request(peer.StepSingle, "READ a")), refusal.NotRun, refusal.Unreachable)
		Expect(time.Since(started)).To(BeNumerically("<", 50*time.Millisecond))
		Eventually(func() *refusal.Error {
			return home.Run(ctx, request(peer.StepSingle, "READ a")).Refused
		}).WithTimeout(time.Second).Should(BeNil())
	})
})

var _ = Describe("session values and prepared statements", func() {
	var fake *fakeEndpoint
	var home *endpoint.Home
	ctx := context.Background()
	with := func(values map[string]string) func(*peer.RunRequest) {
		return func(r *peer.RunRequest) { r.Values = values }
	}
	prepared := func(r *peer.RunRequest) {
		r.Prepared = &statement.Prepared{Shape: "q1"}
		r.Text = "a"
	}

	BeforeEach(func() {
		fake = &fakeEndpoint{}
		home = newHome(fake)
	})

	It("are set once on a connection that has them already", func() {
		for range 2 {
			expectServed(home.Run(ctx, request(peer.StepSingle, "READ a", with(map[string]string{"tz": "utc"}))))
		}
		expectCommands(fake, "start ws", "set tz=utc", "READ a", "READ a")
	})

	It("are dropped before a session that has not set them", func() {
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ a", with(map[string]string{"tz": "utc"}))))
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ b")))
		expectCommands(fake, "start ws", "set tz=utc", "READ a", "discard", "READ b")
	})

	It("are changed without a discard where only the value differs", func() {
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ a", with(map[string]string{"tz": "utc"}))))
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ b", with(map[string]string{"tz": "cet"}))))
		expectCommands(fake, "start ws", "set tz=utc", "READ a", "set tz=cet", "READ b")
	})

	It("are prepared once for all sessions, and again after a discard", func() {
		expectServed(home.Run(ctx, request(peer.StepSingle, "", prepared)))
		expectServed(home.Run(ctx, request(peer.StepSingle, "", prepared, with(map[string]string{"tz": "utc"}))))
		expectServed(home.Run(ctx, request(peer.StepSingle, "", prepared)))
		expectCommands(fake, "start ws", "prepare s1 q1", "EXECUTE s1 a", "set tz=utc", "EXECUTE s1 a",
			"discard", "prepare s2 q1", "EXECUTE s2 a")
	})

	It("are not trusted any longer once a command before a read failed", func() {
		fake.answer = func(c endpoint.Command) (endpoint.Reply, error) {
			if _, ok := c.(endpoint.Set); ok {
				return problem(endpoint.InvalidCommand)
			}
			return endpoint.Reply{}, nil
		}
		ran := home.Run(ctx, request(peer.StepSingle, "READ a", with(map[string]string{"tz": "utc"})))
		Expect(ran.Refused.Outcome).To(Equal(refusal.NotRun))
		Expect(ran.Signature).To(BeEmpty())
		Expect(fake.connections()).To(BeZero())
	})
})
