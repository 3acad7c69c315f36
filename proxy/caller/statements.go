package caller

import (
	"context"

	"connectrpc.com/connect"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/proxy/peer"
)

// Execute runs one statement, alone or inside an open transaction.
func (c *Caller) Execute(ctx context.Context, execute *callerv1.ExecuteRequest) (*callerv1.ExecuteResponse, error) {
	r, ctx, cancel, err := c.open(ctx, execute.GetRequestId(), execute.GetRoute())
	defer cancel()
	if execute.GetTransaction() != "" {
		return c.executeInTransaction(ctx, r, execute, err)
	}
	if err != nil {
		return nil, c.refuse(r, err)
	}
	var rows []*callerv1.Row
	response, err := c.statement(ctx, r, execute, func(more []*callerv1.Row) error {
		rows = append(rows, more...)
		return nil
	})
	if err != nil {
		return nil, c.refuse(r, err)
	}
	response.Rows = rows
	return response, nil
}

// Query runs one read and returns its rows in pieces. It ends when its key is
// revoked.
func (c *Caller) Query(ctx context.Context, query *callerv1.QueryRequest, stream *connect.ServerStream[callerv1.QueryResponse]) error {
	execute := query.GetRequest()
	r, ctx, cancel, err := c.open(ctx, execute.GetRequestId(), execute.GetRoute())
	defer cancel()
	if err != nil {
		return c.refuse(r, err)
	}
	if execute.GetAccess() != callerv1.Access_ACCESS_READ {
		return c.refuse(r, invalid("request.access", "a query is a read"))
	}
	if execute.GetTransaction() != "" {
		return c.refuse(r, invalid("request.transaction", "a query runs outside transactions"))
	}
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer c.watchKey(ctx, r, end)()
	total := int64(0)
	response, err := c.statement(ctx, r, execute, func(rows []*callerv1.Row) error {
		if err := c.checkRunning(ctx, r); err != nil {
			return err
		}
		total += int64(len(rows))
		return stream.Send(&callerv1.QueryResponse{Rows: rows})
	})
	if revoked := c.checkRunning(ctx, r); revoked != nil {
		return c.refuse(r, revoked)
	}
	if err != nil {
		return c.refuse(r, err)
	}
	return stream.Send(&callerv1.QueryResponse{
		Final:     response,
		TotalRows: total,
	})
}

// statement runs a statement outside of transactions.
func (c *Caller) statement(ctx context.Context, r *request, execute *callerv1.ExecuteRequest, send peer.SendRows) (*callerv1.ExecuteResponse, error) {
	database := execute.GetDatabase()
	if database == "" && r.route != nil {
		database = r.route.Database
	}
	if err := checkStatement(execute, database); err != nil {
		return nil, err
	}
	if err := r.permit(r.snapshot, database, execute.GetAccess(), execute.GetStatement().GetCommand()); err != nil {
		return nil, err
	}
	if err := c.admit(ctx, r); err != nil {
		return nil, err
	}
	if err := c.openTokens(r, execute.GetSessionTokens()); err != nil {
		return nil, err
	}
	d := c.newDispatch(r, execute, database, send)
	result := c.run(ctx, d)
	if !d.read {
		result = c.settle(ctx, r, database, result, send)
	}
	if refused := peer.DecodeRefusal(result); refused != nil {
		return nil, refused
	}
	if d.read {
		c.reads.Inc(1)
	}
	if result.GetFromReplica() {
		c.replicaReads.Inc(1)
	}
	return &callerv1.ExecuteResponse{
		RowsAffected:         result.GetRowsAffected(),
		SessionToken:         c.sealToken(r, database, result, !d.read),
		RequestId:            r.id,
		ConfigurationVersion: r.snapshot.Version(),
		Endpoint:             d.forward.GetEndpoint(),
		FromReplica:          result.GetFromReplica(),
	}, nil
}

func (c *Caller) newDispatch(r *request, execute *callerv1.ExecuteRequest, database string, send peer.SendRows) *dispatch {
	d := &dispatch{
		request:  r,
		database: database,
		forward:  r.forwardRequest(database, endpointv1.Verb_VERB_EXECUTE),
		read:     execute.GetAccess() == callerv1.Access_ACCESS_READ,
		send:     send,
	}
	d.forward.Access = execute.GetAccess()
	d.forward.Statement = execute.GetStatement()
	d.forward.Idempotent = execute.GetIdempotent()
	if d.read {
		d.freshness = r.freshness(execute, database)
		d.forward.MaxAge = encodeMaxAge(d.freshness)
	}
	return d
}

func checkStatement(execute *callerv1.ExecuteRequest, database string) error {
	switch {
	case database == "":
		return invalid("database", "the database is missing")
	case execute.GetStatement().GetCommand() == "":
		return invalid("statement", "the statement is missing")
	case execute.GetAccess() != callerv1.Access_ACCESS_READ && execute.GetAccess() != callerv1.Access_ACCESS_WRITE:
		return invalid("access", "the access is neither read nor write")
	case execute.GetMaxAge() != nil && (execute.GetMaxAge().CheckValid() != nil || execute.GetMaxAge().AsDuration() < 0):
		return invalid("maxAge", "the age is not a positive duration")
	default:
		return nil
	}
}

// GetOutcome tells what became of an earlier write. Its refusals are unknown, so
// that they are not taken for the outcome of the write.
func (c *Caller) GetOutcome(ctx context.Context, lookUp *callerv1.GetOutcomeRequest) (*callerv1.GetOutcomeResponse, error) {
	r, ctx, cancel, err := c.open(ctx, "", "")
	defer cancel()
	r.id = lookUp.GetRequestId()
	if err == nil {
		err = c.permitOutcome(ctx, r, lookUp)
	}
	if err != nil {
		return nil, c.refuse(r, unknownOutcome(err))
	}
	result := c.lookUp(ctx, r, lookUp.GetDatabase(), discardRows)
	if refused := peer.DecodeRefusal(result); refused != nil && refused.Outcome == refusal.NotRun {
		return nil, c.refuse(r, unknownOutcome(refused))
	}
	response := &callerv1.GetOutcomeResponse{Outcome: result.GetOutcome()}
	if result.GetOutcome() == callerv1.Outcome_OUTCOME_DONE {
		response.SessionToken = c.sealToken(r, lookUp.GetDatabase(), result, false)
	}
	return response, nil
}

func (c *Caller) permitOutcome(ctx context.Context, r *request, lookUp *callerv1.GetOutcomeRequest) error {
	if lookUp.GetRequestId() == "" {
		return invalid("requestId", "the request id is missing")
	}
	if err := r.permit(r.snapshot, lookUp.GetDatabase(), callerv1.Access_ACCESS_READ, ""); err != nil {
		return err
	}
	return c.admit(ctx, r)
}

func unknownOutcome(err error) error {
	refused, ok := refusal.As(err)
	if !ok {
		return err
	}
	changed := *refused
	changed.Outcome = refusal.Unknown
	return &changed
}

// refuse returns the error of a request for its caller.
func (c *Caller) refuse(r *request, err error) error {
	version := uint64(0)
	if r.snapshot != nil {
		version = r.snapshot.Version()
	}
	return c.toConnect(err, r.id, version)
}
