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
	"amaranthdock.dev/engine/budget"
	"amaranthdock.dev/observe"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/settings"
	"amaranthdock.dev/timer"
)

const (
	// loadBalancerGracePeriod is the time that the platform's load balancer has to
	// notice that the VM is not ready. Requests that arrive meanwhile are served.
	loadBalancerGracePeriod = time.Second
	// drainTimeout is the timeout of the whole shutdown. It is longer than the idle
	// timeout of transactions (30 s), so that no transaction is aborted.
	drainTimeout = 40 * time.Second
	// readHeaderTimeout is how long a connection may take to send request headers.
	readHeaderTimeout = 10 * time.Second
)

// server is an HTTP server and the address that it listens on.
type server struct {
	name   string
	listen netip.AddrPort
	tls    *tls.Config
	http   *http.Server
	// traffic counts the bytes of the connections; nil counts nothing.
	traffic *peer.ConnectionTraffic
	// budget limits the connections; nil limits nothing.
	budget *budget.Budget
}

// servers are the servers of the three protocols.
type servers struct {
	caller   *server
	operator *server
	peer     *server
}

// run runs the proxy until the context ends, the VM leaves the fleet or a component
// fails. In the first two cases it shuts down gracefully.
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
	c, err := newComponents(loaded, logger)
	if err != nil {
		return err
	}
	listeners := newServers(loaded, c)
	// The loops are not stopped by the signal, because draining needs them.
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	group, groupCtx := errgroup.WithContext(loopCtx)
	for _, loop := range c.loops() {
		group.Go(func() error { return loop(groupCtx) })
	}
	for _, s := range listeners.all() {
		group.Go(s.serve)
	}
	select {
	case <-ctx.Done():
	case <-c.gossip.Leaving():
	case <-groupCtx.Done():
		listeners.close()
		return group.Wait()
	}
	c.drain(loopCtx, logger.WithName("main"), listeners.caller)
	stopLoops()
	listeners.close()
	return group.Wait()
}

func newServers(loaded *settings.Loaded, c *components) *servers {
	s := loaded.Settings
	callerMux := http.NewServeMux()
	callerMux.Handle(c.caller.HTTPHandler())
	peerMux := http.NewServeMux()
	peerPath, peerHandler := peerv1connect.NewPeerServiceHandler(c.peer, connect.WithInterceptors(c.peerMessages),
		connect.WithReadMaxBytes(maxPeerMessageBytes), peer.HandlerOptions())
	peerMux.Handle(peerPath, peer.LimitForwards(peer.LimitConfig{
		Budget:          c.budget,
		Timer:           timer.NewSystem(),
		MaxMessageBytes: maxPeerMessageBytes,
	}, peerHandler))
	operatorMux := http.NewServeMux()
	operatorMux.Handle(c.operator.Handler())
	peerServer := newServer("peer", s.PeerListen, loaded.PeerServerTLS, peerMux)
	peerServer.traffic = c.peerConnections
	callerServer := newServer("caller", s.CallerListen, loaded.CallerTLS, callerMux)
	callerServer.limitCallers(c.budget)
	return &servers{
		caller:   callerServer,
		operator: newServer("operator", s.OperatorListen, loaded.OperatorTLS, operatorMux),
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
			HTTP2:             peer.ServerHTTP2Config(),
			Protocols:         protocols,
			ReadHeaderTimeout: readHeaderTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			TLSConfig:         config,
		},
	}
}

func (s *server) serve() error {
	listener, err := net.Listen("tcp", s.listen.String())
	if err != nil {
		return eris.Wrapf(err, "listen for %s", s.name)
	}
	if s.budget != nil {
		listener = limitedListener{
			Listener: listener,
			budget:   s.budget,
		}
	}
	if s.traffic != nil {
		listener = s.traffic.WrapListener(listener)
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
	for _, server := range s.all() {
		// The error is ignored, because the process is about to end.
		_ = server.http.Close()
	}
}

// drain shuts down gracefully: it announces to the fleet and the load balancer that
// this VM is leaving, completes the requests and transactions in flight, and releases
// this VM's shares of rate limits. A step that fails is logged and does not stop the
// others.
func (c *components) drain(ctx context.Context, logger logr.Logger, callerServer *server) {
	clock := timer.NewSystem()
	ctx, cancel := timer.WithTimeout(ctx, clock, drainTimeout)
	defer cancel()
	logger.Info("Starting the graceful shutdown.")
	steps := []struct {
		name string
		do   func(context.Context) error
	}{
		{
			name: "announce",
			do:   c.gossip.AnnounceLeaving,
		},
		{
			name: "balancer grace",
			do: func(ctx context.Context) error {
				return timer.Sleep(ctx, clock, loadBalancerGracePeriod)
			},
		},
		{
			name: "callers",
			do:   callerServer.http.Shutdown,
		},
		{
			name: "statements and transactions",
			do:   c.endpointHome.Drain,
		},
		{
			name: "shares",
			do:   c.lending.Release,
		},
	}
	for _, step := range steps {
		if err := step.do(ctx); err != nil {
			logger.Error(err, "A step of the graceful shutdown failed.", "step", step.name)
		}
	}
	logger.Info("The graceful shutdown is complete.")
}
