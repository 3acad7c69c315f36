package endpoint

import (
	"context"
	"strings"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/budget"
	"amaranthdock.dev/proxy/reqmem"
	"amaranthdock.dev/timer"
)

// answersTotal is the memory for answers of the budget of limitedExecute.
const answersTotal = 1 << 20

// longPiece returns a function for responding that returns a piece with a row of a length.
func longPiece(sequence uint32, last bool, length int) func(*endpointv1.Run) *endpointv1.ConnectResponse {
	return func(run *endpointv1.Run) *endpointv1.ConnectResponse {
		frame := pieceFrame(run, sequence, last)
		frame.GetPiece().Rows = []*callerv1.Row{{Columns: []string{strings.Repeat("x", length)}}}
		return frame
	}
}

var _ = Describe("the memory of an endpoint's response", func() {
	var (
		f *fixture
		b *budget.Budget
	)

	BeforeEach(func() {
		f = newFixture()
		b = budget.New(budget.Config{
			Limits:   budget.Limits{MemoryBytes: 8 * answersTotal}.WithDefaults(0, 0),
			Timer:    timer.NewSystem(),
			Log:      logr.Discard(),
			Registry: metrics.NewRegistry(),
		})
	})

	// execute runs a step with the budget, and returns what it held while its rows were sent.
	execute := func(access callerv1.Access) (refusal.Reason, int64) {
		held := reqmem.New(reqmem.Config{
			Budget: b,
			Timer:  timer.NewSystem(),
		})
		defer held.Close()
		used := int64(0)
		result := f.home.Execute(held.WithContext(context.Background()), newRequest(access, "c"), func([]*callerv1.Row) error {
			used = b.UsedBy("w")
			return nil
		})
		return refusal.Reason(result.GetReason()), used
	}

	It("is held until the rows were sent, and then returned", func() {
		responding(true, longPiece(0, false, 100<<10), longPiece(1, true, 100<<10))(f)
		reason, used := execute(reading)
		Expect(reason).To(BeEmpty())
		Expect(used).To(BeNumerically(">=", 200<<10))
		Expect(b.UsedBy("w")).To(BeZero())
	})

	// Guards against a home that keeps reading a response for which it has no memory, and against a
	// refusal with which the step would be run again.
	DescribeTable("ends a step whose response is too long",
		func(access callerv1.Access) {
			responding(true, longPiece(0, false, 100<<10), longPiece(1, true, 2*answersTotal))(f)
			reason, _ := execute(access)
			Expect(reason).To(Equal(refusal.Overloaded))
			Expect(b.UsedBy("w")).To(BeZero())
			responding(true, piece(0, true))(f)
			reason, _ = execute(reading)
			Expect(reason).To(BeEmpty(), "the next step uses another connection")
		},
		Entry("read", reading),
		Entry("write", writing),
	)
})
