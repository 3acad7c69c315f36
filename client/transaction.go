package client

import (
	"context"
	"sync"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
)

// Transaction is an open transaction. Its statements run one after another.
type Transaction struct {
	client *Client
	handle string
	// commitID is the same for all tries to commit.
	commitID string

	mu sync.Mutex
	// uncertain is set once a commit may have had an effect.
	uncertain bool
}

// Begin opens a transaction at the primary of a database.
func (c *Client) Begin(ctx context.Context, database string) (*Transaction, error) {
	id := orNewID("")
	response, err := c.service.Begin(c.context(ctx), &callerv1.BeginRequest{
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
		commitID: orNewID(""),
	}, nil
}

// CommitID is the request id of the commit, for GetOutcome.
func (t *Transaction) CommitID() string { return t.commitID }

// Execute runs a statement in the transaction; its database is not used.
func (t *Transaction) Execute(ctx context.Context, statement Statement) (Result, error) {
	request := newRequest(statement)
	request.Transaction = t.handle
	return t.client.execute(ctx, request)
}

// Commit commits the transaction. After a try whose outcome is unknown, a further
// try that was not run leaves the outcome of the transaction unknown.
func (t *Transaction) Commit(ctx context.Context) error {
	response, err := t.client.service.Commit(t.client.context(ctx), &callerv1.CommitRequest{
		Transaction: t.handle,
		RequestId:   t.commitID,
	})
	if err != nil {
		return t.commitError(err)
	}
	t.client.session.replace(nil, response.GetSessionToken())
	return nil
}

// Rollback ends the transaction without effect.
func (t *Transaction) Rollback(ctx context.Context) error {
	_, err := t.client.service.Rollback(t.client.context(ctx), &callerv1.RollbackRequest{Transaction: t.handle})
	return newError(err, t.commitID)
}

func (t *Transaction) commitError(err error) error {
	failed := newError(err, t.commitID)
	typed, ok := As(failed)
	if !ok {
		return failed
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.uncertain = t.uncertain || typed.Outcome != NotRun
	if t.uncertain {
		typed.Outcome = Unknown
	}
	return failed
}
