package caller

import (
	"context"
	"strings"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/proxy/peer"
)

const (
	reading = callerv1.Access_ACCESS_READ
	writing = callerv1.Access_ACCESS_WRITE
	notRun  = callerv1.Outcome_OUTCOME_NOT_RUN
	unknown = callerv1.Outcome_OUTCOME_UNKNOWN
)

var _ = Describe("Execute", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	DescribeTable("refuses invalid requests without forwarding them",
		// Guards against requests that reach a home without a valid key or without
		// access, and against secrets in errors and logs.
		func(key string, change func(*fixture, *callerv1.ExecuteRequest), code connect.Code, reason refusal.Reason, field string) {
			request := newExecute(writing)
			change(f, request)
			_, err := f.execute(key, request)
			expectRefusal(err, code, notRun, reason, field)
			Expect(f.verbs()).To(BeEmpty())
			Expect(err.Error()).NotTo(ContainSubstring("secret"))
			Expect(f.logged.String()).NotTo(ContainSubstring("secret"))
		},
		Entry("no key", "", noChange, connect.CodeUnauthenticated, refusal.KeyUnknown, "Authorization"),
		Entry("malformed key", "secret", noChange, connect.CodeUnauthenticated, refusal.KeyUnknown, "Authorization"),
		Entry("wrong secret", goodKey+"x", noChange, connect.CodeUnauthenticated, refusal.KeyUnknown, "Authorization"),
		Entry("unknown id with an empty secret", "ad_nobody_", noChange, connect.CodeUnauthenticated, refusal.KeyUnknown, "Authorization"),
		Entry("revoked key", revokedKey, noChange, connect.CodeUnauthenticated, refusal.KeyRevoked, "Authorization"),
		Entry("wrong secret of a revoked key", revokedKey+"x", noChange, connect.CodeUnauthenticated, refusal.KeyUnknown, "Authorization"),
		Entry("stale configuration", goodKey, func(f *fixture, _ *callerv1.ExecuteRequest) { f.stale = true }, connect.CodeUnavailable, refusal.ConfigurationStale, ""),
		Entry("other database", goodKey, func(_ *fixture, r *callerv1.ExecuteRequest) { r.Database = "closed" }, connect.CodePermissionDenied, refusal.NotAllowed, "database"),
		Entry("no access mode", goodKey, func(_ *fixture, r *callerv1.ExecuteRequest) { r.Access = 0 }, connect.CodeInvalidArgument, refusal.InvalidRequest, "access"),
		Entry("token of another workspace", goodKey, func(f *fixture, r *callerv1.ExecuteRequest) { r.SessionTokens = []string{f.token("other")} }, connect.CodeInvalidArgument, refusal.SessionTokenInvalid, "sessionTokens"),
		Entry("malformed token", goodKey, func(_ *fixture, r *callerv1.ExecuteRequest) { r.SessionTokens = []string{"x"} }, connect.CodeInvalidArgument, refusal.SessionTokenInvalid, "sessionTokens"),
		Entry("rate", goodKey, func(f *fixture, _ *callerv1.ExecuteRequest) {
			f.admitErr = refusal.NewNotRun(refusal.RateExceeded, "")
		}, connect.CodeResourceExhausted, refusal.RateExceeded, ""),
		Entry("too large", goodKey, func(_ *fixture, r *callerv1.ExecuteRequest) {
			r.Statement.Arguments = []string{strings.Repeat("x", DefaultMaxRequestBytes)}
		}, connect.CodeInvalidArgument, refusal.InvalidRequest, ""),
		Entry("write on a public route", "", func(_ *fixture, r *callerv1.ExecuteRequest) { r.Route = "open" }, connect.CodePermissionDenied, refusal.NotAllowed, "access"),
		Entry("other command on a public route", "", func(_ *fixture, r *callerv1.ExecuteRequest) {
			r.Route, r.Access, r.Statement.Command = "open", reading, "list"
		}, connect.CodePermissionDenied, refusal.NotAllowed, "statement.command"),
		Entry("transaction on a public route", "", func(_ *fixture, r *callerv1.ExecuteRequest) { r.Route, r.Transaction = "open", "x" }, connect.CodeInvalidArgument, refusal.InvalidRequest, "transaction"),
		Entry("wrong key on a public route", "ad_k1_x", func(_ *fixture, r *callerv1.ExecuteRequest) { r.Route = "open" }, connect.CodeInvalidArgument, refusal.InvalidRequest, "route"),
	)

	It("forwards the workspace without the key and returns a token with the position", func() {
		// Guards against sending the key to other VMs, and against a session token
		// without the position of the write.
		request := newExecute(writing)
		request.SessionTokens = []string{f.token("w")}
		response, err := f.execute(goodKey, request)
		Expect(err).NotTo(HaveOccurred())
		forward := f.forwarded[0]
		Expect(forward.GetWorkspace()).To(Equal("w"))
		Expect(forward.GetRequestId()).To(Equal(RecordedID("w", "id")))
		Expect(forward.String()).NotTo(ContainSubstring("secret"))
		token, err := f.signer.VerifyToken("w", response.GetSessionToken())
		Expect(err).NotTo(HaveOccurred())
		Expect(token.Entries[0].Position.Index).To(BeEquivalentTo(9))
		Expect(response.GetConfigurationVersion()).To(BeEquivalentTo(7))
	})

	It("does not accept a revoked key from an old snapshot when the configuration is updated in between", func() {
		// Guards against a VM that takes a snapshot while its configuration is stale,
		// receives the update that revokes the key, and checks the key in the old snapshot.
		f.stale = true
		f.afterCurrent = func() {
			f.revoke("k1")
			f.stale = false
		}
		_, err := f.execute(goodKey, newExecute(writing))
		Expect(err).To(HaveOccurred())
		Expect(f.executions()).To(BeZero())
	})

	It("serves a public route as its own subject", func() {
		// Guards against a public route that is refused because keys cannot be checked.
		f.stale = true
		request := newExecute(reading)
		request.Route = "open"
		_, err := f.execute("", request)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.forwarded[0].GetWorkspace()).To(BeEmpty())
		Expect(f.forwarded[0].GetRoute()).To(Equal("open"))
	})

	DescribeTable("retries a step only if it was not run or is a read",
		// Guards against a write that takes effect twice.
		func(access callerv1.Access, outcome refusal.Outcome, reason refusal.Reason, attempts int) {
			f.home = responding(refusedResult(outcome, reason), doneResult())
			_, err := f.execute(goodKey, newExecute(access))
			Expect(f.executions()).To(Equal(attempts))
			Expect(err == nil).To(Equal(attempts == 2))
		},
		Entry("not primary", writing, refusal.NotRun, refusal.NotPrimary, 2),
		Entry("unreachable", writing, refusal.NotRun, refusal.Unreachable, 2),
		Entry("home without a configuration", writing, refusal.NotRun, refusal.NotReady, 2),
		Entry("not home", writing, refusal.NotRun, refusal.NotHome, 2),
		Entry("leaving", writing, refusal.NotRun, refusal.EndpointLeaving, 2),
		Entry("stalled", writing, refusal.NotRun, refusal.ReplicationStalled, 2),
		Entry("statement failed", writing, refusal.NotRun, refusal.StatementFailed, 1),
		Entry("write that the old primary may have run", writing, refusal.Unknown, refusal.NotPrimary, 1),
		Entry("deadline of a write", writing, refusal.Unknown, refusal.DeadlineExceeded, 1),
		Entry("read with a lost connection", reading, refusal.Unknown, refusal.ConnectionLost, 2),
	)

	DescribeTable("without a budget, retries only if no home was reached",
		// Guards against writes that wait until a lost home is removed from the
		// membership, and against retries that add load to an endpoint in trouble.
		func(reason refusal.Reason, attempts int) {
			f.caller.config.RetryBudget = noBudget{}
			f.home = responding(refusedResult(refusal.NotRun, reason), refusedResult(refusal.NotRun, reason), doneResult())
			_, err := f.execute(goodKey, newExecute(writing))
			Expect(f.executions()).To(Equal(attempts))
			Expect(err == nil).To(Equal(attempts == 3))
		},
		Entry("home unreachable", refusal.Unreachable, 3),
		Entry("not home", refusal.NotHome, 3),
		Entry("no primary at the home", refusal.NoPrimary, 1),
		Entry("replication stalled", refusal.ReplicationStalled, 1),
	)

	DescribeTable("looks up the outcome of a write whose home was lost and does not send it again",
		// Guards against a write that takes effect twice, and against an unknown outcome
		// of a write that is in the log of the primary.
		func(found *peerv1.ForwardResult, expected func(err error)) {
			f.home = responding(refusedResult(refusal.Unknown, refusal.ConnectionLost), found)
			_, err := f.execute(goodKey, newExecute(writing))
			expected(err)
			Expect(f.executions()).To(Equal(1))
		},
		Entry("in the log of the primary", doneResult(), func(err error) { Expect(err).NotTo(HaveOccurred()) }),
		Entry("not in the log", refusedResult(refusal.Unknown, refusal.OutcomeNotKnown), func(err error) {
			expectRefusal(err, connect.CodeUnknown, unknown, refusal.ConnectionLost, "")
		}),
	)

	It("counts the reads that a replica served", func() {
		// Guards against metrics that count writes, or reads at the primary as reads at a
		// replica.
		f.home = responding(&peerv1.ForwardResult{Outcome: callerv1.Outcome_OUTCOME_DONE, FromReplica: true}, doneResult())
		for _, access := range []callerv1.Access{reading, reading, writing} {
			_, err := f.execute(goodKey, newExecute(access))
			Expect(err).NotTo(HaveOccurred())
		}
		for _, name := range []string{"caller.reads/primary", "caller.reads/replica"} {
			counter := metrics.GetOrRegisterCounter(name, f.caller.config.Metrics)
			Expect(counter.Count()).To(BeEquivalentTo(1), name)
		}
	})

	It("reads from the primary when a replica is behind", func() {
		// Guards against a read that fails because a replica is behind.
		f.home = responding(refusedResult(refusal.NotRun, refusal.ReplicaBehind), doneResult())
		request := newExecute(reading)
		request.SessionTokens = []string{f.token("w")}
		_, err := f.execute(goodKey, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.forwarded).To(HaveLen(2))
		Expect(f.forwarded[1].GetEndpoint()).To(Equal("p"))
	})

	It("waits for the end of a failover until the deadline", func() {
		// Guards against requests that fail although the failover ends before their
		// deadline.
		f.view.Primary = ""
		_, err := f.execute(goodKey, newExecute(writing))
		expectRefusal(err, connect.CodeUnavailable, notRun, refusal.NoPrimary, "")
		ended := make(chan error, 1)
		go func() {
			_, err := f.client.Execute(withKey(goodKey), newExecute(writing))
			ended <- err
		}()
		Eventually(f.clock.Subscribers).Should(BeNumerically(">=", 2))
		f.mu.Lock()
		f.view.Primary, f.view.Term = "p", 2
		f.mu.Unlock()
		Expect(f.await(func() error { return <-ended })).To(Succeed())
	})
})

