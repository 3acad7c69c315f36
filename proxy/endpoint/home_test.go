package endpoint

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/proxy/failover"
)

const (
	reading = callerv1.Access_ACCESS_READ
	writing = callerv1.Access_ACCESS_WRITE
	ok      = callerv1.Outcome_OUTCOME_DONE
	notRun  = callerv1.Outcome_OUTCOME_NOT_RUN
	unknown = callerv1.Outcome_OUTCOME_UNKNOWN
)

// answering makes the member answer every step with frames made from it.
func answering(keep bool, frames ...func(*endpointv1.Run) *endpointv1.ConnectResponse) func(*fixture) {
	return func(f *fixture) {
		f.member.answer = func(run *endpointv1.Run) ([]*endpointv1.ConnectResponse, bool) {
			var made []*endpointv1.ConnectResponse
			for _, frame := range frames {
				made = append(made, frame(run))
			}
			return made, keep
		}
	}
}

func piece(sequence uint32, last bool) func(*endpointv1.Run) *endpointv1.ConnectResponse {
	return func(run *endpointv1.Run) *endpointv1.ConnectResponse { return done(run, sequence, last) }
}

func late(run *endpointv1.Run) *endpointv1.ConnectResponse {
	return done(&endpointv1.Run{Id: run.GetId() + 1000}, 0, true)
}

func expectResult(result *peerv1.ForwardResult, outcome callerv1.Outcome, reason refusal.Reason) {
	GinkgoHelper()
	Expect(result.GetOutcome()).To(Equal(outcome), result.GetReason()+": "+result.GetMessage())
	Expect(result.GetReason()).To(Equal(string(reason)))
}

