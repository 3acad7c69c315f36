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

// readHeaderTimeout ends connections that send no request.
const readHeaderTimeout = 5 * time.Second

// Config configures a Server.
type Config struct {
	Listen   netip.AddrPort
	Logger   logr.Logger
	Registry metrics.Registry
	Dumps    *Dumps
	// Live returns an error if the process should be replaced; nil for always.
	Live func() error
	// Ready returns an error if the load balancer should send nothing.
	Ready func() error
}

// Server serves /metrics (Prometheus), /metrics.json, /dump, /ready and /live over
// HTTP, and logs the state dump on SIGUSR1.
type Server struct {
	config Config
	logger logr.Logger
	mux    *http.ServeMux
}

// New returns a Server that does not listen yet.
func New(config Config) (*Server, error) {
	if config.Registry == nil || config.Dumps == nil || config.Ready == nil {
		return nil, eris.New("observe needs a registry, dumps and a readiness function")
	}
	s := &Server{
		config: config,
		logger: config.Logger.WithName("observe"),
		mux:    http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /dump", s.serveDump)
	s.mux.HandleFunc("GET /live", serveState(config.Live))
	s.mux.Handle("GET /metrics", newPrometheusHandler(config.Registry))
	s.mux.HandleFunc("GET /metrics.json", s.serveMetrics)
	s.mux.HandleFunc("GET /ready", serveState(config.Ready))
	return s, nil
}

// Handler returns the pages without a listener.
func (s *Server) Handler() http.Handler { return s.mux }

// LogDump writes the state dump to the log.
func (s *Server) LogDump() {
	dump, err := s.config.Dumps.JSON()
	if err != nil {
		s.logger.Error(err, "The state dump failed.")
		return
	}
	s.logger.Info("State dump.", "dump", json.RawMessage(dump))
}

// Run listens until the context ends.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.config.Listen.String())
	if err != nil {
		return eris.Wrap(err, "listen for metrics and dumps")
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	defer signal.Stop(signals)
	server := &http.Server{
		Handler:           s.mux,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	s.logger.Info("Listening.", "address", listener.Addr().String())
	for {
		select {
		case <-signals:
			s.LogDump()
		case err := <-failed:
			return eris.Wrap(err, "serve metrics and dumps")
		case <-ctx.Done():
			if err := server.Close(); err != nil && !errors.Is(err, http.ErrServerClosed) {
				return eris.Wrap(err, "stop serving metrics and dumps")
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

// serveState answers 200 or, with the error as text, 503.
func serveState(state func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if state != nil {
			if err := state(); err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
				return
			}
		}
		_, _ = w.Write([]byte("ok\n"))
	}
}