func noChange(*fixture, *callerv1.ExecuteRequest) {}

var _ = Describe("Transactions", func() {
	var f *fixture
	var handle string
	BeforeEach(func() {
		f = newFixture()
		begun, err := f.client.Begin(withKey(goodKey), &callerv1.BeginRequest{Database: "d"})
		Expect(err).NotTo(HaveOccurred())
		handle = begun.GetTransaction()
	})

	step := func(key string) error {
		request := newExecute(writing)
		request.Transaction = handle
		_, err := f.execute(key, request)
		return err
	}
	rolledBack := []endpointv1.Verb{endpointv1.Verb_VERB_BEGIN, endpointv1.Verb_VERB_ROLLBACK}

	DescribeTable("of a revoked key are rolled back at the next step",
		// Guards against a revoked key that still works in an open transaction.
		func(key string) {
			f.revoke("k1")
			expectRefusal(step(key), connect.CodeUnauthenticated, notRun, refusal.KeyRevoked, "Authorization")
			Expect(f.verbs()).To(Equal(rolledBack))
		},
		Entry("with the revoked key", goodKey),
		Entry("with another key of the workspace", secondKey),
	)

	It("are not rolled back by a request with another revoked key", func() {
		// Guards against a revoked key that ends the transaction of another key.
		expectRefusal(step(revokedKey), connect.CodeUnauthenticated, notRun, refusal.KeyRevoked, "Authorization")
		Expect(f.verbs()).To(HaveLen(1))
	})

	It("of a revoked key are rolled back without a step", func() {
		// Guards against a transaction of a revoked key that stays open while its caller
		// sends nothing.
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go func() { _ = f.caller.Run(ctx) }()
		f.revoke("k1")
		Eventually(f.verbs).Should(Equal(rolledBack))
	})

	It("cannot be used by another workspace", func() {
		expectRefusal(step(otherKey), connect.CodeInvalidArgument, notRun, refusal.InvalidRequest, "transaction")
	})

	It("end when their home restarts, and the outcome of a commit is unknown", func() {
		// Guards against a commit that is reported as not run although the previous
		// process may have run it.
		f.mu.Lock()
		f.incarnation = 2
		f.mu.Unlock()
		expectRefusal(step(goodKey), connect.CodeNotFound, notRun, refusal.TransactionUnknown, "")
		_, err := f.client.Commit(withKey(goodKey), &callerv1.CommitRequest{Transaction: handle})
		expectRefusal(err, connect.CodeNotFound, unknown, refusal.TransactionUnknown, "")
		Expect(f.verbs()).To(HaveLen(1))
	})

	It("return a session token at the commit", func() {
		// Guards against a read after the commit that misses its writes.
		committed, err := f.client.Commit(withKey(goodKey), &callerv1.CommitRequest{Transaction: handle})
		Expect(err).NotTo(HaveOccurred())
		_, err = f.signer.VerifyToken("w", committed.GetSessionToken())
		Expect(err).NotTo(HaveOccurred())
	})
})

