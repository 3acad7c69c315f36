package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/budget"
	"amaranthdock.dev/engine/guard"
	"amaranthdock.dev/timer"
)

// acceptRetryDelay is the delay after a connection could not be accepted, for example because
// the process has no free file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// serviceName is the net/rpc service name of the calls between VMs.
const serviceName = "VM"

// Handler handles the calls of other VMs.
type Handler interface {
	// Run runs a statement at an endpoint. It never returns nil.
	Run(ctx context.Context, request *RunRequest) *RunResponse
	// RollBackTransaction rolls back a transaction after the connection of the VM that
	// began it ended.
	RollBackTransaction(key TransactionKey)
	// Lend lends tokens of a workspace's rate limit.
	Lend(request *LoanRequest) LoanResponse
	// News handles a gossip request and returns the data that the requesting VM lacks.
	News(request *GossipRequest) GossipResponse
	// Part returns a part of a snapshot that a response to a gossip request has offered.
	Part(request *PartRequest) PartResponse
	// Suspect records that another VM does not reach an endpoint.
	Suspect(request *Suspicion)
	// Confirm probes an endpoint and reports whether it responds.
	Confirm(ctx context.Context, request *Suspicion) ConfirmResponse
	// Promoted records the leader's announcement of a promotion.
	Promoted(request *PromotionNotice)
}

// PromotionNotice announces that the promotion of an endpoint was requested or, with Leads
// set, that it took effect.
type PromotionNotice struct {
	Database string
	Endpoint string
	// Leads means that the endpoint is the primary of the database.
	Leads bool
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Handler Handler
	// Budget limits the connections and the memory of statements and responses; nil for no limits.
	Budget *budget.Budget
	Timer  timer.Service
	Log    logr.Logger
}

// Server serves the calls of other VMs.
type Server struct {
	config ServerConfig
	// connections is the number of open connections.
	connections atomic.Int64
}

// NewServer returns a Server that does not listen yet.
func NewServer(config ServerConfig) *Server {
	return &Server{config: config}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	for {
		connection, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.config.Log.Info("Could not accept a connection of another VM.", "error", err.Error())
			if err := timer.Sleep(ctx, s.config.Timer, acceptRetryDelay); err != nil {
				return eris.Wrap(err, "accept connections of other VMs")
			}
			continue
		}
		if limit := s.config.Budget.Limits().PeerConnections; limit > 0 && s.connections.Load() >= int64(limit) {
			s.config.Budget.Count("peerConnectionRefused")
			// The VM connects again after its backoff.
			_ = connection.Close()
			continue
		}
		s.connections.Add(1)
		go s.serveConnection(ctx, connection)
	}
}

// serveConnection serves the calls of one connection. When the connection ends, it rolls
// back the transactions that were begun on it and are still open.
func (s *Server) serveConnection(ctx context.Context, connection net.Conn) {
	defer guard.Recover(s.config.Log, "connection of a VM")
	defer s.connections.Add(-1)
	service := &connectionService{
		ctx:              ctx,
		handler:          s.config.Handler,
		timer:            s.config.Timer,
		log:              s.config.Log,
		budget:           s.config.Budget,
		openTransactions: map[TransactionKey]struct{}{},
	}
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, service); err != nil {
		s.config.Log.Error(err, "Could not register the service for calls between VMs.")
		return
	}
	server.ServeCodec(newServerCodec(newDeadlineConn(connection, s.config.Timer, s.config.Budget)))
	for _, key := range service.disconnect() {
		s.config.Handler.RollBackTransaction(key)
	}
}

// connectionService is the net/rpc service of one connection and tracks the transactions
// that were begun on it. Its exported methods have the signature that net/rpc requires.
// Errors of statements are part of the response; an error of a method means that it ended
// with a panic.
type connectionService struct {
	ctx     context.Context
	handler Handler
	timer   timer.Service
	log     logr.Logger
	budget  *budget.Budget

	delays           delays
	mu               sync.Mutex
	openTransactions map[TransactionKey]struct{}
	disconnected     bool
}

// Ping responds immediately; callers use it to test the connection.
func (s *connectionService) Ping(*Empty, *Empty) error { return nil }

// Run runs a statement. If the connection has ended meanwhile, it rolls back the
// transaction of the statement.
func (s *connectionService) Run(request *RunRequest, reply *RunResponse) (err error) {
	defer guard.RecoverTo(s.log, "Run", &err)
	if delay := s.delays.add(s.timer.SinceBoot(), request.SentAt); request.isGivenUp(delay) {
		s.log.Info("Refused a statement that arrived late.", "request", request.ID, "delay", delay.String())
		reply.Refused = refusal.NewNotRun(refusal.QueueTimeout, "the request arrived after its VM had stopped waiting for it")
		return nil
	}
	account, refused := s.holdRequest(request)
	if refused != nil {
		reply.Refused = refused
		return nil
	}
	defer account.Close()
	if request.Step == StepFirst {
		s.mu.Lock()
		s.openTransactions[request.Transaction] = struct{}{}
		s.mu.Unlock()
	}
	*reply = *s.handler.Run(s.ctx, request)
	s.holdResponse(request, reply)
	s.mu.Lock()
	switch {
	case request.Step == StepCommit || request.Step == StepRollback:
		delete(s.openTransactions, request.Transaction)
	case request.Step == StepFirst && reply.Refused != nil:
		delete(s.openTransactions, request.Transaction)
	}
	ended := s.disconnected
	s.mu.Unlock()
	if ended && request.Step != StepSingle {
		s.handler.RollBackTransaction(request.Transaction)
	}
	return nil
}

// Lend lends tokens of a workspace's rate limit.
func (s *connectionService) Lend(request *LoanRequest, reply *LoanResponse) (err error) {
	defer guard.RecoverTo(s.log, "Lend", &err)
	*reply = s.handler.Lend(request)
	return nil
}

// News handles a gossip request.
func (s *connectionService) News(request *GossipRequest, reply *GossipResponse) (err error) {
	defer guard.RecoverTo(s.log, "News", &err)
	s.delays.add(s.timer.SinceBoot(), request.SentAt)
	*reply = s.handler.News(request)
	return nil
}

// Part returns a part of a snapshot.
func (s *connectionService) Part(request *PartRequest, reply *PartResponse) (err error) {
	defer guard.RecoverTo(s.log, "Part", &err)
	*reply = s.handler.Part(request)
	return nil
}

// Suspect records that the calling VM does not reach an endpoint.
func (s *connectionService) Suspect(request *Suspicion, _ *Empty) (err error) {
	defer guard.RecoverTo(s.log, "Suspect", &err)
	s.handler.Suspect(request)
	return nil
}

// Confirm probes an endpoint.
func (s *connectionService) Confirm(request *Suspicion, reply *ConfirmResponse) (err error) {
	defer guard.RecoverTo(s.log, "Confirm", &err)
	*reply = s.handler.Confirm(s.ctx, request)
	return nil
}

// Promoted records the announcement of a promotion.
func (s *connectionService) Promoted(request *PromotionNotice, _ *Empty) (err error) {
	defer guard.RecoverTo(s.log, "Promoted", &err)
	s.handler.Promoted(request)
	return nil
}

// disconnect marks the connection as ended and returns the transactions that are still
// open.
func (s *connectionService) disconnect() []TransactionKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disconnected = true
	keys := make([]TransactionKey, 0, len(s.openTransactions))
	for key := range s.openTransactions {
		keys = append(keys, key)
	}
	return keys
}
