package commands_test

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	operatorv1 "amaranthdock.dev/api/amaranthdock/operator/v1"
)

// ExplainRoute responds as vm-1, with one endpoint whose home does not answer.
func (p *fakeProxy) ExplainRoute(_ context.Context, request *operatorv1.ExplainRouteRequest) (*operatorv1.ExplainRouteResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.explained = append(p.explained, request)
	if request.GetVm() == "vm-2" {
		return nil, wrongVMError()
	}
	if request.GetDatabase() == "none" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the database is not known"))
	}
	return &operatorv1.ExplainRouteResponse{
		Vm:           "vm-1",
		Endpoint:     "main-2",
		Home:         "vm-3",
		ExpectedWait: durationpb.New(4 * time.Millisecond),
		ViewAge:      durationpb.New(120 * time.Millisecond),
		Deadline:     durationpb.New(5 * time.Second),
		Refusal: &operatorv1.RouteRefusal{
			Reason:     "overloaded",
			Outcome:    "notRun",
			Message:    "the queue of the endpoint refused the step",
			RetryAfter: durationpb.New(20 * time.Millisecond),
			Retried:    true,
		},
		RateLimit: &operatorv1.RateLimit{Rate: 50, Burst: 20, Tokens: 12},
		Candidates: []*operatorv1.RouteCandidate{
			{Endpoint: "main-1", Role: "primary", Reason: "replicaPreferred", Home: "vm-2"},
			{Endpoint: "main-2", Role: "replica", Reason: "overCapacity", Home: "vm-3", HomeAnswered: true, HomeReason: "overloaded", Steps: 9, Slots: 5,
				CatchUp: durationpb.New(time.Millisecond), CatchUpLimit: durationpb.New(2 * time.Millisecond),
				Position: &operatorv1.LogPosition{Term: 3, Index: 8}, HomePosition: &operatorv1.LogPosition{Term: 3, Index: 9}},
		},
		UnansweredVms: []string{"vm-2"},
	}, nil
}

var _ = Describe("route explain", func() {
	var f *runFixture
	BeforeEach(func() { f = newRunFixture() })

	DescribeTable("shows the route, the refusal, the candidates and the age of the data",
		func(text string) {
			f.expectExit(0, text, "route", "explain", "--database", "main", "--workspace", "alpha")
		},
		Entry("route", "Route from vm-1: main-2 through its home vm-3\nExpected wait: 4ms"),
		Entry("refusal", "Refused: overloaded (the queue of the endpoint refused the step), outcome notRun, retry after 20ms; tried again until the deadline (5s by default)"),
		Entry("rate limit", "Rate limit: 50/s, burst 20, 12 tokens at vm-1"),
		Entry("age", "view of the database 120ms old"),
		Entry("VM without an answer", "No answer, state unknown: vm-2"),
		Entry("endpoint over capacity", "overCapacity"),
		Entry("slots", "9/5"),
		Entry("wait for the position", "1ms of 2ms"),
		Entry("position that the home knows", "3.9"),
	)

	It("prints camelCase JSON", func() {
		f.expectExit(0, "", "--output", "json", "route", "explain", "--database", "main", "--workspace", "alpha")
		var printed struct {
			ExpectedWait  string   `json:"expectedWait"`
			UnansweredVms []string `json:"unansweredVms"`
			Candidates    []struct {
				HomeReason string `json:"homeReason"`
			} `json:"candidates"`
		}
		Expect(json.Unmarshal(f.output.Bytes(), &printed)).To(Succeed())
		Expect(printed.ExpectedWait).To(Equal("0.004s"))
		Expect(printed.UnansweredVms).To(Equal([]string{"vm-2"}))
		Expect(printed.Candidates[1].HomeReason).To(Equal("overloaded"))
	})

	It("passes the flags on", func() {
		// Guards against an explanation of another request than the one that is meant.
		f.expectExit(0, "", "route", "explain", "--database", "main", "--workspace", "alpha", "--kind", "write", "--position", "3.17", "--max-age", "0s", "--vm", "vm-1")
		Expect(f.server.explained).To(HaveLen(1))
		request := f.server.explained[0]
		Expect(request.GetKind()).To(Equal(operatorv1.RequestKind_REQUEST_KIND_WRITE))
		Expect(request.GetPosition().GetTerm()).To(BeEquivalentTo(3))
		Expect(request.GetPosition().GetIndex()).To(BeEquivalentTo(17))
		Expect(request.GetMaxAge()).NotTo(BeNil())
		Expect(request.GetVm()).To(Equal("vm-1"))
		f.expectExit(0, "", "route", "explain", "--route", "open")
		Expect(f.server.explained[1].GetPosition()).To(BeNil())
		Expect(f.server.explained[1].GetMaxAge()).To(BeNil())
		Expect(f.server.explained[1].GetKind()).To(Equal(operatorv1.RequestKind_REQUEST_KIND_READ))
	})

	DescribeTable("returns the exit code of an error",
		func(code int, text string, arguments ...string) {
			f.expectExit(code, text, append([]string{"route", "explain"}, arguments...)...)
		},
		Entry("other VM", 1, "no --proxy address is the operator listener of vm-2", "--database", "main", "--workspace", "alpha", "--vm", "vm-2"),
		Entry("unknown database", 1, "the database is not known", "--database", "none", "--workspace", "alpha"),
		Entry("no workspace", 2, "--workspace or --route is required", "--database", "main"),
		Entry("no database", 2, "--database is required", "--workspace", "alpha"),
		Entry("invalid position", 2, `--position requires TERM.NUMBER, got "7"`, "--database", "main", "--workspace", "alpha", "--position", "7"),
		Entry("invalid kind", 2, "must be one of read,write,transaction", "--database", "main", "--workspace", "alpha", "--kind", "none"),
	)
})
