package endpoint_test

import (
	"context"
	"slices"
	"strings"
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

	It("reuse a connection one after another", func() {
		// Guards against a new connection for each statement.
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ a")))
		expectServed(home.Run(ctx, request(peer.StepSingle, "WRITE a b")))
		expectCommands(fake, "start ws", "READ a", "WRITE a b")
	})

	It("run only on a connection of their own workspace", func() {
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ a")))
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ b", func(r *peer.RunRequest) { r.Workspace = "other" })))
		expectCommands(fake, "start ws", "READ a", "start other", "READ b")
	})

	It("send the position that the endpoint's log must have reached", func() {
		// Guards against a read at a replica that has not reached the required position.
		after := logpos.Position{
			Term:  3,
			Index: 9,
		}
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ a", func(r *peer.RunRequest) { r.After = after })))
		expectCommands(fake, "start ws", "READ a after 3/9")
	})

	It("are wrapped in a transaction if the endpoint must prove that it is the primary", func() {
		// Guards against a stale read at a replaced primary.
		ran := home.Run(ctx, request(peer.StepSingle, "READ a", func(r *peer.RunRequest) { r.Fenced = true }))
		expectServed(ran)
		Expect(ran.ProvedPrimary).To(BeTrue())
		expectCommands(fake, "start ws", "begin", "READ a", "rollback")
	})

	It("return no result of a fenced read if the endpoint is no longer the primary", func() {
		fake.respond = func(c endpoint.Command) (endpoint.Reply, error) {
			if _, ok := c.(endpoint.Begin); ok {
				return scriptedRefusal(endpoint.NotPrimary)
			}
			return endpoint.Reply{}, nil
		}
		ran := home.Run(ctx, request(peer.StepSingle, "READ a", func(r *peer.RunRequest) { r.Fenced = true }))
		expectRefused(ran, refusal.NotRun, refusal.NotPrimary)
		Expect(ran.Signature).To(BeEmpty())
	})

	It("retry a read whose reply is lost", func() {
		lost := 0
		fake.respond = func(endpoint.Command) (endpoint.Reply, error) {
			lost++
			if lost == 1 {
				return endpoint.Reply{}, errConnectionLost
			}
			return endpoint.Reply{}, nil
		}
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ a")))
		expectCommands(fake, "start ws", "READ a", "close", "start ws", "READ a")
	})

	It("never retry a write whose reply is lost, nor report it as not run", func() {
		fake.respond = func(endpoint.Command) (endpoint.Reply, error) { return endpoint.Reply{}, errConnectionLost }
		expectRefused(home.Run(ctx, request(peer.StepSingle, "WRITE a b")), refusal.Unknown, refusal.OutcomeNotKnown)
		expectCommands(fake, "start ws", "WRITE a b", "close")
	})

	DescribeTable("return the endpoint's refusals with the outcome that is certain",
		func(code endpoint.ErrorCode, outcome refusal.Outcome, reason refusal.Reason) {
			fake.respond = func(endpoint.Command) (endpoint.Reply, error) { return scriptedRefusal(code) }
			expectRefused(home.Run(ctx, request(peer.StepSingle, "WRITE a b")), outcome, reason)
		},
		Entry("busy", endpoint.Busy, refusal.NotRun, refusal.Overloaded),
		Entry("behind", endpoint.ReplicaBehind, refusal.NotRun, refusal.ReplicaBehind),
		Entry("not the primary", endpoint.NotPrimary, refusal.NotRun, refusal.NotPrimary),
		Entry("ran and failed", endpoint.ExecutionFailed, refusal.Unknown, refusal.StatementFailed),
		Entry("ran and exceeded the time limit", endpoint.ExecutionTimeout, refusal.Unknown, refusal.DeadlineExceeded),
		Entry("an unknown code", endpoint.UnknownCode, refusal.Unknown, refusal.StatementFailed),
	)

	// Guards against a failover that starts late: the leader learned of an unresponsive
	// primary only when the first statement timed out, half a second later.
	It("report an unresponsive endpoint before they time out", func() {
		clock := timer.NewManual(timer.ManualConfig{Start: time.Unix(1000, 0)})
		home = newHomeWithClock(fake, clock)
		fake.holdReads = make(chan struct{})
		for range 2 {
			go home.Run(ctx, request(peer.StepSingle, "READ a"))
		}
		Eventually(fake.commands).Should(HaveLen(4))
		clock.Advance(300 * time.Millisecond)
		go home.Run(ctx, request(peer.StepSingle, "READ b"))
		Eventually(func() int {
			fake.mu.Lock()
			defer fake.mu.Unlock()
			return fake.unresponsiveReports
		}).Should(Equal(1))
		close(fake.holdReads)
	})

	It("are not run after a suspension that outlasts their timeout", func() {
		// Guards against a write that overwrites newer ones of its caller, who was told long
		// ago that its outcome is not known.
		clock := timer.NewManual(timer.ManualConfig{Start: time.Unix(1000, 0)})
		home = newHomeWithClock(fake, clock)
		fake.holdReads = make(chan struct{})
		for range 3 {
			go home.Run(ctx, request(peer.StepSingle, "READ x"))
		}
		Eventually(func() int { return strings.Count(strings.Join(fake.commands(), " "), "READ x") }).Should(Equal(3))
		result := make(chan *peer.RunResponse, 1)
		subscribers := clock.Subscribers()
		go func() { result <- home.Run(ctx, request(peer.StepSingle, "WRITE a b")) }()
		Eventually(clock.Subscribers).Should(BeNumerically(">", subscribers))
		clock.Suspend(time.Second)
		close(fake.holdReads)
		expectRefused(<-result, refusal.NotRun, refusal.QueueTimeout)
		Expect(fake.commands()).NotTo(ContainElement("WRITE a b"))
	})

	It("are refused immediately if the last attempt to connect failed a moment ago", func() {
		// Guards against statements that each wait for another attempt to connect to a
		// lost endpoint, and against refusals that go on after the endpoint is back.
		fake.unreachable = true
		expectRefused(home.Run(ctx, request(peer.StepSingle, "READ a")), refusal.NotRun, refusal.Unreachable)
		fake.unreachable = false
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

	It("are not set again on a connection that already has them", func() {
		// Guards against a needless command before each statement.
		for range 2 {
			expectServed(home.Run(ctx, request(peer.StepSingle, "READ a", with(map[string]string{"tz": "utc"}))))
		}
		expectCommands(fake, "start ws", "set tz=utc", "READ a", "READ a")
	})

	It("are discarded before the statement of a session that has not set them", func() {
		// Guards against a statement that runs with the values of another session.
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ a", with(map[string]string{"tz": "utc"}))))
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ b")))
		expectCommands(fake, "start ws", "set tz=utc", "READ a", "discard", "READ b")
	})

	It("decide which connection a statement takes", func() {
		// Guards against a discard and a setup for each statement of two sessions that take
		// turns although there is a connection with the values of each.
		utc, cet := with(map[string]string{"tz": "utc"}), with(map[string]string{"tz": "cet"})
		fake.holdReads = make(chan struct{})
		results := make(chan *peer.RunResponse, 2)
		for _, values := range []func(*peer.RunRequest){utc, cet} {
			go func() { results <- home.Run(ctx, request(peer.StepSingle, "READ a", values)) }()
		}
		Eventually(func() int { return strings.Count(strings.Join(fake.commands(), " "), "READ a") }).Should(Equal(2))
		close(fake.holdReads)
		expectServed(<-results)
		expectServed(<-results)
		before := len(fake.commands())
		for _, values := range []func(*peer.RunRequest){utc, cet, utc, cet} {
			expectServed(home.Run(ctx, request(peer.StepSingle, "READ b", values)))
		}
		Expect(fake.commands()[before:]).To(Equal([]string{"READ b", "READ b", "READ b", "READ b"}))
	})

	It("are changed without a discard if only the value differs", func() {
		// Guards against a statement that runs with an old value, and against a needless
		// discard.
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ a", with(map[string]string{"tz": "utc"}))))
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ b", with(map[string]string{"tz": "cet"}))))
		expectCommands(fake, "start ws", "set tz=utc", "READ a", "set tz=cet", "READ b")
	})

	It("are prepared once for all sessions, and again after a discard", func() {
		// Guards against preparing a statement again for each session, and against
		// executing one that a discard has removed.
		expectServed(home.Run(ctx, request(peer.StepSingle, "", prepared)))
		expectServed(home.Run(ctx, request(peer.StepSingle, "", prepared, with(map[string]string{"tz": "utc"}))))
		expectServed(home.Run(ctx, request(peer.StepSingle, "", prepared)))
		expectCommands(fake, "start ws", "prepare s1 q1", "EXECUTE s1 a", "set tz=utc", "EXECUTE s1 a",
			"discard", "prepare s2 q1", "EXECUTE s2 a")
	})

	// Guards against connections that keep the long values and prepared statements of many sessions.
	It("are not kept if they are long", func() {
		long := func(name string) func(*peer.RunRequest) {
			return func(r *peer.RunRequest) {
				r.Prepared = &statement.Prepared{Shape: name + strings.Repeat("x", 200<<10)}
			}
		}
		expectServed(home.Run(ctx, request(peer.StepSingle, "a", long("a"))))
		Expect(fake.connections()).To(Equal(1))
		expectServed(home.Run(ctx, request(peer.StepSingle, "a", long("b"))))
		Expect(fake.commands()).To(ContainElement("discard"), "more than maxPreparedBytes")
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ a", with(map[string]string{"tz": strings.Repeat("x", 300<<10)}))))
		Expect(fake.connections()).To(BeZero(), "more than maxSettingsBytes")
		expectServed(home.Run(ctx, request(peer.StepFirst, "a", long("a"))))
		expectServed(home.Run(ctx, request(peer.StepNext, "a", long("b"))))
		expectServed(home.Run(ctx, request(peer.StepNext, "a", long("a"))))
		expectServed(home.Run(ctx, request(peer.StepCommit, "COMMIT")))
		Expect(fake.connections()).To(BeZero(), "a name was forgotten inside of a transaction")
	})

	// failSetup makes the endpoint fail the first commands of the given kinds.
	failSetup := func(times int, failing ...string) {
		fake.respond = func(c endpoint.Command) (endpoint.Reply, error) {
			kind, _, _ := strings.Cut(describe(c), " ")
			if times > 0 && slices.Contains(failing, kind) {
				times--
				return scriptedRefusal(endpoint.ExecutionFailed)
			}
			return endpoint.Reply{}, nil
		}
	}

	DescribeTable("make a statement fail as not run and its connection close if they could not be set",
		// Guards against a statement that runs without the values of its session, or with
		// those of another one. It did so in transactions, whose setup counted as done, and
		// outside of them, where the statement followed in the same write.
		func(step peer.Step, text string, failing string) {
			expectServed(home.Run(ctx, request(peer.StepSingle, "READ z", with(map[string]string{"other": "value"}))))
			failSetup(100, failing)
			ran := home.Run(ctx, request(step, text, prepared, with(map[string]string{"tz": "utc"}), func(r *peer.RunRequest) {
				r.Write = strings.HasPrefix(text, "WRITE")
			}))
			expectRefused(ran, refusal.NotRun, refusal.ConnectionLost)
			Expect(ran.Signature).To(BeEmpty())
			Expect(strings.Join(fake.commands(), " ")).NotTo(ContainSubstring("EXECUTE"))
			Expect(fake.connections()).To(BeZero())
			Expect(home.OpenTransactions()).To(BeZero())
		},
		Entry("read, set", peer.StepSingle, "READ a", "set"),
		Entry("read, prepare", peer.StepSingle, "READ a", "prepare"),
		Entry("write, set", peer.StepSingle, "WRITE a b", "set"),
		Entry("first statement of a transaction, set", peer.StepFirst, "READ a", "set"),
		Entry("first statement of a transaction, prepare", peer.StepFirst, "READ a", "prepare"),
	)

	DescribeTable("are set on another connection if one fails",
		// Guards against the next statement on a connection whose setup has failed, and
		// against refusing a statement because of one failure.
		func(step peer.Step, failing string) {
			expectServed(home.Run(ctx, request(peer.StepSingle, "READ z", with(map[string]string{"other": "value"}))))
			failSetup(1, failing)
			expectServed(home.Run(ctx, request(step, "", prepared, with(map[string]string{"tz": "utc"}))))
			Expect(fake.commands()[len(fake.commands())-1]).To(Equal("EXECUTE s1 a"))
			Expect(fake.connections()).To(Equal(1))
		},
		Entry("discard", peer.StepSingle, "discard"),
		Entry("set", peer.StepSingle, "set"),
		Entry("prepare", peer.StepSingle, "prepare"),
		Entry("discard at the begin", peer.StepFirst, "discard"),
		Entry("set at the begin", peer.StepFirst, "set"),
		Entry("prepare at the begin", peer.StepFirst, "prepare"),
	)

	It("end a transaction and its connection if they could not be set inside of it", func() {
		// Guards against a connection that is reused without the prepared statement that
		// counts as present on it.
		expectServed(home.Run(ctx, request(peer.StepFirst, "READ a")))
		failSetup(1, "prepare")
		expectRefused(home.Run(ctx, request(peer.StepNext, "", prepared)), refusal.NotRun, refusal.TransactionConflict)
		Expect(fake.connections()).To(BeZero())
		expectServed(home.Run(ctx, request(peer.StepSingle, "", prepared)))
		Expect(fake.commands()[len(fake.commands())-2:]).To(Equal([]string{"prepare s1 q1", "EXECUTE s1 a"}))
	})

	It("are set anew after the endpoint did not know a prepared statement", func() {
		// Guards against a connection on which each execution of the statement fails.
		fake.respond = func(c endpoint.Command) (endpoint.Reply, error) {
			if _, ok := c.(endpoint.Execute); ok {
				return scriptedRefusal(endpoint.UnknownPreparedName)
			}
			return endpoint.Reply{}, nil
		}
		Expect(home.Run(ctx, request(peer.StepSingle, "", prepared)).Refused).To(HaveField("Outcome", refusal.NotRun))
		Expect(fake.connections()).To(BeZero())
	})

	It("are set on another connection if the reply is lost, also before a write", func() {
		// Guards against a write of unknown outcome although only its setup was sent.
		lost := false
		fake.respond = func(c endpoint.Command) (endpoint.Reply, error) {
			if _, ok := c.(endpoint.Set); ok && !lost {
				lost = true
				return endpoint.Reply{}, errConnectionLost
			}
			return endpoint.Reply{}, nil
		}
		expectServed(home.Run(ctx, request(peer.StepSingle, "WRITE a b", with(map[string]string{"tz": "utc"}))))
		expectCommands(fake, "start ws", "set tz=utc", "close", "start ws", "set tz=utc", "WRITE a b")
	})
})
