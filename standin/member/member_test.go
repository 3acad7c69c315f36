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
	It("runs statements and rejects invalid ones", func(ctx SpecContext) {
		m := startMember(member.Config{Name: "m", PieceRows: 2}, listen())
		conn, _ := m.connect(ctx)
		expectFailure(conn, statement(write, "put", "a", "1"), "notPrimary")
		promoteFirst(ctx, 3, m)
		expectRun(conn, statement(write, "put", "a", "1"))
		expectRun(conn, statement(write, "add", "a", "2"), "3")
		expectRun(conn, statement(write, "insert", "b", "x"))
		expectRun(conn, statement(write, "put", "c", "y"))
		expectRun(conn, statement(read, "scan", "", "9"), "a", "b", "c")
		expectRun(conn, statement(read, "count", ""), "3")
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
			expectFailure(conn, refused.run, refused.reason)
		}
		expectRun(conn, statement(read, "get", "b"), "x")
	})

	It("returns the recorded result for a repeated request ID (guards against a write that is applied twice)", func(ctx SpecContext) {
		m := startMember(member.Config{Name: "m"}, listen())
		promoteFirst(ctx, 1, m)
		conn, _ := m.connect(ctx)
		for range 2 {
			expectRun(conn, withID(statement(write, "add", "k", "5"), "r1"), "5")
		}
		Expect(m.entries()).To(HaveLen(2))
	})

	It("isolates transactions and detects conflicts (guards against a lost update)", func(ctx SpecContext) {
		m := startMember(member.Config{Name: "m"}, listen())
		promoteFirst(ctx, 1, m)
		a, _ := m.connect(ctx)
		b, _ := m.connect(ctx)
		for _, conn := range []*testConnection{a, b} {
			expectRun(conn, verb(endpointv1.Verb_VERB_BEGIN))
			expectRun(conn, statement(write, "add", "k", "1"), "1")
			expectRun(conn, statement(read, "get", "k"), "1")
		}
		expectRun(a, verb(endpointv1.Verb_VERB_COMMIT))
		expectFailure(b, verb(endpointv1.Verb_VERB_COMMIT), "transactionConflict")
		expectRun(b, verb(endpointv1.Verb_VERB_BEGIN))
		expectRun(b, statement(write, "put", "k", "lost"))
		b.close()
		expectRun(a, statement(read, "get", "k"), "1")
	})

	It("limits connections and slots (guards against overload of the member)", func(ctx SpecContext) {
		m := startMember(member.Config{Name: "m", MaxConnections: 2, Slots: 1}, listen())
		a, _ := m.connect(ctx)
		b, _ := m.connect(ctx)
		_, refused := m.connect(ctx)
		Expect(refused.GetFailure().GetReason()).To(Equal(member.ConnectionLimit))
		// Either connection may get the only slot. Only a statement that is still running when
		// the other one arrives shows the limit, so both run longer than the test.
		refusedConnections := make(chan *testConnection, 2)
		for _, c := range []*testConnection{a, b} {
			c.send(statement(read, "sleep", "1m"))
			go func() {
				response, err := c.stream.Receive()
				if err == nil && response.GetFailure().GetReason() == "overloaded" {
					refusedConnections <- c
				}
			}()
		}
		var other *testConnection
		Eventually(refusedConnections).WithTimeout(20 * time.Second).Should(Receive(&other))
		holder := a
		if other == a {
			holder = b
		}
		Consistently(refusedConnections).ShouldNot(Receive())
		holder.close()
		Eventually(func() string {
			_, reason := other.run(statement(read, "count", ""))
			return reason
		}).WithTimeout(20 * time.Second).Should(BeEmpty())
	})

	It("delays and interleaves pieces without losing any (guards against a stand-in that never reorders responses)", func(ctx SpecContext) {
		m := startMember(member.Config{Name: "m", PieceRows: 1, MaxPieceDelay: 2 * time.Millisecond, Seed: 7}, listen())
		promoteFirst(ctx, 1, m)
		conn, _ := m.connect(ctx)
		for _, key := range []string{"a", "b", "c", "d"} {
			expectRun(conn, statement(write, "put", key, "v"))
		}
		first := conn.lastID + 1
		const answers, pieces = 5, 4
		for range answers {
			conn.send(statement(read, "scan", "", "9"))
		}
		var order []uint64
		for range answers * pieces {
			piece := conn.receive().GetPiece()
			Expect(piece.GetId()).To(BeNumerically(">=", first))
			order = append(order, piece.GetId()*pieces+uint64(piece.GetSequence()))
		}
		Expect(slices.IsSorted(order)).To(BeFalse())
		slices.Sort(order)
		Expect(slices.Compact(order)).To(HaveLen(answers * pieces))
	})

	It("replicates with a lag, stops and truncates (guards against divergent members)", func(ctx SpecContext) {
		members := startMembers(member.Config{Lag: 5 * time.Millisecond})
		promoteFirst(ctx, 1, members...)
		conn, _ := members[0].connect(ctx)
		expectRun(conn, statement(write, "put", "k", "1"))
		for _, m := range members {
			Eventually(m.entries).Should(HaveLen(2))
		}
		members[0].post("/replication?state=stopped")
		expectRun(conn, withID(statement(write, "put", "k", "lost"), "lost"))
		promoteFirst(ctx, 2, members[1], members[2])
		newPrimaryConn, _ := members[1].connect(ctx)
		expectRun(newPrimaryConn, statement(write, "put", "k", "2"))
		members[0].post("/lag?value=1ms")
		members[0].post("/replication?state=running")
		Eventually(members[0].entries).Should(Equal(members[1].entries()))
		outcome, err := members[0].client.GetOutcome(ctx, &endpointv1.GetOutcomeRequest{RequestId: "lost"})
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.GetFound()).To(BeFalse())
		expectRun(conn, statement(read, "get", "k"), "2")
		var executed []struct {
			Workspace string `json:"workspace"`
		}
		members[0].getJSON("/statements", &executed)
		Expect(executed).To(HaveLen(3))
		Expect(executed[0].Workspace).To(Equal("flock"))
	})

	It("recovers its log as a replica, without a partial record (guards against lost entries after kill -9)", func(ctx SpecContext) {
		path := filepath.Join(GinkgoT().TempDir(), "log")
		m := startMember(member.Config{Name: "m", LogFile: path}, listen())
		promoteFirst(ctx, 4, m)
		conn, _ := m.connect(ctx)
		expectRun(conn, withID(statement(write, "put", "k", "1"), "r1"))
		before := m.entries()
		m.stop()
		partial, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = partial.WriteString(`{"entry":{"term":4`)
		Expect(errors.Join(err, partial.Close())).To(Succeed())

		m = startMember(member.Config{Name: "m", LogFile: path}, listen())
		Expect(m.entries()).To(Equal(before))
		status, err := m.client.GetStatus(ctx, &endpointv1.GetStatusRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(status.GetRole()).To(Equal(endpointv1.Role_ROLE_REPLICA))
		Expect(status.GetFencedTerm()).To(Equal(uint64(4)))
		conn, _ = m.connect(ctx)
		expectRun(conn, statement(read, "get", "k"), "1")
	})

	It("sends its status immediately, after a change and as a heartbeat", func(ctx SpecContext) {
		m := startMember(member.Config{Name: "m"}, listen())
		stream, err := m.client.WatchStatus(ctx, &endpointv1.WatchStatusRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(stream.Receive()).To(BeTrue())
		Expect(stream.Msg().GetFencedTerm()).To(BeZero())
		promoteFirst(ctx, 1, m)
		for stream.Msg().GetRole() != endpointv1.Role_ROLE_PRIMARY {
			Expect(stream.Receive()).To(BeTrue())
		}
		Expect(stream.Receive()).To(BeTrue(), "the heartbeat")
		Expect(stream.Close()).To(Succeed())
	})
})
