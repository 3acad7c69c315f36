// Package gossip spreads what VMs know between them, so that a VM which does not
// reach the store still learns of configurations, endpoints and the fleet.
package gossip

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/view"
	"amaranthdock.dev/timer"
)

const (
	// interval between two questions to other VMs.
	interval = 500 * time.Millisecond
	// hurriedInterval while this VM does not reach the store, or a database has no
	// primary that it knows of.
	hurriedInterval = 200 * time.Millisecond
	// callTimeout for the answer to a question.
	callTimeout = 500 * time.Millisecond
	// startInterval before this VM has a configuration and serves.
	startInterval = 100 * time.Millisecond
	// farLack is the time without news from the store, after which the readers of a
	// region ask for a configuration from another one. A large configuration takes long
	// on the link between regions, and the other VMs get it from their readers.
	farLack = 2 * time.Second
)

// StoreSync is what this VM has from the store, itself or through other VMs.
type StoreSync interface {
	// StoreReachable tells whether the store answered this VM lately.
	StoreReachable() bool
	// Readers returns the VMs to ask for what the store holds; none if this VM reads it
	// for others.
	Readers() []catalog.VM
	// DataAge is how long ago the store confirmed what this VM knows.
	DataAge() time.Duration
	// SinceLastUpdate is for how long this VM has had no news from the store.
	SinceLastUpdate() time.Duration
	// ConfigurationRevision is the revision of the store up to which this VM knows the
	// configuration.
	ConfigurationRevision() uint64
	// RecordReaderUpdate records that a reader has told all that the store held at a reading of
	// the clock that goes on while the VM is suspended, and the configuration up to a
	// revision.
	RecordReaderUpdate(at time.Duration, revision uint64)
}

// Config configures a Part.
type Config struct {
	View    *view.View
	Clients *peer.Clients
	Store   StoreSync
	Timer   timer.Service
	Log     logr.Logger
	// Seeds are addresses of VMs to ask while no other VM is known.
	Seeds []netip.AddrPort
	// RandomIndex returns a random number below n.
	RandomIndex func(n int) int
}

// Service asks other VMs and answers them.
type Service struct {
	config  Config
	leaving atomic.Bool
	seeds   atomic.Pointer[[]netip.AddrPort]
	// turn is the number of the question to a reader.
	turn int

	// digest is that of digestOf.
	mu       sync.Mutex
	digestOf *catalog.EndpointSnapshot
	digest   uint64
}

// New returns a Part that does nothing yet.
func New(config Config) *Service {
	p := &Service{config: config}
	p.SetSeeds(config.Seeds)
	return p
}

// SetSeeds changes the addresses to ask while no other VM is known.
func (p *Service) SetSeeds(seeds []netip.AddrPort) { p.seeds.Store(&seeds) }

// MarkLeaving tells the others, from now on, that this VM takes no new work.
func (p *Service) MarkLeaving() { p.leaving.Store(true) }

// IsLeaving tells whether Leave was called.
func (p *Service) IsLeaving() bool { return p.leaving.Load() }

// Run asks until the context ends.
func (p *Service) Run(ctx context.Context) {
	for ctx.Err() == nil {
		p.askReader(ctx)
		p.ask(ctx)
		wait := interval
		switch {
		case p.config.View.Configuration() == nil:
			wait = startInterval
		case !p.config.Store.StoreReachable() || p.config.View.IsPrimaryMissing():
			wait = hurriedInterval
		}
		if err := timer.Sleep(ctx, p.config.Timer, wait); err != nil {
			return
		}
	}
}

// AnnounceLeaving tells all other VMs at once that this VM takes no new work.
func (p *Service) AnnounceLeaving(ctx context.Context) {
	for _, vm := range p.config.View.Peers() {
		go p.exchange(ctx, vm)
	}
}

// ask asks one VM, at random.
func (p *Service) ask(ctx context.Context) {
	peers := p.config.View.Peers()
	if len(peers) == 0 {
		for _, address := range *p.seeds.Load() {
			if address != p.config.View.Self().Address {
				peers = append(peers, catalog.VM{
					Name:    address.String(),
					Address: address,
				})
			}
		}
	}
	if len(peers) > 0 {
		p.exchange(ctx, peers[p.config.RandomIndex(len(peers))])
	}
}

