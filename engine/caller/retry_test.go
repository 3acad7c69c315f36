package caller_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/statement"
)

var _ = Describe("an endpoint's error", func() {
	var f *fixture
	failed := refusal.NewUnknown(refusal.StatementFailed, "FAILED")

	BeforeEach(func() {
		f = newFixture().start()
		f.acceptSample(90)
	})

	It("for a read is followed by one attempt at another endpoint", func() {
		// Guards against callers that get the errors of one endpoint although others serve.
		f.fleet.respond = refuseAt(failed, "r1")
		for range 3 {
			expectServed(do(f.open("bounded"), statement.Read{}, "READ a"), statement.Idle)
		}
	})

	It("for a read of a strict route is followed by one more attempt at the primary", func() {
		f.fleet.respond = refuseAt(failed, "p")
		expectRefused(do(f.open("strict"), statement.Read{}, "READ a"), refusal.Unknown, refusal.StatementFailed, statement.Idle)
		Expect(f.fleet.steps()).To(Equal([]string{"p READ a", "p READ a"}))
	})

	It("for a read is returned if the retry does not run", func() {
		// Guards against a read that is refused as not run, and whose rate limit token is returned,
		// although an endpoint ran it.
		ran := false
		f.fleet.respond = func(_ string, r *peer.RunRequest) (*peer.RunResponse, error) {
			switch {
			case r.Step == peer.StepPosition:
				return nil, nil
			case ran:
				return &peer.RunResponse{Refused: refusal.NewNotRun(refusal.Overloaded, "full")}, nil
			}
			ran = true
			return &peer.RunResponse{Refused: failed}, nil
		}
		expectRefused(do(f.open("bounded"), statement.Read{}, "READ a"), refusal.Unknown, refusal.StatementFailed, statement.Idle)
		Expect(f.fleet.steps()).To(HaveLen(2))
		Expect(f.fleet.refunds).To(BeZero())
	})

	It("for a write is final", func() {
		// Guards against a write that takes effect twice.
		f.fleet.respond = refuseAt(failed, "p")
		expectRefused(do(f.open("strict"), statement.Write{}, "WRITE a b"), refusal.Unknown, refusal.StatementFailed, statement.Idle)
		Expect(f.fleet.steps()).To(HaveLen(1))
	})

	It("for a read is final if the workspace has reached its rate limit", func() {
		// Guards against endpoints that run more than the limit, since each attempt runs there.
		admitted := false
		f.fleet.respond = func(_ string, r *peer.RunRequest) (*peer.RunResponse, error) {
			if r.Step != peer.StepPosition && !admitted {
				admitted = true
				f.fleet.admitRefusal = refusal.NewNotRun(refusal.RateExceeded, "limit")
				return &peer.RunResponse{Refused: failed}, nil
			}
			return nil, nil
		}
		expectRefused(do(f.open("bounded"), statement.Read{}, "READ a"), refusal.Unknown, refusal.StatementFailed, statement.Idle)
		Expect(f.fleet.steps()).To(HaveLen(1))
	})

	It("that its home has ejected sends the read to another endpoint", func() {
		f.fleet.respond = refuseAt(refusal.NewNotRun(refusal.EndpointEjected, "ejected"), "r1", "r2")
		expectServed(do(f.open("bounded"), statement.Read{}, "READ a"), statement.Idle)
		Expect(f.fleet.lastRun().Alternatives).To(BeFalse())
	})

	It("does not keep a read from the primary if no replica has the required position", func() {
		// Guards against a read that is sent to an ejected primary without a pause until its time limit.
		behind := refuseAt(refusal.NewNotRun(refusal.ReplicaBehind, "behind"), "r1", "r2")
		f.fleet.respond = func(vm string, r *peer.RunRequest) (*peer.RunResponse, error) {
			if r.Endpoint == "p" && r.Alternatives {
				return &peer.RunResponse{Refused: refusal.NewNotRun(refusal.EndpointEjected, "ejected")}, nil
			}
			return behind(vm, r)
		}
		s := f.open("bounded")
		expectServed(do(s, statement.Read{}, "READ a"), statement.Idle)
		before := len(f.fleet.steps())
		expectServed(do(s, statement.Read{}, "READ b"), statement.Idle)
		Expect(f.fleet.steps()[before:]).To(Equal([]string{"p READ b", "p READ b"}))
	})
})

