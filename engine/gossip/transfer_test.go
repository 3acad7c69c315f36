package gossip_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/timer"
)

// slowLink is a connection on which each KiB takes a fixed time to arrive.
type slowLink struct {
	net.Conn
	perKiB time.Duration
}

// Read implements net.Conn.
func (l slowLink) Read(data []byte) (int, error) {
	n, err := l.Conn.Read(data[:min(len(data), 1<<10)])
	time.Sleep(l.perKiB * time.Duration(n) / (1 << 10))
	return n, err
}

// largeConfiguration returns a configuration with many routes, whose names differ like those of
// operators.
func largeConfiguration(version uint64, routes int) *catalog.Configuration {
	c := &catalog.Configuration{
		Version: version,
		Routes:  map[string]catalog.Route{},
	}
	for i := range routes {
		host := fmt.Sprintf("route-%d-%x.example", i, i*i*7919)
		c.Routes[host] = catalog.Route{
			Host:          host,
			Database:      fmt.Sprintf("database-%d", i%40),
			Kind:          catalog.ReadYourWrites,
			Timeout:       4 * time.Second,
			TargetLatency: time.Second,
		}
	}
	return c
}

// expectConfiguration waits until a VM has the version of a configuration.
func expectConfiguration(v *vm, version uint64, timeout time.Duration) {
	GinkgoHelper()
	Eventually(func() uint64 {
		if c := v.view.Configuration(); c != nil {
			return c.Version
		}
		return 0
	}).WithTimeout(timeout).Should(Equal(version))
}

func (c *contact) RecordConfigurationRevision(revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.knownRevision = revision
}

// lastKnownRevision returns the revision up to which the VM knows the configuration, as last
// recorded.
func (c *contact) lastKnownRevision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.knownRevision
}

var _ = Describe("a large configuration", func() {
	It("arrives over a link on which it takes longer than the timeout of a call", func() {
		// Guards against a region whose VMs never get the configuration: each call ended before
		// the whole response had arrived, and the next one began anew.
		source := startVM("source").withData(7, 40)
		source.view.AcceptConfiguration(largeConfiguration(8, 3600), "test")
		link := func(c net.Conn) net.Conn {
			return slowLink{
				Conn:   c,
				perKiB: 10 * time.Millisecond,
			}
		}
		far := startVMBehind(link, "far", source.view.Self().Address)
		far.runGossip()
		expectConfiguration(far, 8, 10*time.Second)
		Expect(far.view.Configuration()).To(Equal(source.view.Configuration()))
	})

	It("is never in one message", func() {
		// Guards against statements and pings that wait behind a large response on the same
		// connection.
		source := startVM("source").withData(7, 40)
		source.view.AcceptConfiguration(largeConfiguration(8, 3600), "test")
		response := source.News(&peer.GossipRequest{
			From:      catalog.VM{Name: "other"},
			Settled:   true,
			Transfers: true,
		})
		Expect(response.Config).To(BeNil())
		Expect(response.ConfigTransfer.Size).To(BeNumerically(">", peer.PartSize))
		Expect(response.ConfigTransfer.Data).To(BeEmpty())
		Expect(len(response.EndpointsTransfer.Data) + len(response.VMsTransfer.Data)).To(BeNumerically("<=", peer.PartSize))
		received := 0
		for received < response.ConfigTransfer.Size {
			part := source.Part(&peer.PartRequest{
				ID:     response.ConfigTransfer.ID,
				Offset: received,
			})
			Expect(len(part.Data)).To(And(BeNumerically(">", 0), BeNumerically("<=", peer.PartSize)))
			received += len(part.Data)
		}
		Expect(received).To(Equal(response.ConfigTransfer.Size))
	})

	It("can still be read after the next one has replaced it", func() {
		// Guards against transfers that begin anew at each change of the configuration.
		source := startVM("source").withData(7, 40)
		offered := func(version uint64) *peer.Transfer {
			source.view.AcceptConfiguration(largeConfiguration(version, 3600), "test")
			return source.News(&peer.GossipRequest{
				From:      catalog.VM{Name: "other"},
				Settled:   true,
				Transfers: true,
			}).ConfigTransfer
		}
		part := func(transfer *peer.Transfer) []byte {
			return source.Part(&peer.PartRequest{ID: transfer.ID}).Data
		}
		first := offered(8)
		for version := uint64(9); version < 12; version++ {
			offered(version)
			Expect(part(first)).NotTo(BeEmpty())
		}
		// Only a few are held in memory.
		offered(12)
		Expect(part(first)).To(BeEmpty())
	})

	It("is not sent whole to a VM that has an earlier version, and its difference not in one message", func() {
		// Guards against 1,880 added routes in one message to each of a VM's neighbours, which
		// took a link of 10 Mbit/s 0.8 s; pings on the same connections timed out.
		source := startVM("source").withData(7, 40)
		source.view.AcceptEvacuations(3, nil, "test")
		other := startVM("other", source.view.Self().Address).withData(7, 40)
		other.runGossip()
		source.view.AcceptConfiguration(largeConfiguration(8, 1880), "test")
		response := source.News(&peer.GossipRequest{
			From:          catalog.VM{Name: "other"},
			Settled:       true,
			Transfers:     true,
			Deltas:        true,
			ConfigVersion: 7,
		})
		Expect(response.ConfigDelta).To(BeNil())
		Expect(response.ConfigTransfer).To(BeNil())
		Expect(response.ConfigDeltaTransfer.Size).To(BeNumerically(">", peer.PartSize))
		expectConfiguration(other, 8, 5*time.Second)
		Eventually(other.contact.lastKnownRevision).Should(Equal(uint64(40)))
		Expect(other.view.Configuration().Routes).To(Equal(source.view.Configuration().Routes))
		Expect(other.view.Configuration().TransactionIdle).To(Equal(source.view.Configuration().TransactionIdle))
	})
})

