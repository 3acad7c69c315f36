package caller

import (
	"context"

	"connectrpc.com/connect"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/proxy/peer"
)

// Execute runs one statement, on its own or in an open transaction.
func (c *Caller) Execute(ctx context.Context, execute *callerv1.ExecuteRequest) (*callerv1.ExecuteResponse, error) {
	r, ctx, cancel, err := c.startRequest(ctx, execute.GetRequestId(), execute.GetRoute())
	defer cancel()
	if execute.GetTransaction() != "" {
		return c.executeInTransaction(ctx, r, execute, err)
	}
	if err != nil {
		return nil, c.refuseRequest(r, err)
	}
	var rows []*callerv1.Row
	response, err := c.executeStatement(ctx, r, execute, c.collectRows(ctx, r, &rows))
	if err != nil {
		return nil, c.refuseRequest(r, err)
	}
	response.Rows = rows
	return response, nil
}

// Query runs one read and streams its rows. It ends with a refusal if its key is
// revoked.
func (c *Caller) Query(ctx context.Context, query *callerv1.QueryRequest, stream *connect.ServerStream[callerv1.QueryResponse]) error {
	execute := query.GetRequest()
	r, ctx, cancel, err := c.startRequest(ctx, execute.GetRequestId(), execute.GetRoute())
	defer cancel()
	if err != nil {
		return c.refuseRequest(r, err)
	}
	if execute.GetAccess() != callerv1.Access_ACCESS_READ {
		return c.refuseRequest(r, invalidRequest("request.access", "a query must be a read"))
	}
	if execute.GetTransaction() != "" {
		return c.refuseRequest(r, invalidRequest("request.transaction", "a query cannot run in a transaction"))
	}
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer c.watchRevocation(ctx, r, end)()
	total := int64(0)
	response, err := c.executeStatement(ctx, r, execute, func(rows []*callerv1.Row) error {
		if err := c.checkStreamKey(ctx, r); err != nil {
			return err
		}
		total += int64(len(rows))
		return stream.Send(&callerv1.QueryResponse{Rows: rows})
	})
	if revoked := c.checkStreamKey(ctx, r); revoked != nil {
		return c.refuseRequest(r, revoked)
	}
	if err != nil {
		return c.refuseRequest(r, err)
	}
	return stream.Send(&callerv1.QueryResponse{
		Final:     response,
		TotalRows: total,
	})
}

// executeStatement runs a statement outside of a transaction.
func (c *Caller) executeStatement(ctx context.Context, r *request, execute *callerv1.ExecuteRequest, send peer.SendRows) (*callerv1.ExecuteResponse, error) {
	database := execute.GetDatabase()
	if database == "" && r.route != nil {
		database = r.route.Database
	}
	if err := checkStatement(execute, database); err != nil {
		return nil, err
	}
	if err := r.authorize(r.snapshot, database, execute.GetAccess(), execute.GetStatement().GetCommand()); err != nil {
		return nil, err
	}
	if err := c.admit(ctx, r); err != nil {
		return nil, err
	}
	if err := c.verifyTokens(r, execute.GetSessionTokens()); err != nil {
		return nil, err
	}
	d := c.newDispatch(r, execute, database, send)
	result := c.run(ctx, d)
	if !d.read {
		result = c.resolveOutcome(ctx, r, database, result, send)
	}
	if refused := peer.DecodeRefusal(result); refused != nil {
		return nil, refused
	}
	c.countRead(d, result)
	return &callerv1.ExecuteResponse{
		RowsAffected:         result.GetRowsAffected(),
		SessionToken:         c.signToken(r, database, result, !d.read),
		RequestId:            r.id,
		ConfigurationVersion: r.snapshot.Version(),
		Endpoint:             d.forward.GetEndpoint(),
		FromReplica:          result.GetFromReplica(),
	}, nil
}

