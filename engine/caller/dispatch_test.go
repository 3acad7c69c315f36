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

// refuseAt returns a fake response that refuses all runs at the given endpoints, except
// the requests for position samples.
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

	It("of a strict route run at the primary, which proves that it is the primary", func() {
		// Guards against a stale read at a replica or at a replaced primary.
		f.acceptSample(90)
		expectServed(do(f.open("strict"), statement.Read{}, "READ a"), statement.Idle)
		run := f.fleet.lastRun()
		Expect(run.Endpoint).To(Equal("p"))
		Expect(run.Fenced).To(BeTrue())
	})

	It("of a bounded route run at a replica that has reached a recent position", func() {
		// Guards against a read of data that is older than the route allows, and against
		// needless reads at the primary.
		f.acceptSample(90)
		expectServed(do(f.open("bounded"), statement.Read{}, "READ a"), statement.Idle)
		run := f.fleet.lastRun()
		Expect(run.Endpoint).To(HavePrefix("r"))
		Expect(run.After).To(Equal(logpos.Position{
			Term:  3,
			Index: 90,
		}))
		Expect(run.Fenced).To(BeFalse())
	})

	It("avoid a replica whose home reports a much longer service time", func() {
		// Guards against a report that the VM of the caller does not use.
		f.acceptSample(90)
		f.fleet.respond = func(_ string, r *peer.RunRequest) (*peer.RunResponse, error) {
			result := successResult(r)
			result.Report.ServiceTime = 20 * time.Millisecond
			if r.Endpoint == "r1" {
				result.Report.ServiceTime = 200 * time.Millisecond
			}
			return result, nil
		}
		f.view.RecordCapacity(f.view.Endpoints().ByID["r2"], 0, peer.EndpointReport{ServiceTime: 20 * time.Millisecond})
		s := f.open("bounded")
		atSlow := 0
		for range 20 {
			expectServed(do(s, statement.Read{}, "READ a"), statement.Idle)
			if f.fleet.lastRun().Endpoint == "r1" {
				atSlow++
			}
		}
		Expect(atSlow).To(BeNumerically("<", 10))
	})

	It("without a recent position run at the primary", func() {
		// Guards against a stale read at a replica when the position that it must have
		// reached is not known.
		expectServed(do(f.open("bounded"), statement.Read{}, "READ a"), statement.Idle)
		run := f.fleet.lastRun()
		Expect(run.Endpoint).To(Equal("p"))
		Expect(run.Fenced).To(BeTrue())
	})

	It("see the session's own writes", func() {
		s := f.open("own")
		f.acceptSample(90)
		expectServed(do(s, statement.Write{}, "WRITE a b"), statement.Idle)
		expectServed(do(s, statement.Read{}, "READ a"), statement.Idle)
		Expect(f.fleet.lastRun().After).To(Equal(logpos.Position{
			Term:  3,
			Index: 100,
		}))
	})

	It("see the commits of the session's transactions", func() {
		s := f.open("own")
		f.acceptSample(90)
		do(s, statement.Begin{}, "BEGIN")
		do(s, statement.Write{}, "WRITE a b")
		do(s, statement.Commit{}, "COMMIT")
		expectServed(do(s, statement.Read{}, "READ a"), statement.Idle)
		Expect(f.fleet.lastRun().After).To(Equal(logpos.Position{
			Term:  3,
			Index: 100,
		}))
	})

	It("go to another replica when one is behind, and finally to the primary", func() {
		// Guards against a read that fails because replicas are behind.
		f.acceptSample(90)
		f.fleet.respond = refuseAt(refusal.NewNotRun(refusal.ReplicaBehind, "behind"), "r1", "r2")
		expectServed(do(f.open("bounded"), statement.Read{}, "READ a"), statement.Idle)
		Expect(f.fleet.steps()).To(HaveLen(3))
		Expect(f.fleet.lastRun().Endpoint).To(Equal("p"))
	})

	It("are retried elsewhere when the connection to a home is lost", func() {
		f.acceptSample(90)
		lost := false
		f.fleet.respond = func(string, *peer.RunRequest) (*peer.RunResponse, error) {
			if !lost {
				lost = true
				return nil, peer.ErrConnectionLost
			}
			return nil, nil
		}
		expectServed(do(f.open("bounded"), statement.Read{}, "READ a"), statement.Idle)
	})

	It("in a read-only transaction run at a replica from the start", func() {
		// Guards against read-only transactions that load the primary without need.
		f.acceptSample(90)
		s := f.open("own")
		do(s, statement.Begin{ReadOnly: true}, "BEGIN READ")
		expectServed(do(s, statement.Read{}, "READ a"), statement.InTransaction)
		run := f.fleet.lastRun()
		Expect(run.Endpoint).To(HavePrefix("r"))
		Expect(run.ReadOnly).To(BeTrue())
		Expect(run.After.IsZero()).To(BeFalse())
	})

	It("in a read-only transaction of a strict route run at the primary, which proves that it is the primary", func() {
		// Guards against a stale read in a read-only transaction.
		f.acceptSample(90)
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

	It("are never retried when the connection to the home was lost", func() {
		// Guards against a write that takes effect twice.
		f.view.AcceptVMs(&catalog.VMSnapshot{
			Revision: 2,
			ByName:   map[string]catalog.VM{"other": {Name: "other", DataCentre: "a1", Region: "a"}},
		}, "test")
		f.fleet.respond = func(string, *peer.RunRequest) (*peer.RunResponse, error) { return nil, peer.ErrConnectionLost }
		expectRefused(do(f.open("own"), statement.Write{}, "WRITE a b"), refusal.Unknown, refusal.OutcomeNotKnown, statement.Idle)
		Expect(f.fleet.steps()).To(HaveLen(1))
	})

	It("go to the next home when one is unreachable", func() {
		// Guards against writes that fail although another home is reachable.
		f.view.AcceptVMs(&catalog.VMSnapshot{
			Revision: 2,
			ByName:   map[string]catalog.VM{"other": {Name: "other", DataCentre: "a1", Region: "a"}},
		}, "test")
		f.fleet.respond = func(vm string, _ *peer.RunRequest) (*peer.RunResponse, error) {
			if vm == "other" {
				return nil, peer.ErrUnreachable
			}
			return nil, nil
		}
		expectServed(do(f.open("own"), statement.Write{}, "WRITE a b"), statement.Idle)
	})

	It("wait for the new primary during a failover", func() {
		// Guards against writes that fail although the failover ends before their
		// timeout.
		f.fleet.respond = refuseAt(refusal.NewNotRun(refusal.NotPrimary, "not primary"), "p")
		responses := make(chan statement.Response, 1)
		s := f.open("own")
		go func() { responses <- do(s, statement.Write{}, "WRITE a b") }()
		Consistently(responses).WithTimeout(60 * time.Millisecond).ShouldNot(Receive())
		f.view.RecordPromotion("db", "r1", true)
		var response statement.Response
		Eventually(responses).Should(Receive(&response))
		expectServed(response, statement.Idle)
		Expect(f.fleet.lastRun().Endpoint).To(Equal("r1"))
	})

	It("do not try the old primary while a promotion is in progress", func() {
		// Guards against writes at a primary that is being replaced.
		f.view.RecordPromotion("db", "r1", false)
		expectRefused(do(f.open("own"), statement.Write{}, "WRITE a b"), refusal.NotRun, refusal.NoPrimary, statement.Idle)
		Expect(f.fleet.steps()).To(BeEmpty())
	})

	It("are refused as not run before their timeout when there is no primary", func() {
		// Guards against a timeout after which the caller does not know whether the write
		// has run.
		f.view.AcceptEndpoints(endpoints(2, ""), "test")
		started := time.Now()
		expectRefused(do(f.open("own"), statement.Write{}, "WRITE a b"), refusal.NotRun, refusal.NoPrimary, statement.Idle)
		Expect(time.Since(started)).To(BeNumerically("<", 300*time.Millisecond))
	})

	It("are refused immediately when the primary is overloaded", func() {
		// Guards against retries that add load to an overloaded primary.
		f.fleet.respond = refuseAt(refusal.NewNotRun(refusal.Overloaded, "full"), "p")
		expectRefused(do(f.open("own"), statement.Write{}, "WRITE a b"), refusal.NotRun, refusal.Overloaded, statement.Idle)
		Expect(f.fleet.steps()).To(HaveLen(1))
	})

	// Guards against operations that use up the workspace's rate limit although they
	// were refused before they ran.
	It("get their rate limit token refunded only when they did not run", func() {
		f.fleet.respond = refuseAt(refusal.NewNotRun(refusal.Overloaded, "full"), "p")
		do(f.open("own"), statement.Write{}, "WRITE a b")
		Expect(f.fleet.refunds).To(Equal(1))
		f.fleet.respond = refuseAt(refusal.NewUnknown(refusal.OutcomeNotKnown, "lost"), "p")
		do(f.open("own"), statement.Write{}, "WRITE a b")
		f.fleet.respond = nil
		do(f.open("own"), statement.Write{}, "WRITE a b")
		Expect(f.fleet.refunds).To(Equal(1))
	})
})

var _ = Describe("position samples", func() {
	It("are requested before the newest is too old", func() {
		// Guards against reads that go to the primary because no sample is recent enough.
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

var _ = Describe("a primary that drains for too long", func() {
	It("gets no new statements, but those of its open transactions", func() {
		// Guards against a draining primary that stays in use beyond its limit while no leader
		// replaces it.
		f := newFixture().start()
		s := f.open("strict")
		do(s, statement.Begin{}, "BEGIN")
		expectServed(do(s, statement.Write{}, "WRITE a b"), statement.InTransaction)
		draining := endpoints(2, "p")
		p := draining.ByID["p"]
		p.Draining = true
		draining.ByID["p"] = p
		f.view.AcceptEndpoints(draining, "test")
		expectServed(do(f.open("strict"), statement.Read{}, "READ a"), statement.Idle)
		time.Sleep(drainLimit)
		expectRefused(do(f.open("strict"), statement.Read{}, "READ b"), refusal.NotRun, refusal.NoPrimary, statement.Idle)
		expectServed(do(s, statement.Commit{}, "COMMIT"), statement.Idle)
		Expect(f.fleet.steps()).To(Equal([]string{"p WRITE a b", "p READ a", "p COMMIT"}))
	})
})
