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

// longClockStep advances the clock fast, because these tests do not depend on how
// long a request waits for a failover.
const longClockStep = time.Second

// The tests guard against keys, session tokens and transaction handles in the logs,
// with all debug messages enabled.
var _ = Describe("Logs", func() {
	It("contain no secrets after any refusal by a home", func() {
		for _, reason := range allReasons {
			for _, outcome := range []refusal.Outcome{refusal.NotRun, refusal.Unknown} {
				f := newFixture()
				f.clockStep = longClockStep
				f.home = responding(refusedResult(outcome, reason))
				token := f.token("w")
				for _, access := range []callerv1.Access{reading, writing} {
					request := newExecute(access)
					request.SessionTokens = []string{token}
					_, err := f.execute(goodKey, request)
					Expect(err).To(HaveOccurred(), "%s", reason)
					Expect(err.Error()).NotTo(ContainSubstring(token))
				}
				f.expectNoSecrets(token, "")
			}
		}
	})

	DescribeTable("contain no secrets after any refusal by the VM itself",
		func(key, workspace string, prepare func(*fixture)) {
			f := newFixture()
			f.clockStep = longClockStep
			prepare(f)
			token := f.token(workspace)
			handle := f.signer.SignHandle(session.Handle{
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
			f.expectNoSecrets(token, handle)
		},
		Entry("invalid token only", goodKey, "w", func(*fixture) {}),
		Entry("tokens of another workspace", goodKey, "other", func(*fixture) {}),
		Entry("unknown key", "ad_k1_wrong_secret", "w", func(*fixture) {}),
		Entry("malformed key", "secret", "w", func(*fixture) {}),
		Entry("revoked key", revokedKey, "w", func(*fixture) {}),
		Entry("key revoked during a transaction", goodKey, "w", func(f *fixture) { f.revoked["k1"] = true }),
		Entry("stale configuration", goodKey, "w", func(f *fixture) { f.stale = true }),
		Entry("rate", goodKey, "w", func(f *fixture) { f.admitErr = refusal.NewNotRun(refusal.RateExceeded, "") }),
		Entry("no primary", goodKey, "w", func(f *fixture) { f.view.Primary = "" }),
		Entry("home of another incarnation", goodKey, "w", func(f *fixture) { f.incarnation = 2 }),
		Entry("home with an empty result", goodKey, "w", func(f *fixture) { f.home = responding(&peerv1.ForwardResult{}) }),
	)
})

// expectNoSecrets fails if the logs contain the secret of a key, a token or a handle.
func (f *fixture) expectNoSecrets(token, handle string) {
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
