package lending_test

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/lending"
	"amaranthdock.dev/engine/peer"
)

// heldLender lends the tokens that are sent to it.
type heldLender struct {
	tokens chan int64
}

func (h heldLender) Call(_ context.Context, _ catalog.VM, _ string, _, answer any, _ time.Duration) error {
	answer.(*peer.LoanResponse).Tokens = <-h.tokens
	return nil
}

func (h heldLender) Unreachable(string) bool { return false }

var _ = Describe("a loan with fewer tokens than requests that wait", func() {
	It("goes to the most urgent request", func() {
		// Guards against tokens that go to whichever request runs first.
		f := newFleet(2, 1, 1)
		lender := heldLender{tokens: make(chan int64, 10)}
		registry := metrics.NewRegistry()
		limiter := lending.New(lending.Config{
			Fleet: member{
				fakeFleet: f,
				name:      name(0),
			},
			Peers:                   lender,
			Timer:                   f.clock,
			Log:                     logr.Discard(),
			Registry:                registry,
			Window:                  5 * time.Second,
			UnregisteredFleetSize:   func() int { return 0 },
			Start:                   func() limits.Start { return limits.NewFleet{} },
			MayUseShares:            func() bool { return true },
			UrgencyAcrossWorkspaces: true,
		})
		lender.tokens <- 0
		lender.tokens <- 0
		for limiter.Admit(context.Background(), "ws") == nil {
			lender.tokens <- 0
		}
		for len(lender.tokens) > 0 {
			<-lender.tokens
		}
		f.clock.Advance(100 * time.Millisecond)
		admitted := make(chan int, 10)
		waiting := metrics.GetOrRegisterCounter("limits.waiting", registry)
		for i, priority := range []int{2, 2, 2, 2, 0, 1} {
			go func() {
				if limiter.AdmitWithPriority(context.Background(), "ws", priority) == nil {
					admitted <- priority
				} else {
					admitted <- -1
				}
			}()
			Eventually(waiting.Count).Should(Equal(int64(i + 1)))
		}
		lender.tokens <- 1
		Eventually(admitted).Should(Receive(Equal(0)))
		lender.tokens <- 0
		for range 5 {
			Eventually(admitted).Should(Receive(Equal(-1)))
		}
		Eventually(waiting.Count).Should(BeZero())
	})
})
