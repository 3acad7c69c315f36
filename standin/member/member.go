// Package member simulates one member of a replicated database. It serves the
// endpoint protocol to proxies and replicates its log to the other members.
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

// The default values of Config.
const (
	defaultConnections = 30
	defaultPieceRows   = 100
	defaultSlots       = 5
)

// Config configures a Member.
type Config struct {
	// Name is the name of the endpoint.
	Name string
	// Listen is the address of the only listener.
	Listen netip.AddrPort
	// Listener, if set, is used instead of a new listener on Listen.
	Listener net.Listener
	// Peers are the addresses of the other members of the database by name.
	Peers map[string]netip.AddrPort
	// Slots is the maximum number of concurrent statements; further ones fail.
	Slots int
	// MaxConnections is the maximum number of open connections.
	MaxConnections int
	// ConnectionCost is the time that it takes to open a connection.
	ConnectionCost time.Duration
	// StatementTime is the time that each statement takes.
	StatementTime time.Duration
	// Lag is the delay before this member applies replicated entries. An entry
	// that arrives while an earlier batch is delayed is applied after up to twice
	// the lag.
	Lag time.Duration
	// PieceRows is the maximum number of rows in one piece of a response.
	PieceRows int
	// MaxPieceDelay is the maximum random delay of a piece. If it is not 0, the
	// pieces of pipelined responses arrive out of order.
	MaxPieceDelay time.Duration
	// LogFile is the path of a file that persists the log over restarts; empty for
	// none.
	LogFile string
	// Seed is the seed of the random delays and of the random order of pieces.
	Seed   uint64
	Timer  timer.Service
	Logger logr.Logger
}

// Member is one simulated database member.
type Member struct {
	config      Config
	incarnation uint64
	random      *randomSource

	mu                 sync.Mutex
	log                *memberlog.Log
	file               *logFile
	table              *table
	changed            chan struct{}
	connections        int
	openedConnections  int
	runningStatements  int
	replicationLag     time.Duration
	replicationStopped bool
	// primaryContactAt is the time when a replica last accepted a request from its
	// primary. replicaContactAt is the time when a replica last accepted a request
	// from this primary.
	primaryContactAt   time.Time
	replicaContactAt   time.Time
	executedStatements []executedStatement
}

// New returns a Member with its log recovered from the log file.
func New(config Config) (*Member, error) {
	if config.Name == "" || config.Timer == nil {
		return nil, eris.New("member: the name and the timer are required")
	}
	setDefaults(&config)
	now := config.Timer.Now()
	m := &Member{
		config:           config,
		incarnation:      uint64(now.UnixNano()),
		random:           newRandomSource(config.Seed),
		log:              memberlog.New(),
		table:            newTable(),
		changed:          make(chan struct{}),
		replicationLag:   config.Lag,
		primaryContactAt: now,
		replicaContactAt: now,
	}
	file, err := openLogFile(config.LogFile, m.log.Replay)
	if err != nil {
		return nil, err
	}
	m.file = file
	m.rebuildTable()
	return m, nil
}

// maxReadFrameSize is the smallest maximum frame size that HTTP/2 allows. A client
// keeps a buffer of this size for each open connection of the protocol.
const maxReadFrameSize = 16 << 10

// Handler returns the handler of the listener: the endpoint and replication
// services and the test hooks.
func (m *Member) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(endpointv1connect.NewEndpointServiceHandler(m))
	mux.Handle(endpointv1connect.NewReplicationServiceHandler(m))
	m.registerHooks(mux)
	return mux
}

// Run serves and replicates until the context ends, and then closes all connections.
// It may be called only once.
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
			MaxReadFrameSize: maxReadFrameSize,
		},
		Protocols: unencryptedProtocols(),
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

// persistAndApply writes changes to the log file, applies them to the table and
// notifies the waiters. The caller holds the lock. If the write fails it panics,
// because a member that cannot persist its log must not respond any more.
func (m *Member) persistAndApply(changes []memberlog.Change) {
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

// notify wakes all goroutines that wait for a change. The caller holds the lock.
func (m *Member) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// rebuildTable applies the whole log to an empty table.
func (m *Member) rebuildTable() {
	m.rebuildTableUpTo(m.log.Last().Index)
}

// rebuildTableUpTo applies the entries up to an index to an empty table. Entries that
// were appended after a truncation are applied by separate changes.
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

// unencryptedProtocols allows HTTP/1.1, for the test hooks, and HTTP/2 without TLS.
func unencryptedProtocols() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

func setDefaults(config *Config) {
	if config.Slots <= 0 {
		config.Slots = defaultSlots
	}
	if config.MaxConnections <= 0 {
		config.MaxConnections = defaultConnections
	}
	if config.PieceRows <= 0 {
		config.PieceRows = defaultPieceRows
	}
}
