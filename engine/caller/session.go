// Package caller manages the sessions of callers, the clients of the proxy. A session
// has session values, prepared statements, a transaction and a log position that its
// reads must see. The package chooses the endpoint for each statement and responds
// itself to statements that need no endpoint.
//
// Each endpoint has a home: the VM that holds the connections to it and runs the
// statements of all VMs there.
package caller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/retries"
	"amaranthdock.dev/engine/budget"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/statement"
	"amaranthdock.dev/engine/view"
	"amaranthdock.dev/timer"
)

// Home runs statements at the endpoints of which this VM is the home.
type Home interface {
	// Run runs a statement. It never returns nil.
	Run(ctx context.Context, request *peer.RunRequest) *peer.RunResponse
}

// PeerClient calls other VMs.
type PeerClient interface {
	// Call has the contract of peer.Clients.Call.
	Call(ctx context.Context, vm catalog.VM, method string, arguments, reply any, timeout time.Duration) error
}

// Limiter enforces the rate limits of workspaces.
type Limiter interface {
	// AdmitWithPriority takes a token of the workspace's limit for a request of a route with the
	// priority; 0 is the most urgent. If there is none, it returns a *refusal.Error with the
	// outcome NotRun.
	AdmitWithPriority(ctx context.Context, workspace string, priority int) error
	// Refund returns the token of an operation that was refused before it ran.
	Refund(workspace string)
}

// Config configures a SessionManager.
type Config struct {
	View    *view.View
	Home    Home
	Peers   PeerClient
	Limiter Limiter
	// Joined reports whether this VM knows its own membership in the fleet, from which
	// its share of the rate limits is computed.
	Joined   func() bool
	Timer    timer.Service
	Log      logr.Logger
	Registry metrics.Registry

	// UrgencyAcrossWorkspaces orders the statements of all workspaces by urgency.
	UrgencyAcrossWorkspaces bool
}

// SessionManager opens sessions and holds what they share.
type SessionManager struct {
	config           Config
	statementMetrics *statementMetrics
	sampleRequests   sampleRequests
	// lastTransaction is the number of the newest transaction of this process.
	lastTransaction atomic.Uint64
	classWaits      classWaits
	// ready is set once this VM has a configuration and has joined the fleet.
	ready atomic.Bool
	// stopped is set by StopWork.
	stopped atomic.Bool
	// failedReadRetries counts the reads that were sent again after an error of the endpoint.
	failedReadRetries metrics.Counter
	// retriesRefused counts the retries for which a workspace had no budget.
	retriesRefused metrics.Counter
	// retryBudgets limits the statements that are sent again, by workspace.
	retryBudgets *retries.Budgets
}

// New returns a SessionManager.
func New(config Config) *SessionManager {
	return &SessionManager{
		config:            config,
		statementMetrics:  newStatementMetrics(config.Registry),
		failedReadRetries: metrics.GetOrRegisterCounter("statements.failedReadRetries", config.Registry),
		retriesRefused:    metrics.GetOrRegisterCounter("statements.retriesRefused", config.Registry),
		retryBudgets:      retries.NewBudgets(),
	}
}

// Session is the state of one caller's connection. It is not safe for concurrent use.
type Session struct {
	manager *SessionManager
	host    string
	key     string

	values   map[string]string
	prepared map[string]statement.Prepared
	// account holds the memory of the session, of which stateBytes are for its texts. It is nil
	// if the memory is not limited.
	account    *budget.Account
	stateBytes int64
	// position is the log position that covers each commit acknowledged to this session.
	position    logpos.Position
	transaction *transaction
	// lastAttempt is where the current statement was sent last, for the log.
	lastAttempt attempt
}

// attempt is an endpoint and the home to which a statement for it was sent.
type attempt struct {
	endpoint, home string
}

