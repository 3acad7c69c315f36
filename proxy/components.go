package main

import (
	"context"
	"math/rand/v2"
	"net/netip"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/api/amaranthdock/endpoint/v1/endpointv1connect"
	"amaranthdock.dev/api/amaranthdock/platform/v1/platformv1connect"
	"amaranthdock.dev/decision/retries"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/decision/scheduling"
	"amaranthdock.dev/decision/session"
	"amaranthdock.dev/declaration"
	"amaranthdock.dev/engine/budget"
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

// components holds the components of the process.
type components struct {
	caller       *caller.Caller
	dumps        *observe.Dumps
	failover     *failover.Manager
	gossip       *gossip.Service
	endpointHome *endpoint.Home
	lending      *lending.Limiter
	observe      *observe.Server
	operator     *operator.Operator
	peer         *peer.Handler
	// peerMessages and peerConnections count the traffic of the peer listener.
	peerMessages    *peer.MessageTraffic
	peerConnections *peer.ConnectionTraffic
	// budget limits the memory and the connections of callers; nil without limits in the settings.
	budget *budget.Budget
}

// builder holds what the components share while they are created.
type builder struct {
	loadedSettings *settings.Loaded
	logger         logr.Logger
	registry       metrics.Registry
	timer          timer.Service
	peers          *peer.Clients
	store          *platform.Client
	components     *components
}

// newComponents creates all components. None of them runs or listens yet.
func newComponents(loaded *settings.Loaded, logger logr.Logger) (*components, error) {
	b := &builder{
		loadedSettings: loaded,
		logger:         logger,
		registry:       metrics.NewRegistry(),
		timer:          timer.NewSystem(),
		components:     &components{},
	}
	b.components.budget = b.newBudget()
	b.components.peerMessages = peer.NewMessageTraffic(b.registry)
	b.components.peerConnections = peer.NewConnectionTraffic("peer.server", b.registry)
	peers := peer.ClientConfig{
		LocalAddress:      b.settings().PeerListen.Addr(),
		ConnectionTraffic: peer.NewConnectionTraffic("peer.client", b.registry),
		MessageTraffic:    b.components.peerMessages,
		TLS:               loaded.PeerClientTLS,
	}
	if b.components.budget != nil {
		peers.MaxMessageBytes, peers.MaxStreamBuffer = maxPeerMessageBytes, peerStreamBuffer
	}
	b.peers = peer.NewClients(peers)
	b.components.dumps = observe.NewDumps(observe.DumpsConfig{
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
	return b.components, nil
}

func (b *builder) settings() *settings.Settings {
	return b.loadedSettings.Settings
}

func (b *builder) self() routing.VM {
	return routing.VM{
		Name:       b.settings().VM,
		DataCentre: b.settings().DataCentre,
		Region:     b.settings().Region,
	}
}

// random returns a new random source. Each component needs its own, because random
// sources are not safe for concurrent use.
func (b *builder) random() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// dialEndpoint returns a function that returns a client for an endpoint's address. All
// these clients share one HTTP client, whose traffic is counted under the given name.
func (b *builder) dialEndpoint(name string) func(netip.AddrPort) endpointv1connect.EndpointServiceClient {
	config := peer.ClientConfig{
		LocalAddress:      b.settings().PeerListen.Addr(),
		ConnectionTraffic: peer.NewConnectionTraffic(name, b.registry),
	}
	options := peer.EndpointClientOptions()
	if limits := b.components.budget; limits != nil {
		config.MaxStreamBuffer = endpointStreamBuffer
		options = append(options, connect.WithReadMaxBytes(int(limits.Limits().AnswerBytes)))
	}
	client := peer.NewHTTPClient(config)
	return func(address netip.AddrPort) endpointv1connect.EndpointServiceClient {
		return endpointv1connect.NewEndpointServiceClient(client, "http://"+address.String(), options...)
	}
}

func (b *builder) makeStore() error {
	client := peer.NewHTTPClient(peer.ClientConfig{
		LocalAddress:      b.settings().PeerListen.Addr(),
		ConnectionTraffic: peer.NewConnectionTraffic("platform", b.registry),
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
	service, err := gossip.New(gossip.Config{
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
	b.components.gossip = service
	return err
}

func (b *builder) makeFailover() error {
	manager, err := failover.New(failover.Config{
		Configuration: b.components.gossip,
		Dial:          b.peers.Dial,
		DialEndpoint:  b.dialEndpoint("failover.status"),
		Directory:     b.components.gossip,
		Logger:        b.logger.WithName("failover"),
		Registry:      b.registry,
		Random:        rand.Float64,
		Store:         b.store,
		Timer:         b.timer,
	})
	b.components.failover = manager
	return err
}

func (b *builder) makeLending() error {
	limiter, err := lending.New(lending.Config{
		Configuration: b.components.gossip,
		Dial:          b.peers.Dial,
		Directory:     b.components.gossip,
		Logger:        b.logger.WithName("lending"),
		Metrics:       b.registry,
		Random:        rand.Float64,
		Store:         b.store,
		Timer:         b.timer,
	})
	b.components.lending = limiter
	return err
}

func (b *builder) makeHome() error {
	home, err := endpoint.New(endpoint.Config{
		Configuration: b.components.gossip,
		Dial:          b.dialEndpoint("endpoint.steps"),
		Directory:     b.components.gossip,
		Log:           b.logger.WithName("endpoint"),
		Metrics:       b.registry,
		NewQueue:      newQueue,
		Observer:      b.components.failover,
		Timer:         b.timer,
	})
	b.components.endpointHome = home
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
	keys := make([][]byte, 0, len(b.loadedSettings.SessionKeys))
	for _, key := range b.loadedSettings.SessionKeys {
		keys = append(keys, key)
	}
	signer, err := session.NewSigner(session.SignerConfig{
		Keys: keys,
	})
	if err != nil {
		return err
	}
	forwarder, err := peer.NewForwarder(peer.ForwarderConfig{
		Dial:          b.peers.Dial,
		Directory:     b.components.gossip,
		LocalExecutor: b.components.endpointHome,
	})
	if err != nil {
		return err
	}
	b.components.caller, err = caller.New(caller.Config{
		Budget:        b.components.budget,
		Configuration: b.components.gossip,
		Dial:          b.peers.Dial,
		Directory:     b.components.gossip,
		Explainer:     forwarder,
		Forwarder:     forwarder,
		Limiter:       b.components.lending,
		Log:           b.logger.WithName("caller"),
		Metrics:       b.registry,
		Observer:      b.components.failover,
		RetryBudget:   retries.NewBudgets(),
		Signer:        signer,
		Timer:         b.timer,
	})
	return err
}

func (b *builder) makeOperator() error {
	handler, err := operator.New(operator.Config{
		Timer:         b.timer,
		Logger:        b.logger,
		Registry:      b.registry,
		Store:         b.store,
		Directory:     b.components.gossip,
		Configuration: b.components.gossip,
		Observer:      b.components.failover,
		Dumps:         b.components.dumps,
		Explainer:     b.components.caller,
		Dial:          b.peers.Dial,
	})
	b.components.operator = handler
	return err
}

func (b *builder) makePeer() error {
	handler, err := peer.New(peer.Config{
		Failover:   b.components.failover,
		Forwarding: b.components.endpointHome,
		Gossip:     b.components.gossip,
		Lending:    b.components.lending,
	})
	b.components.peer = handler
	return err
}

func (b *builder) makeObserve() error {
	server, err := observe.New(observe.Config{
		Listen:   b.settings().ObserveListen,
		Logger:   b.logger,
		Registry: b.registry,
		Dumps:    b.components.dumps,
		Ready:    b.components.ready,
	})
	b.components.observe = server
	return err
}

func (b *builder) registerDumps() {
	dumps := b.components.dumps
	dumps.Register("settings", b.loadedSettings)
	dumps.Register("gossip", b.components.gossip)
	dumps.Register("failover", b.components.failover)
	dumps.Register("lending", b.components.lending)
	dumps.Register("endpoint", b.components.endpointHome)
	dumps.Register("caller", b.components.caller)
}

var errNotReady = eris.New("the configuration or the list of members is not known yet")

var errShareRecordNotRead = eris.New("the share record has not been read yet")

var errLeaving = eris.New("the VM is leaving")

// ready returns an error while the load balancer should send no requests to this VM.
func (c *components) ready() error {
	select {
	case <-c.gossip.Leaving():
		return errLeaving
	default:
	}
	if !c.gossip.Ready() {
		return errNotReady
	}
	// Until the share record has been read, every request is refused.
	if !c.lending.Ready() {
		return errShareRecordNotRead
	}
	return nil
}

// loops returns the functions that run the components in the background.
func (c *components) loops() []func(context.Context) error {
	return []func(context.Context) error{
		c.caller.Run,
		c.failover.Run,
		c.gossip.Run,
		c.endpointHome.Run,
		c.lending.Run,
		c.observe.Run,
	}
}
