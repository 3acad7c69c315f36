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

// fakeHome handles forwarded steps with the function that a test sets.
type fakeHome struct {
	peerv1connect.UnimplementedPeerServiceHandler
	forward func(context.Context, *connect.ServerStream[peerv1.ForwardResponse]) error
}

func (h *fakeHome) Forward(ctx context.Context, _ *peerv1.ForwardRequest, stream *connect.ServerStream[peerv1.ForwardResponse]) error {
	return h.forward(ctx, stream)
}

type fakeDirectory struct {
	address netip.AddrPort
}

func (d fakeDirectory) Address(string) (netip.AddrPort, bool) { return d.address, d.address.IsValid() }
func (d fakeDirectory) Self() routing.VM                      { return routing.VM{Name: "self"} }

type fakeExecutor struct{}

func (fakeExecutor) ExplainStep(context.Context, *peerv1.ForwardRequest) (*peerv1.ExplainStepResponse, error) {
	return &peerv1.ExplainStepResponse{}, nil
}

func (fakeExecutor) Execute(context.Context, *peerv1.ForwardRequest, peer.SendRows) *peerv1.ForwardResult {
	return &peerv1.ForwardResult{Outcome: callerv1.Outcome_OUTCOME_DONE}
}

func startHome(h *fakeHome) (netip.AddrPort, func()) {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(h))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	stop := func() {
		server.CloseClientConnections()
		server.Close()
	}
	DeferCleanup(stop)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), stop
}

func newForwarder(address netip.AddrPort) *peer.Forwarder {
	forwarder, err := peer.NewForwarder(peer.ForwarderConfig{
		Dial:          peer.NewClients(peer.ClientConfig{}).Dial,
		Directory:     fakeDirectory{address: address},
		LocalExecutor: fakeExecutor{},
	})
	Expect(err).NotTo(HaveOccurred())
	return forwarder
}

func discardRows([]*callerv1.Row) error { return nil }

func expectRefusal(result *peerv1.ForwardResult, outcome refusal.Outcome, reason refusal.Reason) {
	GinkgoHelper()
	refused := peer.DecodeRefusal(result)
	Expect(refused).NotTo(BeNil())
	Expect(refused.Outcome).To(Equal(outcome), refused.Message)
	Expect(refused.Reason).To(Equal(reason))
}

