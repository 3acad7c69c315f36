package peer_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/api/amaranthdock/peer/v1/peerv1connect"
	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/timer"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

// home answers forwarded steps as a test says.
type home struct {
	peerv1connect.UnimplementedPeerServiceHandler
	forward func(context.Context, *connect.ServerStream[peerv1.ForwardResponse]) error
}

func (h *home) Forward(ctx context.Context, _ *peerv1.ForwardRequest, stream *connect.ServerStream[peerv1.ForwardResponse]) error {
	return h.forward(ctx, stream)
}

type directory struct {
	address netip.AddrPort
}

func (d directory) Address(string) (netip.AddrPort, bool) { return d.address, d.address.IsValid() }
func (d directory) Self() routing.VM                      { return routing.VM{Name: "self"} }

type local struct{}

func (local) Execute(context.Context, *peerv1.ForwardRequest, peer.SendRows) *peerv1.ForwardResult {
	return &peerv1.ForwardResult{Outcome: callerv1.Outcome_OUTCOME_DONE}
}

func serve(h *home) (netip.AddrPort, func()) {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(h))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	end := func() {
		server.CloseClientConnections()
		server.Close()
	}
	DeferCleanup(end)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), end
}

func newForwarder(address netip.AddrPort) *peer.Forwarder {
	forwarder, err := peer.NewForwarder(peer.ForwarderConfig{
		Dial:      peer.NewClients(peer.ClientConfig{}).Dial,
		Directory: directory{address: address},
		Local:     local{},
	})
	Expect(err).NotTo(HaveOccurred())
	return forwarder
}

func ignore([]*callerv1.Row) error { return nil }

func expectRefused(result *peerv1.ForwardResult, outcome refusal.Outcome, reason refusal.Reason) {
	GinkgoHelper()
	refused := peer.DecodeRefusal(result)
	Expect(refused).NotTo(BeNil())
	Expect(refused.Outcome).To(Equal(outcome), refused.Message)
	Expect(refused.Reason).To(Equal(reason))
}

func rows(count int, total int64) func(context.Context, *connect.ServerStream[peerv1.ForwardResponse]) error {
	return func(_ context.Context, stream *connect.ServerStream[peerv1.ForwardResponse]) error {
		for range count {
			if err := stream.Send(&peerv1.ForwardResponse{Rows: []*callerv1.Row{{}}}); err != nil {
				return err
			}
		}
		return stream.Send(&peerv1.ForwardResponse{
			Result: &peerv1.ForwardResult{
				Outcome:   callerv1.Outcome_OUTCOME_DONE,
				TotalRows: total,
			},
		})
	}
}

