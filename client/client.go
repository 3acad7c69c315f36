package client

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/types/known/durationpb"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	"amaranthdock.dev/api/amaranthdock/caller/v1/callerv1connect"
)

// Config configures a Client. BaseURL and HTTPClient are required.
type Config struct {
	// BaseURL of a proxy or a load balancer, such as "http://127.0.0.1:7000".
	BaseURL    string
	HTTPClient connect.HTTPClient
	// Key of the workspace; empty on public routes.
	Key string
	// Options of the protocol, such as connect.WithGRPC.
	Options []connect.ClientOption
	// Session to continue; nil for a new one.
	Session *Session
}

// Client runs statements for one session. It is safe for concurrent use.
type Client struct {
	key     string
	service callerv1connect.CallerServiceClient
	session *Session
}

// New returns a Client.
func New(config Config) (*Client, error) {
	if config.BaseURL == "" || config.HTTPClient == nil {
		return nil, eris.New("client: base URL or HTTP client is missing")
	}
	session := config.Session
	if session == nil {
		session = NewSession()
	}
	return &Client{
		key:     config.Key,
		service: callerv1connect.NewCallerServiceClient(config.HTTPClient, config.BaseURL, config.Options...),
		session: session,
	}, nil
}

// Session returns the session of the client.
func (c *Client) Session() *Session { return c.session }

// Statement is one statement for a database.
type Statement struct {
	Database  string
	Command   string
	Arguments []string
	// Write tells that the statement changes data.
	Write bool
	// Idempotent tells that a write may run more than once.
	Idempotent bool
	// MaxAge lets a read accept data of this age, if positive.
	MaxAge time.Duration
	// RequestID is made by the client if empty. A write that is sent again with
	// the same id is run at most once.
	RequestID string
	// Route names a public route, for a client without a key.
	Route string
}

// Result is the answer to a statement.
type Result struct {
	Rows                 [][]string
	RowsAffected         int64
	RequestID            string
	ConfigurationVersion uint64
	Endpoint             string
	FromReplica          bool
}

// Execute runs a statement. Its errors are of type *Error.
func (c *Client) Execute(ctx context.Context, statement Statement) (Result, error) {
	return c.execute(ctx, newRequest(statement))
}

// Query runs a read and passes its rows to each, in order, as they arrive. Rows
// that were passed before an error are not the whole answer.
func (c *Client) Query(ctx context.Context, statement Statement, each func(row []string) error) (Result, error) {
	request := newRequest(statement)
	request.SessionTokens = c.session.Tokens()
	ctx, cancel := context.WithCancel(c.context(ctx))
	defer cancel()
	stream, err := c.service.Query(ctx, &callerv1.QueryRequest{Request: request})
	if err != nil {
		return Result{}, newError(err, request.GetRequestId())
	}
	defer stream.Close()
	total := int64(0)
	for stream.Receive() {
		message := stream.Msg()
		for _, row := range message.GetRows() {
			total++
			if err := each(row.GetColumns()); err != nil {
				return Result{}, err
			}
		}
		if final := message.GetFinal(); final != nil {
			if message.GetTotalRows() != total {
				return Result{}, newError(eris.Errorf("the answer has %d of %d rows", total, message.GetTotalRows()), request.GetRequestId())
			}
			c.session.replace(request.GetSessionTokens(), final.GetSessionToken())
			return newResult(final), nil
		}
	}
	if err := stream.Err(); err != nil {
		return Result{}, newError(err, request.GetRequestId())
	}
	return Result{}, newError(eris.New("the answer ended early"), request.GetRequestId())
}

// GetOutcome tells what became of an earlier write.
func (c *Client) GetOutcome(ctx context.Context, database, requestID string) (Outcome, error) {
	response, err := c.service.GetOutcome(c.context(ctx), &callerv1.GetOutcomeRequest{
		Database:  database,
		RequestId: requestID,
	})
	if err != nil {
		return Unknown, newError(err, requestID)
	}
	c.session.replace(nil, response.GetSessionToken())
	return decodeOutcome(response.GetOutcome()), nil
}

func (c *Client) execute(ctx context.Context, request *callerv1.ExecuteRequest) (Result, error) {
	request.SessionTokens = c.session.Tokens()
	response, err := c.service.Execute(c.context(ctx), request)
	if err != nil {
		return Result{}, newError(err, request.GetRequestId())
	}
	c.session.replace(request.GetSessionTokens(), response.GetSessionToken())
	return newResult(response), nil
}

// context returns a context whose call carries the key.
func (c *Client) context(ctx context.Context) context.Context {
	ctx, info := connect.NewClientContext(ctx)
	if c.key != "" {
		info.RequestHeader().Set("Authorization", "Bearer "+c.key)
	}
	return ctx
}

func newRequest(statement Statement) *callerv1.ExecuteRequest {
	request := &callerv1.ExecuteRequest{
		Database: statement.Database,
		Access:   callerv1.Access_ACCESS_READ,
		Statement: &callerv1.Statement{
			Command:   statement.Command,
			Arguments: statement.Arguments,
		},
		RequestId:  orNewID(statement.RequestID),
		Idempotent: statement.Idempotent,
		Route:      statement.Route,
	}
	if statement.Write {
		request.Access = callerv1.Access_ACCESS_WRITE
	}
	if statement.MaxAge > 0 {
		request.MaxAge = durationpb.New(statement.MaxAge)
	}
	return request
}

func newResult(response *callerv1.ExecuteResponse) Result {
	result := Result{
		RowsAffected:         response.GetRowsAffected(),
		RequestID:            response.GetRequestId(),
		ConfigurationVersion: response.GetConfigurationVersion(),
		Endpoint:             response.GetEndpoint(),
		FromReplica:          response.GetFromReplica(),
	}
	for _, row := range response.GetRows() {
		result.Rows = append(result.Rows, row.GetColumns())
	}
	return result
}

func orNewID(id string) string {
	if id != "" {
		return id
	}
	return uuid.NewString()
}