// transaction is the caller's open transaction. It is opened at an endpoint only when
// its first statement runs.
type transaction struct {
	readOnly bool
	failed   bool
	began    time.Time
	// opened is set once the transaction is open at an endpoint.
	opened bool
	// ended is the refusal of the next request of a transaction that the proxy rolled back;
	// nil while the transaction is open.
	ended     *refusal.Error
	key       peer.TransactionKey
	endpoint  catalog.Endpoint
	home      catalog.VM
	hasWrites bool
	// auth is what was authorized when the transaction was opened at its endpoint; its route
	// applies until the transaction ends. Before, it is what was authorized at the begin.
	auth authorization
}

// startupTimeout is how long a new session waits for the first configuration of a VM
// that has just started. It is below the 2 s after which callers give up.
const startupTimeout = 1500 * time.Millisecond

// Open returns a session, or the reason for which it is refused. On a VM that has just
// started it waits briefly for the first configuration, which may arrive at any moment,
// for example after a power failure of all VMs.
func (s *SessionManager) Open(ctx context.Context, host, key string) (*Session, *refusal.Error) {
	s.awaitReady(ctx)
	session := &Session{
		manager: s,
		host:    host,
		key:     key,
	}
	if _, refused := session.authorize(); refused != nil {
		s.config.Log.V(1).Info("Refused a session.", "host", host, "reason", refused.Reason)
		return nil, refused
	}
	return session, nil
}

// isReady reports whether this VM has a configuration and has joined the fleet.
func (s *SessionManager) isReady() bool {
	if s.ready.Load() {
		return true
	}
	if s.config.View.Configuration() != nil && s.config.Joined() {
		s.ready.Store(true)
	}
	return s.ready.Load()
}

// awaitReady waits until this VM has a configuration and has joined the fleet, without
// which it has no share of any rate limit. It gives up after startupTimeout.
func (s *SessionManager) awaitReady(ctx context.Context) {
	if s.isReady() {
		return
	}
	limit := s.config.Timer.After(startupTimeout)
	defer limit.Stop()
	for {
		changed := s.config.View.Changed()
		if s.isReady() {
			return
		}
		select {
		case <-changed:
		case <-limit.C():
			return
		case <-ctx.Done():
			return
		}
	}
}

// StopWork makes all sessions refuse requests that need an endpoint, because this VM ends
// soon: a statement that starts now might not get its response in time. Statements that
// already run are not affected.
func (s *SessionManager) StopWork() { s.stopped.Store(true) }

// stoppedRefusal returns the refusal of a request after StopWork.
func stoppedRefusal(reason refusal.Reason) *refusal.Error {
	return refusal.NewNotRun(reason, "this VM is stopping; connect again")
}

// InTransaction reports whether the caller has a transaction open.
func (s *Session) InTransaction() bool { return s.transaction != nil }

// EndTransactionIfStopped rolls the open transaction back after StopWork. The next request
// of the session gets the refusal.
func (s *Session) EndTransactionIfStopped() {
	if t := s.transaction; t != nil && !t.failed && t.ended == nil && s.manager.stopped.Load() {
		s.endTransaction(stoppedRefusal(refusal.TransactionConflict))
	}
}

// endTransaction rolls the open transaction back at its endpoint. The caller has not asked
// for it, so that its next request gets the refusal.
func (s *Session) endTransaction(refused *refusal.Error) {
	t := s.transaction
	s.rollBackInBackground()
	t.opened = false
	t.ended = refused
	s.transaction = t
}

// Close ends the session and rolls back its transaction.
func (s *Session) Close() {
	if s.transaction != nil {
		s.rollBackInBackground()
	}
}

