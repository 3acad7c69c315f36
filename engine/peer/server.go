package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/timer"
)

// acceptPause after a connection could not be accepted, for example for want of
// descriptors.
const acceptPause = 20 * time.Millisecond

// serviceName of the calls between VMs.
const serviceName = "VM"

// Handler answers the calls of other VMs.
type Handler interface {
	// Run runs a statement at an endpoint. It never returns nil.
	Run(ctx context.Context, request *RunRequest) *RunResponse
	// Abandon rolls back a transaction whose caller's VM is gone.
	Abandon(key TransactionKey)
	// Lend gives away tokens of a workspace's limit.
	Lend(request *LoanRequest) LoanResponse
	// News returns what is newer than the asking VM's knowledge.
	News(request *GossipRequest) GossipResponse
	// Suspect takes a home's word that it does not reach an endpoint.
	Suspect(request *Suspicion)
	// Confirm tries to reach an endpoint.
	Confirm(ctx context.Context, request *Suspicion) ConfirmResponse
	// Promoted takes the leader's word that an endpoint was ordered to lead.
	Promoted(request *PromotionNotice)
}

// PromotionNotice tells that an endpoint was ordered to lead its database, or that it does.
type PromotionNotice struct {
	Database string
	Endpoint string
	Leads    bool
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Handler Handler
	Timer   timer.Service
	Log     logr.Logger
}

// Server answers other VMs.
type Server struct {
	config ServerConfig
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
			s.config.Log.Info("A VM could not be accepted.", "error", err.Error())
			if err := timer.Sleep(ctx, s.config.Timer, acceptPause); err != nil {
				return eris.Wrap(err, "accept connections of other VMs")
			}
			continue
		}
		go s.serve(ctx, connection)
	}
}

// serve answers on one connection, and rolls back what was begun over it once it
// ends.
func (s *Server) serve(ctx context.Context, connection net.Conn) {
	calls := &incoming{
		ctx:     ctx,
		handler: s.config.Handler,
		open:    map[TransactionKey]struct{}{},
	}
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, calls); err != nil {
		s.config.Log.Error(err, "The calls between VMs cannot be registered.")
		return
	}
	server.ServeConn(&bounded{
		Conn:  connection,
		timer: s.config.Timer,
	})
	for _, key := range calls.end() {
		s.config.Handler.Abandon(key)
	}
}

// incoming holds what one connection has begun. Its methods have the form that
// net/rpc asks for; answers to statements are in the message, so that the errors are
// always nil.
type incoming struct {
	ctx     context.Context
	handler Handler

	mu    sync.Mutex
	open  map[TransactionKey]struct{}
	ended bool
}

// Ping answers at once.
func (i *incoming) Ping(*Empty, *Empty) error { return nil }

// Run runs a statement.
func (i *incoming) Run(request *RunRequest, answer *RunResponse) error {
	if request.Step == StepFirst {
		i.mu.Lock()
		i.open[request.Transaction] = struct{}{}
		i.mu.Unlock()
	}
	*answer = *i.handler.Run(i.ctx, request)
	i.mu.Lock()
	switch {
	case request.Step == StepCommit || request.Step == StepRollback:
		delete(i.open, request.Transaction)
	case request.Step == StepFirst && answer.Refused != nil:
		delete(i.open, request.Transaction)
	}
	ended := i.ended
	i.mu.Unlock()
	if ended && request.Step != StepSingle {
		i.handler.Abandon(request.Transaction)
	}
	return nil
}

// Lend gives away tokens.
func (i *incoming) Lend(request *LoanRequest, answer *LoanResponse) error {
	*answer = i.handler.Lend(request)
	return nil
}

// News returns newer data.
func (i *incoming) News(request *GossipRequest, answer *GossipResponse) error {
	*answer = i.handler.News(request)
	return nil
}

// Suspect takes a suspicion.
func (i *incoming) Suspect(request *Suspicion, _ *Empty) error {
	i.handler.Suspect(request)
	return nil
}

// Confirm tries an endpoint.
func (i *incoming) Confirm(request *Suspicion, answer *ConfirmResponse) error {
	*answer = i.handler.Confirm(i.ctx, request)
	return nil
}

// Promoted takes a promotion.
func (i *incoming) Promoted(request *PromotionNotice, _ *Empty) error {
	i.handler.Promoted(request)
	return nil
}

// end returns what is still open.
func (i *incoming) end() []TransactionKey {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ended = true
	keys := make([]TransactionKey, 0, len(i.open))
	for key := range i.open {
		keys = append(keys, key)
	}
	return keys
}
