package gossip_test

import (
	"context"
	"math"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/gossip"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/view"
	"amaranthdock.dev/timer"
)

func TestGossip(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine/gossip")
}

// contact is a fake for a VM that does not reach the store and may have readers.
type contact struct {
	mu          sync.Mutex
	age         time.Duration
	readers     []catalog.VM
	confirmedAt time.Duration
	revision    uint64
	// knownRevision is what was recorded with RecordConfigurationRevision.
	knownRevision uint64
	// knowsPredecessor is what a running VM has told about an earlier process; nil if none
	// has responded.
	knowsPredecessor *bool
	// unsettled is set if the VM may know only a part of the fleet.
	unsettled bool
	// retained is set if the VM kept registrations that are missing.
	retained bool
}

func (c *contact) StoreReachable() bool { return false }

func (c *contact) Readers() []catalog.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readers
}

func (c *contact) FleetSettled() bool { return !c.unsettled }

func (c *contact) FleetRetained() bool { return c.retained }

func (c *contact) RecordRunningPeer(knowsPredecessor bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.knowsPredecessor = &knowsPredecessor
}

func (c *contact) RecordFleetUpdate() {}

func (c *contact) DataAge() time.Duration { return c.age }

func (c *contact) SinceLastUpdate() time.Duration { return 0 }

func (c *contact) ConfigurationRevision() uint64 { return 40 }

func (c *contact) RecordReaderUpdate(at time.Duration, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmedAt, c.revision = at, revision
}

// predecessorKnown returns what a running VM has told about an earlier process.
func (c *contact) predecessorKnown() *bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.knowsPredecessor
}

// lastRevision returns the revision of the latest reader update.
func (c *contact) lastRevision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// lastConfirmedAt returns the time of the latest reader update that was recorded, or 0.
func (c *contact) lastConfirmedAt() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmedAt
}

// vm is a VM of which only the gossip is active.
type vm struct {
	*gossip.Service
	view    *view.View
	contact *contact
	clock   timer.Service
}

func (v *vm) Run(context.Context, *peer.RunRequest) *peer.RunResponse { return &peer.RunResponse{} }

func (v *vm) RollBackTransaction(peer.TransactionKey) {}

func (v *vm) Lend(*peer.LoanRequest) peer.LoanResponse { return peer.LoanResponse{} }

func (v *vm) Suspect(*peer.Suspicion) {}

func (v *vm) Promoted(*peer.PromotionNotice) {}

func (v *vm) Confirm(context.Context, *peer.Suspicion) peer.ConfirmResponse {
	return peer.ConfirmResponse{}
}

// startVM returns a VM that responds to other VMs and knows only the seeds at first.
func startVM(name string, seeds ...netip.AddrPort) *vm {
	return startVMBehind(func(c net.Conn) net.Conn { return c }, name, seeds...)
}

// startVMBehind is startVM with the connections to other VMs wrapped by link.
func startVMBehind(link func(net.Conn) net.Conn, name string, seeds ...netip.AddrPort) *vm {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	clock := timer.NewSystem()
	clients := peer.NewClients(peer.ClientConfig{
		Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			var dialer net.Dialer
			connection, err := dialer.DialContext(ctx, "tcp", address.String())
			if err != nil {
				return nil, err
			}
			return link(connection), nil
		},
		Timer: clock,
		Log:   logr.Discard(),
	})
	v := &vm{
		view: view.New(view.Config{
			Self: catalog.VM{
				Name:        name,
				Address:     netip.MustParseAddrPort(listener.Addr().String()),
				Incarnation: 1,
			},
			Timer:       clock,
			Log:         logr.Discard(),
			Unreachable: clients.Unreachable,

			EvacuationLimit: time.Second,
		}),
		contact: &contact{age: math.MaxInt64},
		clock:   clock,
	}
	v.Service = gossip.New(gossip.Config{
		View:        v.view,
		Clients:     clients,
		Store:       v.contact,
		Timer:       clock,
		Log:         logr.Discard(),
		Seeds:       seeds,
		RandomIndex: func(int) int { return 0 },
	})
	serveOn(listener, v)
	return v
}

// runGossip lets a VM exchange data with others until the end of the test.
func (v *vm) runGossip() {
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	go v.Service.Run(ctx)
}

// withData gives a VM data of the store: a configuration with the given version, and an
// endpoint and itself as a registered VM with the given revision.
func (v *vm) withData(version, revision uint64) *vm {
	v.view.AcceptConfiguration(&catalog.Configuration{Version: version}, "test")
	v.view.AcceptEndpoints(&catalog.EndpointSnapshot{
		Revision: revision,
		ByID:     map[string]catalog.Endpoint{"e1": {Database: "db"}},
	}, "test")
	v.view.AcceptVMs(&catalog.VMSnapshot{
		Revision: revision,
		ByName:   map[string]catalog.VM{v.view.Self().Name: v.view.Self()},
	}, "test")
	return v
}

