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

// maxRequestIDBytes limits the size of the request ids that the endpoints store in
// their logs.
const maxRequestIDBytes = 128

// request is a caller's request with the configuration snapshot that is used for it.
type request struct {
	principal
	deadline time.Time
	id       string
	snapshot *declaration.Snapshot
	// token contains the merged session tokens of the request.
	token session.Token
}

// startRequest authenticates a request and sets its deadline, at which the returned
// context ends. If it fails, the returned request contains what is already known
// about it.
func (c *Caller) startRequest(ctx context.Context, id, route string) (*request, context.Context, context.CancelFunc, error) {
	// Authorized must be read before the snapshot. If it were read afterwards, a newer
	// version could have made it true in between, and a key that this version revokes
	// would be accepted by the older snapshot.
	authorized := c.config.Configuration.Authorized()
	r := &request{
		id:       id,
		snapshot: c.config.Configuration.Current(),
	}
	if r.id == "" {
		r.id = uuid.NewString()
	}
	noCancel := func() {}
	if r.snapshot == nil {
		return r, ctx, noCancel, refusal.NewNotRun(refusal.NotReady, "the proxy has no configuration yet")
	}
	info, ok := connect.CallInfoForHandlerContext(ctx)
	if !ok {
		return r, ctx, noCancel, refusal.NewNotRun(refusal.Internal, "the request has no headers")
	}
	var err error
	r.principal, err = authenticate(r.snapshot, info.RequestHeader(), route)
	if err != nil {
		return r, ctx, noCancel, err
	}
	if err := r.checkAuthority(authorized); err != nil {
		return r, ctx, noCancel, err
	}
	if len(r.id) > maxRequestIDBytes {
		return r, ctx, noCancel, invalidRequest("requestId", "the request id is too long")
	}
	now := c.config.Timer.Now()
	remaining := defaultTimeout(r.snapshot)
	if deadline, ok := ctx.Deadline(); ok {
		remaining = deadline.Sub(now)
	}
	if remaining <= 0 {
		return r, ctx, noCancel, refusal.NewNotRun(refusal.DeadlineExceeded, "the deadline has passed")
	}
	r.deadline = now.Add(remaining)
	ctx, cancel := timer.WithTimeout(ctx, c.config.Timer, remaining)
	return r, ctx, cancel, nil
}

// checkAuthority refuses a request with a key if the configuration may lack revocations.
func (p principal) checkAuthority(authorized bool) error {
	if p.route == nil && !authorized {
		return refusal.NewNotRun(refusal.ConfigurationStale, "the proxy's configuration is too old to check for revoked keys")
	}
	return nil
}

// defaultTimeout returns the time limit of a request that states none.
func defaultTimeout(snapshot *declaration.Snapshot) time.Duration {
	if timeout := snapshot.Preset().Deadline; timeout > 0 {
		return timeout
	}
	return declaration.DefaultDeadline
}

// admit counts the request against its subject's rate limit, or refuses it.
func (c *Caller) admit(ctx context.Context, r *request) error {
	if err := c.config.Limiter.Admit(ctx, r.subject); err != nil {
		if _, ok := refusal.As(err); ok {
			return err
		}
		return refusal.NewNotRun(refusal.RateExceeded, "the request was not admitted")
	}
	c.config.RetryBudget.CountRequest(r.subject)
	return nil
}

// verifyTokens verifies and merges the session tokens of a request.
func (c *Caller) verifyTokens(r *request, texts []string) error {
	token, err := c.config.Signer.VerifyTokens(r.subject, texts)
	if err != nil {
		return &refusal.Error{
			Outcome: refusal.NotRun,
			Reason:  refusal.SessionTokenInvalid,
			Message: "a session token is invalid: " + err.Error(),
			Field:   "sessionTokens",
		}
	}
	r.token = token
	return nil
}

// signToken returns the signed session token that covers the positions of the request's
// tokens and of the result; empty if there are none.
func (c *Caller) signToken(r *request, database string, result *peerv1.ForwardResult, complete bool) string {
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

// readFreshness returns the freshness requirement of a read. If the token was
// truncated and lacks the database's entry, the read must go to the primary,
// regardless of the maximum age that it accepts.
func (r *request) readFreshness(execute *callerv1.ExecuteRequest, database string) routing.FreshnessRequirement {
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

// forwardRequest returns the message that forwards a step of the request.
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

// RecordedID returns the id under which the endpoints record a request in their logs.
// Workspaces share a log and choose request ids independently. Without the subject in
// the id, a workspace's write could get the recorded result of another workspace's.
func RecordedID(subject, id string) string {
	return subject + "/" + id
}

// encodeMaxAge encodes the maximum age of a read; nil if it has none.
func encodeMaxAge(f routing.FreshnessRequirement) *durationpb.Duration {
	if !f.HasMaxAge {
		return nil
	}
	return durationpb.New(f.MaxAge)
}
