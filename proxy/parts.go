package main

import (
	"context"
	"math/rand/v2"
	"net/netip"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/api/amaranthdock/endpoint/v1/endpointv1connect"
	"amaranthdock.dev/api/amaranthdock/platform/v1/platformv1connect"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/decision/scheduling"
	"amaranthdock.dev/decision/session"
	"amaranthdock.dev/declaration"
	"amaranthdock.dev/observe"
	"amaranthdock.dev/proxy/caller"
	"amaranthdock.dev/proxy/endpoint"
	"amaranthdock.dev/proxy/failover"
	"amaranthdock.dev/proxy/gossip"
	"amaranthdock.dev/proxy/lending"
	"amaranthdock.dev/proxy/operator"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/proxy/platform"
	"amaranthdock.dev/settings"
	"amaranthdock.dev/timer"
)

// parts are the parts of one process, wired to each other.
type parts struct {
	caller   *caller.Caller
	dumps    *observe.Dumps
	failover *failover.Manager
	gossip   *gossip.Service
	home     *endpoint.Home
	lending  *lending.Part
	observe  *observe.Server
	operator *operator.Operator
	peer     *peer.Handler
	// messages and peerConnections count the traffic of the peer listener.
	messages        *peer.MessageTraffic
	peerConnections *peer.ConnectionTraffic
}

// builder holds what all parts share while they are made.
type builder struct {
	loaded   *settings.Loaded
	logger   logr.Logger
	registry metrics.Registry
	timer    timer.Service
	peers    *peer.Clients
	store    *platform.Client
	made     *parts
}

// newParts makes all parts; nothing runs or listens yet.
func newParts(loaded *settings.Loaded, logger logr.Logger) (*parts, error) {
	b := &builder{
		loaded:   loaded,
		logger:   logger,
		registry: metrics.NewRegistry(),
		timer:    timer.NewSystem(),
		made:     &parts{},
	}
	b.made.messages = peer.NewMessageTraffic(b.registry)
	b.made.peerConnections = peer.NewConnectionTraffic("peer.server", b.registry)
	b.peers = peer.NewClients(peer.ClientConfig{
		From:        b.settings().PeerListen.Addr(),
		Connections: peer.NewConnectionTraffic("peer.client", b.registry),
		Messages:    b.made.messages,
		TLS:         loaded.PeerClientTLS,
	})
	b.made.dumps = observe.NewDumps(observe.DumpsConfig{
		VM:    b.settings().VM,
		Timer: b.timer,
	})
	for _, step := range []func() error{
		b.makeStore,
		b.makeGossip,
		b.makeFailover,
		b.makeLending,
		b.makeHome,
		b.makeCaller,
		b.makeOperator,
		b.makePeer,
		b.makeObserve,
	} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	b.registerDumps()
	return b.made, nil
}

func (b *builder) settings() *settings.Settings {
	return b.loaded.Settings
}

func (b *builder) self() routing.VM {
	return routing.VM{
		Name:       b.settings().VM,
		DataCentre: b.settings().DataCentre,
		Region:     b.settings().Region,
	}
}

// random returns a source for one part; sources are not shared.
func (b *builder) random() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// dialEndpoint returns a dial function with a client for each endpoint address;
// the traffic is counted under the name.
func (b *builder) dialEndpoint(name string) func(netip.AddrPort) endpointv1connect.EndpointServiceClient {
	client := peer.NewHTTPClient(peer.ClientConfig{
		From:        b.settings().PeerListen.Addr(),
		Connections: peer.NewConnectionTraffic(name, b.registry),
	})
	return func(address netip.AddrPort) endpointv1connect.EndpointServiceClient {
		return endpointv1connect.NewEndpointServiceClient(client, "http://"+address.String(), peer.ClientOptions()...)
	}
}

func (b *builder) makeStore() error {
	client := peer.NewHTTPClient(peer.ClientConfig{
		From:        b.settings().PeerListen.Addr(),
		Connections: peer.NewConnectionTraffic("platform", b.registry),
	})
	store, err := platform.New(platform.Config{
		Service: platformv1connect.NewPlatformServiceClient(client, "http://"+b.settings().PlatformAddress.String()),
		Timer:   b.timer,
		Logger:  b.logger.WithName("platform"),
		Metrics: b.registry,
		Random:  b.random(),
	})
	b.store = store
	return err
}

func (b *builder) makeGossip() error {
	part, err := gossip.New(gossip.Config{
		Self:        b.self(),
		Address:     b.settings().PeerAddress,
		SeedPeers:   b.settings().SeedPeers,
		StoreRegion: b.settings().StoreRegion,
		Decode:      declaration.Decode,
		Dial:        b.peers.Dial,
		Logger:      b.logger.WithName("gossip"),
		Metrics:     b.registry,
		Random:      b.random(),
		Store:       b.store,
		Timer:       b.timer,
	})
	b.made.gossip = part
	return err
}

