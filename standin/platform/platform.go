// Package platform is a stand-in for the platform's service: a key-value store
// with compare-and-swap, leases and watches, and the lagging VM list. Its faults
// are set over HTTP on the same listener.
package platform

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/api/amaranthdock/platform/v1/platformv1connect"
	"amaranthdock.dev/timer"
)

const (
	// expiryInterval is how often lapsed leases are looked for; calls look too.
	expiryInterval = 50 * time.Millisecond
	// readHeaderTimeout ends connections that send no request.
	readHeaderTimeout = 5 * time.Second
)

// Config configures a Platform.
type Config struct {
	// Listen may have port 0; Address then tells the port.
	Listen netip.AddrPort
	Timer  timer.Service
	Logger logr.Logger
	// ListLag is the time until a change of the VM list becomes visible.
	ListLag time.Duration
}

// Platform serves the platform's protocol and its admin pages.
type Platform struct {
	timer    timer.Service
	logger   logr.Logger
	listener net.Listener
	handler  http.Handler
	service  *service
}

// New returns a Platform that listens but does not serve yet.
func New(config Config) (*Platform, error) {
	if config.Timer == nil {
		return nil, eris.New("the platform needs a timer")
	}
	listener, err := net.Listen("tcp", config.Listen.String())
	if err != nil {
		return nil, eris.Wrap(err, "listen for the platform's protocol")
	}
	faults := newFaults(config.Timer)
	s := &service{
		timer:   config.Timer,
		faults:  faults,
		store:   newStore(config.Timer),
		vms:     newVMList(config.Timer, config.ListLag),
		calls:   &counters{counts: map[string]uint64{}},
		changed: newBroadcast(),
	}
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewPlatformServiceHandler(s, connect.WithInterceptors(s.interceptor())))
	(&admin{
		service: s,
		logger:  config.Logger.WithName("admin"),
	}).register(mux)
	return &Platform{
		timer:    config.Timer,
		logger:   config.Logger.WithName("platform"),
		listener: listener,
		handler:  mux,
		service:  s,
	}, nil
}

// Address returns the address of the listener.
func (p *Platform) Address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// Run serves until the context ends.
func (p *Platform) Run(ctx context.Context) error {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           p.handler,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(p.listener) }()
	p.logger.Info("Listening.", "address", p.listener.Addr().String())
	ticks := p.timer.Every(expiryInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C():
			p.service.expire()
		case err := <-failed:
			return eris.Wrap(err, "serve the platform's protocol")
		case <-ctx.Done():
			return eris.Wrap(server.Close(), "stop the platform")
		}
	}
}
