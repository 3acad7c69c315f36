package gossip

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/api/amaranthdock/peer/v1/peerv1connect"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/declaration"
	"amaranthdock.dev/proxy/platform"
	"amaranthdock.dev/timer"
)

// ConfigurationKey is the store key of the configuration document.
const ConfigurationKey = "configuration"

const (
	// storeCheckInterval is the interval at which a watcher checks the store without
	// waiting for a change, which limits its authority age. The blocking watch alone
	// would detect an unresponsive store only after its wait.
	storeCheckInterval = 400 * time.Millisecond
	// maxConcurrentFetches limits the concurrent fetches of the configuration. It is
	// one more than needed, so that an unresponsive peer does not delay a new version.
	maxConcurrentFetches = 2
	// fetchTimeout covers 1 MB on a 30 Mbit/s link (270 ms) under load.
	fetchTimeout = time.Second
	// maxInlineDocumentSize is the size in bytes up to which a push contains the
	// document. Larger documents are only announced, and each VM fetches them once.
	maxInlineDocumentSize = 16 << 10
	// joinFanOut is the number of peers contacted in one attempt to start.
	joinFanOut = 5
	// minListInterval is the shortest interval at which a watcher reads the platform's
	// VM list.
	minListInterval = time.Second
	// listIntervalPerVM limits the traffic for the VM list, about 60 bytes per VM, to
	// 12 KB/s on large fleets.
	listIntervalPerVM = 5 * time.Millisecond
	// minWatchInterval prevents a busy loop if the store's watch returns immediately.
	minWatchInterval = 50 * time.Millisecond
	// pushFanOut is the number of peers to which each VM pushes a new version.
	pushFanOut  = 4
	pushTimeout = 500 * time.Millisecond
	// indirectProbeTimeout is the timeout of a probe on behalf of another VM. It leaves
	// a third of that VM's own timeout for the round trip to this VM.
	indirectProbeTimeout = 100 * time.Millisecond
	// retryInterval is the delay after a failed store call or a failed attempt to start.
	retryInterval = 200 * time.Millisecond
	// tickInterval is the interval at which the member table is driven. It is a fraction
	// of the probe interval.
	tickInterval = 50 * time.Millisecond
	// maxWatchWait is the longest time that a watch of the store waits for a change.
	maxWatchWait = 2 * time.Second
	// workerCount limits the concurrent calls to peers. A VM makes about seven calls
	// per second, each of which takes up to 300 ms, and up to four pushes.
	workerCount = 16
	// jobQueueSize limits the calls that wait for a worker.
	jobQueueSize = 64
)

// Config configures a Service.
type Config struct {
	// Self is this VM with its region.
	Self routing.VM
	// Address is the address of this VM's peer listener.
	Address netip.AddrPort
	// Incarnation identifies this process among those that have run under the VM's name;
	// later ones have higher values. 0 means the current time in nanoseconds.
	Incarnation uint64
	// SeedPeers are contacted when no peer from the platform's VM list responds.
	SeedPeers   []netip.AddrPort
	StoreRegion string
	// Decode decodes a document from its stored form.
	Decode  func([]byte) (*declaration.Document, error)
	Dial    func(address netip.AddrPort) peerv1connect.PeerServiceClient
	Logger  logr.Logger
	Metrics metrics.Registry
	// Random determines the probe order. It must not be shared with other code.
	Random *rand.Rand
	Store  Store
	Timer  timer.Service
}

// Store is the subset of the platform's service that this package uses.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	ListVMs(ctx context.Context) ([]platform.VM, error)
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (entry platform.Entry, changed bool, err error)
}

func (c Config) validate() error {
	if !c.Address.IsValid() {
		return eris.New("gossip: the address of the peer listener is missing")
	}
	if c.Decode == nil || c.Dial == nil || c.Store == nil {
		return eris.New("gossip: the decoder, dial function or store is missing")
	}
	if c.Timer == nil || c.Metrics == nil || c.Random == nil {
		return eris.New("gossip: the timer, metrics or random source is missing")
	}
	return nil
}
