package caller_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/statement"
)

var _ = Describe("statements for cold endpoints", func() {
	var f *fixture

	BeforeEach(func() {
		f = newFixture().start()
		f.acceptSample(90)
	})

	// refuse returns a response of a home to all runs at the given endpoints.
	refuse := func(reason refusal.Reason, ids ...string) func(string, *peer.RunRequest) (*peer.RunResponse, error) {
		refused := refuseAt(refusal.NewNotRun(reason, "cold"), ids...)
		return func(vm string, r *peer.RunRequest) (*peer.RunResponse, error) {
			result, err := refused(vm, r)
			if result != nil {
				result.Report.BudgetWait = time.Second
			}
			return result, err
		}
	}

	It("run at the warm one if all others are cold", func() {
		// Guards against a read that is refused although a warm endpoint has room: refusals
		// because of a long queue are final after two endpoints.
		f.fleet.respond = refuse(refusal.Overloaded, "r1", "r2")
		expectServed(do(f.open("bounded"), statement.Read{}, "READ a"), statement.Idle)
		Expect(f.fleet.steps()).To(HaveLen(3))
		Expect(f.fleet.lastRun().Endpoint).To(Equal("p"))
	})

	It("avoid a cold endpoint whose budget is spent", func() {
		// Guards against reads that each ask the home of a cold endpoint first.
		f.fleet.respond = refuse(refusal.Overloaded, "r1", "r2")
		s := f.open("bounded")
		do(s, statement.Read{}, "READ a")
		before := len(f.fleet.steps())
		do(s, statement.Read{}, "READ b")
		Expect(f.fleet.steps()[before:]).To(Equal([]string{"p READ b"}))
	})

	It("are sent again until a VM takes itself for the home of a cold primary", func() {
		// Guards against writes that are refused until all VMs know that a home is lost.
		asked := 0
		f.fleet.respond = func(vm string, r *peer.RunRequest) (*peer.RunResponse, error) {
			if !r.Write {
				return nil, nil
			}
			if asked++; asked > 2 {
				return nil, nil
			}
			return refuse(refusal.NotReady, "p")(vm, r)
		}
		expectServed(do(f.open("strict"), statement.Write{}, "WRITE a b"), statement.Idle)
		Expect(asked).To(Equal(3))
	})

	It("are refused at once at a cold primary whose budget is spent", func() {
		// Guards against writes that are held until their time limit.
		f.fleet.respond = refuse(refusal.Overloaded, "p")
		expectRefused(do(f.open("strict"), statement.Write{}, "WRITE a b"), refusal.NotRun, refusal.Overloaded, statement.Idle)
		Expect(f.fleet.steps()).To(HaveLen(1))
	})
})
