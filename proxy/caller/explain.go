package caller

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	operatorv1 "amaranthdock.dev/api/amaranthdock/operator/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/timer"
)

const (
	// explainTimeout is the timeout of an explanation. It is below the 3 s that amaranthctl
	// waits for a call.
	explainTimeout = 2500 * time.Millisecond
	// maxExplainedAttempts limits the attempts that an explanation follows. A read of a
	// database of three members tries two replicas and two homes of the primary before its
	// attempts repeat.
	maxExplainedAttempts = 6
)

// ExplainRoute returns where a request to this VM would be sent now, and why. It makes the
// decisions of Execute and Begin on a copy of this VM's view of the database, and asks the
// homes for theirs. It takes no token, sends no statement and changes no view.
func (c *Caller) ExplainRoute(ctx context.Context, asked *operatorv1.ExplainRouteRequest) (*operatorv1.ExplainRouteResponse, error) {
	// Read before the snapshot, as in startRequest.
	authorized := c.config.Configuration.Authorized()
	r := &request{snapshot: c.config.Configuration.Current()}
	if r.snapshot == nil {
		return nil, refusal.NewNotRun(refusal.NotReady, "the proxy has no configuration yet")
	}
	database, err := r.applyExplained(asked)
	if err != nil {
		return nil, err
	}
	ctx, cancel := timer.WithTimeout(ctx, c.config.Timer, explainTimeout)
	defer cancel()
	timeout := defaultTimeout(r.snapshot)
	r.deadline = c.config.Timer.Now().Add(timeout)
	x := c.newExplanation(r, asked, database)
	x.response.Deadline = durationpb.New(timeout)
	x.checkEntry(authorized, accessOf(asked.GetKind()))
	x.askHomes(ctx)
	result, retried := x.followAttempts(ctx)
	if ctx.Err() != nil {
		return nil, refusal.NewNotRun(refusal.DeadlineExceeded, "the explanation took too long")
	}
	x.describe(result, retried)
	return x.response, nil
}

// applyExplained sets the principal and the token of a request that is to be explained, and
// returns its database. Names that are not configured are errors.
func (r *request) applyExplained(asked *operatorv1.ExplainRouteRequest) (string, error) {
	database := asked.GetDatabase()
	switch {
	case asked.GetRoute() != "" && asked.GetWorkspace() != "":
		return "", errKeyWithRoute()
	case asked.GetRoute() != "":
		var err error
		if r.principal, err = routePrincipal(r.snapshot, asked.GetRoute()); err != nil {
			return "", err
		}
		if database == "" {
			database = r.route.Database
		}
	default:
		if _, ok := r.snapshot.Workspace(asked.GetWorkspace()); !ok {
			return "", invalidRequest("workspace", "the workspace is not known")
		}
		r.workspace, r.subject = asked.GetWorkspace(), asked.GetWorkspace()
	}
	if _, ok := r.snapshot.Database(database); !ok {
		return "", invalidRequest("database", "the database is not known")
	}
	r.token.Workspace = r.subject
	if position := asked.GetPosition(); position != nil {
		r.token = r.token.WithPosition(database, logpos.Position{
			Term:  position.GetTerm(),
			Index: position.GetIndex(),
		}, true)
	}
	return database, nil
}

func accessOf(kind operatorv1.RequestKind) callerv1.Access {
	if kind == operatorv1.RequestKind_REQUEST_KIND_READ {
		return callerv1.Access_ACCESS_READ
	}
	return callerv1.Access_ACCESS_WRITE
}

// explanation is the state of explaining the route of one request. It is the forwarder of
// its dispatch.
type explanation struct {
	*homeAnswers
	caller   *Caller
	dispatch *dispatch
	response *operatorv1.ExplainRouteResponse
	// refused is the refusal by this VM itself; nil if it would forward the request.
	refused *refusal.Error
	// last is the last attempt.
	last explainedAttempt
}

func (c *Caller) newExplanation(r *request, asked *operatorv1.ExplainRouteRequest, database string) *explanation {
	x := &explanation{
		homeAnswers: newHomeAnswers(c.config.Explainer, c.config.Timer),
		caller:      c,
		response: &operatorv1.ExplainRouteResponse{
			Vm:                   c.config.Directory.Self().Name,
			Database:             database,
			ConfigurationVersion: r.snapshot.Version(),
		},
	}
	if asked.GetKind() == operatorv1.RequestKind_REQUEST_KIND_TRANSACTION {
		x.dispatch = c.newBeginDispatch(r, database)
	} else {
		x.dispatch = c.newDispatch(r, &callerv1.ExecuteRequest{
			Access: accessOf(asked.GetKind()),
			MaxAge: asked.GetMaxAge(),
		}, database, discardRows)
	}
	x.dispatch.forwarder = x
	x.dispatch.views = c.views.copyOf(database)
	return x
}

