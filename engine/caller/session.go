// Package caller holds the sessions of callers: their values, prepared statements,
// transactions and positions. It decides where each statement runs, and answers in
// the place of an endpoint what needs none.
package caller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/statement"
	"amaranthdock.dev/engine/view"
	"amaranthdock.dev/timer"
)

// Home runs statements at endpoints that this VM is home of.
type Home interface {
	// Run never returns nil.
	Run(ctx context.Context, request *peer.RunRequest) *peer.RunResponse
}

// Links call other VMs.
type Links interface {
	// Call has the contract of peer.Links.Call.
	Call(ctx context.Context, vm catalog.VM, method string, arguments, answer any, timeout time.Duration) error
}

// Limits admits operations.
type Limits interface {
	// Admit returns a *refusal.Error, as not run, beyond the workspace's limit.
	Admit(ctx context.Context, workspace string) error
	// Refund takes back the token of an operation that was refused before it ran.
	Refund(workspace string)
}

// Config configures Sessions.
type Config struct {
	View    *view.View
	Home    Home
	Peers   Links
	Limiter Limits
	// Joined tells whether this VM knows its place in the fleet.
	Joined   func() bool
	Timer    timer.Service
	Log      logr.Logger
	Registry metrics.Registry
}

// SessionManager opens sessions.
type SessionManager struct {
	config   Config
	outcomes *outcomes
	sampling sampling
	// lastTransaction is the number of the newest transaction of this process.
	lastTransaction atomic.Uint64
	// joined is set once this VM has had a configuration and a place in the fleet.
	joined atomic.Bool
}

// New returns Sessions.
func New(config Config) *SessionManager {
	return &SessionManager{
		config:   config,
		outcomes: newOutcomes(config.Registry),
	}
}

// Session is the state of one caller's connection. Its methods are called one at a
// time.
type Session struct {
	sessions *SessionManager
	host     string
	key      string

	values   map[string]string
	prepared map[string]statement.Prepared
	// position covers each commit that was acknowledged to this session.
	position    logpos.Position
	transaction *transaction
	// tried is where the current statement was sent last, for the log.
	tried attempt
}

// attempt is an endpoint and the home through which it was tried.
type attempt struct {
	endpoint, home string
}

// transaction is open for the caller. It is opened at an endpoint with its first
// statement.
type transaction struct {
	readOnly bool
	failed   bool
	// placed is set once the transaction is open at an endpoint.
	placed    bool
	key       peer.TransactionKey
	endpoint  catalog.Endpoint
	home      catalog.VM
	wrote     bool
	admission admission
}

// startWait for the first configuration of a VM that has just started. Callers give
// up 2 s after their start.
const startWait = 1500 * time.Millisecond

// Open returns a session, or why it is refused. A VM that has just started, after a
// power failure of all for example, may learn the configuration at any moment, so that
// a caller waits for it a little.
func (s *SessionManager) Open(ctx context.Context, host, key string) (*Session, *refusal.Error) {
	s.awaitStart(ctx)
	opened := &Session{
		sessions: s,
		host:     host,
		key:      key,
	}
	if _, refused := opened.authorize(); refused != nil {
		s.config.Log.V(1).Info("Refused a session.", "host", host, "reason", refused.Reason)
		return nil, refused
	}
	return opened, nil
}

func (s *SessionManager) started() bool {
	if s.joined.Load() {
		return true
	}
	if s.config.View.Configuration() != nil && s.config.Joined() {
		s.joined.Store(true)
	}
	return s.joined.Load()
}

