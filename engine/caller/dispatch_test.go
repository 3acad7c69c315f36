package caller_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/statement"
)

// refuseAt answers with a refusal at some endpoints.
func refuseAt(e *refusal.Error, ids ...string) func(string, *peer.RunRequest) (*peer.RunResponse, error) {
	return func(_ string, r *peer.RunRequest) (*peer.RunResponse, error) {
		for _, id := range ids {
			if r.Endpoint == id && r.Step != peer.StepPosition {
				copied := *e
				return &peer.RunResponse{Refused: &copied}, nil
			}
		}
		return nil, nil
	}
}

var _ = Describe("reads", func() {
	var f *fixture

	BeforeEach(func() { f = newFixture().start() })

	It("of a strict route run at the primary, which proves that it leads", func() {
		f.sampled(90)
		expectServed(do(f.open("strict"), statement.Read{}, "READ a"), statement.Idle)
		run := f.fleet.lastRun()
		Expect(run.Endpoint).To(Equal("p"))
		Expect(run.Fenced).To(BeTrue())
	})

	It("of a bounded route run at a replica that holds a recent position", func() {
		f.sampled(90)
		expectServed(do(f.open("bounded"), statement.Read{}, "READ a"), statement.Idle)
		run := f.fleet.lastRun()
		Expect(run.Endpoint).To(HavePrefix("r"))
		Expect(run.After).To(Equal(logpos.Position{
			Term:  3,
			Index: 90,
		}))
		Expect(run.Fenced).To(BeFalse())
	})

	It("without a recent position run at the primary", func() {
		expectServed(do(f.open("bounded"), statement.Read{}, "READ a"), statement.Idle)
		run := f.fleet.lastRun()
		Expect(run.Endpoint).To(Equal("p"))
		Expect(run.Fenced).To(BeTrue())
	})

	It("see the session's own writes", func() {
		s := f.open("own")
		f.sampled(90)
		expectServed(do(s, statement.Write{}, "WRITE a b"), statement.Idle)
		expectServed(do(s, statement.Read{}, "READ a"), statement.Idle)
		Expect(f.fleet.lastRun().After).To(Equal(logpos.Position{
			Term:  3,
			Index: 100,
		}))
	})

	It("see the commits of the session's transactions", func() {
		s := f.open("own")
		f.sampled(90)
		do(s, statement.Begin{}, "BEGIN")
		do(s, statement.Write{}, "WRITE a b")
		do(s, statement.Commit{}, "COMMIT")
		expectServed(do(s, statement.Read{}, "READ a"), statement.Idle)
		Expect(f.fleet.lastRun().After).To(Equal(logpos.Position{
			Term:  3,
			Index: 100,
		}))
	})

	It("go to another replica when one is behind, and at last to the primary", func() {
		f.sampled(90)
		f.fleet.answer = refuseAt(refusal.NewNotRun(refusal.ReplicaBehind, "behind"), "r1", "r2")
		expectServed(do(f.open("bounded"), statement.Read{}, "READ a"), statement.Idle)
		Expect(f.fleet.steps()).To(HaveLen(3))
		Expect(f.fleet.lastRun().Endpoint).To(Equal("p"))
	})

	It("are run again elsewhere when a home is lost", func() {
		f.sampled(90)
		lost := false
		f.fleet.answer = func(string, *peer.RunRequest) (*peer.RunResponse, error) {
			if !lost {
				lost = true
				return nil, peer.ErrConnectionLost
			}
			return nil, nil
		}
		expectServed(do(f.open("bounded"), statement.Read{}, "READ a"), statement.Idle)
	})

	It("in a read-only transaction run at a replica from the start", func() {
		f.sampled(90)
		s := f.open("own")
		do(s, statement.Begin{ReadOnly: true}, "BEGIN READ")
		expectServed(do(s, statement.Read{}, "READ a"), statement.InTransaction)
		run := f.fleet.lastRun()
		Expect(run.Endpoint).To(HavePrefix("r"))
		Expect(run.ReadOnly).To(BeTrue())
		Expect(run.After.IsZero()).To(BeFalse())
	})

	It("in a read-only transaction of a strict route run where the primary proves itself", func() {
		f.sampled(90)
		s := f.open("strict")
		do(s, statement.Begin{ReadOnly: true}, "BEGIN READ")
		expectServed(do(s, statement.Read{}, "READ a"), statement.InTransaction)
		run := f.fleet.lastRun()
		Expect(run.Endpoint).To(Equal("p"))
		Expect(run.ReadOnly).To(BeFalse())
	})
})

