package operator

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	operatorv1 "amaranthdock.dev/api/amaranthdock/operator/v1"
	"amaranthdock.dev/decision/refusal"
)

// ExplainRoute returns where this VM would send a request now, and why. Explanations by
// other VMs have to be requested from their own operator listeners.
func (o *Operator) ExplainRoute(ctx context.Context, r *operatorv1.ExplainRouteRequest) (*operatorv1.ExplainRouteResponse, error) {
	if err := o.checkVM(r.GetVm()); err != nil {
		return nil, err
	}
	if refused := checkExplained(r); refused != nil {
		return nil, o.refusalError(connect.CodeInvalidArgument, refused)
	}
	authorityAge := o.config.Configuration.AuthorityAge()
	response, err := o.config.Explainer.ExplainRoute(ctx, r)
	if err != nil {
		return nil, o.explainError(err)
	}
	response.AuthorityAge = durationpb.New(authorityAge)
	o.explanations.Inc(1)
	o.logger.V(1).Info("Explained the route of a request.", "database", response.GetDatabase(), "workspace", r.GetWorkspace(),
		"route", r.GetRoute(), "endpoint", response.GetEndpoint(), "home", response.GetHome(), "reason", response.GetRefusal().GetReason(),
		"unanswered", response.GetUnansweredVms())
	return response, nil
}

// checkExplained returns a refusal of an explanation whose fields are invalid.
func checkExplained(r *operatorv1.ExplainRouteRequest) *refusal.Error {
	field, message := "", ""
	switch {
	case r.GetWorkspace() == "" && r.GetRoute() == "":
		field, message = "workspace", "the workspace or the route is missing"
	case r.GetDatabase() == "" && r.GetRoute() == "":
		field, message = "database", "the database is missing"
	case r.GetKind() == operatorv1.RequestKind_REQUEST_KIND_UNSPECIFIED:
		field, message = "kind", "the kind of the request is missing"
	case r.GetMaxAge() != nil && (r.GetMaxAge().CheckValid() != nil || r.GetMaxAge().AsDuration() < 0):
		field, message = "maxAge", "the age is negative or out of range"
	default:
		return nil
	}
	return &refusal.Error{
		Outcome: refusal.NotRun,
		Reason:  refusal.InvalidRequest,
		Message: message,
		Field:   field,
	}
}

// explainError converts an error of the Explainer to a Connect error.
func (o *Operator) explainError(err error) error {
	refused, ok := refusal.As(err)
	if !ok {
		refused = refusal.NewNotRun(refusal.Internal, err.Error())
	}
	switch refused.Reason {
	case refusal.InvalidRequest:
		return o.refusalError(connect.CodeInvalidArgument, refused)
	case refusal.Internal:
		return o.refusalError(connect.CodeInternal, refused)
	default:
		return o.refusalError(connect.CodeUnavailable, refused)
	}
}