// awaitStart waits for the configuration, and for this VM's place in the fleet,
// without which it has no part of any limit.
func (s *SessionManager) awaitStart(ctx context.Context) {
	if s.started() {
		return
	}
	limit := s.config.Timer.After(startWait)
	defer limit.Stop()
	for {
		changed := s.config.View.Changed()
		if s.started() {
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

// InTransaction tells whether the caller has a transaction open.
func (s *Session) InTransaction() bool { return s.transaction != nil }

// Close ends the session and rolls back its transaction.
func (s *Session) Close() {
	if s.transaction != nil {
		s.abandon()
	}
}

// Do runs a request and returns its whole answer.
func (s *Session) Do(ctx context.Context, request statement.Request) statement.Response {
	s.tried = attempt{}
	if t := s.transaction; t != nil && t.failed {
		return s.inFailed(request)
	}
	switch st := request.Statement.(type) {
	case statement.Begin:
		return s.begin(st)
	case statement.Commit:
		return s.commit(ctx, request)
	case statement.Rollback:
		if s.transaction == nil {
			return s.refuse(refusal.NewNotRun(refusal.InvalidRequest, "no transaction is open"))
		}
		s.abandon()
		return s.answer(statement.Response{})
	case statement.Read:
		return s.run(ctx, request, work{text: request.Text})
	case statement.Write:
		return s.run(ctx, request, work{
			text:  request.Text,
			write: true,
		})
	case statement.Execute:
		return s.execute(ctx, request, st)
	case statement.Set:
		if s.values == nil {
			s.values = map[string]string{}
		}
		s.values[st.Name] = st.Value
		return s.answer(statement.Response{})
	case statement.Prepare:
		if s.prepared == nil {
			s.prepared = map[string]statement.Prepared{}
		}
		s.prepared[st.Name] = st.Prepared
		return s.answer(statement.Response{})
	case statement.Deallocate:
		delete(s.prepared, st.Name)
		return s.answer(statement.Response{})
	case statement.Malformed:
		return s.refuse(refusal.NewNotRun(refusal.InvalidRequest, st.Problem))
	default:
		return s.refuse(refusal.NewNotRun(refusal.InvalidRequest, "the statement is unknown"))
	}
}

// work is a statement for an endpoint.
type work struct {
	text     string
	write    bool
	prepared *statement.Prepared
}

func (s *Session) execute(ctx context.Context, request statement.Request, e statement.Execute) statement.Response {
	prepared, ok := s.prepared[e.Name]
	if !ok {
		return s.refuse(&refusal.Error{
			Outcome: refusal.NotRun,
			Reason:  refusal.InvalidRequest,
			Field:   e.Name,
			Message: "no statement is prepared under this name",
		})
	}
	return s.run(ctx, request, work{
		text:     e.Arguments,
		write:    prepared.Write,
		prepared: &prepared,
	})
}

func (s *Session) begin(b statement.Begin) statement.Response {
	if s.transaction != nil {
		return s.refuse(refusal.NewNotRun(refusal.InvalidRequest, "a transaction is open"))
	}
	admitted, refused := s.authorize()
	if refused != nil {
		return s.refuse(refused)
	}
	s.transaction = &transaction{
		readOnly:  b.ReadOnly,
		admission: admitted,
	}
	return s.answer(statement.Response{})
}

// inFailed answers while the transaction can only be rolled back.
func (s *Session) inFailed(request statement.Request) statement.Response {
	switch request.Statement.(type) {
	case statement.Rollback:
		s.abandon()
		return s.answer(statement.Response{})
	case statement.Commit:
		s.abandon()
		return s.refuse(refusal.NewNotRun(refusal.TransactionConflict, "the transaction had failed and was rolled back"))
	default:
		return s.refuse(refusal.NewNotRun(refusal.InvalidRequest, "the transaction has failed; it can only be rolled back"))
	}
}

// answer completes an answer with the session's state.
func (s *Session) answer(a statement.Response) statement.Response {
	switch {
	case s.transaction == nil:
		a.State = statement.Idle
	case s.transaction.failed:
		a.State = statement.InFailedTransaction
	default:
		a.State = statement.InTransaction
	}
	return a
}

// refuse answers with a refusal, which fails an open transaction.
func (s *Session) refuse(refused *refusal.Error) statement.Response {
	if s.transaction != nil {
		s.transaction.failed = true
	}
	return s.answer(statement.Response{Refused: refused})
}

// admission is what the configuration allows an operation.
type admission struct {
	route     catalog.Route
	database  catalog.Database
	workspace string
	idle      time.Duration
	version   uint64
}

// publicWorkspace is the name under which endpoints see callers of public routes.
const publicWorkspace = "-"

// authorize looks the session's host and key up in the newest configuration.
func (s *Session) authorize() (admission, *refusal.Error) {
	c := s.sessions.config.View.Configuration()
	if c == nil {
		return admission{}, refusal.NewNotRun(refusal.NotReady, "this VM has no configuration yet")
	}
	route, ok := c.Routes[s.host]
	if !ok {
		return admission{}, refusal.NewNotRun(refusal.NotAllowed, "no route leads to this name")
	}
	workspace := publicWorkspace
	if !route.Public {
		if workspace, ok = c.WorkspaceByKey[s.key]; !ok {
			return admission{}, refusal.NewNotRun(refusal.KeyUnknown, "the key is unknown")
		}
	}
	return admission{
		route:     route,
		database:  c.Databases[route.Database],
		workspace: workspace,
		idle:      c.TransactionIdle,
		version:   c.Version,
	}, nil
}
