package failover_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	"amaranthdock.dev/api/amaranthdock/endpoint/v1/endpointv1connect"
	"amaranthdock.dev/api/amaranthdock/peer/v1/peerv1connect"
	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/declaration"
	"amaranthdock.dev/proxy/failover"
	"amaranthdock.dev/standin/member"
	"amaranthdock.dev/timer"
)

// vm is one failover part with its links.
type vm struct {
	self  routing.VM
	part  *failover.Manager
	links map[netip.AddrPort]*cut
	// pausePromote holds back promote calls, as a pause of the VM does.
	pausePromote *cut
	stop         context.CancelFunc
}

// cluster is a database of three members with two VMs that watch it.
type cluster struct {
	current atomic.Pointer[declaration.Document]
	members []netip.AddrPort
	stops   []func()
	vms     []*vm
	store   *store
	live    atomic.Pointer[[]routing.VM]
	// split makes each VM believe that it is the only live one.
	split atomic.Bool
}

// Current and Subscribe are the configuration of all VMs.
func (c *cluster) Current() *declaration.Snapshot {
	return declaration.NewSnapshot(c.current.Load())
}

func (c *cluster) Subscribe() (<-chan struct{}, func()) {
	return nil, func() {}
}

// directory is the membership as one VM sees it.
type directory struct {
	*cluster
	self routing.VM
}

func (d *directory) Address(name string) (netip.AddrPort, bool) {
	for i, v := range d.vms {
		if v.self.Name == name {
			return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)), true
		}
	}
	return netip.AddrPort{}, false
}

func (d *directory) Incarnation(string) (uint64, bool) { return 1, true }
func (d *directory) Self() routing.VM                  { return d.self }

func (d *directory) Live() []routing.VM {
	if d.split.Load() {
		return []routing.VM{d.self}
	}
	return *d.live.Load()
}

// newCluster starts three members and two VMs.
func newCluster() *cluster {
	GinkgoHelper()
	c := &cluster{store: &store{}}
	var endpoints []declaration.Endpoint
	var listeners []net.Listener
	dataCentres := []string{"olfusa", "thjorsa", "thjorsa"}
	for i, dataCentre := range dataCentres {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listeners = append(listeners, listener)
		c.members = append(c.members, netip.MustParseAddrPort(listener.Addr().String()))
		endpoints = append(endpoints, declaration.Endpoint{
			Name:       fmt.Sprintf("m%d", i),
			DataCentre: dataCentre,
			Address:    c.members[i],
		})
	}
	c.current.Store(&declaration.Document{
		Version:     1,
		StoreRegion: "sudurland",
		Regions:     []declaration.Region{{Name: "sudurland", DataCentres: dataCentres}},
		Services:    []declaration.Service{{Databases: []declaration.Database{{Name: "flock", Endpoints: endpoints}}}},
	})
	for i, listener := range listeners {
		c.startMember(i, listener)
	}
	live := []routing.VM{
		{Name: "vm0", DataCentre: "olfusa", Region: "sudurland"},
		{Name: "vm1", DataCentre: "thjorsa", Region: "sudurland"},
	}
	c.live.Store(&live)
	for _, self := range live {
		c.startVM(self)
	}
	for _, v := range c.vms {
		ctx, cancel := context.WithCancel(context.Background())
		v.stop = cancel
		done := make(chan error, 1)
		go func() { done <- v.part.Run(ctx) }()
		DeferCleanup(func() {
			cancel()
			Eventually(done).Should(Receive(BeNil()))
		})
	}
	return c
}

