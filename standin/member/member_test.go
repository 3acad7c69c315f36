package member_test

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	"amaranthdock.dev/standin/member"
)

func TestMember(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(5 * time.Second)
	SetDefaultEventuallyPollingInterval(5 * time.Millisecond)
	RunSpecs(t, "member")
}

var _ = Describe("Member", func() {
	It("runs statements and refuses what it must", func(ctx SpecContext) {
		n := start(member.Config{Name: "m", PieceRows: 2}, listen())
		s, _ := n.connect(ctx)
		expectFailure(s, statement(write, "put", "a", "1"), "notPrimary")
		lead(ctx, 3, n)
		expectRun(s, statement(write, "put", "a", "1"))
		expectRun(s, statement(write, "add", "a", "2"), "3")
		expectRun(s, statement(write, "insert", "b", "x"))
		expectRun(s, statement(write, "put", "c", "y"))
		expectRun(s, statement(read, "scan", "", "9"), "a", "b", "c")
		expectRun(s, statement(read, "count", ""), "3")
		for _, refused := range []struct {
			run    *endpointv1.Run
			reason string
		}{
			{run: statement(write, "insert", "b", "z"), reason: "statementFailed"},
			{run: statement(read, "put", "b", "z"), reason: "accessMismatch"},
			{run: statement(read, "drop"), reason: "statementFailed"},
			{run: &endpointv1.Run{Verb: endpointv1.Verb_VERB_BEGIN, Term: 2}, reason: "notPrimary"},
			{run: verb(endpointv1.Verb_VERB_COMMIT), reason: "transactionUnknown"},
		} {
			expectFailure(s, refused.run, refused.reason)
		}
		expectRun(s, statement(read, "get", "b"), "x")
	})

	It("returns the recorded result of a repeated id (guards against a doubled write)", func(ctx SpecContext) {
		n := start(member.Config{Name: "m"}, listen())
		lead(ctx, 1, n)
		s, _ := n.connect(ctx)
		for range 2 {
			expectRun(s, withID(statement(write, "add", "k", "5"), "r1"), "5")
		}
		Expect(n.entries()).To(HaveLen(2))
	})

	It("isolates transactions and detects conflicts (guards against a lost update)", func(ctx SpecContext) {
		n := start(member.Config{Name: "m"}, listen())
		lead(ctx, 1, n)
		a, _ := n.connect(ctx)
		b, _ := n.connect(ctx)
		for _, s := range []*session{a, b} {
			expectRun(s, verb(endpointv1.Verb_VERB_BEGIN))
			expectRun(s, statement(write, "add", "k", "1"), "1")
			expectRun(s, statement(read, "get", "k"), "1")
		}
		expectRun(a, verb(endpointv1.Verb_VERB_COMMIT))
		expectFailure(b, verb(endpointv1.Verb_VERB_COMMIT), "transactionConflict")
		expectRun(b, verb(endpointv1.Verb_VERB_BEGIN))
		expectRun(b, statement(write, "put", "k", "lost"))
		b.close()
		expectRun(a, statement(read, "get", "k"), "1")
	})

	It("bounds connections and slots (guards against overload of the member)", func(ctx SpecContext) {
		n := start(member.Config{Name: "m", Connections: 2, Slots: 1}, listen())
		a, _ := n.connect(ctx)
		b, _ := n.connect(ctx)
		_, refused := n.connect(ctx)
		Expect(refused.GetFailure().GetReason()).To(Equal(member.ConnectionLimit))
		a.send(statement(read, "sleep", "2s"))
		Eventually(func() string {
			_, reason := b.run(statement(read, "count", ""))
			return reason
		}).Should(Equal("overloaded"))
		a.close()
		Eventually(func() string {
			_, reason := b.run(statement(read, "count", ""))
			return reason
		}).Should(BeEmpty())
	})

	It("interleaves late pieces, each complete (guards against a test double that is too tidy)", func(ctx SpecContext) {
		n := start(member.Config{Name: "m", PieceRows: 1, AnswerDelay: 2 * time.Millisecond, Seed: 7}, listen())
		lead(ctx, 1, n)
		s, _ := n.connect(ctx)
		for _, key := range []string{"a", "b", "c", "d"} {
			expectRun(s, statement(write, "put", key, "v"))
		}
		first := s.last + 1
		const answers, pieces = 5, 4
		for range answers {
			s.send(statement(read, "scan", "", "9"))
		}
		var order []uint64
		for range answers * pieces {
			piece := s.receive().GetPiece()
			Expect(piece.GetId()).To(BeNumerically(">=", first))
			order = append(order, piece.GetId()*pieces+uint64(piece.GetSequence()))
		}
		Expect(slices.IsSorted(order)).To(BeFalse())
		slices.Sort(order)
		Expect(slices.Compact(order)).To(HaveLen(answers * pieces))
	})

	It("replicates with a lag, stops and truncates (guards against diverging members)", func(ctx SpecContext) {
		nodes := startGroup(member.Config{Lag: 5 * time.Millisecond})
		lead(ctx, 1, nodes...)
		s, _ := nodes[0].connect(ctx)
		expectRun(s, statement(write, "put", "k", "1"))
		for _, n := range nodes {
			Eventually(n.entries).Should(HaveLen(2))
		}
		nodes[0].post("/replication?state=stopped")
		expectRun(s, withID(statement(write, "put", "k", "lost"), "lost"))
		lead(ctx, 2, nodes[1], nodes[2])
		t, _ := nodes[1].connect(ctx)
		expectRun(t, statement(write, "put", "k", "2"))
		nodes[0].post("/lag?value=1ms")
		nodes[0].post("/replication?state=running")
		Eventually(nodes[0].entries).Should(Equal(nodes[1].entries()))
		outcome, err := nodes[0].client.GetOutcome(ctx, &endpointv1.GetOutcomeRequest{RequestId: "lost"})
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.GetFound()).To(BeFalse())
		expectRun(s, statement(read, "get", "k"), "2")
		var ran []struct {
			Workspace string `json:"workspace"`
		}
		nodes[0].get("/statements", &ran)
		Expect(ran).To(HaveLen(3))
		Expect(ran[0].Workspace).To(Equal("flock"))
	})

	It("recovers its log as a replica, without a partial record (guards against a loss at kill -9)", func(ctx SpecContext) {
		path := filepath.Join(GinkgoT().TempDir(), "log")
		n := start(member.Config{Name: "m", LogFile: path}, listen())
		lead(ctx, 4, n)
		s, _ := n.connect(ctx)
		expectRun(s, withID(statement(write, "put", "k", "1"), "r1"))
		before := n.entries()
		n.stop()
		partial, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = partial.WriteString(`{"entry":{"term":4`)
		Expect(errors.Join(err, partial.Close())).To(Succeed())

		n = start(member.Config{Name: "m", LogFile: path}, listen())
		Expect(n.entries()).To(Equal(before))
		status, err := n.client.GetStatus(ctx, &endpointv1.GetStatusRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(status.GetRole()).To(Equal(endpointv1.Role_ROLE_REPLICA))
		Expect(status.GetFencedTerm()).To(Equal(uint64(4)))
		s, _ = n.connect(ctx)
		expectRun(s, statement(read, "get", "k"), "1")
	})

	It("sends its status at once, on change and as a heartbeat", func(ctx SpecContext) {
		n := start(member.Config{Name: "m"}, listen())
		stream, err := n.client.WatchStatus(ctx, &endpointv1.WatchStatusRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(stream.Receive()).To(BeTrue())
		Expect(stream.Msg().GetFencedTerm()).To(BeZero())
		lead(ctx, 1, n)
		for stream.Msg().GetRole() != endpointv1.Role_ROLE_PRIMARY {
			Expect(stream.Receive()).To(BeTrue())
		}
		Expect(stream.Receive()).To(BeTrue(), "the heartbeat")
		Expect(stream.Close()).To(Succeed())
	})
})