var _ = Describe("Query", func() {
	It("ends when its key is revoked", func() {
		f := newFixture()
		f.home = func(ctx context.Context, _ *peerv1.ForwardRequest, send peer.SendRows) *peerv1.ForwardResult {
			if err := send([]*callerv1.Row{{}}); err != nil {
				return peer.EncodeRefusal(err)
			}
			<-ctx.Done()
			return refusedResult(refusal.Unknown, refusal.ConnectionLost)
		}
		stream, err := f.client.Query(withKey(goodKey), &callerv1.QueryRequest{Request: newExecute(reading)})
		Expect(err).NotTo(HaveOccurred())
		Expect(stream.Receive()).To(BeTrue())
		f.revoke("k1")
		Expect(stream.Receive()).To(BeFalse())
		expectRefusal(stream.Err(), connect.CodeUnauthenticated, unknown, refusal.KeyRevoked, "Authorization")
	})

	It("is not retried after rows were sent", func() {
		// Guards against rows that are sent twice.
		f := newFixture()
		f.home = func(_ context.Context, _ *peerv1.ForwardRequest, send peer.SendRows) *peerv1.ForwardResult {
			_ = send([]*callerv1.Row{{}})
			return refusedResult(refusal.Unknown, refusal.ConnectionLost)
		}
		stream, err := f.client.Query(withKey(goodKey), &callerv1.QueryRequest{Request: newExecute(reading)})
		Expect(err).NotTo(HaveOccurred())
		err = f.await(func() error {
			for stream.Receive() {
			}
			return stream.Err()
		})
		expectRefusal(err, connect.CodeUnknown, unknown, refusal.ConnectionLost, "")
		Expect(f.verbs()).To(HaveLen(1))
	})
})

