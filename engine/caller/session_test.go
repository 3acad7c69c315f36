package caller_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/statement"
)

var _ = Describe("a session's state", func() {
	var f *fixture

	BeforeEach(func() { f = newFixture().start() })

	It("is kept by the VM, without an endpoint", func() {
		s := f.open("own")
		expectServed(do(s, statement.Set{
			Name:  "tz",
			Value: "utc",
		}, ""), statement.Idle)
		expectServed(do(s, statement.Prepare{Name: "s1"}, ""), statement.Idle)
		expectServed(do(s, statement.Deallocate{Name: "s1"}, ""), statement.Idle)
		expectServed(do(s, statement.Begin{}, "BEGIN"), statement.InTransaction)
		expectServed(do(s, statement.Rollback{}, "ROLLBACK"), statement.Idle)
		Expect(f.fleet.steps()).To(BeEmpty())
	})

	It("travels with the statements that need it", func() {
		s := f.open("strict")
		do(s, statement.Set{
			Name:  "tz",
			Value: "utc",
		}, "")
		do(s, statement.Prepare{
			Name: "s1",
			Prepared: statement.Prepared{
				Write: true,
				Shape: "q",
			},
		}, "")
		expectServed(do(s, statement.Execute{
			Name:      "s1",
			Arguments: "a b",
		}, "EXECUTE s1 a b"), statement.Idle)
		run := f.fleet.lastRun()
		Expect(run.Values).To(HaveKeyWithValue("tz", "utc"))
		Expect(run.Prepared.Shape).To(Equal("q"))
		Expect(run.Write).To(BeTrue())
	})

	DescribeTable("refuses what has no place in it",
		func(begin bool, st statement.Statement, state statement.State) {
			s := f.open("own")
			if begin {
				do(s, statement.Begin{}, "")
			}
			expectRefused(do(s, st, ""), refusal.NotRun, refusal.InvalidRequest, state)
		},
		Entry("commit without a transaction", false, statement.Commit{}, statement.Idle),
		Entry("rollback without a transaction", false, statement.Rollback{}, statement.Idle),
		Entry("begin in a transaction", true, statement.Begin{}, statement.InFailedTransaction),
		Entry("a name that is not prepared", false, statement.Execute{Name: "none"}, statement.Idle),
		Entry("a malformed statement", false, statement.Malformed{Problem: "x"}, statement.Idle),
		Entry("a malformed statement in a transaction", true, statement.Malformed{Problem: "x"}, statement.InFailedTransaction),
	)

	It("lets a failed transaction only end", func() {
		s := f.open("own")
		do(s, statement.Begin{}, "")
		do(s, statement.Malformed{Problem: "x"}, "")
		expectRefused(do(s, statement.Read{}, "READ a"), refusal.NotRun, refusal.InvalidRequest, statement.InFailedTransaction)
		expectRefused(do(s, statement.Commit{}, "COMMIT"), refusal.NotRun, refusal.TransactionConflict, statement.Idle)
		Expect(f.fleet.steps()).To(BeEmpty())
	})
})

var _ = Describe("who may do what", func() {
	var f *fixture

	BeforeEach(func() { f = newFixture().start() })

	It("is decided at the start of a session", func() {
		_, refused := f.sessions.Open(context.Background(), "nowhere", "key")
		Expect(refused.Reason).To(Equal(refusal.NotAllowed))
		_, refused = f.sessions.Open(context.Background(), "own", "stolen")
		Expect(refused.Reason).To(Equal(refusal.KeyUnknown))
	})

	// Keys are withdrawn from callers that are connected.
	It("is decided again for each operation", func() {
		s := f.open("own")
		f.view.AcceptConfiguration(configuration(2, nil), "test")
		expectRefused(do(s, statement.Read{}, "READ a"), refusal.NotRun, refusal.KeyUnknown, statement.Idle)
		expectRefused(do(s, statement.Begin{}, "BEGIN"), refusal.NotRun, refusal.KeyUnknown, statement.Idle)
		Expect(f.fleet.steps()).To(BeEmpty())
	})

	It("is limited, and refused with the time of the next try", func() {
		f.fleet.limited = &refusal.Error{
			Outcome:    refusal.NotRun,
			Reason:     refusal.RateExceeded,
			RetryAfter: time.Second,
		}
		s := f.open("own")
		expectRefused(do(s, statement.Read{}, "READ a"), refusal.NotRun, refusal.RateExceeded, statement.Idle)
		expectServed(do(s, statement.Begin{}, "BEGIN"), statement.InTransaction)
		expectRefused(do(s, statement.Read{}, "READ a"), refusal.NotRun, refusal.RateExceeded, statement.InFailedTransaction)
	})

	It("waits on a VM that has just started for its first configuration", func() {
		f = newFixture()
		opened := make(chan *refusal.Error, 1)
		go func() {
			_, refused := f.sessions.Open(context.Background(), "own", "key")
			opened <- refused
		}()
		Consistently(opened).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
		f.start()
		Eventually(opened).Should(Receive(BeNil()))
	})

	It("is refused when no configuration comes before callers give up", func() {
		f = newFixture()
		started := time.Now()
		_, refused := f.sessions.Open(context.Background(), "own", "key")
		Expect(refused.Reason).To(Equal(refusal.NotReady))
		Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
	})
})

