package peer_test

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/api/amaranthdock/peer/v1/peerv1connect"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/budget"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/proxy/reqmem"
	"amaranthdock.dev/timer"
)

const (
	// limitedTotal has room for one statement and one answer of longText.
	limitedTotal = 8 << 20
	longText     = 400 << 10
	maxMessage   = 4 << 20
)

func newLimitedBudget() *budget.Budget {
	return budget.New(budget.Config{
		Limits:   budget.Limits{MemoryBytes: limitedTotal}.WithDefaults(0, 0),
		Timer:    timer.NewSystem(),
		Log:      logr.Discard(),
		Registry: metrics.NewRegistry(),
	})
}

// startLimitedHome starts a home whose forwarded statements are limited.
func startLimitedHome(b *budget.Budget, home *fakeHome) netip.AddrPort {
	handler, err := peer.New(peer.Config{
		Failover:   home,
		Forwarding: home,
		Gossip:     home,
		Lending:    home,
	})
	Expect(err).NotTo(HaveOccurred())
	path, service := peerv1connect.NewPeerServiceHandler(handler)
	mux := http.NewServeMux()
	mux.Handle(path, peer.LimitForwards(peer.LimitConfig{
		Budget:          b,
		Timer:           timer.NewSystem(),
		MaxMessageBytes: maxMessage,
	}, service))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	DeferCleanup(server.CloseClientConnections)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// longRequest returns a request with a long statement of a workspace.
func longRequest() *peerv1.ForwardRequest {
	return &peerv1.ForwardRequest{
		Workspace: "w1",
		Statement: &callerv1.Statement{
			Command:   "put",
			Arguments: []string{strings.Repeat("x", longText)},
		},
	}
}

var _ = Describe("the memory of forwarded statements", func() {
	It("is taken for the workspace while the statement runs, and returned", func() {
		b := newLimitedBudget()
		used := make(chan int64, 1)
		address := startLimitedHome(b, &fakeHome{forward: func(ctx context.Context, stream *connect.ServerStream[peerv1.ForwardResponse]) error {
			used <- b.UsedBy("w1")
			return respondWithRows(1, 1)(ctx, stream)
		}})
		for range 3 {
			result := newForwarder(address).Forward(context.Background(), "other", longRequest(), discardRows)
			Expect(result.GetOutcome()).To(Equal(callerv1.Outcome_OUTCOME_DONE))
			Expect(<-used).To(BeNumerically(">=", longText))
			Eventually(func() int64 { return b.UsedBy("w1") }).Should(BeZero())
		}
	})

	// Guards against statements that are refused without the promise that they have not run.
	It("refuses a statement as not run if there is none", func() {
		b := newLimitedBudget()
		Expect(b.Open("w2").TryTake(limitedTotal * 3 / 8)).To(BeTrue())
		address := startLimitedHome(b, &fakeHome{forward: func(context.Context, *connect.ServerStream[peerv1.ForwardResponse]) error {
			defer GinkgoRecover()
			Fail("the statement ran")
			return nil
		}})
		result := newForwarder(address).Forward(context.Background(), "other", longRequest(), discardRows)
		expectRefusal(result, refusal.NotRun, refusal.Overloaded)
	})
})

// Guards against responses of other VMs that are read before their memory is taken, and against a
// refusal that makes the caller repeat the read.
var _ = It("refuses a response of a VM for which there is no memory", func() {
	// Compression makes such a text hardly shorter.
	incompressible := make([]byte, limitedTotal)
	_, err := rand.Read(incompressible)
	Expect(err).NotTo(HaveOccurred())
	address, _ := startHome(&fakeHome{forward: func(_ context.Context, stream *connect.ServerStream[peerv1.ForwardResponse]) error {
		return stream.Send(&peerv1.ForwardResponse{
			Rows: []*callerv1.Row{{Columns: []string{hex.EncodeToString(incompressible)}}},
		})
	}})
	held := reqmem.New(reqmem.Config{
		Budget: newLimitedBudget(),
		Timer:  timer.NewSystem(),
	})
	defer held.Close()
	ctx := held.WithContext(context.Background())
	result := newForwarder(address).Forward(ctx, "other", &peerv1.ForwardRequest{Workspace: "w1"}, discardRows)
	expectRefusal(result, refusal.Unknown, refusal.Overloaded)
})
