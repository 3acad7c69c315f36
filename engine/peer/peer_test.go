package peer_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/statement"
	"amaranthdock.dev/timer"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine/peer")
}

// fakeVM handles calls. A statement with the text "hold" blocks until unblock is closed.
type fakeVM struct {
	mu         sync.Mutex
	rolledBack []peer.TransactionKey
	lastRun    peer.RunRequest
	unblock    chan struct{}
}

func (f *fakeVM) Run(_ context.Context, request *peer.RunRequest) *peer.RunResponse {
	f.mu.Lock()
	f.lastRun = *request
	f.mu.Unlock()
	if request.Text == "hold" {
		<-f.unblock
	}
	if request.Text == "panic" {
		panic("broken")
	}
	if request.Text == "refuse" {
		return &peer.RunResponse{Refused: refusal.NewNotRun(refusal.Overloaded, "full")}
	}
	return &peer.RunResponse{
		Rows:     []string{"row"},
		Position: request.After,
	}
}

func (f *fakeVM) RollBackTransaction(key peer.TransactionKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rolledBack = append(f.rolledBack, key)
}

func (f *fakeVM) rolledBackTransactions() []peer.TransactionKey {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]peer.TransactionKey(nil), f.rolledBack...)
}

func (f *fakeVM) Part(*peer.PartRequest) peer.PartResponse { return peer.PartResponse{} }

func (f *fakeVM) Lend(request *peer.LoanRequest) peer.LoanResponse {
	return peer.LoanResponse{Tokens: request.Waiting}
}

func (f *fakeVM) News(*peer.GossipRequest) peer.GossipResponse {
	return peer.GossipResponse{Config: &catalog.Configuration{
		Version: 7,
		Routes: map[string]catalog.Route{"h": {
			Host: "h",
			Kind: catalog.ReadYourWrites,
		}},
	}}
}

func (f *fakeVM) Suspect(*peer.Suspicion) {}

func (f *fakeVM) Confirm(context.Context, *peer.Suspicion) peer.ConfirmResponse {
	return peer.ConfirmResponse{Reached: true}
}

func (f *fakeVM) Promoted(*peer.PromotionNotice) {}

// silentConn accepts writes but delivers no data to its reader once muted is closed.
type silentConn struct {
	net.Conn
	muted  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (c *silentConn) Read(data []byte) (int, error) {
	read, err := c.Conn.Read(data)
	select {
	case <-c.muted:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return read, err
	}
}

func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// pair is a VM that serves calls and the clients with which a second VM calls it.
type pair struct {
	vm          *fakeVM
	target      catalog.VM
	clients     *peer.Clients
	listener    net.Listener
	stopped     sync.Once
	mu          sync.Mutex
	connections []net.Conn
	muted       chan struct{}
	// holdDials makes dials wait for dialHold; heldDials counts those that have ended.
	holdDials atomic.Bool
	heldDials atomic.Int64
}

const dialHold = 100 * time.Millisecond

func newPair() *pair {
	p := &pair{
		vm:    &fakeVM{unblock: make(chan struct{})},
		muted: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p.listener = listener
	server := peer.NewServer(peer.ServerConfig{
		Handler: p.vm,
		Timer:   timer.NewSystem(),
		Log:     logr.Discard(),
	})
	go func() {
		defer GinkgoRecover()
		Expect(server.Serve(context.Background(), listener)).To(Succeed())
	}()
	p.target = catalog.VM{
		Name:    "vm2",
		Address: netip.MustParseAddrPort(p.listener.Addr().String()),
	}
	p.clients = peer.NewClients(peer.ClientConfig{
		Dial:  p.dial,
		Timer: timer.NewSystem(),
		Log:   logr.Discard(),
	})
	return p
}

func (p *pair) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if p.holdDials.Load() {
		time.Sleep(dialHold)
		defer p.heldDials.Add(1)
	}
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections = append(p.connections, connection)
	return &silentConn{
		Conn:   connection,
		muted:  p.muted,
		closed: make(chan struct{}),
	}, nil
}

// stop stops listening, once.
func (p *pair) stop() {
	p.stopped.Do(func() { Expect(p.listener.Close()).To(Succeed()) })
}

func (p *pair) closeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.connections {
		Expect(c.Close()).To(Succeed())
	}
}

