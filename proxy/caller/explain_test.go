package caller

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	operatorv1 "amaranthdock.dev/api/amaranthdock/operator/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/proxy/peer"
)

const (
	readKind  = operatorv1.RequestKind_REQUEST_KIND_READ
	writeKind = operatorv1.RequestKind_REQUEST_KIND_WRITE
)

var errNoAnswer = errors.New("no answer")

// accepting is the answer of a home that accepts the step.
func accepting() *peerv1.ExplainStepResponse {
	return &peerv1.ExplainStepResponse{
		Result:    doneResult(),
		QueueWait: durationpb.New(4 * time.Millisecond),
		Slots:     5,
	}
}

// refusing is the answer of a home that refuses the step.
func refusing(reason refusal.Reason) *peerv1.ExplainStepResponse {
	return &peerv1.ExplainStepResponse{
		Result: peer.EncodeRefusal(&refusal.Error{
			Outcome:    refusal.NotRun,
			Reason:     reason,
			RetryAfter: time.Second,
		}),
	}
}

var _ = Describe("ExplainRoute", func() {
	var (
		f     *fixture
		asked *operatorv1.ExplainRouteRequest
	)
	BeforeEach(func() {
		f = newFixture()
		f.explain = func(string, *peerv1.ForwardRequest) (*peerv1.ExplainStepResponse, error) { return accepting(), nil }
		asked = &operatorv1.ExplainRouteRequest{
			Database:  "d",
			Workspace: "w",
			Kind:      readKind,
			Position:  &operatorv1.LogPosition{Term: 1, Index: 3},
		}
	})

	explain := func() *operatorv1.ExplainRouteResponse {
		GinkgoHelper()
		response, err := f.caller.ExplainRoute(context.Background(), asked)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.forwarded).To(BeEmpty())
		return response
	}
	reasons := func(response *operatorv1.ExplainRouteResponse) map[string]string {
		found := map[string]string{}
		for _, candidate := range response.GetCandidates() {
			found[candidate.GetEndpoint()] = candidate.GetReason()
		}
		return found
	}

	It("chooses the endpoint that the request is sent to", func() {
		// Guards against an explanation that differs from the route of a request.
		for _, kind := range []operatorv1.RequestKind{readKind, writeKind, operatorv1.RequestKind_REQUEST_KIND_TRANSACTION} {
			asked.Kind = kind
			response := explain()
			Expect(response.GetRefusal()).To(BeNil())
			Expect(response.GetHome()).To(Equal("v"))
			Expect(response.GetExpectedWait().AsDuration()).To(Equal(4 * time.Millisecond))
			execute := newExecute(writing)
			if kind == readKind {
				execute = newExecute(reading)
			}
			execute.SessionTokens = []string{f.token("w")}
			executed, err := f.execute(goodKey, execute)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.GetEndpoint()).To(Equal(executed.GetEndpoint()))
			f.forwarded = nil
		}
	})

	It("asks the homes with what a request would send, without a statement", func() {
		// Guards against homes that decide on another position or age, and against a
		// statement in the call.
		asked.MaxAge = durationpb.New(time.Minute)
		explain()
		Expect(f.explained).To(HaveLen(2))
		for _, request := range f.explained {
			Expect(request.GetRequired().GetIndex()).To(BeEquivalentTo(3))
			Expect(request.GetMaxAge().AsDuration()).To(Equal(time.Minute))
			Expect(request.GetTimeout().AsDuration()).To(BeNumerically(">", time.Second))
			Expect(request.GetStatement()).To(BeNil())
		}
	})

	It("follows a replica's refusal to the primary", func() {
		// Guards against an explanation that ends at the first home that refuses.
		f.explain = func(_ string, request *peerv1.ForwardRequest) (*peerv1.ExplainStepResponse, error) {
			if request.GetEndpoint() == "r" {
				answer := refusing(refusal.ReplicaBehind)
				answer.Exclusion = string(routing.TooOld)
				return answer, nil
			}
			return accepting(), nil
		}
		response := explain()
		Expect(response.GetRefusal()).To(BeNil())
		Expect(response.GetEndpoint()).To(Equal("p"))
		Expect(reasons(response)).To(Equal(map[string]string{"p": "", "r": "tooOld"}))
	})

	DescribeTable("explains the refusal of a write",
		// Guards against a refusal without its outcome, or with the retry delay of another.
		func(reason refusal.Reason, exclusion routing.Exclusion, retried bool) {
			asked.Kind = writeKind
			f.explain = func(string, *peerv1.ForwardRequest) (*peerv1.ExplainStepResponse, error) {
				return refusing(reason), nil
			}
			response := explain()
			Expect(response.GetEndpoint()).To(Equal("p"))
			Expect(response.GetRefusal().GetReason()).To(Equal(string(reason)))
			Expect(response.GetRefusal().GetOutcome()).To(Equal("notRun"))
			Expect(response.GetRefusal().GetRetryAfter().AsDuration()).To(Equal(time.Second))
			Expect(response.GetRefusal().GetRetried()).To(Equal(retried))
			Expect(reasons(response)).To(Equal(map[string]string{"p": string(exclusion), "r": "notPrimary"}))
		},
		Entry("full queue", refusal.Overloaded, routing.OverCapacity, false),
		Entry("short deadline", refusal.DeadlineTooShort, routing.OverCapacity, false),
		Entry("replaced primary", refusal.NotPrimary, routing.NotPrimary, true),
		Entry("stalled replication", refusal.ReplicationStalled, routing.RefusedByHome, true),
	)

	It("keeps the reason against a replica if the primary refuses, too", func() {
		// Guards against candidates of another attempt than the one that is explained.
		f.explain = func(_ string, request *peerv1.ForwardRequest) (*peerv1.ExplainStepResponse, error) {
			if request.GetEndpoint() == "r" {
				return refusing(refusal.ReplicaBehind), nil
			}
			return refusing(refusal.NotPrimary), nil
		}
		response := explain()
		Expect(response.GetEndpoint()).To(Equal("p"))
		Expect(response.GetRefusal().GetReason()).To(Equal("notPrimary"))
		Expect(reasons(response)).To(Equal(map[string]string{"p": "notPrimary", "r": "behindPosition"}))
	})

	It("reports a database without a primary", func() {
		asked.Kind = writeKind
		f.view.Primary = ""
		response := explain()
		Expect(response.GetEndpoint()).To(BeEmpty())
		Expect(response.GetRefusal().GetReason()).To(Equal("noPrimary"))
		Expect(response.GetRefusal().GetRetried()).To(BeTrue())
	})

	DescribeTable("explains a refusal by the entry and still shows the candidates",
		func(change func(), reason refusal.Reason) {
			change()
			response := explain()
			Expect(response.GetRefusal().GetReason()).To(Equal(string(reason)))
			Expect(response.GetRefusal().GetOutcome()).To(Equal("notRun"))
			Expect(response.GetCandidates()).To(HaveLen(2))
		},
		Entry("stale configuration", func() { f.stale = true }, refusal.ConfigurationStale),
		Entry("rate", func() { f.admitErr = refusal.NewNotRun(refusal.RateExceeded, "") }, refusal.RateExceeded),
		Entry("write on a public route", func() {
			asked.Workspace, asked.Route, asked.Kind = "", "open", writeKind
		}, refusal.NotAllowed),
	)

	DescribeTable("returns an error for a name that is not configured",
		func(change func(), field string) {
			change()
			_, err := f.caller.ExplainRoute(context.Background(), asked)
			refused, ok := refusal.As(err)
			Expect(ok).To(BeTrue())
			Expect(refused.Reason).To(Equal(refusal.InvalidRequest))
			Expect(refused.Field).To(Equal(field))
		},
		Entry("workspace", func() { asked.Workspace = "none" }, "workspace"),
		Entry("database", func() { asked.Database = "none" }, "database"),
		Entry("route", func() { asked.Workspace, asked.Route = "", "none" }, "route"),
		Entry("route and workspace", func() { asked.Route = "open" }, "route"),
	)

	It("names a home that does not answer, and shows the others", func() {
		// Guards against an explanation that fails, or presents old state as current,
		// because one VM is frozen.
		f.explain = func(_ string, request *peerv1.ForwardRequest) (*peerv1.ExplainStepResponse, error) {
			if request.GetEndpoint() == "r" {
				return nil, errNoAnswer
			}
			return accepting(), nil
		}
		response := explain()
		Expect(response.GetUnansweredVms()).To(Equal([]string{"v"}))
		Expect(response.GetEndpoint()).To(Equal("r"))
		Expect(response.GetExpectedWait()).To(BeNil())
		Expect(response.GetCandidates()[0].GetHomeAnswered()).To(BeTrue())
		Expect(response.GetCandidates()[1].GetHomeAnswered()).To(BeFalse())
	})

	It("uses the fallback home of a home that cannot be reached", func() {
		// Guards against a refusal where a request would reach the endpoint.
		asked.Kind = writeKind
		f.live = []routing.VM{f.Self(), {Name: "v2", DataCentre: "x", Region: "y"}}
		first, _ := routing.Home("p", "x", "y", f.live)
		f.explain = func(vm string, _ *peerv1.ForwardRequest) (*peerv1.ExplainStepResponse, error) {
			if vm == first.Name {
				return refusing(refusal.Unreachable), errNoAnswer
			}
			return accepting(), nil
		}
		response := explain()
		Expect(response.GetRefusal()).To(BeNil())
		Expect(response.GetFallbackHome()).To(BeTrue())
		Expect(response.GetHome()).NotTo(Equal(first.Name))
		Expect(response.GetUnansweredVms()).To(Equal([]string{first.Name}))
	})

	It("does not change the view that requests use, and states its age", func() {
		// Guards against an explanation that changes the route of the next request.
		_, err := f.execute(goodKey, newExecute(writing))
		Expect(err).NotTo(HaveOccurred())
		f.forwarded = nil
		before, _ := f.caller.views.age("d")
		f.clock.Advance(3 * time.Second)
		f.explain = func(string, *peerv1.ForwardRequest) (*peerv1.ExplainStepResponse, error) {
			answer := accepting()
			answer.Result.View = peer.EncodeView(routing.DatabaseView{
				Database: "d",
				Term:     9,
				Primary:  "r",
				Members:  []routing.MemberView{{Endpoint: "p", LastPosition: logpos.Position{Index: 12}}},
			})
			return answer, nil
		}
		response := explain()
		Expect(response.GetCandidates()[0].GetHomePosition().GetIndex()).To(BeEquivalentTo(12))
		Expect(response.GetViewAge().AsDuration()).To(Equal(before + 3*time.Second))
		view, _ := f.caller.views.get("d")
		Expect(view.Term).To(BeEquivalentTo(1))
	})
})