// checkEntry evaluates the checks that this VM makes before it forwards a request, except
// those of the key, the command and the statement, which an explanation does not have.
func (x *explanation) checkEntry(authorized bool, access callerv1.Access) {
	r := x.dispatch.request
	err := r.checkAuthority(authorized)
	if err == nil {
		err = r.authorizeAccess(r.snapshot, x.dispatch.database, access)
	}
	if err == nil {
		admission, refused := x.caller.config.Limiter.Evaluate(r.subject)
		err = refused
		x.response.RateLimit = encodeAdmission(admission)
	}
	x.refused, _ = refusal.As(err)
}

// explainedAttempt is one attempt to send the request: the routing decision and the VM to
// which the step would go.
type explainedAttempt struct {
	view     routing.DatabaseView
	verdicts []routing.Verdict
	// endpoint and vm are empty if there is no route.
	endpoint string
	vm       string
}

// followAttempts makes the attempts that run would make, without the delays between them,
// until one succeeds or would be repeated. It returns the result of the last attempt and
// whether the request would be tried again until its deadline.
func (x *explanation) followAttempts(ctx context.Context) (result *peerv1.ForwardResult, retried bool) {
	c, d := x.caller, x.dispatch
	view := d.views.getOrRefresh(ctx, d.snapshot, d.database)
	for range maxExplainedAttempts {
		var redirect bool
		if result, redirect = x.explainAttempt(ctx, view); !d.mayRetry(result) {
			return result, false
		}
		if redirect {
			view = d.views.getOrRefresh(ctx, d.snapshot, d.database)
			continue
		}
		next, hasRoute, needsBudget := c.retryRoute(ctx, d)
		if !hasRoute || needsBudget {
			break
		}
		view = next
	}
	return result, true
}

// explainAttempt makes one attempt and keeps its routing decision.
func (x *explanation) explainAttempt(ctx context.Context, view routing.DatabaseView) (result *peerv1.ForwardResult, redirect bool) {
	c, d := x.caller, x.dispatch
	x.last = explainedAttempt{
		view:     view,
		verdicts: c.explainRoute(d, view),
	}
	if age, ok := d.views.age(d.database); ok {
		x.response.ViewAge = durationpb.New(age)
	}
	to, hasRoute := c.route(d, view).(routing.SendTo)
	result, redirect = c.attempt(ctx, d, view)
	if hasRoute {
		x.last.endpoint = to.Endpoint
		x.last.vm = d.lastVM
	}
	return result, redirect
}

// describe adds the result of the last attempt and the candidates to the response.
func (x *explanation) describe(result *peerv1.ForwardResult, retried bool) {
	refused := peer.DecodeRefusal(result)
	for _, verdict := range x.last.verdicts {
		x.response.Candidates = append(x.response.Candidates, x.candidate(verdict, refused != nil))
	}
	x.response.UnansweredVms = x.unanswered()
	x.describeChoice()
	switch {
	case x.refused != nil:
		x.response.Refusal = encodeRouteRefusal(x.refused, false)
	case refused != nil:
		x.response.Refusal = encodeRouteRefusal(refused, retried)
	}
}

// describeChoice adds the endpoint and the home of the last attempt to the response. If
// the request is refused, these are where it would have been sent.
func (x *explanation) describeChoice() {
	x.response.Endpoint = x.last.endpoint
	x.response.Home = x.last.vm
	if first, ok := x.caller.firstHome(x.dispatch, x.last.endpoint); ok {
		x.response.FallbackHome = first != x.last.vm
	}
	if answer, ok := x.answerFor(x.last.endpoint, x.last.vm); ok {
		x.response.ExpectedWait = waitOf(answer)
	}
}

// encodeAdmission converts an admission to its protobuf form; nil if there is none.
func encodeAdmission(admission limits.Admission) *operatorv1.RateLimit {
	if admission == (limits.Admission{}) {
		return nil
	}
	return &operatorv1.RateLimit{
		Rate:     admission.Limit.Rate,
		Burst:    admission.Limit.Burst,
		Tokens:   admission.Tokens,
		MustWait: admission.MustWait,
	}
}

// encodeRouteRefusal converts a refusal to its protobuf form.
func encodeRouteRefusal(refused *refusal.Error, retried bool) *operatorv1.RouteRefusal {
	encoded := &operatorv1.RouteRefusal{
		Reason:  string(refused.Reason),
		Outcome: refused.Outcome.String(),
		Message: refused.Message,
		Field:   refused.Field,
		Retried: retried,
	}
	if refused.RetryAfter > 0 {
		encoded.RetryAfter = durationpb.New(refused.RetryAfter)
	}
	return encoded
}