var _ = Describe("writes", func() {
	var f *fixture

	BeforeEach(func() { f = newFixture().start() })

	It("whose home was lost are never sent again", func() {
		f.view.AcceptVMs(&catalog.VMSnapshot{
			Revision: 2,
			ByName:   map[string]catalog.VM{"other": {Name: "other", DataCentre: "a1", Region: "a"}},
		}, "test")
		f.fleet.answer = func(string, *peer.RunRequest) (*peer.RunResponse, error) { return nil, peer.ErrConnectionLost }
		expectRefused(do(f.open("own"), statement.Write{}, "WRITE a b"), refusal.Unknown, refusal.OutcomeNotKnown, statement.Idle)
		Expect(f.fleet.steps()).To(HaveLen(1))
	})

	It("go to the next home when one was not reached", func() {
		f.view.AcceptVMs(&catalog.VMSnapshot{
			Revision: 2,
			ByName:   map[string]catalog.VM{"other": {Name: "other", DataCentre: "a1", Region: "a"}},
		}, "test")
		f.fleet.answer = func(vm string, _ *peer.RunRequest) (*peer.RunResponse, error) {
			if vm == "other" {
				return nil, peer.ErrUnreachable
			}
			return nil, nil
		}
		expectServed(do(f.open("own"), statement.Write{}, "WRITE a b"), statement.Idle)
	})

	It("wait for the successor of a primary that was replaced", func() {
		f.fleet.answer = refuseAt(refusal.NewNotRun(refusal.NotPrimary, "not primary"), "p")
		answered := make(chan statement.Response, 1)
		s := f.open("own")
		go func() { answered <- do(s, statement.Write{}, "WRITE a b") }()
		Consistently(answered).WithTimeout(60 * time.Millisecond).ShouldNot(Receive())
		f.view.RecordPromotion("db", "r1", true)
		var answer statement.Response
		Eventually(answered).Should(Receive(&answer))
		expectServed(answer, statement.Idle)
		Expect(f.fleet.lastRun().Endpoint).To(Equal("r1"))
	})

	It("do not try the old primary while a promotion is under way", func() {
		f.view.RecordPromotion("db", "r1", false)
		expectRefused(do(f.open("own"), statement.Write{}, "WRITE a b"), refusal.NotRun, refusal.NoPrimary, statement.Idle)
		Expect(f.fleet.steps()).To(BeEmpty())
	})

	It("are refused as not run before their time is over when no primary comes", func() {
		f.view.AcceptEndpoints(endpoints(2, ""), "test")
		started := time.Now()
		expectRefused(do(f.open("own"), statement.Write{}, "WRITE a b"), refusal.NotRun, refusal.NoPrimary, statement.Idle)
		Expect(time.Since(started)).To(BeNumerically("<", 300*time.Millisecond))
	})

	It("are refused at once when the primary is overloaded", func() {
		f.fleet.answer = refuseAt(refusal.NewNotRun(refusal.Overloaded, "full"), "p")
		expectRefused(do(f.open("own"), statement.Write{}, "WRITE a b"), refusal.NotRun, refusal.Overloaded, statement.Idle)
		Expect(f.fleet.steps()).To(HaveLen(1))
	})

	// The workspace paid with its limit for operations that were turned away.
	It("give their token back when they did not run, and only then", func() {
		f.fleet.answer = refuseAt(refusal.NewNotRun(refusal.Overloaded, "full"), "p")
		do(f.open("own"), statement.Write{}, "WRITE a b")
		Expect(f.fleet.refunds).To(Equal(1))
		f.fleet.answer = refuseAt(refusal.NewUnknown(refusal.OutcomeNotKnown, "lost"), "p")
		do(f.open("own"), statement.Write{}, "WRITE a b")
		f.fleet.answer = nil
		do(f.open("own"), statement.Write{}, "WRITE a b")
		Expect(f.fleet.refunds).To(Equal(1))
	})
})

var _ = Describe("samples", func() {
	It("are asked for before the newest is too old", func() {
		f := newFixture().start()
		f.view.AddSample("db", f.view.SinceBoot()-900*time.Millisecond, logpos.Position{
			Term:  3,
			Index: 5,
		})
		do(f.open("bounded"), statement.Read{}, "READ a")
		Eventually(func() time.Duration {
			age, _ := f.view.SampleAge("db")
			return age
		}).Should(BeNumerically("<", 500*time.Millisecond))
	})
})