var _ = Describe("Forwarder", func() {
	DescribeTable("guards against a claim of not run without proof",
		func(forward func(context.Context, *connect.ServerStream[peerv1.ForwardResponse]) error, reason refusal.Reason) {
			address, _ := serve(&home{forward: forward})
			result := newForwarder(address).Forward(context.Background(), "other", &peerv1.ForwardRequest{}, ignore)
			expectRefused(result, refusal.Unknown, reason)
		},
		Entry("stream fails", func(context.Context, *connect.ServerStream[peerv1.ForwardResponse]) error {
			return errors.New("failed")
		}, refusal.ConnectionLost),
		Entry("stream ends without a result", func(context.Context, *connect.ServerStream[peerv1.ForwardResponse]) error {
			return nil
		}, refusal.ConnectionLost),
		Entry("rows are missing", rows(2, 3), refusal.ConnectionLost),
	)

	It("returns complete answers", func() {
		address, _ := serve(&home{forward: rows(3, 3)})
		got := 0
		result := newForwarder(address).Forward(context.Background(), "other", &peerv1.ForwardRequest{}, func(rows []*callerv1.Row) error {
			got += len(rows)
			return nil
		})
		Expect(result.GetOutcome()).To(Equal(callerv1.Outcome_OUTCOME_DONE))
		Expect(got).To(Equal(3))
	})

	It("counts messages by purpose and the bytes of connections", func() {
		address, _ := serve(&home{forward: rows(3, 3)})
		registry := metrics.NewRegistry()
		clients := peer.NewClients(peer.ClientConfig{
			Connections: peer.NewConnectionTraffic("peer.client", registry),
			Messages:    peer.NewMessageTraffic(registry),
		})
		stream, err := clients.Dial(address).Forward(context.Background(), &peerv1.ForwardRequest{Database: "d"})
		Expect(err).NotTo(HaveOccurred())
		for stream.Receive() {
			continue
		}
		_, err = clients.Dial(address).Probe(context.Background(), &peerv1.ProbeRequest{From: "v"})
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnimplemented))
		count := func(name string) int64 { return metrics.GetOrRegisterCounter(name, registry).Count() }
		Expect(count("peer.forward.messagesSent")).To(Equal(int64(1)))
		Expect(count("peer.forward.bytesSent")).To(Equal(int64(3)))
		Expect(count("peer.forward.messagesReceived")).To(Equal(int64(4)))
		Expect(count("peer.gossip.messagesSent")).To(Equal(int64(1)))
		Expect(count("peer.gossip.messagesReceived")).To(BeZero())
		Expect(count("peer.client.bytesWritten")).To(BeNumerically(">", count("peer.forward.bytesSent")))
		Expect(count("peer.client.bytesRead")).To(BeNumerically(">", count("peer.forward.bytesReceived")))
	})

	It("proves that a request to a closed port was not run", func() {
		address, end := serve(&home{})
		end()
		result := newForwarder(address).Forward(context.Background(), "other", &peerv1.ForwardRequest{}, ignore)
		expectRefused(result, refusal.NotRun, refusal.Unreachable)
	})

	It("leaves a request unknown whose connection breaks after it was sent", func() {
		arrived := make(chan struct{})
		address, end := serve(&home{forward: func(ctx context.Context, _ *connect.ServerStream[peerv1.ForwardResponse]) error {
			close(arrived)
			<-ctx.Done()
			return ctx.Err()
		}})
		go func() {
			<-arrived
			end()
		}()
		result := newForwarder(address).Forward(context.Background(), "other", &peerv1.ForwardRequest{}, ignore)
		expectRefused(result, refusal.Unknown, refusal.ConnectionLost)
	})

	It("leaves a request unknown whose deadline passes at the home", func() {
		clock := timer.NewManual(timer.ManualConfig{})
		address, _ := serve(&home{forward: func(ctx context.Context, _ *connect.ServerStream[peerv1.ForwardResponse]) error {
			clock.Advance(time.Second)
			<-ctx.Done()
			return ctx.Err()
		}})
		ctx, cancel := timer.WithTimeout(context.Background(), clock, time.Second)
		defer cancel()
		result := newForwarder(address).Forward(ctx, "other", &peerv1.ForwardRequest{}, ignore)
		expectRefused(result, refusal.Unknown, refusal.DeadlineExceeded)
	})

	It("knows what it did not send at all", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		address, _ := serve(&home{})
		expectRefused(newForwarder(address).Forward(ctx, "other", &peerv1.ForwardRequest{}, ignore), refusal.NotRun, refusal.DeadlineExceeded)
		expectRefused(newForwarder(netip.AddrPort{}).Forward(context.Background(), "other", &peerv1.ForwardRequest{}, ignore), refusal.NotRun, refusal.Unreachable)
	})

	It("runs its own steps locally", func() {
		result := newForwarder(netip.AddrPort{}).Forward(context.Background(), "self", &peerv1.ForwardRequest{}, ignore)
		Expect(result.GetOutcome()).To(Equal(callerv1.Outcome_OUTCOME_DONE))
	})
})

var _ = It("views keep their fields over the wire", func() {
	view := routing.DatabaseView{
		Database: "d",
		Term:     3,
		Primary:  "p",
		Members: []routing.MemberView{{
			Endpoint:  "p",
			Role:      routing.RolePrimary,
			Reachable: true,
			Last:      logpos.Position{Term: 3, Index: 4},
			Age:       time.Second,
			AgeKnown:  true,
			QueueWait: time.Millisecond,
		}},
	}
	Expect(peer.DecodeView(peer.EncodeView(view))).To(Equal(view))
})

var _ = It("InFlight waits for the last request", func() {
	var inFlight peer.InFlight
	end := inFlight.Begin()
	waited := make(chan error, 1)
	go func() { waited <- inFlight.Wait(context.Background()) }()
	Consistently(waited, "50ms").ShouldNot(Receive())
	end()
	end()
	Eventually(waited).Should(Receive(BeNil()))
	Expect(inFlight.Count()).To(BeZero())
})
