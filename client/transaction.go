package client

import (
	"context"
	"sync"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
)

// Transaction is an open transaction. Its statements run one at a time.
type Transaction struct {
	client *Client
	handle string
	// commitID is the request ID of all attempts to commit.
	commitID string

	mu sync.Mutex
	// outcomeUnknown is set once an attempt to commit may have taken effect.
	outcomeUnknown bool
}

// Begin opens a transaction on the primary of a database.
func (c *Client) Begin(ctx context.Context, database string) (*Transaction, error) {
	id := idOrNew("")
	response, err := c.service.Begin(c.withKey(ctx), &callerv1.BeginRequest{
		Database:      database,
		RequestId:     id,
		SessionTokens: c.session.Tokens(),
	})
	if err != nil {
		return nil, newError(err, id)
	}
	return &Transaction{
		client:   c,
		handle:   response.GetTransaction(),
		commitID: idOrNew(""),
	}, nil
}

// CommitID returns the request ID of the commit, for GetOutcome.
func (t *Transaction) CommitID() string { return t.commitID }

// Execute runs a statement in the transaction. Statement.Database is ignored.
func (t *Transaction) Execute(ctx context.Context, statement Statement) (Result, error) {
	request := newRequest(statement)
	request.Transaction = t.handle
	return t.client.execute(ctx, request)
}

// Commit commits the transaction and may be retried. Once the outcome of an
// attempt is unknown, the errors of later attempts have an unknown outcome too,
// even if the later attempts themselves did not run.
func (t *Transaction) Commit(ctx context.Context) error {
	response, err := t.client.service.Commit(t.client.withKey(ctx), &callerv1.CommitRequest{
		Transaction: t.handle,
		RequestId:   t.commitID,
	})
	if err != nil {
		return t.commitError(err)
	}
	t.client.session.replaceTokens(nil, response.GetSessionToken())
	return nil
}

// Rollback discards the transaction.
func (t *Transaction) Rollback(ctx context.Context) error {
	_, err := t.client.service.Rollback(t.client.withKey(ctx), &callerv1.RollbackRequest{Transaction: t.handle})
	return newError(err, t.commitID)
}

func (t *Transaction) commitError(err error) error {
	wrapped := newError(err, t.commitID)
	callErr, ok := As(wrapped)
	if !ok {
		return wrapped
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomeUnknown = t.outcomeUnknown || callErr.Outcome != NotRun
	if t.outcomeUnknown {
		callErr.Outcome = Unknown
	}
	return wrapped
}
