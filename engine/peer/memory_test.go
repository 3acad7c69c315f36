package peer_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/budget"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/timer"
)

// longRows answers each statement with rows as long as its text.
type longRows struct{ *fakeVM }

func (longRows) Run(_ context.Context, request *peer.RunRequest) *peer.RunResponse {
	return &peer.RunResponse{Rows: []string{request.Text}}
}

// Guards against statements and answers of other VMs that take more memory than a VM has.
var _ = Describe("the memory of a VM", func() {
	var (
		vm      *fakeVM
		clients *peer.Clients
		target  catalog.VM
		limited *budget.Budget
	)

	BeforeEach(func() {
		vm = &fakeVM{unblock: make(chan struct{})}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		limited = budget.New(budget.Config{
			Limits: budget.Limits{
				MemoryBytes:      16 << 20,
				PeerMessageBytes: 4 << 20,
				PeerConnections:  1,
			}.WithDefaults(0, 0),
			Timer:    timer.NewSystem(),
			Log:      logr.Discard(),
			Registry: metrics.NewRegistry(),
		})
		server := peer.NewServer(peer.ServerConfig{
			Handler: longRows{fakeVM: vm},
			Budget:  limited,
			Timer:   timer.NewSystem(),
			Log:     logr.Discard(),
		})
		go func() {
			defer GinkgoRecover()
			Expect(server.Serve(context.Background(), listener)).To(Succeed())
		}()
		var dialer net.Dialer
		clients = peer.NewClients(peer.ClientConfig{
			Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
				return dialer.DialContext(ctx, "tcp", address.String())
			},
			Timer: timer.NewSystem(),
			Log:   logr.Discard(),
		})
		target = catalog.VM{
			Name:    "vm2",
			Address: netip.MustParseAddrPort(listener.Addr().String()),
		}
	})

	run := func(step peer.Step, length int) (*peer.RunResponse, error) {
		reply := &peer.RunResponse{}
		return reply, clients.Call(context.Background(), target, "Run", &peer.RunRequest{
			Workspace:   "ws",
			Step:        step,
			Transaction: peer.TransactionKey{Number: 4},
			Text:        strings.Repeat("x", length),
			Timeout:     time.Second,
		}, reply, time.Second)
	}

	It("allows statements and answers, and gets their memory back", func() {
		for range 20 {
			reply, err := run(peer.StepSingle, 900<<10)
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Refused).To(BeNil())
			Expect(reply.Rows[0]).To(HaveLen(900 << 10))
			// The home returns the memory after it has sent the response, which may arrive first.
			Eventually(func() int64 { return limited.UsedBy(budget.Group("ws")) }).Should(BeZero())
		}
	})

	It("refuses a statement for which there is none", func() {
		other := limited.Open("other")
		Expect(other.TryTake(5 << 20)).To(BeTrue())
		reply, err := run(peer.StepSingle, 900<<10)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Refused.Reason).To(Equal(refusal.Overloaded))
		Expect(reply.Refused.Outcome).To(Equal(refusal.NotRun))
	})

	It("drops an answer for which there is none, and rolls back its transaction", func() {
		Expect(limited.OpenAnswers("other").TryTake(1 << 20)).To(BeTrue())
		reply, err := run(peer.StepFirst, 900<<10)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Refused.Outcome).To(Equal(refusal.Unknown))
		Expect(reply.Rows).To(BeEmpty())
		Expect(vm.rolledBackTransactions()).To(ContainElement(peer.TransactionKey{Number: 4}))
	})

	It("ends a connection with a message beyond the limit, and accepts the next one", func() {
		_, err := run(peer.StepSingle, 5<<20)
		Expect(err).To(MatchError(peer.ErrConnectionLost))
		Eventually(func() error {
			_, err := run(peer.StepSingle, 10)
			return err
		}).WithTimeout(5 * time.Second).Should(Succeed())
	})

	It("limits the number of connections", func() {
		_, err := run(peer.StepSingle, 10)
		Expect(err).NotTo(HaveOccurred())
		second, err := net.Dial("tcp", target.Address.String())
		Expect(err).NotTo(HaveOccurred())
		defer second.Close()
		Expect(second.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
		_, err = second.Read(make([]byte, 1))
		Expect(err).To(MatchError(ContainSubstring("EOF")))
	})
})