var _ = Describe("a VM that does not reach the store", func() {
	It("receives all data from a seed", func() {
		// Guards against a VM that has no data because it alone cannot reach the store.
		source := startVM("source").withData(7, 40)
		partitioned := startVM("partitioned", source.view.Self().Address)
		partitioned.runGossip()
		Eventually(partitioned.view.Configuration).WithTimeout(2 * time.Second).ShouldNot(BeNil())
		Expect(partitioned.view.Configuration().Version).To(Equal(uint64(7)))
		Eventually(func() int { return len(partitioned.view.Endpoints().ByID) }).Should(Equal(1))
		Eventually(func() int { return len(partitioned.view.VMs().ByName) }).Should(Equal(1))
	})

	It("asks again soon while it lacks only the endpoints", func() {
		// Guards against half a second without any endpoint after a loss of power of all VMs,
		// when the first VM that responds has no endpoints yet.
		source := startVM("source")
		source.view.AcceptConfiguration(&catalog.Configuration{Version: 7}, "test")
		starting := startVM("starting", source.view.Self().Address)
		starting.runGossip()
		Eventually(starting.view.Configuration).WithTimeout(2 * time.Second).ShouldNot(BeNil())
		source.withData(8, 40)
		Eventually(func() int { return len(starting.view.Endpoints().ByID) }).WithTimeout(300 * time.Millisecond).Should(Equal(1))
	})

	It("receives a later configuration", func() {
		// Guards against a VM that keeps the first configuration that it received.
		source := startVM("source").withData(7, 40)
		partitioned := startVM("partitioned", source.view.Self().Address)
		partitioned.runGossip()
		source.view.AcceptConfiguration(&catalog.Configuration{Version: 9}, "test")
		Eventually(func() uint64 {
			if c := partitioned.view.Configuration(); c != nil {
				return c.Version
			}
			return 0
		}).WithTimeout(2 * time.Second).Should(Equal(uint64(9)))
	})
})

var _ = Describe("a VM that receives data from readers", func() {
	It("receives their data, as of the time when the store confirmed it to them", func() {
		// Guards against data that counts as more recent than the store's confirmation of
		// it.
		const age = 300 * time.Millisecond
		reader := startVM("reader").withData(7, 40)
		reader.contact.age = age
		v := startVM("other")
		v.contact.readers = []catalog.VM{reader.view.Self()}
		before := v.clock.SinceBoot()
		v.runGossip()
		Eventually(v.contact.lastConfirmedAt).WithTimeout(2 * time.Second).Should(BeNumerically(">=", before-age))
		Expect(v.contact.lastConfirmedAt()).To(BeNumerically("<", v.clock.SinceBoot()-age))
		Expect(v.view.Configuration().Version).To(Equal(uint64(7)))
	})

	// RandomIndex always selects the first VM here, as a random choice may do several times in a
	// row.
	It("contacts its readers in turn, so that one that has lost the store does not make its data stale", func() {
		stale, reader := startVM("stale").withData(7, 40), startVM("reader").withData(7, 40)
		reader.contact.age = 100 * time.Millisecond
		v := startVM("other")
		v.contact.readers = []catalog.VM{stale.view.Self(), reader.view.Self()}
		v.runGossip()
		Eventually(v.contact.lastConfirmedAt).WithTimeout(2 * time.Second).ShouldNot(BeZero())
	})

	It("guards against recording data that the store has never confirmed as current", func() {
		reader := startVM("reader").withData(7, 40)
		v := startVM("other")
		v.contact.readers = []catalog.VM{reader.view.Self()}
		v.runGossip()
		Eventually(v.view.Configuration).WithTimeout(2 * time.Second).ShouldNot(BeNil())
		Consistently(v.contact.lastConfirmedAt).WithTimeout(100 * time.Millisecond).Should(BeZero())
	})
})