// askReader asks the VMs that read the store in turn what it holds, so that one which
// has lost the store does not make the news old.
func (p *Service) askReader(ctx context.Context) {
	readers := p.config.Store.Readers()
	if len(readers) == 0 {
		return
	}
	p.turn++
	asked := p.config.Timer.SinceBoot()
	if answer, ok := p.exchange(ctx, readers[p.turn%len(readers)]); ok && answer.Age < asked {
		p.config.Store.RecordReaderUpdate(asked-answer.Age, answer.ConfigRevision)
	}
}

// exchange takes the news of another VM; false if it did not answer.
func (p *Service) exchange(ctx context.Context, vm catalog.VM) (peer.GossipResponse, bool) {
	v := p.config.View
	question := &peer.GossipRequest{
		From:      v.Self(),
		FarConfig: p.config.Store.SinceLastUpdate() >= farLack && len(p.config.Store.Readers()) == 0,
		Leaving:   p.leaving.Load(),
		Endpoints: p.endpoints(),
		VMs:       p.vms(),
	}
	if c := v.Configuration(); c != nil {
		question.ConfigVersion = c.Version
	}
	var answer peer.GossipResponse
	if err := p.config.Clients.Call(ctx, vm, "News", question, &answer, callTimeout); err != nil {
		p.config.Log.V(1).Info("A VM did not tell its news.", "peer", vm.Name, "error", err.Error())
		return peer.GossipResponse{}, false
	}
	v.RecordContact(answer.From.Name)
	v.SetLeaving(answer.From.Name, answer.From.Incarnation, answer.Leaving)
	if answer.Config != nil {
		v.AcceptConfiguration(answer.Config, answer.From.Name)
	}
	if answer.Endpoints != nil {
		v.AcceptEndpoints(answer.Endpoints, answer.From.Name)
	}
	v.ConfirmEndpoints(answer.EndpointsRevision)
	if answer.VMs != nil {
		v.AcceptVMs(answer.VMs, answer.From.Name)
	}
	return answer, true
}

// News answers another VM.
func (p *Service) News(question *peer.GossipRequest) peer.GossipResponse {
	v := p.config.View
	v.RecordContact(question.From.Name)
	v.SetLeaving(question.From.Name, question.From.Incarnation, question.Leaving)
	answer := peer.GossipResponse{
		From:    v.Self(),
		Leaving: p.leaving.Load(),
		// The age and the revision are taken first: what is read after them can only be
		// newer.
		Age:            p.config.Store.DataAge(),
		ConfigRevision: p.config.Store.ConfigurationRevision(),
	}
	near := question.From.Region == v.Self().Region
	if c := v.Configuration(); c != nil && c.Version > question.ConfigVersion && (near || question.FarConfig) {
		answer.Config = c
	}
	if known := p.endpoints(); known.Revision > question.Endpoints.Revision {
		answer.EndpointsRevision = known.Revision
		if known.Digest != question.Endpoints.Digest {
			answer.Endpoints = v.Endpoints()
		}
	}
	if known := p.vms(); known.Revision > question.VMs.Revision && known.Digest != question.VMs.Digest {
		vms := *v.VMs()
		vms.Revision = known.Revision
		answer.VMs = &vms
	}
	return answer
}

// endpoints returns what this VM knows of the endpoints.
func (p *Service) endpoints() peer.KnownRevision {
	current := p.config.View.Endpoints()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.digestOf != current {
		p.digestOf = current
		p.digest = current.Digest()
	}
	return peer.KnownRevision{
		Revision: current.Revision,
		Digest:   p.digest,
	}
}

// vms returns what this VM knows of the fleet.
func (p *Service) vms() peer.KnownRevision {
	return peer.KnownRevision{
		Revision: p.config.View.VMsRevision(),
		Digest:   p.config.View.VMs().Digest(),
	}
}
