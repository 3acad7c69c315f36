package caller

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/decision/session"
	"amaranthdock.dev/declaration"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/timer"
)

// maxRequestIDBytes bounds what a request leaves in the members' logs.
const maxRequestIDBytes = 128

// request is a caller's request, decided on one snapshot.
type request struct {
	principal
	deadline time.Time
	id       string
	snapshot *declaration.Snapshot
	// token merges the session tokens of the request.
	token session.Token
}

// open authenticates a request and bounds its time. The context ends with the
// deadline. On an error the request still holds what is known of it.
func (c *Caller) open(ctx context.Context, id, route string) (*request, context.Context, context.CancelFunc, error) {
	// The authority is read before the snapshot: read after it, an authority that
	// a newer version has renewed would vouch for the older snapshot.
	authorized := c.config.Configuration.Authorized()
	r := &request{
		id:       id,
		snapshot: c.config.Configuration.Current(),
	}
	if r.id == "" {
		r.id = uuid.NewString()
	}
	none := func() {}
	if r.snapshot == nil {
		return r, ctx, none, refusal.NewNotRun(refusal.NotReady, "the proxy has no configuration yet")
	}
	info, ok := connect.CallInfoForHandlerContext(ctx)
	if !ok {
		return r, ctx, none, refusal.NewNotRun(refusal.Internal, "the request has no headers")
	}
	var err error
	r.principal, err = authenticate(r.snapshot, info.RequestHeader(), route)
	if err != nil {
		return r, ctx, none, err
	}
	if r.route == nil && !authorized {
		return r, ctx, none, refusal.NewNotRun(refusal.ConfigurationStale, "the proxy cannot know of revoked keys at present")
	}
	if len(r.id) > maxRequestIDBytes {
		return r, ctx, none, invalid("requestId", "the request id is too long")
	}
	now := c.config.Timer.Now()
	remaining := r.snapshot.Preset().Deadline
	if remaining <= 0 {
		remaining = declaration.DefaultDeadline
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining = deadline.Sub(now)
	}
	if remaining <= 0 {
		return r, ctx, none, refusal.NewNotRun(refusal.DeadlineExceeded, "the deadline has passed")
	}
	r.deadline = now.Add(remaining)
	ctx, cancel := timer.WithTimeout(ctx, c.config.Timer, remaining)
	return r, ctx, cancel, nil
}

// admit takes the request out of its subject's limit.
func (c *Caller) admit(ctx context.Context, r *request) error {
	if err := c.config.Limiter.Admit(ctx, r.subject); err != nil {
		if _, ok := refusal.As(err); ok {
			return err
		}
		return refusal.NewNotRun(refusal.RateExceeded, "the request was not admitted")
	}
	c.config.RetryBudget.Request(r.subject)
	return nil
}

// openTokens opens the session tokens of a request.
func (c *Caller) openTokens(r *request, texts []string) error {
	token, err := c.config.Signer.VerifyTokens(r.subject, texts)
	if err != nil {
		return &refusal.Error{
			Outcome: refusal.NotRun,
			Reason:  refusal.SessionTokenInvalid,
			Message: "a session token is not accepted: " + err.Error(),
			Field:   "sessionTokens",
		}
	}
	r.token = token
	return nil
}

// sealToken returns the token that covers the request's and the result.
func (c *Caller) sealToken(r *request, database string, result *peerv1.ForwardResult, complete bool) string {
	token := r.token
	token.Workspace = r.subject
	if result.GetPosition() != nil {
		token = token.WithPosition(database, peer.DecodePosition(result.GetPosition()), complete)
	}
	if len(token.Entries) == 0 && !token.Truncated {
		return ""
	}
	return c.config.Signer.SignToken(token)
}

// freshness returns what a read requires. A database whose entry was dropped from
// the token is read at the primary, whatever age the read accepts.
func (r *request) freshness(execute *callerv1.ExecuteRequest, database string) routing.FreshnessRequirement {
	if r.token.MustReadPrimary(database) {
		return routing.FreshnessRequirement{}
	}
	var f routing.FreshnessRequirement
	f.RequiredPosition, f.HasRequiredPosition = r.token.Position(database)
	if maxAge := r.snapshot.Preset().MaxAge; maxAge > 0 {
		f.MaxAge, f.HasMaxAge = maxAge, true
	}
	if execute.GetMaxAge() != nil {
		f.MaxAge, f.HasMaxAge = execute.GetMaxAge().AsDuration(), true
	}
	return f
}

// forwardRequest returns a step of the request.
func (r *request) forwardRequest(database string, verb endpointv1.Verb) *peerv1.ForwardRequest {
	forward := &peerv1.ForwardRequest{
		RequestId:            RecordedID(r.subject, r.id),
		Workspace:            r.workspace,
		Database:             database,
		Verb:                 verb,
		ConfigurationVersion: r.snapshot.Version(),
	}
	if r.route != nil {
		forward.Route = r.route.Name
	}
	if position, ok := r.token.Position(database); ok {
		forward.Required = peer.EncodePosition(position)
	}
	return forward
}

// RecordedID returns the id under which the members record a request. Workspaces
// share logs and choose their own ids; without the subject, the write of one
// would be answered with the recorded result of another.
func RecordedID(subject, id string) string {
	return subject + "/" + id
}

// encodeMaxAge returns the message form of the age that a read accepts.
func encodeMaxAge(f routing.FreshnessRequirement) *durationpb.Duration {
	if !f.HasMaxAge {
		return nil
	}
	return durationpb.New(f.MaxAge)
}