func (c *cluster) startMember(i int, listener net.Listener) {
	GinkgoHelper()
	peers := map[string]netip.AddrPort{}
	for j, address := range c.members {
		if i != j {
			peers[fmt.Sprintf("m%d", j)] = address
		}
	}
	m, err := member.New(member.Config{
		Name:     fmt.Sprintf("m%d", i),
		Listener: listener,
		Peers:    peers,
		Timer:    timer.NewSystem(),
		Logger:   logr.Discard(),
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	stop := sync.OnceFunc(func() {
		cancel()
		Eventually(done).Should(Receive(BeNil()))
	})
	c.stops = append(c.stops, stop)
	DeferCleanup(stop)
}

func (c *cluster) startVM(self routing.VM) {
	GinkgoHelper()
	v := &vm{
		self:         self,
		links:        map[netip.AddrPort]*cut{},
		pausePromote: &cut{},
	}
	for _, address := range c.members {
		v.links[address] = &cut{next: transport()}
	}
	part, err := failover.New(failover.Config{
		Configuration: c,
		Dial: func(address netip.AddrPort) peerv1connect.PeerServiceClient {
			return &peer{part: c.vms[address.Port()-1].part}
		},
		DialEndpoint: func(address netip.AddrPort) endpointv1connect.EndpointServiceClient {
			return &pausable{
				EndpointServiceClient: dial(v.links[address], address),
				pause:                 v.pausePromote,
			}
		},
		Directory:    &directory{cluster: c, self: self},
		HandoverTime: handoverTime,
		Logger:       funcr.New(func(_, args string) { GinkgoWriter.Println(self.Name, args) }, funcr.Options{Verbosity: 1}),
		Random:       rand.Float64,
		Store:        c.store,
		Timer:        timer.NewSystem(),
	})
	Expect(err).NotTo(HaveOccurred())
	v.part = part
	c.vms = append(c.vms, v)
}

func transport() http.RoundTripper {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	DeferCleanup(transport.CloseIdleConnections)
	return transport
}

func dial(next http.RoundTripper, address netip.AddrPort) endpointv1connect.EndpointServiceClient {
	return endpointv1connect.NewEndpointServiceClient(&http.Client{Transport: next}, "http://"+address.String())
}

// put writes a key at a member in a term and returns its position.
func (c *cluster) put(ctx context.Context, i int, term uint64, id string) (logpos.Position, error) {
	stream, err := dial(transport(), c.members[i]).Connect(ctx)
	if err != nil {
		return logpos.Position{}, err
	}
	defer func() { _ = stream.CloseResponse() }()
	frames := []*endpointv1.ConnectRequest{
		{Frame: &endpointv1.ConnectRequest_Hello{Hello: &endpointv1.Hello{}}},
		{Frame: &endpointv1.ConnectRequest_Run{Run: &endpointv1.Run{
			Id:        1,
			Verb:      endpointv1.Verb_VERB_EXECUTE,
			Access:    callerv1.Access_ACCESS_WRITE,
			Statement: &callerv1.Statement{Command: "put", Arguments: []string{id, "v"}},
			RequestId: id,
			Term:      term,
		}}},
	}
	var answer *endpointv1.ConnectResponse
	for _, frame := range frames {
		if err := stream.Send(frame); err != nil {
			return logpos.Position{}, err
		}
		if answer, err = stream.Receive(); err != nil {
			return logpos.Position{}, err
		}
	}
	piece := answer.GetPiece()
	if piece == nil {
		return logpos.Position{}, errors.New(answer.GetFailure().GetReason())
	}
	return logpos.Position{Term: piece.GetTerm(), Index: piece.GetPosition().GetIndex()}, errors.Join(stream.CloseRequest())
}

// replicate stops or starts the replication of a member.
func (c *cluster) replicate(i int, state string) {
	GinkgoHelper()
	response, err := http.Post(fmt.Sprintf("http://%s/replication?state=%s", c.members[i], state), "", nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
}

// primary waits until a VM sees a primary above a term that takes durable writes,
// and returns its member, its term and the time of the first durable write.
func (c *cluster) primary(ctx context.Context, v *vm, above uint64) (int, uint64, time.Time) {
	GinkgoHelper()
	var index int
	var term uint64
	writes := 0
	Eventually(func(g Gomega) {
		view, ok := v.part.View("flock")
		g.Expect(ok).To(BeTrue())
		g.Expect(view.Term).To(BeNumerically(">", above))
		_, err := fmt.Sscanf(view.Primary, "m%d", &index)
		g.Expect(err).NotTo(HaveOccurred())
		writes++
		ctx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		position, err := c.put(ctx, index, view.Term, fmt.Sprintf("probe%d-%d", view.Term, writes))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v.part.WaitDurable(ctx, "flock", position)).To(Succeed())
		term = view.Term
	}).Should(Succeed())
	return index, term, time.Now()
}

// cutOff closes or opens the links of all VMs to a member.
func (c *cluster) cutOff(i int, closed bool) {
	for _, v := range c.vms {
		v.links[c.members[i]].set(closed)
	}
}

// claimant returns the VM of rank 0.
func (c *cluster) claimant() *vm {
	GinkgoHelper()
	dump := c.vms[0].part.Dump().(failover.Dump)
	for _, v := range c.vms {
		if v.self.Name == dump.Databases[0].Claimants[0] {
			return v
		}
	}
	Fail("no claimant")
	return nil
}

// leave marks a member as leaving in a new version of the document.
func (c *cluster) leave(i int) {
	document := *c.current.Load()
	database := document.Services[0].Databases[0]
	database.Endpoints = slices.Clone(database.Endpoints)
	database.Endpoints[i].Leaving = true
	document.Services = []declaration.Service{{Databases: []declaration.Database{database}}}
	c.current.Store(&document)
}

func (c *cluster) term(i int) uint64 {
	view, _ := c.vms[i].part.View("flock")
	return view.Term
}
