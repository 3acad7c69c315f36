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

	It("is kept by the VM and needs no endpoint", func() {
		// Guards against commands to an endpoint for statements that only change the
		// session.
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

	It("is sent along with the statements that need it", func() {
		// Guards against statements that run without the values or the prepared statement
		// of their session.
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

	DescribeTable("refuses statements that are not valid in it",
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

	It("allows a failed transaction only to end", func() {
		s := f.open("own")
		do(s, statement.Begin{}, "")
		do(s, statement.Malformed{Problem: "x"}, "")
		expectRefused(do(s, statement.Read{}, "READ a"), refusal.NotRun, refusal.InvalidRequest, statement.InFailedTransaction)
		expectRefused(do(s, statement.Commit{}, "COMMIT"), refusal.NotRun, refusal.TransactionConflict, statement.Idle)
		Expect(f.fleet.steps()).To(BeEmpty())
	})
})

var _ = Describe("access", func() {
	var f *fixture

	BeforeEach(func() { f = newFixture().start() })

	It("is checked when a session is opened", func() {
		_, refused := f.sessions.Open(context.Background(), "nowhere", "key")
		Expect(refused.Reason).To(Equal(refusal.NotAllowed))
		_, refused = f.sessions.Open(context.Background(), "own", "stolen")
		Expect(refused.Reason).To(Equal(refusal.KeyUnknown))
	})

	// A key may be revoked while its callers are connected.
	It("is checked again for each operation", func() {
		s := f.open("own")
		f.view.AcceptConfiguration(configuration(2, nil), "test")
		expectRefused(do(s, statement.Read{}, "READ a"), refusal.NotRun, refusal.KeyUnknown, statement.Idle)
		expectRefused(do(s, statement.Begin{}, "BEGIN"), refusal.NotRun, refusal.KeyUnknown, statement.Idle)
		Expect(f.fleet.steps()).To(BeEmpty())
	})

	It("is refused above the workspace's rate limit", func() {
		// Guards against a workspace that exceeds its rate limit, also inside of a
		// transaction.
		f.fleet.admitRefusal = &refusal.Error{
			Outcome:    refusal.NotRun,
			Reason:     refusal.RateExceeded,
			RetryAfter: time.Second,
		}
		s := f.open("own")
		expectRefused(do(s, statement.Read{}, "READ a"), refusal.NotRun, refusal.RateExceeded, statement.Idle)
		expectServed(do(s, statement.Begin{}, "BEGIN"), statement.InTransaction)
		expectRefused(do(s, statement.Read{}, "READ a"), refusal.NotRun, refusal.RateExceeded, statement.InFailedTransaction)
	})

	It("waits for the first configuration on a VM that has just started", func() {
		// Guards against refusing valid keys before the VM has its configuration.
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

	It("is refused if no configuration arrives before callers give up", func() {
		// Guards against callers that get no response before they give up.
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

	It("is opened at an endpoint when its first statement runs, and stays there", func() {
		// Guards against a transaction whose statements run at different endpoints.
		s := f.open("own")
		do(s, statement.Begin{}, "BEGIN")
		expectServed(do(s, statement.Read{}, "READ a"), statement.InTransaction)
		expectServed(do(s, statement.Write{}, "WRITE a b"), statement.InTransaction)
		expectServed(do(s, statement.Commit{}, "COMMIT"), statement.Idle)
		Expect(f.fleet.steps()).To(Equal([]string{"p READ a", "p WRITE a b", "p COMMIT"}))
	})

	It("without statements is still opened and committed at an endpoint", func() {
		// Guards against a commit that succeeds without the signature of an endpoint.
		s := f.open("own")
		do(s, statement.Begin{}, "BEGIN")
		response := do(s, statement.Commit{}, "COMMIT")
		expectServed(response, statement.Idle)
		Expect(response.Signature).NotTo(BeEmpty())
		Expect(f.fleet.steps()).To(Equal([]string{"p ", "p COMMIT"}))
	})

	It("is rolled back when its caller disconnects", func() {
		// Guards against a transaction that stays open without a caller.
		s := f.open("own")
		do(s, statement.Begin{}, "BEGIN")
		do(s, statement.Write{}, "WRITE a b")
		s.Close()
		Eventually(func() peer.Step { return f.fleet.lastRun().Step }).Should(Equal(peer.StepRollback))
	})

	DescribeTable("whose home is lost is refused with the outcome that is certain",
		// Guards against a wrong outcome, and against a first statement that runs twice.
		func(lostAt peer.Step, outcome refusal.Outcome, reason refusal.Reason, state statement.State) {
			f.view.AcceptVMs(&catalog.VMSnapshot{
				Revision: 2,
				ByName: map[string]catalog.VM{"other": {
					Name:       "other",
					DataCentre: "a1",
					Region:     "a",
				}},
			}, "test")
			f.fleet.respond = func(_ string, r *peer.RunRequest) (*peer.RunResponse, error) {
				if r.Step == lostAt {
					return nil, peer.ErrConnectionLost
				}
				return nil, nil
			}
			s := f.open("own")
			do(s, statement.Begin{}, "BEGIN")
			response := do(s, statement.Write{}, "WRITE a b")
			if response.Refused == nil {
				response = do(s, statement.Write{}, "WRITE c d")
			}
			if response.Refused == nil {
				response = do(s, statement.Commit{}, "COMMIT")
			}
			expectRefused(response, outcome, reason, state)
			Expect(f.fleet.steps()).NotTo(ContainElements("p WRITE a b", "p WRITE a b"))
		},
		Entry("at the first statement", peer.StepFirst, refusal.NotRun, refusal.TransactionConflict, statement.InFailedTransaction),
		Entry("at a further one", peer.StepNext, refusal.NotRun, refusal.TransactionConflict, statement.InFailedTransaction),
		Entry("at the commit", peer.StepCommit, refusal.Unknown, refusal.OutcomeNotKnown, statement.Idle),
	)

	It("whose commit could not be sent is refused as not run", func() {
		// Guards against an unknown outcome of a commit that cannot have run.
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
		f.fleet.respond = func(string, *peer.RunRequest) (*peer.RunResponse, error) { return nil, peer.ErrUnreachable }
		expectRefused(do(s, statement.Commit{}, "COMMIT"), refusal.NotRun, refusal.TransactionConflict, statement.Idle)
	})

	It("without statements still takes a rate limit token", func() {
		// Guards against empty transactions that bypass the rate limit.
		s := f.open("own")
		do(s, statement.Begin{}, "BEGIN")
		f.fleet.admitRefusal = refusal.NewNotRun(refusal.RateExceeded, "limited")
		expectRefused(do(s, statement.Commit{}, "COMMIT"), refusal.NotRun, refusal.RateExceeded, statement.Idle)
		Expect(f.fleet.steps()).To(BeEmpty())
	})

	It("keeps its route when the configuration changes", func() {
		// Guards against the commit of an open transaction failing because its route has
		// changed.
		s := f.open("own")
		do(s, statement.Begin{}, "BEGIN")
		do(s, statement.Write{}, "WRITE a b")
		changed := configuration(2, map[string]string{"key": "ws"})
		delete(changed.Routes, "own")
		f.view.AcceptConfiguration(changed, "test")
		expectServed(do(s, statement.Read{}, "READ a"), statement.InTransaction)
		expectServed(do(s, statement.Commit{}, "COMMIT"), statement.Idle)
		expectRefused(do(s, statement.Begin{}, "BEGIN"), refusal.NotRun, refusal.NotAllowed, statement.Idle)
	})

	DescribeTable("ends when its key is withdrawn or given to another workspace",
		// Guards against a withdrawn key that works on in a transaction that was begun before.
		func(opened bool, keys map[string]string, st statement.Statement, state statement.State) {
			s := f.open("own")
			do(s, statement.Begin{}, "BEGIN")
			if opened {
				expectServed(do(s, statement.Write{}, "WRITE a b"), statement.InTransaction)
			}
			steps := f.fleet.steps()
			f.view.AcceptConfiguration(configuration(2, keys), "test")
			response := do(s, st, "TEXT")
			Expect(response.Refused).To(HaveField("Outcome", refusal.NotRun))
			Expect(response.Refused.Reason).To(BeElementOf(refusal.KeyUnknown, refusal.KeyRevoked))
			Expect(response.State).To(Equal(state))
			if opened {
				Eventually(func() peer.Step { return f.fleet.lastRun().Step }).Should(Equal(peer.StepRollback))
				steps = append(steps, "p ")
			}
			Expect(f.fleet.steps()).To(Equal(steps))
		},
		Entry("before its first statement", false, nil, statement.Write{}, statement.InFailedTransaction),
		Entry("before a commit without statements", false, nil, statement.Commit{}, statement.Idle),
		Entry("before a further statement", true, nil, statement.Read{}, statement.InFailedTransaction),
		Entry("before its commit", true, nil, statement.Commit{}, statement.Idle),
		Entry("before its commit, by another workspace", true, map[string]string{"key": "other"}, statement.Commit{}, statement.Idle),
	)

	It("runs for the workspace that has its key at the first statement", func() {
		// Guards against a first statement that runs for the former workspace of the key.
		s := f.open("own")
		do(s, statement.Begin{}, "BEGIN")
		f.view.AcceptConfiguration(configuration(2, map[string]string{"key": "other"}), "test")
		expectServed(do(s, statement.Write{}, "WRITE a b"), statement.InTransaction)
		Expect(f.fleet.lastRun().Workspace).To(Equal("other"))
	})
})

var _ = Describe("a session after the end of work", func() {
	var f *fixture

	BeforeEach(func() { f = newFixture().start() })

	It("refuses what needs an endpoint", func() {
		// Guards against work that starts shortly before the process ends.
		s := f.open("strict")
		f.sessions.StopWork()
		expectRefused(do(s, statement.Write{}, "WRITE a b"), refusal.NotRun, refusal.NotReady, statement.Idle)
		expectRefused(do(s, statement.Begin{}, "BEGIN"), refusal.NotRun, refusal.NotReady, statement.Idle)
		_, refused := f.sessions.Open(context.Background(), "strict", "key")
		Expect(refused).To(HaveField("Reason", refusal.NotReady))
		Expect(f.fleet.steps()).To(BeEmpty())
	})

	DescribeTable("has no transaction any more",
		// Guards against a transaction that goes on when its commit cannot be answered any
		// more, and against a wrong state of its session.
		func(st statement.Statement, state statement.State, served bool) {
			s := f.open("strict")
			do(s, statement.Begin{}, "BEGIN")
			expectServed(do(s, statement.Write{}, "WRITE a b"), statement.InTransaction)
			f.sessions.StopWork()
			s.EndTransactionIfStopped()
			Eventually(func() peer.Step { return f.fleet.lastRun().Step }).Should(Equal(peer.StepRollback))
			if response := do(s, st, ""); served {
				expectServed(response, state)
			} else {
				expectRefused(response, refusal.NotRun, refusal.TransactionConflict, state)
			}
			Expect(f.fleet.steps()).To(Equal([]string{"p WRITE a b", "p "}))
		},
		Entry("for a commit", statement.Commit{}, statement.Idle, false),
		Entry("for a statement", statement.Read{}, statement.InFailedTransaction, false),
		Entry("for a rollback", statement.Rollback{}, statement.Idle, true),
	)
})
