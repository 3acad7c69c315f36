package observe

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
)

// readHeaderTimeout limits how long a connection may take to send a request's headers.
const readHeaderTimeout = 5 * time.Second

// Config configures a Server.
type Config struct {
	Listen   netip.AddrPort
	Logger   logr.Logger
	Registry metrics.Registry
	Dumps    *Dumps
	// Live is the liveness check. It returns an error if the process should be
	// replaced; if it is nil, the process is always live.
	Live func() error
	// Ready is the readiness check. It returns an error if the load balancer should
	// send no requests.
	Ready func() error
}

// Server serves /metrics (Prometheus), /metrics.json, /dump, /ready and /live over
// HTTP, and logs the state dump on SIGUSR1.
type Server struct {
	config Config
	logger logr.Logger
	mux    *http.ServeMux
}

// New returns a Server. It listens once Run is called.
func New(config Config) (*Server, error) {
	if config.Registry == nil || config.Dumps == nil || config.Ready == nil {
		return nil, eris.New("observe: Config lacks Registry, Dumps or Ready")
	}
	s := &Server{
		config: config,
		logger: config.Logger.WithName("observe"),
		mux:    http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /dump", s.serveDump)
	s.mux.HandleFunc("GET /live", healthHandler(config.Live))
	s.mux.Handle("GET /metrics", newPrometheusHandler(config.Registry))
	s.mux.HandleFunc("GET /metrics.json", s.serveMetrics)
	s.mux.HandleFunc("GET /ready", healthHandler(config.Ready))
	return s, nil
}

// Handler returns the HTTP handler of the server.
func (s *Server) Handler() http.Handler { return s.mux }

// LogDump writes the state dump to the log.
func (s *Server) LogDump() {
	dump, err := s.config.Dumps.JSON()
	if err != nil {
		s.logger.Error(err, "Could not encode the state dump.")
		return
	}
	s.logger.Info("State dump.", "dump", json.RawMessage(dump))
}

// Run listens and serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.config.Listen.String())
	if err != nil {
		return eris.Wrap(err, "listen for observability requests")
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	defer signal.Stop(signals)
	server := &http.Server{
		Handler:           s.mux,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	serverFailed := make(chan error, 1)
	go func() { serverFailed <- server.Serve(listener) }()
	s.logger.Info("Listening.", "address", listener.Addr().String())
	for {
		select {
		case <-signals:
			s.LogDump()
		case err := <-serverFailed:
			return eris.Wrap(err, "serve observability requests")
		case <-ctx.Done():
			if err := server.Close(); err != nil && !errors.Is(err, http.ErrServerClosed) {
				return eris.Wrap(err, "stop the observability server")
			}
			return nil
		}
	}
}

func (s *Server) serveDump(w http.ResponseWriter, _ *http.Request) {
	dump, err := s.config.Dumps.JSON()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(dump)
}

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.config.Registry, w)
}

// healthHandler returns a handler that responds with 200 if the check succeeds or is
// nil, and otherwise with 503 and the error message.
func healthHandler(check func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if check != nil {
			if err := check(); err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
				return
			}
		}
		_, _ = w.Write([]byte("ok\n"))
	}
}