func (b *builder) makeFailover() error {
	part, err := failover.New(failover.Config{
		Configuration: b.made.gossip,
		Dial:          b.peers.Dial,
		DialEndpoint:  b.dialEndpoint("failover.status"),
		Directory:     b.made.gossip,
		Logger:        b.logger.WithName("failover"),
		Registry:      b.registry,
		Random:        rand.Float64,
		Store:         b.store,
		Timer:         b.timer,
	})
	b.made.failover = part
	return err
}

func (b *builder) makeLending() error {
	part, err := lending.New(lending.Config{
		Configuration: b.made.gossip,
		Dial:          b.peers.Dial,
		Directory:     b.made.gossip,
		Logger:        b.logger.WithName("lending"),
		Metrics:       b.registry,
		Random:        rand.Float64,
		Store:         b.store,
		Timer:         b.timer,
	})
	b.made.lending = part
	return err
}

func (b *builder) makeHome() error {
	home, err := endpoint.New(endpoint.Config{
		Configuration: b.made.gossip,
		Dial:          b.dialEndpoint("endpoint.steps"),
		Directory:     b.made.gossip,
		Log:           b.logger.WithName("endpoint"),
		Metrics:       b.registry,
		NewQueue:      newQueue,
		Observer:      b.made.failover,
		Timer:         b.timer,
	})
	b.made.home = home
	return err
}

func newQueue(config endpoint.QueueConfig) endpoint.Queue {
	return scheduling.New(scheduling.Config{
		Policy:  scheduling.WeightedFair{},
		Slots:   config.Slots,
		MaxWait: config.MaxWait,
	})
}

func (b *builder) makeCaller() error {
	keys := make([][]byte, 0, len(b.loaded.SessionKeys))
	for _, key := range b.loaded.SessionKeys {
		keys = append(keys, key)
	}
	sealer, err := session.NewSigner(session.SignerConfig{
		Keys: keys,
	})
	if err != nil {
		return err
	}
	forwarder, err := peer.NewForwarder(peer.ForwarderConfig{
		Dial:      b.peers.Dial,
		Directory: b.made.gossip,
		Local:     b.made.home,
	})
	if err != nil {
		return err
	}
	b.made.caller, err = caller.New(caller.Config{
		Configuration: b.made.gossip,
		Dial:          b.peers.Dial,
		Directory:     b.made.gossip,
		Forwarder:     forwarder,
		Limiter:       b.made.lending,
		Log:           b.logger.WithName("caller"),
		Metrics:       b.registry,
		Observer:      b.made.failover,
		RetryBudget:   caller.NewRetryBudgets(),
		Signer:        sealer,
		Timer:         b.timer,
	})
	return err
}

func (b *builder) makeOperator() error {
	part, err := operator.New(operator.Config{
		Timer:         b.timer,
		Logger:        b.logger,
		Registry:      b.registry,
		Store:         b.store,
		Directory:     b.made.gossip,
		Configuration: b.made.gossip,
		Observer:      b.made.failover,
		Dumps:         b.made.dumps,
		Dial:          b.peers.Dial,
	})
	b.made.operator = part
	return err
}

func (b *builder) makePeer() error {
	handler, err := peer.New(peer.Config{
		Failover:   b.made.failover,
		Forwarding: b.made.home,
		Gossip:     b.made.gossip,
		Lending:    b.made.lending,
	})
	b.made.peer = handler
	return err
}

func (b *builder) makeObserve() error {
	server, err := observe.New(observe.Config{
		Listen:   b.settings().ObserveListen,
		Logger:   b.logger,
		Registry: b.registry,
		Dumps:    b.made.dumps,
		Ready:    b.made.ready,
	})
	b.made.observe = server
	return err
}

func (b *builder) registerDumps() {
	dumps := b.made.dumps
	dumps.Register("settings", b.loaded)
	dumps.Register("gossip", b.made.gossip)
	dumps.Register("failover", b.made.failover)
	dumps.Register("lending", b.made.lending)
	dumps.Register("endpoint", b.made.home)
	dumps.Register("caller", b.made.caller)
}

var errNotReady = eris.New("the configuration or the membership is not known yet")

var errNoShares = eris.New("the share record has not been read yet")

var errLeaving = eris.New("the VM is leaving")

// ready returns an error while the load balancer should send nothing.
func (p *parts) ready() error {
	select {
	case <-p.gossip.Leaving():
		return errLeaving
	default:
	}
	if !p.gossip.Ready() {
		return errNotReady
	}
	// Until the share record has been read, every request is refused.
	if !p.lending.Ready() {
		return errNoShares
	}
	return nil
}

// background returns the loops of all parts.
func (p *parts) background() []func(context.Context) error {
	return []func(context.Context) error{
		p.caller.Run,
		p.failover.Run,
		p.gossip.Run,
		p.home.Run,
		p.lending.Run,
		p.observe.Run,
	}
}
