package endpoint_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/endpoint"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/timer"
)

var _ = Describe("an endpoint that fails its statements while it responds", func() {
	ctx := context.Background()
	var (
		fake *fakeEndpoint
		home *endpoint.Home
	)

	// run runs a read of one of several workspaces.
	run := func(i int, alternatives bool) *peer.RunResponse {
		return home.Run(ctx, request(peer.StepSingle, "READ a", func(r *peer.RunRequest) {
			r.Workspace = fmt.Sprintf("ws%d", i%3)
			r.Alternatives = alternatives
		}))
	}

	BeforeEach(func() {
		fake = &fakeEndpoint{}
		home = newHome(fake)
		fake.respond = func(endpoint.Command) (endpoint.Reply, error) { return scriptedRefusal(endpoint.ExecutionFailed) }
		for i := range 8 {
			run(i, true)
		}
	})

	It("gets no reads that can run elsewhere", func() {
		// Guards against reads that fail although another endpoint would serve them.
		ran := run(0, true)
		expectRefused(ran, refusal.NotRun, refusal.EndpointEjected)
		Expect(ran.Report.Ejected).To(BeTrue())
		Expect(home.ServesWell(target)).To(BeFalse())
	})

	It("still gets statements that only it can run", func() {
		// Guards against a database that is not served at all because its last endpoint fails
		// a part of the statements.
		expectRefused(run(0, false), refusal.Unknown, refusal.StatementFailed)
	})
})

var _ = Describe("an ejected endpoint that gets no statements", func() {
	It("gets all reads again after a time", func() {
		// Guards against an endpoint that stays ejected because too few probes arrive.
		ctx := context.Background()
		fake := &fakeEndpoint{}
		clock := timer.NewManual(timer.ManualConfig{Start: time.Unix(1000, 0)})
		home := newHomeWithClock(fake, clock)
		read := func(workspace string) *peer.RunResponse {
			return home.Run(ctx, request(peer.StepSingle, "READ a", func(r *peer.RunRequest) {
				r.Workspace = workspace
				r.Alternatives = true
			}))
		}
		fake.respond = func(endpoint.Command) (endpoint.Reply, error) { return scriptedRefusal(endpoint.ExecutionFailed) }
		for i := range 5 {
			read(fmt.Sprintf("ws%d", i))
		}
		expectRefused(read("ws"), refusal.NotRun, refusal.EndpointEjected)
		fake.respond = nil
		clock.Advance(7 * time.Second)
		Expect(read("ws").Report.Ejected).To(BeFalse())
		clock.Advance(7 * time.Second)
		for range 10 {
			expectServed(read("ws"))
		}
	})
})

var _ = Describe("a busy reply", func() {
	ctx := context.Background()
	var (
		fake    *fakeEndpoint
		home    *endpoint.Home
		replies int
	)

	BeforeEach(func() {
		fake = &fakeEndpoint{}
		home = newHome(fake)
		replies = 0
		fake.respond = func(endpoint.Command) (endpoint.Reply, error) {
			if replies++; replies == 1 {
				return scriptedRefusal(endpoint.Busy)
			}
			return endpoint.Reply{}, nil
		}
	})

	It("of a statement that only this endpoint can run is followed by another attempt", func() {
		// Guards against a write that is refused although the endpoint has a free slot a moment
		// later.
		expectServed(home.Run(ctx, request(peer.StepSingle, "WRITE a b")))
		expectCommands(fake, "start ws", "WRITE a b", "WRITE a b")
	})

	It("is not followed by another attempt after a suspension that outlasts the timeout", func() {
		// Guards against a write that overwrites newer ones of its caller, whose VM gave up the
		// call long ago.
		clock := timer.NewManual(timer.ManualConfig{Start: time.Unix(1000, 0)})
		home = newHomeWithClock(fake, clock)
		result := make(chan *peer.RunResponse, 1)
		go func() { result <- home.Run(ctx, request(peer.StepSingle, "WRITE a b")) }()
		Eventually(fake.commands).Should(HaveLen(2))
		Eventually(clock.Subscribers).Should(Equal(1))
		clock.Suspend(time.Second)
		clock.Advance(20 * time.Millisecond)
		expectRefused(<-result, refusal.NotRun, refusal.Overloaded)
		expectCommands(fake, "start ws", "WRITE a b")
	})

	It("of a read that another endpoint can run is returned at once", func() {
		ran := home.Run(ctx, request(peer.StepSingle, "READ a", func(r *peer.RunRequest) { r.Alternatives = true }))
		expectRefused(ran, refusal.NotRun, refusal.Overloaded)
	})

	It("is not followed by more attempts than the retry budget allows", func() {
		// Guards against retries that keep an endpoint overloaded.
		fake.respond = func(endpoint.Command) (endpoint.Reply, error) { return scriptedRefusal(endpoint.Busy) }
		for range 20 {
			home.Run(ctx, request(peer.StepSingle, "WRITE a b"))
		}
		Expect(len(fake.commands())).To(BeNumerically("<", 30))
	})
})