// newDispatch returns the dispatch of a statement outside of a transaction.
func (c *Caller) newDispatch(r *request, execute *callerv1.ExecuteRequest, database string, send peer.SendRows) *dispatch {
	d := c.newStepDispatch(r, database, r.forwardRequest(database, endpointv1.Verb_VERB_EXECUTE), send)
	d.read = execute.GetAccess() == callerv1.Access_ACCESS_READ
	d.forward.Access = execute.GetAccess()
	d.forward.Statement = execute.GetStatement()
	d.forward.Idempotent = execute.GetIdempotent()
	if d.read {
		d.freshness = r.readFreshness(execute, database)
		d.forward.MaxAge = encodeMaxAge(d.freshness)
	}
	return d
}

// checkStatement validates the fields of a request to execute a statement.
func checkStatement(execute *callerv1.ExecuteRequest, database string) error {
	switch {
	case database == "":
		return invalidRequest("database", "the database is missing")
	case execute.GetStatement().GetCommand() == "":
		return invalidRequest("statement", "the statement is missing")
	case execute.GetAccess() != callerv1.Access_ACCESS_READ && execute.GetAccess() != callerv1.Access_ACCESS_WRITE:
		return invalidRequest("access", "the access is neither read nor write")
	case execute.GetMaxAge() != nil && (execute.GetMaxAge().CheckValid() != nil || execute.GetMaxAge().AsDuration() < 0):
		return invalidRequest("maxAge", "the age is negative or out of range")
	default:
		return nil
	}
}

// GetOutcome returns the outcome of an earlier write. Its refusals have the outcome
// Unknown, so that a caller does not mistake them for the outcome of the write.
func (c *Caller) GetOutcome(ctx context.Context, lookUp *callerv1.GetOutcomeRequest) (*callerv1.GetOutcomeResponse, error) {
	r, ctx, cancel, err := c.startRequest(ctx, "", "")
	defer cancel()
	r.id = lookUp.GetRequestId()
	if err == nil {
		err = c.authorizeLookUp(ctx, r, lookUp)
	}
	if err != nil {
		return nil, c.refuseRequest(r, withUnknownOutcome(err))
	}
	result := c.lookUpOutcome(ctx, r, lookUp.GetDatabase(), discardRows)
	if refused := peer.DecodeRefusal(result); refused != nil && refused.Outcome == refusal.NotRun {
		return nil, c.refuseRequest(r, withUnknownOutcome(refused))
	}
	response := &callerv1.GetOutcomeResponse{Outcome: result.GetOutcome()}
	if result.GetOutcome() == callerv1.Outcome_OUTCOME_DONE {
		response.SessionToken = c.signToken(r, lookUp.GetDatabase(), result, false)
	}
	return response, nil
}

// authorizeLookUp checks that the principal may look up the outcome of a write, and
// counts the look-up against the rate limit.
func (c *Caller) authorizeLookUp(ctx context.Context, r *request, lookUp *callerv1.GetOutcomeRequest) error {
	if lookUp.GetRequestId() == "" {
		return invalidRequest("requestId", "the request id is missing")
	}
	if err := r.authorize(r.snapshot, lookUp.GetDatabase(), callerv1.Access_ACCESS_READ, ""); err != nil {
		return err
	}
	return c.admit(ctx, r)
}

// withUnknownOutcome returns a copy of a refusal with the outcome Unknown.
func withUnknownOutcome(err error) error {
	refused, ok := refusal.As(err)
	if !ok {
		return err
	}
	changed := *refused
	changed.Outcome = refusal.Unknown
	return &changed
}

// refuseRequest counts a refused request and returns the error for its caller.
func (c *Caller) refuseRequest(r *request, err error) error {
	if r.workspace != "" {
		c.count("workspaceRefusals/" + r.workspace)
	}
	version := uint64(0)
	if r.snapshot != nil {
		version = r.snapshot.Version()
	}
	return c.callerError(err, r.id, version)
}