var _ = Describe("GetOutcome", func() {
	It("never reports a refused look-up as a write that was not run", func() {
		f := newFixture()
		f.home = responding(refusedResult(refusal.NotRun, refusal.QueueTimeout))
		_, err := f.client.GetOutcome(withKey(goodKey), &callerv1.GetOutcomeRequest{Database: "d", RequestId: "id"})
		expectRefusal(err, connect.CodeResourceExhausted, unknown, refusal.QueueTimeout, "")
		f.home = responding(refusedResult(refusal.Unknown, refusal.Internal))
		response, err := f.client.GetOutcome(withKey(goodKey), &callerv1.GetOutcomeRequest{Database: "d", RequestId: "id"})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.GetOutcome()).To(Equal(unknown))
		Expect(f.forwarded[1].GetLookUpOutcome()).To(BeTrue())
	})
})

var _ = It("Drain waits for the requests in flight", func() {
	// Guards against requests that are cut off when the VM stops.
	f := newFixture()
	release := make(chan struct{})
	arrived := make(chan struct{})
	f.home = func(context.Context, *peerv1.ForwardRequest, peer.SendRows) *peerv1.ForwardResult {
		close(arrived)
		<-release
		return doneResult()
	}
	ended := make(chan error, 1)
	go func() {
		_, err := f.client.Execute(withKey(goodKey), newExecute(writing))
		ended <- err
	}()
	<-arrived
	drained := make(chan error, 1)
	go func() { drained <- f.caller.Drain(context.Background()) }()
	Consistently(drained, 50*time.Millisecond).ShouldNot(Receive())
	close(release)
	Expect(<-ended).NotTo(HaveOccurred())
	Eventually(drained).Should(Receive(BeNil()))
})

// noBudget allows no retry.
type noBudget struct{}

func (noBudget) CountRequest(string) {}

func (noBudget) TakeRetry(string) bool { return false }
