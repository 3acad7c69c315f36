package endpoint_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/evacuation"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/endpoint"
	"amaranthdock.dev/engine/peer"
)

// fakePlaces is the state of the data centre of the fake endpoint, which is in region a.
type fakePlaces struct {
	state    atomic.Int64
	noPooled atomic.Bool
}

func (f *fakePlaces) Access(catalog.Endpoint) evacuation.Access {
	return evacuation.Access(f.state.Load())
}

func (f *fakePlaces) MayKeepConnections(catalog.Endpoint) bool { return !f.noPooled.Load() }

func (f *fakePlaces) Region(string) string { return "a" }

var _ = Describe("a home of an endpoint in an evacuated data centre", func() {
	var fake *fakeEndpoint
	var places *fakePlaces
	var home *endpoint.Home
	ctx := context.Background()
	setAccess := func(access evacuation.Access) { places.state.Store(int64(access)) }
	readOnly := func(r *peer.RunRequest) { r.ReadOnly = true }

	BeforeEach(func() {
		fake, places = &fakeEndpoint{}, &fakePlaces{}
		home = newHomeWith(fake, func(c *endpoint.Config) { c.Places = places })
	})

	It("runs writes, but neither reads nor first statements of read-only transactions", func() {
		setAccess(evacuation.WritesOnly)
		expectServed(home.Run(ctx, request(peer.StepSingle, "WRITE a b")))
		expectServed(home.Run(ctx, request(peer.StepFirst, "WRITE a b")))
		expectRefused(home.Run(ctx, request(peer.StepSingle, "READ a")), refusal.NotRun, refusal.DataCentreEvacuated)
		expectRefused(home.Run(ctx, request(peer.StepFirst, "READ a", readOnly)), refusal.NotRun, refusal.DataCentreEvacuated)
		Expect(fake.commands()).NotTo(ContainElement("READ a"))
	})

	It("sends nothing after the limit and tells when to retry", func() {
		setAccess(evacuation.Closed)
		result := home.Run(ctx, request(peer.StepSingle, "WRITE a b"))
		expectRefused(result, refusal.NotRun, refusal.DataCentreEvacuated)
		Expect(result.Refused.RetryAfter).To(BeNumerically(">", 0))
		expectRefused(home.Run(ctx, request(peer.StepPosition, "")), refusal.NotRun, refusal.DataCentreEvacuated)
		expectCommands(fake)
	})

	It("does not send statements that waited for a slot until after the limit", func() {
		// Guards against a check that is made only when the statement arrives.
		fake.holdReads = make(chan struct{})
		for range target.Slots + 1 {
			go home.Run(ctx, request(peer.StepSingle, "READ a"))
		}
		Eventually(func() []string { return fake.commands() }).Should(HaveLen(2 * (target.Slots + 1)))
		waiting := make(chan *peer.RunResponse, 1)
		other := func(r *peer.RunRequest) { r.Workspace = "other" }
		go func() { waiting <- home.Run(ctx, request(peer.StepSingle, "WRITE late", other)) }()
		Consistently(waiting, 30*time.Millisecond).ShouldNot(Receive())
		setAccess(evacuation.Closed)
		close(fake.holdReads)
		var result *peer.RunResponse
		Eventually(waiting).Should(Receive(&result))
		expectRefused(result, refusal.NotRun, refusal.DataCentreEvacuated)
		Expect(fake.commands()).NotTo(Or(ContainElement("WRITE late"), ContainElement("start other")))
	})

	It("does not send statements whose connection was opened until after the limit", func() {
		fake.onDial = func() { setAccess(evacuation.Closed) }
		expectRefused(home.Run(ctx, request(peer.StepFirst, "WRITE late")), refusal.NotRun, refusal.DataCentreEvacuated)
		expectCommands(fake, "start ws")
	})

	It("does not send statements whose connection was set up until after the limit", func() {
		fake.respond = func(c endpoint.Command) (endpoint.Reply, error) {
			if _, ok := c.(endpoint.Set); ok {
				setAccess(evacuation.Closed)
			}
			return endpoint.Reply{}, nil
		}
		withValue := func(r *peer.RunRequest) { r.Values = map[string]string{"tz": "utc"} }
		expectRefused(home.Run(ctx, request(peer.StepSingle, "WRITE late", withValue)), refusal.NotRun, refusal.DataCentreEvacuated)
		Expect(fake.commands()).NotTo(ContainElement("WRITE late"))
		setAccess(evacuation.Open)
		expectServed(home.Run(ctx, request(peer.StepFirst, "WRITE a b")))
		expectRefused(home.Run(ctx, request(peer.StepNext, "WRITE late", withValue)), refusal.NotRun, refusal.TransactionConflict)
		Expect(fake.commands()).NotTo(ContainElement("WRITE late"))
	})

	It("sends no setup of a statement in a transaction after the limit", func() {
		expectServed(home.Run(ctx, request(peer.StepFirst, "WRITE a b")))
		setAccess(evacuation.Closed)
		withValue := func(r *peer.RunRequest) { r.Values = map[string]string{"tz": "utc"} }
		expectRefused(home.Run(ctx, request(peer.StepNext, "WRITE late", withValue)), refusal.NotRun, refusal.TransactionConflict)
		expectCommands(fake, "start ws", "begin", "WRITE a b", "close")
	})

	It("continues open transactions until the limit and then rolls them back", func() {
		// Guards against a commit that reaches the endpoint after the limit, and against a
		// refusal that does not tell the cause.
		expectServed(home.Run(ctx, request(peer.StepFirst, "READ a", readOnly)))
		setAccess(evacuation.WritesOnly)
		home.Evacuate()
		expectServed(home.Run(ctx, request(peer.StepNext, "READ b")))
		setAccess(evacuation.Closed)
		home.Evacuate()
		Eventually(home.OpenTransactions).Should(BeZero())
		expectRefused(home.Run(ctx, request(peer.StepCommit, "COMMIT")), refusal.NotRun, refusal.TransactionConflict)
		expectCommands(fake, "start ws", "begin", "READ a", "READ b", "close")
	})

	It("refuses the commit of a transaction that is still open after the limit", func() {
		expectServed(home.Run(ctx, request(peer.StepFirst, "WRITE a b")))
		setAccess(evacuation.Closed)
		expectRefused(home.Run(ctx, request(peer.StepCommit, "COMMIT")), refusal.NotRun, refusal.TransactionConflict)
		expectCommands(fake, "start ws", "begin", "WRITE a b", "close")
	})

	It("repeats no commit after the limit at an endpoint that was busy", func() {
		expectServed(home.Run(ctx, request(peer.StepFirst, "WRITE a b")))
		fake.respond = func(endpoint.Command) (endpoint.Reply, error) {
			setAccess(evacuation.Closed)
			return scriptedRefusal(endpoint.Busy)
		}
		expectRefused(home.Run(ctx, request(peer.StepCommit, "COMMIT")), refusal.NotRun, refusal.TransactionConflict)
		expectCommands(fake, "start ws", "begin", "WRITE a b", "commit", "close")
	})

	It("closes unused connections at once and others as they are returned", func() {
		expectServed(home.Run(ctx, request(peer.StepSingle, "WRITE a b")))
		expectServed(home.Run(ctx, request(peer.StepFirst, "WRITE a b")))
		expectServed(home.Run(ctx, request(peer.StepSingle, "WRITE a b")))
		Expect(home.Usage("")).To(Equal(endpoint.Usage{
			Statements:  1,
			Connections: 2,
		}))
		places.noPooled.Store(true)
		setAccess(evacuation.WritesOnly)
		home.Evacuate()
		Expect(fake.connections()).To(Equal(1))
		expectServed(home.Run(ctx, request(peer.StepCommit, "COMMIT")))
		Expect(fake.connections()).To(BeZero())
		Expect(home.Usage("")).To(BeZero())
	})

	It("refuses statements that may not run in the region of the endpoint", func() {
		// Guards against an endpoint that returned in another region under the same id, which
		// the VM of the caller does not know yet.
		in := func(regions ...string) func(*peer.RunRequest) {
			return func(r *peer.RunRequest) { r.Regions = catalog.NewRegions(regions) }
		}
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ a", in("a", "b"))))
		expectRefused(home.Run(ctx, request(peer.StepSingle, "READ b", in("b"))), refusal.NotRun, refusal.RegionNotAllowed)
	})
})