var _ = Describe("busy replies of an endpoint with free slots", func() {
	var (
		fake *fakeEndpoint
		home *endpoint.Home
	)

	run := func(step peer.Step, text string) *peer.RunResponse {
		return home.Run(context.Background(), request(step, text, func(r *peer.RunRequest) { r.Alternatives = true }))
	}
	single := func() *peer.RunResponse { return run(peer.StepSingle, "READ a") }
	first := func() *peer.RunResponse { return run(peer.StepFirst, "READ a") }
	isEjected := func(run func() *peer.RunResponse) func() bool {
		return func() bool { return run().Report.Ejected }
	}

	BeforeEach(func() {
		fake = &fakeEndpoint{}
		home = newHome(fake)
		fake.respond = func(c endpoint.Command) (endpoint.Reply, error) {
			if _, ok := c.(endpoint.Forward); ok {
				return scriptedRefusal(endpoint.Busy)
			}
			return endpoint.Reply{}, nil
		}
	})

	DescribeTable("eject it if it has no connections of another home", func(run func() *peer.RunResponse) {
		// Guards against an endpoint that rejects its statements and keeps getting reads.
		Eventually(isEjected(run)).Should(BeTrue())
	},
		Entry("for statements", single),
		Entry("for transactions", first),
	)

	It("do not eject it if another home has connections, which may use the slots", func() {
		// Guards against the ejection of an endpoint whose slots two homes use, as during a change
		// of its home.
		fake.foreign = 1
		Consistently(isEjected(single)).WithTimeout(600 * time.Millisecond).Should(BeFalse())
		Expect(fake.commands()).To(ContainElement("status"))
		Expect(fake.connections()).To(BeNumerically("<=", 2))
	})

	It("are followed by few status requests", func() {
		// Guards against status requests that take the slots of statements.
		fake.foreign = 1
		began := time.Now()
		for range 200 {
			expectRefused(single(), refusal.NotRun, refusal.Overloaded)
		}
		statuses := strings.Count(strings.Join(fake.commands(), " "), "status")
		Expect(statuses).To(BeNumerically("<=", 1+int(time.Since(began)/(250*time.Millisecond))))
	})
})

var _ = Describe("a wait for an endpoint that its home ends itself", func() {
	ctx := context.Background()
	const statements = 5
	var (
		fake  *fakeEndpoint
		home  *endpoint.Home
		clock *timer.Manual
		held  chan struct{}
	)

	// runHeld runs statements that get no reply until end is called, and then fail. It reports
	// whether the endpoint is ejected afterwards.
	runHeld := func(end func()) bool {
		var last *peer.RunResponse
		for i := range statements {
			result := make(chan *peer.RunResponse, 1)
			go func() {
				result <- home.Run(ctx, request(peer.StepSingle, "WRITE a b", func(r *peer.RunRequest) { r.Workspace = fmt.Sprintf("ws%d", i) }))
			}()
			sent := func() int { return strings.Count(strings.Join(fake.commands(), " "), "WRITE") }
			Eventually(sent).Should(Equal(i + 1))
			end()
			held <- struct{}{}
			Eventually(result).Should(Receive(&last))
			expectRefused(last, refusal.Unknown, refusal.OutcomeNotKnown)
		}
		return last.Report.Ejected
	}

	BeforeEach(func() {
		fake = &fakeEndpoint{}
		clock = timer.NewManual(timer.ManualConfig{Start: time.Unix(1000, 0)})
		home = newHomeWithClock(fake, clock)
		held = make(chan struct{})
		fake.respond = func(endpoint.Command) (endpoint.Reply, error) {
			<-held
			return endpoint.Reply{}, errConnectionLost
		}
	})

	// Guards against the ejection of healthy endpoints, and against reports that they do not
	// respond, after a suspension or at the end of the VM.
	DescribeTable("says nothing about the endpoint", func(end func()) {
		Expect(runHeld(end)).To(BeFalse())
		Expect(fake.unresponsiveReports).To(BeZero())
	},
		Entry("after a suspension", func() { clock.Suspend(300 * time.Millisecond) }),
		Entry("after a stop beyond the time limit", func() { clock.Advance(520 * time.Millisecond) }),
		Entry("by closing its connections", func() { home.EndStatements() }),
	)

	It("is told from a connection that the endpoint ended", func() {
		Expect(runHeld(func() {})).To(BeTrue())
		Expect(fake.unresponsiveReports).NotTo(BeZero())
	})
})
