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

// contact tells that the store does not answer, and of what other VMs have from it.
type contact struct {
	mu      sync.Mutex
	age     time.Duration
	readers []catalog.VM
	relayed time.Duration
}

func (c *contact) StoreReachable() bool   { return false }
func (c *contact) Readers() []catalog.VM  { return c.readers }
func (c *contact) DataAge() time.Duration { return c.age }

func (c *contact) SinceLastUpdate() time.Duration { return 0 }
func (c *contact) ConfigurationRevision() uint64  { return 40 }

func (c *contact) RecordReaderUpdate(at time.Duration, _ uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relayed = at
}

// relayedAt returns the newest argument of Relayed.
func (c *contact) relayedAt() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relayed
}

// vm is a VM that only gossips.
type vm struct {
	*gossip.Service
	view    *view.View
	contact *contact
	clock   timer.Service
}

func (v *vm) Run(context.Context, *peer.RunRequest) *peer.RunResponse { return &peer.RunResponse{} }
func (v *vm) Abandon(peer.TransactionKey)                             {}
func (v *vm) Lend(*peer.LoanRequest) peer.LoanResponse                { return peer.LoanResponse{} }
func (v *vm) Suspect(*peer.Suspicion)                                 {}
func (v *vm) Promoted(*peer.PromotionNotice)                          {}

func (v *vm) Confirm(context.Context, *peer.Suspicion) peer.ConfirmResponse {
	return peer.ConfirmResponse{}
}

// start returns a VM that answers others. The seeds are all that it
// knows of them.
func start(name string, seeds ...netip.AddrPort) *vm {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	clock := timer.NewSystem()
	links := peer.NewClients(peer.ClientConfig{
		Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp", address.String())
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
			Unreachable: links.Unreachable,
		}),
		contact: &contact{age: math.MaxInt64},
		clock:   clock,
	}
	v.Service = gossip.New(gossip.Config{
		View:        v.view,
		Clients:     links,
		Store:       v.contact,
		Timer:       clock,
		Log:         logr.Discard(),
		Seeds:       seeds,
		RandomIndex: func(int) int { return 0 },
	})
	server := peer.NewServer(peer.ServerConfig{
		Handler: v,
		Timer:   clock,
		Log:     logr.Discard(),
	})
	go func() {
		defer GinkgoRecover()
		Expect(server.Serve(context.Background(), listener)).To(Succeed())
	}()
	return v
}

// follow lets a VM ask until the end of the test.
func (v *vm) follow() {
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	go v.Service.Run(ctx)
}

// knowing gives a VM the knowledge of a store.
func (v *vm) knowing(version, revision uint64) *vm {
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
	It("learns of everything from a seed", func() {
		informed := start("informed").knowing(7, 40)
		cut := start("cut", informed.view.Self().Address)
		cut.follow()
		Eventually(cut.view.Configuration).WithTimeout(2 * time.Second).ShouldNot(BeNil())
		Expect(cut.view.Configuration().Version).To(Equal(uint64(7)))
		Eventually(func() int { return len(cut.view.Endpoints().ByID) }).Should(Equal(1))
		Eventually(func() int { return len(cut.view.VMs().ByName) }).Should(Equal(1))
	})

	It("learns of a later configuration", func() {
		informed := start("informed").knowing(7, 40)
		cut := start("cut", informed.view.Self().Address)
		cut.follow()
		informed.view.AcceptConfiguration(&catalog.Configuration{Version: 9}, "test")
		Eventually(func() uint64 {
			if c := cut.view.Configuration(); c != nil {
				return c.Version
			}
			return 0
		}).WithTimeout(2 * time.Second).Should(Equal(uint64(9)))
	})
})

var _ = Describe("a VM that has readers", func() {
	It("learns what they know, as of the time when the store confirmed it to them", func() {
		const age = 300 * time.Millisecond
		reader := start("reader").knowing(7, 40)
		reader.contact.age = age
		v := start("other")
		v.contact.readers = []catalog.VM{reader.view.Self()}
		before := v.clock.SinceBoot()
		v.follow()
		Eventually(v.contact.relayedAt).WithTimeout(2 * time.Second).Should(BeNumerically(">=", before-age))
		Expect(v.contact.relayedAt()).To(BeNumerically("<", v.clock.SinceBoot()-age))
		Expect(v.view.Configuration().Version).To(Equal(uint64(7)))
	})

	// Pick always returns the first one here, as chance may several times in a row.
	It("asks its readers in turn, so that one which has lost the store makes no news old", func() {
		lost, reader := start("lost").knowing(7, 40), start("reader").knowing(7, 40)
		reader.contact.age = 100 * time.Millisecond
		v := start("other")
		v.contact.readers = []catalog.VM{lost.view.Self(), reader.view.Self()}
		v.follow()
		Eventually(v.contact.relayedAt).WithTimeout(2 * time.Second).ShouldNot(BeZero())
	})

	It("guards against news that the store has never confirmed", func() {
		reader := start("reader").knowing(7, 40)
		v := start("other")
		v.contact.readers = []catalog.VM{reader.view.Self()}
		v.follow()
		Eventually(v.view.Configuration).WithTimeout(2 * time.Second).ShouldNot(BeNil())
		Consistently(v.contact.relayedAt).WithTimeout(100 * time.Millisecond).Should(BeZero())
	})
})

var _ = Describe("News", func() {
	ask := func(v *vm, version uint64, endpoints peer.KnownRevision) peer.GossipResponse {
		return v.News(&peer.GossipRequest{
			From:          catalog.VM{Name: "other"},
			ConfigVersion: version,
			Endpoints:     endpoints,
		})
	}

	It("repeats nothing that the asking VM knows", func() {
		v := start("informed").knowing(7, 40)
		known := peer.KnownRevision{
			Revision: 40,
			Digest:   v.view.Endpoints().Digest(),
		}
		answer := ask(v, 7, known)
		Expect(answer.Config).To(BeNil())
		Expect(answer.Endpoints).To(BeNil())
	})

	It("tells a revision without changes by its number", func() {
		v := start("informed").knowing(7, 40)
		answer := ask(v, 7, peer.KnownRevision{
			Revision: 12,
			Digest:   v.view.Endpoints().Digest(),
		})
		Expect(answer.Endpoints).To(BeNil())
		Expect(answer.EndpointsRevision).To(Equal(uint64(40)))
	})

	It("tells changes whole, and older versions never", func() {
		v := start("informed").knowing(7, 40)
		answer := ask(v, 9, peer.KnownRevision{Revision: 12})
		Expect(answer.Endpoints.ByID).To(HaveKey("e1"))
		Expect(answer.Config).To(BeNil())
	})

	It("guards against large configurations on the link between regions", func() {
		v := start("informed").knowing(9, 40)
		far := &peer.GossipRequest{
			From: catalog.VM{
				Name:   "far",
				Region: "elsewhere",
			},
			ConfigVersion: 7,
		}
		Expect(v.News(far).Config).To(BeNil())
		far.FarConfig = true
		Expect(v.News(far).Config.Version).To(Equal(uint64(9)))
	})

	It("tells that a VM takes no new work", func() {
		v := start("leaving").knowing(7, 40)
		v.MarkLeaving()
		Expect(ask(v, 7, peer.KnownRevision{}).Leaving).To(BeTrue())
	})
})