var _ = Describe("News", func() {
	request := func(v *vm, version uint64, endpoints peer.KnownRevision) peer.GossipResponse {
		return v.News(&peer.GossipRequest{
			From:          catalog.VM{Name: "other"},
			ConfigVersion: version,
			Endpoints:     endpoints,
			Settled:       true,
		})
	}

	It("sends no data that the requesting VM has already", func() {
		// Guards against sending data that has not changed.
		v := startVM("source").withData(7, 40)
		known := peer.KnownRevision{
			Revision: 40,
			Digest:   v.view.Endpoints().Digest(),
		}
		response := request(v, 7, known)
		Expect(response.Config).To(BeNil())
		Expect(response.Endpoints).To(BeNil())
	})

	It("sends only the number of a newer revision with the same data", func() {
		// Guards against sending unchanged data in full because its revision is newer.
		v := startVM("source").withData(7, 40)
		response := request(v, 7, peer.KnownRevision{
			Revision: 12,
			Digest:   v.view.Endpoints().Digest(),
		})
		Expect(response.Endpoints).To(BeNil())
		Expect(response.EndpointsRevision).To(Equal(uint64(40)))
	})

	It("sends no registrations while it may know only a part of the fleet", func() {
		// Guards against holders of shares and homes that move because a process that has
		// just started spreads the part of the fleet that it has read.
		v := startVM("source").withData(7, 40)
		Expect(request(v, 7, peer.KnownRevision{}).VMs.ByName).To(HaveKey("source"))
		v.contact.unsettled = true
		Expect(request(v, 7, peer.KnownRevision{}).VMs).To(BeNil())
	})

	It("sends no registrations while it keeps some that are missing", func() {
		// Guards against VMs that have left and are in the fleet again, because a VM that
		// was cut off for long still knew them.
		v := startVM("source").withData(7, 40)
		v.contact.retained = true
		Expect(request(v, 7, peer.KnownRevision{}).VMs).To(BeNil())
	})

	It("sends the registrations that it has to a VM that has just started", func() {
		// Guards against a read of all registrations from the store by each VM at the start.
		v := startVM("source").withData(7, 40)
		v.contact.unsettled = true
		Expect(v.News(&peer.GossipRequest{From: catalog.VM{Name: "other"}}).VMs.ByName).To(HaveKey("source"))
	})

	It("sends only what changed to a VM that has an earlier version", func() {
		// Guards against whole configurations and registrations for each VM at each change.
		v := startVM("source").withData(7, 40)
		v.view.AcceptConfiguration(&catalog.Configuration{
			Version:        9,
			WorkspaceByKey: map[string]string{"key": "ws"},
		}, "test")
		v.view.AcceptVMs(&catalog.VMSnapshot{
			Revision: 50,
			ByName: map[string]catalog.VM{"added": {
				Name:     "added",
				Revision: 45,
			}},
		}, "test")
		response := v.News(&peer.GossipRequest{
			From:          catalog.VM{Name: "other"},
			ConfigVersion: 7,
			VMs:           peer.KnownRevision{Revision: 40},
			Deltas:        true,
			Claims:        true,
		})
		Expect(response.Config).To(BeNil())
		Expect(response.VMs).To(BeNil())
		Expect(response.ConfigDelta.WorkspaceByKey.Set).To(HaveKey("key"))
		Expect(response.VMsDelta.VMs.Set).To(HaveKey("added"))
		Expect(response.VMsDelta.VMs.Removed).To(ConsistOf("source"))
	})

	It("sends everything to a VM that does not accept differences", func() {
		// Guards against VMs of an earlier build that get nothing during an upgrade.
		v := startVM("source").withData(7, 40)
		v.view.AcceptConfiguration(&catalog.Configuration{Version: 9}, "test")
		response := request(v, 7, peer.KnownRevision{})
		Expect(response.Config.Version).To(Equal(uint64(9)))
		Expect(response.ConfigDelta).To(BeNil())
		Expect(response.VMs.ByName).To(HaveKey("source"))
	})

	It("sends changed data in full, and no older version", func() {
		// Guards against a VM that misses a change, or that gets an older configuration
		// than it has.
		v := startVM("source").withData(7, 40)
		response := request(v, 9, peer.KnownRevision{Revision: 12})
		Expect(response.Endpoints.ByID).To(HaveKey("e1"))
		Expect(response.Config).To(BeNil())
	})

	It("guards against sending large configurations between regions", func() {
		v := startVM("source").withData(9, 40)
		remote := &peer.GossipRequest{
			From: catalog.VM{
				Name:   "far",
				Region: "elsewhere",
			},
			ConfigVersion: 7,
		}
		Expect(v.News(remote).Config).To(BeNil())
		remote.FarConfig = true
		Expect(v.News(remote).Config.Version).To(Equal(uint64(9)))
	})

	It("tells other VMs that the VM is leaving", func() {
		v := startVM("leaving").withData(7, 40)
		v.MarkLeaving()
		Expect(request(v, 7, peer.KnownRevision{}).Leaving).To(BeTrue())
	})
})