var _ = Describe("a read at endpoints of which some refuse it", func() {
	var f *fixture
	refusals := map[string]*refusal.Error{
		"ejected": refusal.NewNotRun(refusal.EndpointEjected, "ejected"),
		"full":    refusal.NewNotRun(refusal.Overloaded, "full"),
		"behind":  refusal.NewNotRun(refusal.ReplicaBehind, "behind"),
	}
	// respond refuses reads at the endpoints; an ejected one serves a read without alternatives.
	respond := func(reasons map[string]string) func(string, *peer.RunRequest) (*peer.RunResponse, error) {
		return func(_ string, r *peer.RunRequest) (*peer.RunResponse, error) {
			refused := refusals[reasons[r.Endpoint]]
			if refused == nil || r.Step == peer.StepPosition || (refused.Reason == refusal.EndpointEjected && !r.Alternatives) {
				return nil, nil
			}
			copied := *refused
			return &peer.RunResponse{Refused: &copied}, nil
		}
	}
	asked := func(from int) []string {
		var endpoints []string
		for _, step := range f.fleet.steps()[from:] {
			endpoints = append(endpoints, strings.Fields(step)[0])
		}
		return endpoints
	}

	BeforeEach(func() {
		f = newFixture().start()
		f.acceptSample(90)
	})

	// Guards against a read that is refused as overloaded although an endpoint has room.
	DescribeTable("is served by the one that has room", func(reasons map[string]string) {
		f.fleet.respond = respond(reasons)
		for range 20 {
			before := len(f.fleet.steps())
			expectServed(do(f.open("bounded"), statement.Read{}, "READ a"), statement.Idle)
			Expect(len(asked(before))).To(BeNumerically("<=", 3))
		}
	},
		Entry("after an ejected and a full one", map[string]string{"r1": "ejected", "r2": "full"}),
		Entry("after a full one and an ejected primary", map[string]string{"r1": "full", "p": "ejected"}),
		Entry("after one that is behind and a full one", map[string]string{"r1": "behind", "r2": "full"}),
	)

	It("is sent to each full endpoint at most once, and to a third one only within the retry budget", func() {
		// Guards against reads that are sent to all endpoints while all are full.
		f.fleet.respond = respond(map[string]string{"r1": "full", "r2": "full", "p": "full"})
		const reads = 20
		for range reads {
			before := len(f.fleet.steps())
			expectRefused(do(f.open("bounded"), statement.Read{}, "READ a"), refusal.NotRun, refusal.Overloaded, statement.Idle)
			unique := map[string]bool{}
			for _, id := range asked(before) {
				Expect(unique).NotTo(HaveKey(id))
				unique[id] = true
			}
		}
		Expect(f.fleet.steps()).To(HaveLen(2*reads + 4))
	})
})

var _ = Describe("a read whose response is lost", func() {
	var f *fixture
	lost := refusal.NewUnknown(refusal.DeadlineExceeded, "the endpoint did not respond to the read")
	homeLost := func(_ string, r *peer.RunRequest) (*peer.RunResponse, error) {
		if r.Step == peer.StepPosition {
			return nil, nil
		}
		return nil, peer.ErrConnectionLost
	}

	BeforeEach(func() {
		f = newFixture().start()
		f.acceptSample(90)
		f.view.AcceptVMs(&catalog.VMSnapshot{
			Revision: 2,
			ByName: map[string]catalog.VM{
				"self": f.view.Self(),
				"vm2": {
					Name:       "vm2",
					DataCentre: "a1",
					Region:     "a",
				},
				"vm3": {
					Name:       "vm3",
					DataCentre: "a1",
					Region:     "a",
				},
			},
		}, "test")
	})

	// Guards against reads that are sent to all endpoints, or through all homes, while the
	// responses of many of them are lost.
	DescribeTable("is sent again only while its workspace has retries",
		func(respond func(string, *peer.RunRequest) (*peer.RunResponse, error)) {
			f.fleet.respond = respond
			const reads = 10
			for range reads {
				response := do(f.open("bounded"), statement.Read{}, "READ a")
				expectRefused(response, refusal.Unknown, refusal.DeadlineExceeded, statement.Idle)
			}
			Expect(len(f.fleet.steps())).To(And(BeNumerically(">", reads), BeNumerically("<=", reads+3)))
		},
		Entry("by the endpoints", refuseAt(lost, "r1", "r2", "p")),
		Entry("by the homes", func(vm string, r *peer.RunRequest) (*peer.RunResponse, error) {
			if vm == "self" {
				return refuseAt(lost, "r1", "r2", "p")(vm, r)
			}
			return homeLost(vm, r)
		}),
	)

	It("is not refused as not run", func() {
		// Guards against a read whose rate limit token is returned although an endpoint ran it.
		f.fleet.respond = func(_ string, r *peer.RunRequest) (*peer.RunResponse, error) {
			switch {
			case r.Step == peer.StepPosition:
				return nil, nil
			case len(f.fleet.steps()) == 1:
				return &peer.RunResponse{Refused: lost}, nil
			default:
				return &peer.RunResponse{Refused: refusal.NewNotRun(refusal.Overloaded, "full")}, nil
			}
		}
		expectRefused(do(f.open("bounded"), statement.Read{}, "READ a"), refusal.Unknown, refusal.DeadlineExceeded, statement.Idle)
		Expect(f.fleet.refunds).To(BeZero())
	})
})

var _ = Describe("a read without a recent position", func() {
	It("pauses between its attempts at a primary that refuses it", func() {
		// Guards against thousands of messages for a single read while the home is not reachable.
		f := newFixture().start()
		f.fleet.respond = func(string, *peer.RunRequest) (*peer.RunResponse, error) {
			return &peer.RunResponse{Refused: refusal.NewNotRun(refusal.Unreachable, "unreachable")}, nil
		}
		expectRefused(do(f.open("bounded"), statement.Read{}, "READ a"), refusal.NotRun, refusal.NoPrimary, statement.Idle)
		Expect(len(f.fleet.steps())).To(BeNumerically("<", 15))
	})

	It("is refused at once at a cold primary whose budget is spent", func() {
		// Guards against a read that is held, and sent again without a pause, until its time limit.
		f := newFixture().start()
		f.fleet.respond = func(string, *peer.RunRequest) (*peer.RunResponse, error) {
			return &peer.RunResponse{
				Refused: refusal.NewNotRun(refusal.Overloaded, "cold"),
				Report:  peer.EndpointReport{BudgetWait: time.Second},
			}, nil
		}
		expectRefused(do(f.open("bounded"), statement.Read{}, "READ a"), refusal.NotRun, refusal.Overloaded, statement.Idle)
		Expect(len(f.fleet.steps())).To(BeNumerically("<=", 2))
	})
})