func (p *pair) run(request *peer.RunRequest, timeout time.Duration) (*peer.RunResponse, error) {
	reply := &peer.RunResponse{}
	return reply, p.clients.Call(context.Background(), p.target, "Run", request, reply, timeout)
}

// expectLost guards against calls that hang, or that are reported as not sent, when the
// connection ends.
func expectLost(results chan error, within time.Duration) {
	GinkgoHelper()
	var err error
	Eventually(results).WithTimeout(within).Should(Receive(&err))
	Expect(errors.Is(err, peer.ErrConnectionLost)).To(BeTrue())
}

var _ = Describe("calls", func() {
	var p *pair

	BeforeEach(func() {
		p = newPair()
		DeferCleanup(p.stop)
	})

	It("carry all fields of a statement and of its response", func() {
		// Guards against fields that are lost between two VMs.
		request := &peer.RunRequest{
			Text:     "READ a",
			Step:     peer.StepSingle,
			Prepared: &statement.Prepared{Shape: "q"},
			Values:   map[string]string{"tz": "utc"},
			Endpoint: "e1",
			After: logpos.Position{
				Term:  3,
				Index: 9,
			},
		}
		ran, err := p.run(request, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.vm.lastRun).To(Equal(*request))
		Expect(ran.Rows).To(Equal([]string{"row"}))
		Expect(ran.Position).To(Equal(request.After))
	})

	It("carry refusals with their outcome", func() {
		ran, err := p.run(&peer.RunRequest{Text: "refuse"}, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(ran.Refused.Outcome).To(Equal(refusal.NotRun))
	})

	It("carry configurations", func() {
		var answer peer.GossipResponse
		Expect(p.clients.Call(context.Background(), p.target, "News", &peer.GossipRequest{}, &answer, time.Second)).To(Succeed())
		Expect(answer.Config.Routes["h"].Kind).To(Equal(catalog.ReadYourWrites))
	})

	It("end with an error when the VM panics, and others on the same connection go on", func() {
		// Guards against one message that ends the process of a home.
		_, err := p.run(&peer.RunRequest{Text: "panic"}, time.Second)
		Expect(err).To(MatchError(ContainSubstring("unexpected error")))
		_, err = p.run(&peer.RunRequest{}, time.Second)
		Expect(err).NotTo(HaveOccurred())
	})

	It("go on while another connection sends malformed bytes", func() {
		// Guards against one malformed message that takes down a home or blocks it.
		for _, malformed := range []string{"\x00", "GET / HTTP/1.1\r\n\r\n", strings.Repeat("\xff", 1<<16), "\x07\xff\x82\x00"} {
			connection, err := net.Dial("tcp", p.target.Address.String())
			Expect(err).NotTo(HaveOccurred())
			_, err = connection.Write([]byte(malformed))
			Expect(err).NotTo(HaveOccurred())
			Expect(connection.Close()).To(Succeed())
			_, err = p.run(&peer.RunRequest{Text: "READ a"}, time.Second)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("fail as not sent when the VM is not listening", func() {
		// Guards against an unknown outcome of a call that cannot have been sent.
		p.stop()
		_, err := p.run(&peer.RunRequest{}, time.Second)
		Expect(err).To(MatchError(peer.ErrUnreachable))
		Expect(p.clients.Unreachable("vm2")).To(BeTrue())
		Expect(p.clients.Isolated()).To(BeFalse())
	})

	It("fail as lost when the connection ends", func() {
		results := make(chan error, 1)
		go func() {
			_, err := p.run(&peer.RunRequest{Text: "hold"}, 5*time.Second)
			results <- err
		}()
		Eventually(func() string { p.vm.mu.Lock(); defer p.vm.mu.Unlock(); return p.vm.lastRun.Text }).Should(Equal("hold"))
		p.closeConnections()
		expectLost(results, time.Second)
	})

	// A suspended VM keeps its connections open and does not respond.
	It("fail as lost long before their timeout when the VM is unresponsive", func() {
		_, err := p.run(&peer.RunRequest{}, time.Second)
		Expect(err).NotTo(HaveOccurred())
		close(p.muted)
		results := make(chan error, 1)
		go func() {
			_, err := p.run(&peer.RunRequest{}, 10*time.Second)
			results <- err
		}()
		expectLost(results, 2*time.Second)
		Expect(p.clients.Isolated()).To(BeTrue())
	})

	It("that can go to another VM do not wait for one that did not respond last time", func() {
		// Guards against statements whose time is over before they reach a home that responds.
		_, err := p.run(&peer.RunRequest{}, time.Second)
		Expect(err).NotTo(HaveOccurred())
		close(p.muted)
		_, err = p.run(&peer.RunRequest{}, 10*time.Second)
		Expect(err).To(MatchError(peer.ErrConnectionLost))
		p.holdDials.Store(true)
		Eventually(func() bool { return p.clients.Unreachable("vm2") }).WithTimeout(3 * time.Second).Should(BeFalse())
		_, err = p.run(&peer.RunRequest{}, time.Second)
		Expect(err).To(MatchError(peer.ErrUnreachable))
		Expect(p.heldDials.Load()).To(BeZero())
		Eventually(p.heldDials.Load).Should(Equal(int64(1)))
	})

	It("keep the connection while the VM responds to pings, however long a statement takes", func() {
		// Guards against closing a connection because of a long statement.
		_, err := p.run(&peer.RunRequest{Text: "hold"}, 1300*time.Millisecond)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		_, err = p.run(&peer.RunRequest{}, time.Second)
		Expect(err).NotTo(HaveOccurred())
		close(p.vm.unblock)
	})

	It("leave no transaction open after the connection of the calling VM ended", func() {
		open := peer.TransactionKey{
			Process: 7,
			Number:  5,
		}
		ended := peer.TransactionKey{
			Process: 7,
			Number:  4,
		}
		for _, request := range []*peer.RunRequest{
			{
				Step:        peer.StepFirst,
				Transaction: ended,
			},
			{
				Step:        peer.StepCommit,
				Transaction: ended,
			},
			{
				Step:        peer.StepFirst,
				Transaction: open,
			},
		} {
			_, err := p.run(request, time.Second)
			Expect(err).NotTo(HaveOccurred())
		}
		p.closeConnections()
		Eventually(p.vm.rolledBackTransactions).Should(Equal([]peer.TransactionKey{open}))
	})
})

var _ = Describe("a request that arrives late", func() {
	sentAt := func(at time.Duration, text string) *peer.RunRequest {
		return &peer.RunRequest{
			Text:    text,
			Timeout: 2 * time.Second,
			SentAt:  at,
		}
	}

	It("is not run, because its VM has given it up", func() {
		// Guards against a write that a VM runs when it goes on after a suspension, long after
		// the caller was told that its outcome is not known.
		p := newPair()
		now := timer.NewSystem().SinceBoot()
		_, err := p.run(sentAt(now+time.Hour, "first"), time.Second)
		Expect(err).NotTo(HaveOccurred())
		result, err := p.run(sentAt(now+time.Hour-700*time.Millisecond, "late"), time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Refused).To(HaveField("Outcome", refusal.NotRun))
		Expect(p.vm.lastRun.Text).To(Equal("first"))
	})

	It("is run if the delay is short, or unknown", func() {
		p := newPair()
		now := timer.NewSystem().SinceBoot()
		for _, request := range []*peer.RunRequest{sentAt(0, "earlier build"), sentAt(now, "first"), sentAt(now-300*time.Millisecond, "slow")} {
			result, err := p.run(request, time.Second)
			Expect(err).NotTo(HaveOccurred())
			Expect(result.Refused).To(BeNil(), request.Text)
		}
	})
})