var _ = Describe("Home", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	DescribeTable("tells not run from unknown at each point of failure",
		func(access callerv1.Access, fault func(*fixture), outcome callerv1.Outcome, reason refusal.Reason) {
			fault(f)
			result, rows := f.run(newRequest(access, "c"))
			expectResult(result, outcome, reason)
			if outcome != ok {
				Expect(rows).To(BeEmpty())
			}
		},
		Entry("none", writing, func(*fixture) {}, ok, refusal.Reason("")),
		Entry("endpoint down", writing, func(f *fixture) { f.member.server.Close() }, notRun, refusal.Unreachable),
		Entry("connection refused", writing, func(f *fixture) { f.member.refuse = true }, notRun, refusal.Overloaded),
		Entry("replaced primary", writing, func(f *fixture) { f.observer.view.Primary = "other" }, notRun, refusal.NotPrimary),
		Entry("no primary", writing, func(f *fixture) { f.observer.view.Primary = "" }, notRun, refusal.NoPrimary),
		Entry("stalled replication", writing, func(f *fixture) { f.observer.stalled = true }, notRun, refusal.ReplicationStalled),
		Entry("primary that does not answer", writing, func(f *fixture) {
			f.observer.stalled = true
			f.observer.view.Members = []routing.MemberView{{Endpoint: f.observer.view.Primary}}
		}, notRun, refusal.NoPrimary),
		Entry("database that is not watched", writing, func(f *fixture) { f.observer.stalled, f.observer.unwatched = true, true }, notRun, refusal.NotHome),
		Entry("refusal by the member", writing, answering(true, func(r *endpointv1.Run) *endpointv1.ConnectResponse { return failure(r.GetId(), true) }), notRun, refusal.StatementFailed),
		Entry("failure at the member", writing, answering(true, func(r *endpointv1.Run) *endpointv1.ConnectResponse { return failure(r.GetId(), false) }), unknown, refusal.StatementFailed),
		Entry("not durable", writing, func(f *fixture) { f.observer.lost = true }, unknown, refusal.DeadlineExceeded),
		Entry("stream broken after a write was sent", writing, answering(false), unknown, refusal.ConnectionLost),
		Entry("stream broken in the middle of an answer", writing, answering(false, piece(0, false)), unknown, refusal.ConnectionLost),
		Entry("stream broken after a read was sent", reading, answering(false), unknown, refusal.ConnectionLost),
		Entry("piece missing until the deadline", writing, answering(true, piece(0, false), piece(2, true)), unknown, refusal.DeadlineExceeded),
		Entry("contradicting pieces", reading, answering(true, piece(0, true), piece(1, true)), ok, refusal.Reason("")),
		Entry("piece beyond the last", reading, answering(true, piece(2, true), piece(3, false)), unknown, refusal.ConnectionLost),
		Entry("primary that no member confirms", reading, func(f *fixture) { f.observer.confirmed = false }, notRun, refusal.NotPrimary),
		Entry("primary that answers in an older term", reading, func(f *fixture) { f.observer.view.Term = 2 }, notRun, refusal.NotPrimary),
	)

	It("puts pieces in order and drops those of other steps", func() {
		answering(true, late, piece(2, true), piece(0, false), late, piece(0, false), piece(1, false))(f)
		result, rows := f.run(newRequest(reading, "c"))
		expectResult(result, ok, "")
		Expect(rows).To(HaveLen(3))
		Expect(result.GetTotalRows()).To(BeEquivalentTo(3))
	})

	It("caps the position of a read at what is durable", func() {
		result, _ := f.run(newRequest(reading, "c"))
		Expect(result.GetPosition().GetIndex()).To(BeEquivalentTo(4))
	})

	DescribeTable("settles a write whose answer was lost",
		func(found failover.Resolution, outcome callerv1.Outcome, reason refusal.Reason) {
			f.member.answer = func(*endpointv1.Run) ([]*endpointv1.ConnectResponse, bool) { return nil, false }
			f.observer.resolution = found
			result, rows := f.run(newRequest(writing, "c"))
			expectResult(result, outcome, reason)
			Expect(rows).To(HaveLen(len(found.Rows)))
			Expect(result.GetRowsAffected()).To(Equal(found.RowsAffected))
			Expect(f.observer.resolved).To(HaveExactElements(uint64(1)), "the term in which it was sent")
		},
		Entry("in the log of the primary", failover.Resolution{
			Outcome:      refusal.Done,
			Position:     logpos.Position{Term: 2, Index: 7},
			Rows:         []*callerv1.Row{{Columns: []string{"recorded"}}},
			RowsAffected: 3,
		}, callerv1.Outcome_OUTCOME_DONE, refusal.Reason("")),
		Entry("absent under a newer primary", failover.Resolution{Outcome: refusal.NotRun}, notRun, refusal.NotPrimary),
		Entry("no proof", failover.Resolution{Outcome: refusal.Unknown}, unknown, refusal.ConnectionLost),
	)

	It("takes a waiting write out of the queue when the primary is replaced", func() {
		// Guards against writes that wait behind statements that are stuck at a
		// lost primary until they are refused.
		release := make(chan struct{})
		f.member.answer = func(run *endpointv1.Run) ([]*endpointv1.ConnectResponse, bool) {
			<-release
			return []*endpointv1.ConnectResponse{done(run, 0, true)}, true
		}
		results := make(chan *peerv1.ForwardResult, fixtureSlots+1)
		for i := range fixtureSlots + 1 {
			go func() {
				result, _ := f.run(newRequest(writing, fmt.Sprint(i)))
				results <- result
			}()
		}
		Eventually(func() int {
			f.home.mu.Lock()
			defer f.home.mu.Unlock()
			if n, ok := f.home.nodes["e"]; ok {
				return n.queued()
			}
			return 0
		}).Should(Equal(fixtureSlots + 1))
		f.observer.mu.Lock()
		f.observer.view.Primary = "other"
		f.observer.mu.Unlock()
		var first *peerv1.ForwardResult
		Eventually(func() bool {
			f.clock.Advance(checkInterval)
			select {
			case first = <-results:
				return true
			default:
				return false
			}
		}).Should(BeTrue())
		expectResult(first, notRun, refusal.NotPrimary)
		close(release)
		for range fixtureSlots {
			<-results
		}
	})

	It("keeps to half of the connections and replaces those to an old address", func() {
		id := f.begin()
		f.begin()
		var requests sync.WaitGroup
		for range 12 {
			requests.Go(func() {
				f.home.Execute(context.Background(), newRequest(reading, "c"), func([]*callerv1.Row) error { return nil })
			})
		}
		requests.Wait()
		_, most := f.member.counts()
		Expect(most).To(BeNumerically("<=", 5))
		moved := newMember()
		f.place(moved.address())
		result, _ := f.run(newRequest(reading, "c"))
		expectResult(result, ok, "")
		Eventually(func() int { open, _ := f.member.counts(); return open }).Should(Equal(2), "open transactions")
		Expect(moved.seen).To(HaveLen(1))
		f.run(inTransaction(id, endpointv1.Verb_VERB_COMMIT, "c"))
		Eventually(func() int { open, _ := f.member.counts(); return open }).Should(Equal(1), "a connection that was in use")
	})

	It("opens connections in advance", func() {
		f.home.reconcile(context.Background())
		Eventually(func() int { open, _ := f.member.counts(); return open }).Should(Equal(3))
	})
})

