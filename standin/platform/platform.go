// Package platform simulates the platform's service: a key-value store with
// compare-and-swap, leases and watches, and a VM list whose changes become visible
// after a lag. Faults to inject are set over HTTP on the same listener.
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
	// leaseExpiryInterval is the interval at which expired leases are removed. Each
	// call removes them too.
	leaseExpiryInterval = 50 * time.Millisecond
	// readHeaderTimeout limits how long a connection may take to send the headers of
	// a request.
	readHeaderTimeout = 5 * time.Second
)

// Config configures a Platform.
type Config struct {
	// Listen is the address of the listener. If its port is 0, a free port is chosen,
	// which Address returns.
	Listen netip.AddrPort
	Timer  timer.Service
	Logger logr.Logger
	// ListLag is the delay before a change of the VM list becomes visible.
	ListLag time.Duration
}

// Platform serves the platform protocol and the admin pages.
type Platform struct {
	timer    timer.Service
	logger   logr.Logger
	listener net.Listener
	handler  http.Handler
	service  *service
}

// New returns a Platform that is listening; Run serves its requests.
func New(config Config) (*Platform, error) {
	if config.Timer == nil {
		return nil, eris.New("the timer of the platform is required")
	}
	listener, err := net.Listen("tcp", config.Listen.String())
	if err != nil {
		return nil, eris.Wrap(err, "listen for the platform protocol")
	}
	faults := newFaults(config.Timer)
	s := &service{
		timer:        config.Timer,
		faults:       faults,
		store:        newStore(config.Timer),
		vms:          newVMList(config.Timer, config.ListLag),
		callCounters: &counters{counts: map[string]uint64{}},
		storeChanges: newBroadcast(),
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
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(p.listener) }()
	p.logger.Info("Listening.", "address", p.listener.Addr().String())
	expiry := p.timer.Every(leaseExpiryInterval)
	defer expiry.Stop()
	for {
		select {
		case <-expiry.C():
			p.service.expireLeases()
		case err := <-serveErr:
			return eris.Wrap(err, "serve the platform protocol")
		case <-ctx.Done():
			return eris.Wrap(server.Close(), "stop the platform")
		}
	}
}