var _ = Describe("a transaction", func() {
	var f *fixture

	BeforeEach(func() { f = newFixture().start() })

	It("is opened at an endpoint with its first statement and stays there", func() {
		s := f.open("own")
		do(s, statement.Begin{}, "BEGIN")
		expectServed(do(s, statement.Read{}, "READ a"), statement.InTransaction)
		expectServed(do(s, statement.Write{}, "WRITE a b"), statement.InTransaction)
		expectServed(do(s, statement.Commit{}, "COMMIT"), statement.Idle)
		Expect(f.fleet.steps()).To(Equal([]string{"p READ a", "p WRITE a b", "p COMMIT"}))
	})

	It("without statements carries its commit to an endpoint", func() {
		s := f.open("own")
		do(s, statement.Begin{}, "BEGIN")
		answer := do(s, statement.Commit{}, "COMMIT")
		expectServed(answer, statement.Idle)
		Expect(answer.Signature).NotTo(BeEmpty())
		Expect(f.fleet.steps()).To(Equal([]string{"p ", "p COMMIT"}))
	})

	It("is rolled back when its caller leaves", func() {
		s := f.open("own")
		do(s, statement.Begin{}, "BEGIN")
		do(s, statement.Write{}, "WRITE a b")
		s.Close()
		Eventually(func() peer.Step { return f.fleet.lastRun().Step }).Should(Equal(peer.StepRollback))
	})

	DescribeTable("whose home is lost promises only what is certain",
		func(lostAt peer.Step, outcome refusal.Outcome, reason refusal.Reason, state statement.State) {
			f.view.AcceptVMs(&catalog.VMSnapshot{
				Revision: 2,
				ByName: map[string]catalog.VM{"other": {
					Name:       "other",
					DataCentre: "a1",
					Region:     "a",
				}},
			}, "test")
			f.fleet.answer = func(_ string, r *peer.RunRequest) (*peer.RunResponse, error) {
				if r.Step == lostAt {
					return nil, peer.ErrConnectionLost
				}
				return nil, nil
			}
			s := f.open("own")
			do(s, statement.Begin{}, "BEGIN")
			answer := do(s, statement.Write{}, "WRITE a b")
			if answer.Refused == nil {
				answer = do(s, statement.Write{}, "WRITE c d")
			}
			if answer.Refused == nil {
				answer = do(s, statement.Commit{}, "COMMIT")
			}
			expectRefused(answer, outcome, reason, state)
			Expect(f.fleet.steps()).NotTo(ContainElements("p WRITE a b", "p WRITE a b"))
		},
		Entry("at the first statement", peer.StepFirst, refusal.NotRun, refusal.TransactionConflict, statement.InFailedTransaction),
		Entry("at a further one", peer.StepNext, refusal.NotRun, refusal.TransactionConflict, statement.InFailedTransaction),
		Entry("at the commit", peer.StepCommit, refusal.Unknown, refusal.OutcomeNotKnown, statement.Idle),
	)

	It("whose commit was not sent has certainly not run", func() {
		f.view.AcceptVMs(&catalog.VMSnapshot{
			Revision: 2,
			ByName: map[string]catalog.VM{"other": {
				Name:       "other",
				DataCentre: "a1",
				Region:     "a",
			}},
		}, "test")
		s := f.open("own")
		do(s, statement.Begin{}, "BEGIN")
		do(s, statement.Write{}, "WRITE a b")
		f.fleet.answer = func(string, *peer.RunRequest) (*peer.RunResponse, error) { return nil, peer.ErrUnreachable }
		expectRefused(do(s, statement.Commit{}, "COMMIT"), refusal.NotRun, refusal.TransactionConflict, statement.Idle)
	})

	It("without statements takes a token all the same", func() {
		s := f.open("own")
		do(s, statement.Begin{}, "BEGIN")
		f.fleet.limited = refusal.NewNotRun(refusal.RateExceeded, "limited")
		expectRefused(do(s, statement.Commit{}, "COMMIT"), refusal.NotRun, refusal.RateExceeded, statement.Idle)
		Expect(f.fleet.steps()).To(BeEmpty())
	})

	It("keeps its route when the configuration changes", func() {
		s := f.open("own")
		do(s, statement.Begin{}, "BEGIN")
		do(s, statement.Write{}, "WRITE a b")
		f.view.AcceptConfiguration(configuration(2, nil), "test")
		expectServed(do(s, statement.Commit{}, "COMMIT"), statement.Idle)
	})
})