var _ = Describe("Transactions", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	It("never mix on a connection", func() {
		first, second := f.begin(), f.begin()
		var requests sync.WaitGroup
		send := func(request *peerv1.ForwardRequest) {
			requests.Go(func() {
				f.home.Execute(context.Background(), request, func([]*callerv1.Row) error { return nil })
			})
		}
		for range 20 {
			send(inTransaction(first, endpointv1.Verb_VERB_EXECUTE, "first"))
			send(inTransaction(second, endpointv1.Verb_VERB_EXECUTE, "second"))
			send(newRequest(reading, "alone"))
		}
		requests.Wait()
		total := 0
		for _, commands := range f.member.seen {
			kinds := slices.Compact(slices.Sorted(slices.Values(commands)))
			kinds = slices.DeleteFunc(kinds, func(c string) bool { return c == "begin" })
			Expect(len(kinds)).To(BeNumerically("<=", 1), strings.Join(kinds, " and "))
			total += len(commands)
		}
		Expect(total).To(Equal(62))
	})

	It("run one statement after another", func() {
		id := f.begin()
		release := make(chan struct{})
		f.member.answer = func(run *endpointv1.Run) ([]*endpointv1.ConnectResponse, bool) {
			<-release
			return []*endpointv1.ConnectResponse{done(run, 0, true)}, true
		}
		var requests sync.WaitGroup
		for i := range 3 {
			requests.Go(func() {
				f.home.Execute(context.Background(), inTransaction(id, endpointv1.Verb_VERB_EXECUTE, fmt.Sprint(i)), func([]*callerv1.Row) error { return nil })
			})
		}
		used := f.home.transactions[id].connection
		sent := func() int {
			used.mu.Lock()
			defer used.mu.Unlock()
			return len(used.calls)
		}
		Eventually(sent).Should(Equal(1))
		Consistently(sent, 100*time.Millisecond).Should(Equal(1))
		close(release)
		requests.Wait()
	})

	It("roll back when idle and leave a repeated commit unknown", func() {
		id := f.begin()
		f.clock.Advance(DefaultIdleTimeout - time.Second)
		f.home.rollBackIdle()
		result, _ := f.run(inTransaction(id, endpointv1.Verb_VERB_EXECUTE, "c"))
		expectResult(result, ok, "")
		f.clock.Advance(DefaultIdleTimeout)
		f.home.rollBackIdle()
		Eventually(func() int { open, _ := f.member.counts(); return open }).Should(BeZero())
		result, _ = f.run(inTransaction(id, endpointv1.Verb_VERB_EXECUTE, "c"))
		expectResult(result, notRun, refusal.TransactionUnknown)
		result, _ = f.run(inTransaction(id, endpointv1.Verb_VERB_COMMIT, "c"))
		expectResult(result, unknown, refusal.TransactionUnknown)
	})

	It("belong to one workspace", func() {
		request := inTransaction(f.begin(), endpointv1.Verb_VERB_EXECUTE, "c")
		request.Workspace = "other"
		result, _ := f.run(request)
		expectResult(result, notRun, refusal.TransactionUnknown)
	})

	DescribeTable("end with a commit",
		func(fault func(*fixture), outcome callerv1.Outcome, reason refusal.Reason, open int) {
			id := f.begin()
			fault(f)
			result, _ := f.run(inTransaction(id, endpointv1.Verb_VERB_COMMIT, "c"))
			expectResult(result, outcome, reason)
			Expect(f.home.transactions).To(HaveLen(open))
		},
		Entry("done", func(*fixture) {}, ok, refusal.Reason(""), 0),
		Entry("answer lost", answering(false), unknown, refusal.ConnectionLost, 0),
		Entry("refused by the member", answering(true, func(r *endpointv1.Run) *endpointv1.ConnectResponse { return failure(r.GetId(), true) }), notRun, refusal.StatementFailed, 0),
		Entry("not durable", func(f *fixture) { f.observer.lost = true }, unknown, refusal.DeadlineExceeded, 0),
		Entry("replication stalled before it was sent", func(f *fixture) { f.observer.stalled = true }, notRun, refusal.ReplicationStalled, 1),
	)

	It("are awaited by a drain, which refuses new work", func() {
		id := f.begin()
		drained := make(chan error, 1)
		go func() { drained <- f.home.Drain(context.Background()) }()
		Eventually(func() string {
			result, _ := f.run(newRequest(reading, "c"))
			return result.GetReason()
		}).Should(Equal(string(refusal.NotHome)))
		Expect(drained).NotTo(Receive())
		result, _ := f.run(inTransaction(id, endpointv1.Verb_VERB_COMMIT, "c"))
		expectResult(result, ok, "")
		Eventually(drained).Should(Receive(BeNil()))
	})
})
