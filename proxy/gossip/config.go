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

// ConfigurationKey is the key of the document in the store.
const ConfigurationKey = "configuration"

const (
	// checkInterval bounds the authority age at a watcher. The watch alone would
	// show only after its wait that the store no longer answers.
	checkInterval = 400 * time.Millisecond
	// fetchLimit bounds the fetches at one time. One more than needed, so that a
	// peer that hangs does not hold up a new version.
	fetchLimit = 2
	// fetchTimeout covers 1 MB on a 30 Mbit/s link (270 ms) under load.
	fetchTimeout = time.Second
	// inlineLimit is the size in bytes up to which a push carries the document.
	// Larger documents are announced, and each VM fetches them once.
	inlineLimit = 16 << 10
	// joinPeers is the number of peers asked in one round of the start.
	joinPeers = 5
	// listInterval between two reads of the platform's list by a watcher.
	listInterval = time.Second
	// listIntervalPerVM keeps the traffic of the list, about 60 bytes for each
	// VM, below 12 KB/s on large fleets.
	listIntervalPerVM = 5 * time.Millisecond
	// minWatchInterval keeps a store whose watches return at once from being
	// called without pause.
	minWatchInterval = 50 * time.Millisecond
	// pushFanOut is the number of peers that each VM pushes a new version to.
	pushFanOut = 4
	// pushTimeout of one push.
	pushTimeout = 500 * time.Millisecond
	// relayTimeout of a probe on behalf of another VM leaves it a third of its
	// own timeout for the way to this VM and back.
	relayTimeout = 100 * time.Millisecond
	// retryInterval after a failure of the store or of a round of the start.
	retryInterval = 200 * time.Millisecond
	// tickInterval is a fraction of the probe interval.
	tickInterval = 50 * time.Millisecond
	// watchWait is the longest time that a watch of the store waits.
	watchWait = 2 * time.Second
	// workerCount bounds the calls to peers at one time. A VM makes about seven
	// calls per second, each up to 300 ms long, and up to four pushes.
	workerCount = 16
	// jobLimit bounds the calls that wait for a worker.
	jobLimit = 64
)

// Config configures a Part.
type Config struct {
	// Self is this VM with its region.
	Self routing.VM
	// Address of this VM's peer listener.
	Address netip.AddrPort
	// Incarnation of this start; 0 stands for the time in nanoseconds.
	Incarnation uint64
	// SeedPeers are asked when the platform's list cannot be read.
	SeedPeers   []netip.AddrPort
	StoreRegion string
	// Decode reads a document as it is kept in the store.
	Decode  func([]byte) (*declaration.Document, error)
	Dial    func(address netip.AddrPort) peerv1connect.PeerServiceClient
	Logger  logr.Logger
	Metrics metrics.Registry
	// Random is the source of the probe order; used by this part only.
	Random *rand.Rand
	Store  Store
	Timer  timer.Service
}

// Store is what the part needs of the platform's service.
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
