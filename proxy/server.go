package main

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"amaranthdock.dev/api/amaranthdock/peer/v1/peerv1connect"
	"amaranthdock.dev/observe"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/settings"
	"amaranthdock.dev/timer"
)

const (
	// balancerGrace is the time that the platform's load balancer has to notice
	// that the VM is not ready; requests that arrive meanwhile are served.
	balancerGrace = time.Second
	// drainLimit is longer than the idle timeout of transactions (30 s), so that
	// none is cut.
	drainLimit = 40 * time.Second
	// readHeaderTimeout ends connections that send no request.
	readHeaderTimeout = 10 * time.Second
)

// server is one listener with its handler.
type server struct {
	name   string
	listen netip.AddrPort
	tls    *tls.Config
	http   *http.Server
	// traffic counts the connections unless it is nil.
	traffic *peer.ConnectionTraffic
}

// servers are the listeners of the three protocols.
type servers struct {
	caller   *server
	operator *server
	peer     *server
}

// run serves until the context ends and then shuts down gracefully.
func run(ctx context.Context, loaded *settings.Loaded) error {
	logger, err := observe.NewLogger(observe.LoggerConfig{
		Level:  loaded.Settings.LogLevel,
		Format: loaded.Settings.LogFormat,
		Output: os.Stderr,
		VM:     loaded.Settings.VM,
	})
	if err != nil {
		return err
	}
	p, err := newParts(loaded, logger)
	if err != nil {
		return err
	}
	listeners := newServers(loaded, p)
	// The loops outlive the signal: they carry the drain.
	loops, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, child := errgroup.WithContext(loops)
	for _, loop := range p.background() {
		group.Go(func() error { return loop(child) })
	}
	for _, s := range listeners.all() {
		group.Go(s.serve)
	}
	select {
	case <-ctx.Done():
	case <-p.gossip.Leaving():
	case <-child.Done():
		listeners.close()
		return group.Wait()
	}
	p.drain(loops, logger.WithName("main"), listeners.caller)
	stop()
	listeners.close()
	return group.Wait()
}

func newServers(loaded *settings.Loaded, p *parts) *servers {
	s := loaded.Settings
	callers := http.NewServeMux()
	callers.Handle(p.caller.HTTPHandler())
	peers := http.NewServeMux()
	peers.Handle(peerv1connect.NewPeerServiceHandler(p.peer, connect.WithInterceptors(p.messages), peer.HandlerOptions()))
	operators := http.NewServeMux()
	operators.Handle(p.operator.Handler())
	peerServer := newServer("peer", s.PeerListen, loaded.PeerServerTLS, peers)
	peerServer.traffic = p.peerConnections
	return &servers{
		caller:   newServer("caller", s.CallerListen, loaded.CallerTLS, callers),
		operator: newServer("operator", s.OperatorListen, loaded.OperatorTLS, operators),
		peer:     peerServer,
	}
}

func newServer(name string, listen netip.AddrPort, config *tls.Config, handler http.Handler) *server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(config != nil)
	protocols.SetUnencryptedHTTP2(config == nil)
	return &server{
		name:   name,
		listen: listen,
		tls:    config,
		http: &http.Server{
			Handler:           handler,
			HTTP2:             peer.ServerHTTP2(),
			Protocols:         protocols,
			ReadHeaderTimeout: readHeaderTimeout,
			TLSConfig:         config,
		},
	}
}

func (s *server) serve() error {
	listener, err := net.Listen("tcp", s.listen.String())
	if err != nil {
		return eris.Wrapf(err, "listen for %s", s.name)
	}
	if s.traffic != nil {
		listener = s.traffic.Listen(listener)
	}
	if s.tls != nil {
		err = s.http.ServeTLS(listener, "", "")
	} else {
		err = s.http.Serve(listener)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "serve %s", s.name)
	}
	return nil
}

func (s *servers) all() []*server {
	return []*server{s.caller, s.operator, s.peer}
}

func (s *servers) close() {
	for _, each := range s.all() {
		// The process ends; nothing is left to do with an error.
		_ = each.http.Close()
	}
}

// drain lets the fleet and the load balancer know, finishes what is in flight,
// and gives the shares back.
func (p *parts) drain(ctx context.Context, logger logr.Logger, callers *server) {
	service := timer.NewSystem()
	ctx, cancel := timer.WithTimeout(ctx, service, drainLimit)
	defer cancel()
	logger.Info("Shutdown begins.")
	steps := []struct {
		name string
		do   func(context.Context) error
	}{
		{
			name: "announce",
			do:   p.gossip.AnnounceLeaving,
		},
		{
			name: "balancer grace",
			do: func(ctx context.Context) error {
				return timer.Sleep(ctx, service, balancerGrace)
			},
		},
		{
			name: "callers",
			do:   callers.http.Shutdown,
		},
		{
			name: "statements and transactions",
			do:   p.home.Drain,
		},
		{
			name: "shares",
			do:   p.lending.Release,
		},
	}
	for _, step := range steps {
		if err := step.do(ctx); err != nil {
			logger.Error(err, "A step of the shutdown failed.", "step", step.name)
		}
	}
	logger.Info("Shutdown is complete.")
}
