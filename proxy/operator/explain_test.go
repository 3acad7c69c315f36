package operator_test

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	operatorv1 "amaranthdock.dev/api/amaranthdock/operator/v1"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/proxy/operator"
	"amaranthdock.dev/timer"
)

func (f *fakeFleet) ExplainRoute(context.Context, *operatorv1.ExplainRouteRequest) (*operatorv1.ExplainRouteResponse, error) {
	return &operatorv1.ExplainRouteResponse{Vm: "vm-1"}, f.explainErr
}

func newExplainHandler(fleet *fakeFleet) *operator.Operator {
	GinkgoHelper()
	return newHandler(timer.NewManual(timer.ManualConfig{}), &fakeStore{}, fleet)
}

// fieldOf returns the field that an error's Refusal detail names.
func fieldOf(err error) string {
	GinkgoHelper()
	var failed *connect.Error
	Expect(errors.As(err, &failed)).To(BeTrue(), "%v", err)
	Expect(failed.Details()).To(HaveLen(1))
	detail, err := failed.Details()[0].Value()
	Expect(err).NotTo(HaveOccurred())
	return detail.(*callerv1.Refusal).GetField()
}

var _ = Describe("ExplainRoute", func() {
	valid := func() *operatorv1.ExplainRouteRequest {
		return &operatorv1.ExplainRouteRequest{
			Vm:        "vm-1",
			Database:  "main",
			Workspace: "alpha",
			Kind:      operatorv1.RequestKind_REQUEST_KIND_READ,
		}
	}

	DescribeTable("returns the error of an explanation that is not possible",
		// Guards against an explanation by another VM than the one that is asked for, and
		// against one of an incomplete request.
		func(change func(*operatorv1.ExplainRouteRequest), err error, code connect.Code, field string) {
			request := valid()
			change(request)
			_, failed := newExplainHandler(&fakeFleet{explainErr: err}).ExplainRoute(context.Background(), request)
			Expect(connect.CodeOf(failed)).To(Equal(code))
			Expect(fieldOf(failed)).To(Equal(field))
		},
		Entry("other VM", func(r *operatorv1.ExplainRouteRequest) { r.Vm = "vm-2" }, nil, connect.CodeInvalidArgument, "vm"),
		Entry("no workspace", func(r *operatorv1.ExplainRouteRequest) { r.Workspace = "" }, nil, connect.CodeInvalidArgument, "workspace"),
		Entry("no database", func(r *operatorv1.ExplainRouteRequest) { r.Database = "" }, nil, connect.CodeInvalidArgument, "database"),
		Entry("no kind", func(r *operatorv1.ExplainRouteRequest) { r.Kind = 0 }, nil, connect.CodeInvalidArgument, "kind"),
		Entry("negative age", func(r *operatorv1.ExplainRouteRequest) { r.MaxAge = durationpb.New(-time.Second) }, nil, connect.CodeInvalidArgument, "maxAge"),
		Entry("unknown name", func(*operatorv1.ExplainRouteRequest) {}, &refusal.Error{Reason: refusal.InvalidRequest, Field: "database"}, connect.CodeInvalidArgument, "database"),
		Entry("no configuration", func(*operatorv1.ExplainRouteRequest) {}, refusal.NewNotRun(refusal.NotReady, ""), connect.CodeUnavailable, ""),
	)

	It("adds the age of the configuration", func() {
		response, err := newExplainHandler(&fakeFleet{}).ExplainRoute(context.Background(), valid())
		Expect(err).NotTo(HaveOccurred())
		Expect(response.GetAuthorityAge().AsDuration()).To(Equal(time.Second))
	})
})