func respondWithRows(count int, total int64) func(context.Context, *connect.ServerStream[peerv1.ForwardResponse]) error {
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
	// Guards against the outcome not run for a step that the home VM may have run.
	DescribeTable("reports an unknown outcome for an incomplete response",
		func(forward func(context.Context, *connect.ServerStream[peerv1.ForwardResponse]) error, reason refusal.Reason) {
			address, _ := startHome(&fakeHome{forward: forward})
			result := newForwarder(address).Forward(context.Background(), "other", &peerv1.ForwardRequest{}, discardRows)
			expectRefusal(result, refusal.Unknown, reason)
		},
		Entry("stream fails", func(context.Context, *connect.ServerStream[peerv1.ForwardResponse]) error {
			return errors.New("failed")
		}, refusal.ConnectionLost),
		Entry("stream ends without a result", func(context.Context, *connect.ServerStream[peerv1.ForwardResponse]) error {
			return nil
		}, refusal.ConnectionLost),
		Entry("rows are missing", respondWithRows(2, 3), refusal.ConnectionLost),
	)

	It("returns complete responses", func() {
		address, _ := startHome(&fakeHome{forward: respondWithRows(3, 3)})
		rowCount := 0
		result := newForwarder(address).Forward(context.Background(), "other", &peerv1.ForwardRequest{}, func(rows []*callerv1.Row) error {
			rowCount += len(rows)
			return nil
		})
		Expect(result.GetOutcome()).To(Equal(callerv1.Outcome_OUTCOME_DONE))
		Expect(rowCount).To(Equal(3))
	})

	It("counts messages by purpose and the bytes of connections", func() {
		address, _ := startHome(&fakeHome{forward: respondWithRows(3, 3)})
		registry := metrics.NewRegistry()
		clients := peer.NewClients(peer.ClientConfig{
			ConnectionTraffic: peer.NewConnectionTraffic("peer.client", registry),
			MessageTraffic:    peer.NewMessageTraffic(registry),
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

	It("explains a step at this VM, and knows no more of a VM of an older build", func() {
		// Guards against an older build that is asked to run the step instead.
		address, _ := startHome(&fakeHome{forward: func(context.Context, *connect.ServerStream[peerv1.ForwardResponse]) error {
			defer GinkgoRecover()
			Fail("the step was forwarded")
			return nil
		}})
		forwarder := newForwarder(address)
		response, err := forwarder.Explain(context.Background(), "self", &peerv1.ForwardRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(response).NotTo(BeNil())
		response, err = forwarder.Explain(context.Background(), "other", &peerv1.ForwardRequest{})
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnimplemented))
		Expect(response).To(BeNil())
	})

	It("explains a step to a closed port or to an unknown VM as Forward refuses it", func() {
		address, end := startHome(&fakeHome{})
		end()
		for _, known := range []netip.AddrPort{address, {}} {
			response, err := newForwarder(known).Explain(context.Background(), "other", &peerv1.ForwardRequest{})
			Expect(err).To(HaveOccurred())
			expectRefusal(response.GetResult(), refusal.NotRun, refusal.Unreachable)
		}
	})

	It("reports a request to a closed port as not run", func() {
		address, end := startHome(&fakeHome{})
		end()
		result := newForwarder(address).Forward(context.Background(), "other", &peerv1.ForwardRequest{}, discardRows)
		expectRefusal(result, refusal.NotRun, refusal.Unreachable)
	})

	It("reports an unknown outcome if the connection breaks after the request was sent", func() {
		received := make(chan struct{})
		address, end := startHome(&fakeHome{forward: func(ctx context.Context, _ *connect.ServerStream[peerv1.ForwardResponse]) error {
			close(received)
			<-ctx.Done()
			return ctx.Err()
		}})
		go func() {
			<-received
			end()
		}()
		result := newForwarder(address).Forward(context.Background(), "other", &peerv1.ForwardRequest{}, discardRows)
		expectRefusal(result, refusal.Unknown, refusal.ConnectionLost)
	})

	It("reports an unknown outcome if the deadline passes on the home VM", func() {
		clock := timer.NewManual(timer.ManualConfig{})
		address, _ := startHome(&fakeHome{forward: func(ctx context.Context, _ *connect.ServerStream[peerv1.ForwardResponse]) error {
			clock.Advance(time.Second)
			<-ctx.Done()
			return ctx.Err()
		}})
		ctx, cancel := timer.WithTimeout(context.Background(), clock, time.Second)
		defer cancel()
		result := newForwarder(address).Forward(ctx, "other", &peerv1.ForwardRequest{}, discardRows)
		expectRefusal(result, refusal.Unknown, refusal.DeadlineExceeded)
	})

	It("reports a request that it did not send as not run", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		address, _ := startHome(&fakeHome{})
		expectRefusal(newForwarder(address).Forward(ctx, "other", &peerv1.ForwardRequest{}, discardRows), refusal.NotRun, refusal.DeadlineExceeded)
		expectRefusal(newForwarder(netip.AddrPort{}).Forward(context.Background(), "other", &peerv1.ForwardRequest{}, discardRows), refusal.NotRun, refusal.Unreachable)
	})

	It("runs steps for this VM locally", func() {
		result := newForwarder(netip.AddrPort{}).Forward(context.Background(), "self", &peerv1.ForwardRequest{}, discardRows)
		Expect(result.GetOutcome()).To(Equal(callerv1.Outcome_OUTCOME_DONE))
	})
})

var _ = It("decodes a view to what was encoded", func() {
	// Guards against fields that are lost between two VMs.
	view := routing.DatabaseView{
		Database: "d",
		Term:     3,
		Primary:  "p",
		Members: []routing.MemberView{{
			Endpoint:     "p",
			Role:         routing.RolePrimary,
			Reachable:    true,
			LastPosition: logpos.Position{Term: 3, Index: 4},
			Age:          time.Second,
			AgeKnown:     true,
			QueueWait:    time.Millisecond,
		}},
	}
	Expect(peer.DecodeView(peer.EncodeView(view))).To(Equal(view))
})

var _ = It("InFlight waits for the last request", func() {
	// Guards against a drain that ends before the last request, and against a request
	// that is subtracted twice.
	var inFlight peer.InFlight
	end := inFlight.Begin()
	waitResult := make(chan error, 1)
	go func() { waitResult <- inFlight.Wait(context.Background()) }()
	Consistently(waitResult, "50ms").ShouldNot(Receive())
	end()
	end()
	Eventually(waitResult).Should(Receive(BeNil()))
	Expect(inFlight.Count()).To(BeZero())
})