// misleading is a VM whose offers are changed before they are sent.
type misleading struct {
	*vm
	change func(*peer.Transfer)
}

// News implements peer.Handler.
func (m misleading) News(request *peer.GossipRequest) peer.GossipResponse {
	response := m.vm.News(request)
	if response.ConfigTransfer != nil {
		m.change(response.ConfigTransfer)
	}
	return response
}

// serve starts a server for the handler and returns its address.
func serve(handler peer.Handler) netip.AddrPort {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	serveOn(listener, handler)
	return netip.MustParseAddrPort(listener.Addr().String())
}

// serveOn serves the calls of other VMs until the listener is closed.
func serveOn(listener net.Listener, handler peer.Handler) {
	server := peer.NewServer(peer.ServerConfig{
		Handler: handler,
		Timer:   timer.NewSystem(),
		Log:     logr.Discard(),
	})
	go func() {
		defer GinkgoRecover()
		Expect(server.Serve(context.Background(), listener)).To(Succeed())
	}()
}

var _ = DescribeTable("a VM ignores a transfer", func(change func(*peer.Transfer)) {
	// Guards against a VM that accepts a part of a configuration, allocates the memory that another
	// VM states, or stops exchanging data.
	source := startVM("source")
	source.view.AcceptEndpoints(&catalog.EndpointSnapshot{
		Revision: 40,
		ByID:     map[string]catalog.Endpoint{"e1": {Database: "db"}},
	}, "test")
	source.view.AcceptConfiguration(largeConfiguration(8, 3600), "test")
	address := serve(misleading{
		vm:     source,
		change: change,
	})
	v := startVM("other", address)
	v.runGossip()
	Eventually(func() int { return len(v.view.Endpoints().ByID) }).WithTimeout(2 * time.Second).Should(Equal(1))
	v.contact.mu.Lock()
	v.contact.readers = []catalog.VM{{
		Name:    "source",
		Address: address,
	}}
	v.contact.mu.Unlock()
	Consistently(v.view.Configuration).WithTimeout(time.Second).Should(BeNil())
	// It would watch from that revision and miss the configuration.
	Expect(v.contact.lastConfirmedAt()).To(BeZero())
	Expect(v.contact.lastKnownRevision()).To(BeZero())
},
	Entry("that is too large", func(t *peer.Transfer) { t.Size = 1 << 40 }),
	Entry("with more data than its size", func(t *peer.Transfer) { t.Size, t.Data = 2, []byte("data") }),
	Entry("of negative size", func(t *peer.Transfer) { t.Size = -1 }),
	Entry("whose bytes differ from the offered ones", func(t *peer.Transfer) { t.Size, t.Data = 4, []byte("data") }),
	Entry("that ends early", func(t *peer.Transfer) { t.Size++ }),
)