// Do runs a request and returns the complete response.
func (s *Session) Do(ctx context.Context, request statement.Request) statement.Response {
	s.lastAttempt = attempt{}
	s.EndTransactionIfStopped()
	if t := s.transaction; t != nil && t.failed {
		return s.doInFailedTransaction(request)
	}
	if t := s.transaction; t != nil && t.ended != nil {
		return s.doInEndedTransaction(request)
	}
	switch st := request.Statement.(type) {
	case statement.Begin:
		return s.begin(st)
	case statement.Commit:
		return s.commit(ctx, request)
	case statement.Rollback:
		if s.transaction == nil {
			return s.respondRefused(refusal.NewNotRun(refusal.InvalidRequest, "no transaction is open"))
		}
		s.rollBackInBackground()
		return s.respond(statement.Response{})
	case statement.Read:
		return s.runStatement(ctx, request, operation{text: request.Text})
	case statement.Write:
		return s.runStatement(ctx, request, operation{
			text:  request.Text,
			write: true,
		})
	case statement.Execute:
		return s.execute(ctx, request, st)
	case statement.Set:
		return s.set(st)
	case statement.Prepare:
		return s.prepare(st)
	case statement.Deallocate:
		return s.deallocate(st.Name)
	case statement.Malformed:
		return s.respondRefused(refusal.NewNotRun(refusal.InvalidRequest, st.Problem))
	default:
		return s.respondRefused(refusal.NewNotRun(refusal.InvalidRequest, "unknown statement"))
	}
}

// operation is a statement to run at an endpoint. The text of a prepared statement's
// execution is its arguments.
type operation struct {
	text     string
	write    bool
	prepared *statement.Prepared
}

func (s *Session) execute(ctx context.Context, request statement.Request, e statement.Execute) statement.Response {
	prepared, ok := s.prepared[e.Name]
	if !ok {
		return s.respondRefused(&refusal.Error{
			Outcome: refusal.NotRun,
			Reason:  refusal.InvalidRequest,
			Field:   e.Name,
			Message: "there is no prepared statement with this name",
		})
	}
	return s.runStatement(ctx, request, operation{
		text:     e.Arguments,
		write:    prepared.Write,
		prepared: &prepared,
	})
}

func (s *Session) begin(b statement.Begin) statement.Response {
	if s.transaction != nil {
		return s.respondRefused(refusal.NewNotRun(refusal.InvalidRequest, "a transaction is already open"))
	}
	auth, refused := s.authorize()
	if refused != nil {
		return s.respondRefused(refused)
	}
	s.transaction = &transaction{
		readOnly: b.ReadOnly,
		auth:     auth,
		began:    s.manager.config.Timer.Now(),
	}
	return s.respond(statement.Response{})
}

// doInFailedTransaction handles a request after a statement of the transaction has
// failed. Such a transaction can only be rolled back.
func (s *Session) doInFailedTransaction(request statement.Request) statement.Response {
	switch request.Statement.(type) {
	case statement.Rollback:
		s.rollBackInBackground()
		return s.respond(statement.Response{})
	case statement.Commit:
		s.rollBackInBackground()
		return s.respondRefused(refusal.NewNotRun(refusal.TransactionConflict, "a statement of the transaction had failed, so the transaction was rolled back"))
	default:
		return s.respondRefused(refusal.NewNotRun(refusal.InvalidRequest, "the transaction has failed; it can only be rolled back"))
	}
}

// doInEndedTransaction handles the first request after the proxy has rolled the transaction
// back.
func (s *Session) doInEndedTransaction(request statement.Request) statement.Response {
	t := s.transaction
	switch request.Statement.(type) {
	case statement.Rollback:
		s.transaction = nil
		return s.respond(statement.Response{})
	case statement.Commit:
		s.transaction = nil
	}
	return s.finishRefused(request, t.auth, t.ended, s.manager.config.Timer.Now())
}

// respond sets the session's state in a response.
func (s *Session) respond(response statement.Response) statement.Response {
	switch {
	case s.transaction == nil:
		response.State = statement.Idle
	case s.transaction.failed:
		response.State = statement.InFailedTransaction
	default:
		response.State = statement.InTransaction
	}
	return response
}

// respondRefused returns a response with a refusal, and marks an open transaction as
// failed.
func (s *Session) respondRefused(refused *refusal.Error) statement.Response {
	if s.transaction != nil {
		s.transaction.failed = true
	}
	return s.respond(statement.Response{Refused: refused})
}
