package caller

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/session"
)

var allReasons = []refusal.Reason{
	refusal.AccessMismatch, refusal.ConfigurationStale, refusal.ConnectionLost, refusal.DeadlineExceeded,
	refusal.DeadlineTooShort, refusal.EndpointLeaving, refusal.Internal, refusal.InvalidRequest,
	refusal.KeyUnknown, refusal.KeyRevoked, refusal.NoPrimary, refusal.NotAllowed, refusal.NotHome,
	refusal.NotPrimary, refusal.NotReady, refusal.OutcomeNotKnown, refusal.Overloaded, refusal.QueueTimeout,
	refusal.RateExceeded, refusal.ReplicaBehind, refusal.ReplicationStalled, refusal.SessionTokenInvalid,
	refusal.StatementFailed, refusal.TransactionConflict, refusal.TransactionUnknown, refusal.Unreachable,
	refusal.VersionConflict,
}

// longStep ends waits for a failover soon; these tests do not look at outcomes.
const longStep = time.Second

// The tests guard against keys, session tokens and transaction handles in the
// logs of the entry, with all debug lines on.
var _ = Describe("Logs", func() {
	It("hold no secret, whatever a home refuses", func() {
		for _, reason := range allReasons {
			for _, outcome := range []refusal.Outcome{refusal.NotRun, refusal.Unknown} {
				f := newFixture()
				f.step = longStep
				f.home = answering(refusedWith(outcome, reason))
				token := f.token("w")
				for _, access := range []callerv1.Access{reading, writing} {
					request := newExecute(access)
					request.SessionTokens = []string{token}
					_, err := f.execute(goodKey, request)
					Expect(err).To(HaveOccurred(), "%s", reason)
					Expect(err.Error()).NotTo(ContainSubstring(token))
				}
				f.expectSilent(token, "")
			}
		}
	})

	DescribeTable("hold no secret, whatever the entry refuses",
		func(key, workspace string, prepare func(*fixture)) {
			f := newFixture()
			f.step = longStep
			prepare(f)
			token := f.token(workspace)
			handle := f.sealer.SignHandle(session.Handle{
				VM:          "v",
				Incarnation: 1,
				Transaction: "t",
				Workspace:   workspace,
				Database:    "d",
				Endpoint:    "p",
				KeyID:       "k1",
			})
			for _, transaction := range []string{"", handle, handle + "x"} {
				request := newExecute(writing)
				request.SessionTokens = []string{token, "x" + token}
				request.Transaction = transaction
				_, _ = f.execute(key, request)
				_ = f.await(func() error {
					_, err := f.client.Commit(withKey(key), &callerv1.CommitRequest{Transaction: transaction})
					return err
				})
			}
			f.expectSilent(token, handle)
		},
		Entry("nothing but a bad token", goodKey, "w", func(*fixture) {}),
		Entry("tokens of another workspace", goodKey, "other", func(*fixture) {}),
		Entry("unknown key", "ad_k1_wrong_secret", "w", func(*fixture) {}),
		Entry("malformed key", "secret", "w", func(*fixture) {}),
		Entry("revoked key", revokedKey, "w", func(*fixture) {}),
		Entry("key revoked in a transaction", goodKey, "w", func(f *fixture) { f.revoked["k1"] = true }),
		Entry("stale configuration", goodKey, "w", func(f *fixture) { f.stale = true }),
		Entry("rate", goodKey, "w", func(f *fixture) { f.admit = refusal.NewNotRun(refusal.RateExceeded, "") }),
		Entry("no primary", goodKey, "w", func(f *fixture) { f.view.Primary = "" }),
		Entry("home of another incarnation", goodKey, "w", func(f *fixture) { f.incarnation = 2 }),
		Entry("home that answers nothing", goodKey, "w", func(f *fixture) { f.home = answering(&peerv1.ForwardResult{}) }),
	)
})

// expectSilent fails if the logs hold a key's secret, a token or a handle.
func (f *fixture) expectSilent(token, handle string) {
	GinkgoHelper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, text := range []string{"secret", "k2_two", "Bearer", token} {
		Expect(f.logged.String()).NotTo(ContainSubstring(text))
	}
	if handle != "" {
		Expect(f.logged.String()).NotTo(ContainSubstring(handle))
	}
}
