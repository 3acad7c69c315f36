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

	DescribeTable("refuses before anything is forwarded",
		func(key string, change func(*fixture, *callerv1.ExecuteRequest), code connect.Code, reason refusal.Reason, field string) {
			request := newExecute(writing)
			change(f, request)
			_, err := f.execute(key, request)
			expectRefusal(err, code, notRun, reason, field)
			Expect(f.verbs()).To(BeEmpty())
			Expect(err.Error()).NotTo(ContainSubstring("secret"))
			Expect(f.logged.String()).NotTo(ContainSubstring("secret"))
		},
		Entry("no key", "", none, connect.CodeUnauthenticated, refusal.KeyUnknown, "Authorization"),
		Entry("malformed key", "secret", none, connect.CodeUnauthenticated, refusal.KeyUnknown, "Authorization"),
		Entry("wrong secret", goodKey+"x", none, connect.CodeUnauthenticated, refusal.KeyUnknown, "Authorization"),
		Entry("unknown id without a hash", "ad_nobody_", none, connect.CodeUnauthenticated, refusal.KeyUnknown, "Authorization"),
		Entry("revoked key", revokedKey, none, connect.CodeUnauthenticated, refusal.KeyRevoked, "Authorization"),
		Entry("wrong secret of a revoked key", revokedKey+"x", none, connect.CodeUnauthenticated, refusal.KeyUnknown, "Authorization"),
		Entry("stale configuration", goodKey, func(f *fixture, _ *callerv1.ExecuteRequest) { f.stale = true }, connect.CodeUnavailable, refusal.ConfigurationStale, ""),
		Entry("other database", goodKey, func(_ *fixture, r *callerv1.ExecuteRequest) { r.Database = "closed" }, connect.CodePermissionDenied, refusal.NotAllowed, "database"),
		Entry("no access mode", goodKey, func(_ *fixture, r *callerv1.ExecuteRequest) { r.Access = 0 }, connect.CodeInvalidArgument, refusal.InvalidRequest, "access"),
		Entry("token of another workspace", goodKey, func(f *fixture, r *callerv1.ExecuteRequest) { r.SessionTokens = []string{f.token("other")} }, connect.CodeInvalidArgument, refusal.SessionTokenInvalid, "sessionTokens"),
		Entry("token that is no token", goodKey, func(_ *fixture, r *callerv1.ExecuteRequest) { r.SessionTokens = []string{"x"} }, connect.CodeInvalidArgument, refusal.SessionTokenInvalid, "sessionTokens"),
		Entry("rate", goodKey, func(f *fixture, _ *callerv1.ExecuteRequest) {
			f.admit = refusal.NewNotRun(refusal.RateExceeded, "")
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

	It("forwards the workspace without the key and returns a covering token", func() {
		request := newExecute(writing)
		request.SessionTokens = []string{f.token("w")}
		response, err := f.execute(goodKey, request)
		Expect(err).NotTo(HaveOccurred())
		forward := f.forwarded[0]
		Expect(forward.GetWorkspace()).To(Equal("w"))
		Expect(forward.GetRequestId()).To(Equal(RecordedID("w", "id")))
		Expect(forward.String()).NotTo(ContainSubstring("secret"))
		token, err := f.sealer.VerifyToken("w", response.GetSessionToken())
		Expect(err).NotTo(HaveOccurred())
		Expect(token.Entries[0].Position.Index).To(BeEquivalentTo(9))
		Expect(response.GetConfigurationVersion()).To(BeEquivalentTo(7))
	})

	It("guards against a key that is checked in an old snapshot after the VM has caught up", func() {
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
		f.stale = true
		request := newExecute(reading)
		request.Route = "open"
		_, err := f.execute("", request)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.forwarded[0].GetWorkspace()).To(BeEmpty())
		Expect(f.forwarded[0].GetRoute()).To(Equal("open"))
	})

	DescribeTable("tries again only on proof of not run, or for reads",
		func(access callerv1.Access, outcome refusal.Outcome, reason refusal.Reason, tries int) {
			f.home = answering(refusedWith(outcome, reason), done())
			_, err := f.execute(goodKey, newExecute(access))
			Expect(f.executions()).To(Equal(tries))
			Expect(err == nil).To(Equal(tries == 2))
		},
		Entry("not primary", writing, refusal.NotRun, refusal.NotPrimary, 2),
		Entry("unreachable", writing, refusal.NotRun, refusal.Unreachable, 2),
		Entry("home that has just started", writing, refusal.NotRun, refusal.NotReady, 2),
		Entry("not home", writing, refusal.NotRun, refusal.NotHome, 2),
		Entry("leaving", writing, refusal.NotRun, refusal.EndpointLeaving, 2),
		Entry("stalled", writing, refusal.NotRun, refusal.ReplicationStalled, 2),
		Entry("statement failed", writing, refusal.NotRun, refusal.StatementFailed, 1),
		Entry("write that may run at the old primary", writing, refusal.Unknown, refusal.NotPrimary, 1),
		Entry("deadline of a write", writing, refusal.Unknown, refusal.DeadlineExceeded, 1),
		Entry("lost read", reading, refusal.Unknown, refusal.ConnectionLost, 2),
	)

	DescribeTable("without a budget, tries again only where no home was reached",
		// Guards against writes that wait for a lost home to be dropped, and
		// against retries that add load to an endpoint in trouble.
		func(reason refusal.Reason, tries int) {
			f.caller.config.RetryBudget = noBudget{}
			f.home = answering(refusedWith(refusal.NotRun, reason), refusedWith(refusal.NotRun, reason), done())
			_, err := f.execute(goodKey, newExecute(writing))
			Expect(f.executions()).To(Equal(tries))
			Expect(err == nil).To(Equal(tries == 3))
		},
		Entry("home gone", refusal.Unreachable, 3),
		Entry("not home", refusal.NotHome, 3),
		Entry("no primary at the home", refusal.NoPrimary, 1),
		Entry("replication stalled", refusal.ReplicationStalled, 1),
	)

	DescribeTable("looks for a write whose home was lost, and never sends it again",
		func(found *peerv1.ForwardResult, expected func(err error)) {
			f.home = answering(refusedWith(refusal.Unknown, refusal.ConnectionLost), found)
			_, err := f.execute(goodKey, newExecute(writing))
			expected(err)
			Expect(f.executions()).To(Equal(1))
		},
		Entry("in the log of the primary", done(), func(err error) { Expect(err).NotTo(HaveOccurred()) }),
		Entry("not in the log", refusedWith(refusal.Unknown, refusal.OutcomeNotKnown), func(err error) {
			expectRefusal(err, connect.CodeUnknown, unknown, refusal.ConnectionLost, "")
		}),
	)

	It("counts the reads that a replica served", func() {
		f.home = answering(&peerv1.ForwardResult{Outcome: callerv1.Outcome_OUTCOME_DONE, FromReplica: true}, done())
		for _, access := range []callerv1.Access{reading, reading, writing} {
			_, err := f.execute(goodKey, newExecute(access))
			Expect(err).NotTo(HaveOccurred())
		}
		for _, name := range []string{"caller.reads/primary", "caller.reads/replica"} {
			counter := metrics.GetOrRegisterCounter(name, f.caller.config.Metrics)
			Expect(counter.Count()).To(BeEquivalentTo(1), name)
		}
	})

	It("goes to the primary when a replica is behind", func() {
		f.home = answering(refusedWith(refusal.NotRun, refusal.ReplicaBehind), done())
		request := newExecute(reading)
		request.SessionTokens = []string{f.token("w")}
		_, err := f.execute(goodKey, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.forwarded).To(HaveLen(2))
		Expect(f.forwarded[1].GetEndpoint()).To(Equal("p"))
	})

	It("waits out a failover, until the deadline", func() {
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

func none(*fixture, *callerv1.ExecuteRequest) {}

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
		func(key string) {
			f.revoke("k1")
			expectRefusal(step(key), connect.CodeUnauthenticated, notRun, refusal.KeyRevoked, "Authorization")
			Expect(f.verbs()).To(Equal(rolledBack))
		},
		Entry("with the revoked key", goodKey),
		Entry("with another key of the workspace", secondKey),
	)

	It("are not rolled back by another revoked key", func() {
		expectRefusal(step(revokedKey), connect.CodeUnauthenticated, notRun, refusal.KeyRevoked, "Authorization")
		Expect(f.verbs()).To(HaveLen(1))
	})

	It("of a revoked key are rolled back without a step", func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go func() { _ = f.caller.Run(ctx) }()
		f.revoke("k1")
		Eventually(f.verbs).Should(Equal(rolledBack))
	})

	It("belong to one workspace", func() {
		expectRefusal(step(otherKey), connect.CodeInvalidArgument, notRun, refusal.InvalidRequest, "transaction")
	})

	It("end with their home, and leave a commit unknown", func() {
		f.mu.Lock()
		f.incarnation = 2
		f.mu.Unlock()
		expectRefusal(step(goodKey), connect.CodeNotFound, notRun, refusal.TransactionUnknown, "")
		_, err := f.client.Commit(withKey(goodKey), &callerv1.CommitRequest{Transaction: handle})
		expectRefusal(err, connect.CodeNotFound, unknown, refusal.TransactionUnknown, "")
		Expect(f.verbs()).To(HaveLen(1))
	})

	It("return a token at the commit", func() {
		committed, err := f.client.Commit(withKey(goodKey), &callerv1.CommitRequest{Transaction: handle})
		Expect(err).NotTo(HaveOccurred())
		_, err = f.sealer.VerifyToken("w", committed.GetSessionToken())
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
			return refusedWith(refusal.Unknown, refusal.ConnectionLost)
		}
		stream, err := f.client.Query(withKey(goodKey), &callerv1.QueryRequest{Request: newExecute(reading)})
		Expect(err).NotTo(HaveOccurred())
		Expect(stream.Receive()).To(BeTrue())
		f.revoke("k1")
		Expect(stream.Receive()).To(BeFalse())
		expectRefusal(stream.Err(), connect.CodeUnauthenticated, unknown, refusal.KeyRevoked, "Authorization")
	})

	It("does not start again once rows were delivered", func() {
		f := newFixture()
		f.home = func(_ context.Context, _ *peerv1.ForwardRequest, send peer.SendRows) *peerv1.ForwardResult {
			_ = send([]*callerv1.Row{{}})
			return refusedWith(refusal.Unknown, refusal.ConnectionLost)
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
		f.home = answering(refusedWith(refusal.NotRun, refusal.QueueTimeout))
		_, err := f.client.GetOutcome(withKey(goodKey), &callerv1.GetOutcomeRequest{Database: "d", RequestId: "id"})
		expectRefusal(err, connect.CodeResourceExhausted, unknown, refusal.QueueTimeout, "")
		f.home = answering(refusedWith(refusal.Unknown, refusal.Internal))
		response, err := f.client.GetOutcome(withKey(goodKey), &callerv1.GetOutcomeRequest{Database: "d", RequestId: "id"})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.GetOutcome()).To(Equal(unknown))
		Expect(f.forwarded[1].GetLookUpOutcome()).To(BeTrue())
	})
})

var _ = It("Drain waits for the requests in flight", func() {
	f := newFixture()
	release := make(chan struct{})
	arrived := make(chan struct{})
	f.home = func(context.Context, *peerv1.ForwardRequest, peer.SendRows) *peerv1.ForwardResult {
		close(arrived)
		<-release
		return done()
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

func (noBudget) Request(string) {}

func (noBudget) Retry(string) bool { return false }
