// Package member is a stand-in for one member of a replicated database. It
// serves the endpoint protocol to proxies and replicates to the other members.
package member

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"amaranthdock.dev/api/amaranthdock/endpoint/v1/endpointv1connect"
	"amaranthdock.dev/standin/memberlog"
	"amaranthdock.dev/timer"
)

// Defaults of the Config.
const (
	defaultConnections = 30
	defaultPieceRows   = 100
	defaultSlots       = 5
)

// Config configures a Member.
type Config struct {
	// Name of the endpoint.
	Name string
	// Listen is the address of the only listener.
	Listen netip.AddrPort
	// Listener replaces Listen if it is set.
	Listener net.Listener
	// Peers are the other members of the database by name.
	Peers map[string]netip.AddrPort
	// Slots is the number of statements that run at once; one more fails.
	Slots int
	// Connections is the limit on open connections.
	Connections int
	// ConnectionCost is the time that a new connection takes.
	ConnectionCost time.Duration
	// StatementTime is the time that each statement takes.
	StatementTime time.Duration
	// Lag delays replicated entries before this member applies them. An entry
	// that arrives while an earlier batch waits is applied after up to twice
	// the lag.
	Lag time.Duration
	// PieceRows is the number of rows in one piece of an answer.
	PieceRows int
	// AnswerDelay is the longest random delay of a piece. If it is not 0, the
	// pieces of pipelined answers arrive out of order.
	AnswerDelay time.Duration
	// LogFile keeps the log over restarts; empty for none.
	LogFile string
	// Seed of the random delays.
	Seed   uint64
	Timer  timer.Service
	Logger logr.Logger
}

// Member is one database member.
type Member struct {
	config      Config
	incarnation uint64
	random      *source

	mu          sync.Mutex
	log         *memberlog.Log
	file        *file
	table       *table
	changed     chan struct{}
	connections int
	running     int
	lag         time.Duration
	stopped     bool
	// heard is when a replica last heard its primary, answered when a primary
	// last got a replica's answer.
	heard      time.Time
	answered   time.Time
	statements []ranStatement
}

// New returns a Member with its log recovered from the log file.
func New(config Config) (*Member, error) {
	if config.Name == "" || config.Timer == nil {
		return nil, eris.New("member: the name and the timer are required")
	}
	setDefaults(&config)
	now := config.Timer.Now()
	m := &Member{
		config:      config,
		incarnation: uint64(now.UnixNano()),
		random:      newSource(config.Seed),
		log:         memberlog.New(),
		table:       newTable(),
		changed:     make(chan struct{}),
		lag:         config.Lag,
		heard:       now,
		answered:    now,
	}
	kept, err := openFile(config.LogFile, m.log.Replay)
	if err != nil {
		return nil, err
	}
	m.file = kept
	m.rebuildTable()
	return m, nil
}

// maxFrameBytes is the least that HTTP/2 allows. A client keeps a buffer of this
// size for each open connection of the protocol.
const maxFrameBytes = 16 << 10

// Handler returns the handler of the listener: the endpoint and replication
// services and the test hooks.
func (m *Member) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(endpointv1connect.NewEndpointServiceHandler(m))
	mux.Handle(endpointv1connect.NewReplicationServiceHandler(m))
	m.registerHooks(mux)
	return mux
}

// Run serves and replicates until the context ends, and closes all connections
// then. A Member runs once.
func (m *Member) Run(ctx context.Context) error {
	listener := m.config.Listener
	if listener == nil {
		bound, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(m.config.Listen))
		if err != nil {
			return errors.Join(eris.Wrap(err, "member: listen"), m.file.close())
		}
		listener = bound
	}
	group, ctx := errgroup.WithContext(ctx)
	server := &http.Server{
		Handler: m.Handler(),
		HTTP2: &http.HTTP2Config{
			MaxReadFrameSize: maxFrameBytes,
		},
		Protocols: plainProtocols(),
		BaseContext: func(net.Listener) context.Context {
			return ctx
		},
	}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "member: serve")
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	for name, address := range m.config.Peers {
		m.startReplication(ctx, group, name, address)
	}
	m.config.Logger.Info("member: serving", "endpoint", m.config.Name, "address", listener.Addr().String())
	err := group.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	return errors.Join(err, m.file.close())
}

// keep makes changes durable and visible. The caller holds the lock. A member
// that cannot keep its log must not answer, so it ends the process.
func (m *Member) keep(changes []memberlog.Change) {
	if len(changes) == 0 {
		return
	}
	if err := m.file.write(changes); err != nil {
		panic(err)
	}
	for _, change := range changes {
		switch c := change.(type) {
		case memberlog.Appended:
			m.table.apply(c.Entry)
		case memberlog.Truncated:
			m.rebuildTableUpTo(c.Last)
		}
	}
	m.notify()
}

// notify wakes everyone who waits for a change. The caller holds the lock.
func (m *Member) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// rebuildTable applies the whole log to an empty table.
func (m *Member) rebuildTable() {
	m.rebuildTableUpTo(m.log.Last().Index)
}

// rebuildTableUpTo applies the entries up to an index to an empty table. The
// entries after a truncation follow as changes of their own.
func (m *Member) rebuildTableUpTo(last uint64) {
	m.table = newTable()
	for index := uint64(1); index <= last; index++ {
		e, ok := m.log.At(index)
		if !ok {
			return
		}
		m.table.apply(e)
	}
}

// plainProtocols allows HTTP/1.1, for the test hooks, and HTTP/2 without TLS.
func plainProtocols() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

func setDefaults(config *Config) {
	if config.Slots <= 0 {
		config.Slots = defaultSlots
	}
	if config.Connections <= 0 {
		config.Connections = defaultConnections
	}
	if config.PieceRows <= 0 {
		config.PieceRows = defaultPieceRows
	}
}
