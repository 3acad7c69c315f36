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

// responding makes the fake endpoint respond to every step with the given frames. If
// keep is false, it then breaks the stream.
func responding(keep bool, frames ...func(*endpointv1.Run) *endpointv1.ConnectResponse) func(*fixture) {
	return func(f *fixture) {
		f.endpoint.respond = func(run *endpointv1.Run) ([]*endpointv1.ConnectResponse, bool) {
			var responses []*endpointv1.ConnectResponse
			for _, frame := range frames {
				responses = append(responses, frame(run))
			}
			return responses, keep
		}
	}
}

func piece(sequence uint32, last bool) func(*endpointv1.Run) *endpointv1.ConnectResponse {
	return func(run *endpointv1.Run) *endpointv1.ConnectResponse { return pieceFrame(run, sequence, last) }
}

// otherStep returns a response to a different step.
func otherStep(run *endpointv1.Run) *endpointv1.ConnectResponse {
	return pieceFrame(&endpointv1.Run{Id: run.GetId() + 1000}, 0, true)
}

func expectResult(result *peerv1.ForwardResult, outcome callerv1.Outcome, reason refusal.Reason) {
	GinkgoHelper()
	Expect(result.GetOutcome()).To(Equal(outcome), result.GetReason()+": "+result.GetMessage())
	Expect(result.GetReason()).To(Equal(string(reason)))
}

var _ = Describe("Home", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	DescribeTable("reports whether the outcome is not run or unknown at each point of failure",
		// Guards against reporting a step as not run that may have run.
		func(access callerv1.Access, fault func(*fixture), outcome callerv1.Outcome, reason refusal.Reason) {
			fault(f)
			result, rows := f.run(newRequest(access, "c"))
			expectResult(result, outcome, reason)
			if outcome != ok {
				Expect(rows).To(BeEmpty())
			}
		},
		Entry("none", writing, func(*fixture) {}, ok, refusal.Reason("")),
		Entry("endpoint down", writing, func(f *fixture) { f.endpoint.server.Close() }, notRun, refusal.Unreachable),
		Entry("connection refused", writing, func(f *fixture) { f.endpoint.refuseConnections = true }, notRun, refusal.Overloaded),
		Entry("replaced primary", writing, func(f *fixture) { f.observer.view.Primary = "other" }, notRun, refusal.NotPrimary),
		Entry("no primary", writing, func(f *fixture) { f.observer.view.Primary = "" }, notRun, refusal.NoPrimary),
		Entry("stalled replication", writing, func(f *fixture) { f.observer.stalled = true }, notRun, refusal.ReplicationStalled),
		Entry("primary does not respond", writing, func(f *fixture) {
			f.observer.stalled = true
			f.observer.view.Members = []routing.MemberView{{Endpoint: f.observer.view.Primary}}
		}, notRun, refusal.NoPrimary),
		Entry("database not watched", writing, func(f *fixture) { f.observer.stalled, f.observer.unwatched = true, true }, notRun, refusal.NotHome),
		Entry("refusal by the endpoint", writing, responding(true, func(r *endpointv1.Run) *endpointv1.ConnectResponse { return failureFrame(r.GetId(), true) }), notRun, refusal.StatementFailed),
		Entry("failure at the endpoint", writing, responding(true, func(r *endpointv1.Run) *endpointv1.ConnectResponse { return failureFrame(r.GetId(), false) }), unknown, refusal.StatementFailed),
		Entry("not durable", writing, func(f *fixture) { f.observer.notDurable = true }, unknown, refusal.DeadlineExceeded),
		Entry("stream broken after a write was sent", writing, responding(false), unknown, refusal.ConnectionLost),
		Entry("stream broken in the middle of a response", writing, responding(false, piece(0, false)), unknown, refusal.ConnectionLost),
		Entry("stream broken after a read was sent", reading, responding(false), unknown, refusal.ConnectionLost),
		Entry("piece missing until the deadline", writing, responding(true, piece(0, false), piece(2, true)), unknown, refusal.DeadlineExceeded),
		Entry("another last piece after the complete response", reading, responding(true, piece(0, true), piece(1, true)), ok, refusal.Reason("")),
		Entry("piece after the last", reading, responding(true, piece(2, true), piece(3, false)), unknown, refusal.ConnectionLost),
		Entry("primary not confirmed by a majority", reading, func(f *fixture) { f.observer.confirmed = false }, notRun, refusal.NotPrimary),
		Entry("primary responds with an older term", reading, func(f *fixture) { f.observer.view.Term = 2 }, notRun, refusal.NotPrimary),
	)

	It("orders the pieces and discards those of other steps", func() {
		// Guards against rows that are out of order, duplicated or from another step.
		responding(true, otherStep, piece(2, true), piece(0, false), otherStep, piece(0, false), piece(1, false))(f)
		result, rows := f.run(newRequest(reading, "c"))
		expectResult(result, ok, "")
		Expect(rows).To(HaveLen(3))
		Expect(result.GetTotalRows()).To(BeEquivalentTo(3))
	})

	It("limits the position of a read to the durable position", func() {
		// Guards against a session that requires a log entry which a failover can lose.
		result, _ := f.run(newRequest(reading, "c"))
		Expect(result.GetPosition().GetIndex()).To(BeEquivalentTo(4))
	})

	DescribeTable("resolves the outcome of a write whose response was lost",
		// Guards against reporting a write as not run without proof, and against an
		// unknown outcome where there is proof.
		func(found failover.Resolution, outcome callerv1.Outcome, reason refusal.Reason) {
			f.endpoint.respond = func(*endpointv1.Run) ([]*endpointv1.ConnectResponse, bool) { return nil, false }
			f.observer.resolution = found
			result, rows := f.run(newRequest(writing, "c"))
			expectResult(result, outcome, reason)
			Expect(rows).To(HaveLen(len(found.Rows)))
			Expect(result.GetRowsAffected()).To(Equal(found.RowsAffected))
			Expect(f.observer.resolvedTerms).To(HaveExactElements(uint64(1)), "the term in which the write was sent")
		},
		Entry("in the log of the primary", failover.Resolution{
			Outcome:      refusal.Done,
			Position:     logpos.Position{Term: 2, Index: 7},
			Rows:         []*callerv1.Row{{Columns: []string{"recorded"}}},
			RowsAffected: 3,
		}, callerv1.Outcome_OUTCOME_DONE, refusal.Reason("")),
		Entry("not in the log of a newer primary", failover.Resolution{Outcome: refusal.NotRun}, notRun, refusal.NotPrimary),
		Entry("no proof", failover.Resolution{Outcome: refusal.Unknown}, unknown, refusal.ConnectionLost),
	)

	It("removes a waiting write from the queue when the primary is replaced", func() {
		// Guards against writes that stay queued behind statements that are blocked
		// at a lost primary.
		release := make(chan struct{})
		f.endpoint.respond = func(run *endpointv1.Run) ([]*endpointv1.ConnectResponse, bool) {
			<-release
			return []*endpointv1.ConnectResponse{pieceFrame(run, 0, true)}, true
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
			if client, ok := f.home.clients["e"]; ok {
				return client.taskCount()
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

	It("uses at most half of the connections and replaces those to an old address", func() {
		// Guards against a home that leaves no connections to other VMs, and against
		// connections to an address that the endpoint has left.
		id := f.begin()
		f.begin()
		var requests sync.WaitGroup
		for range 12 {
			requests.Go(func() {
				f.home.Execute(context.Background(), newRequest(reading, "c"), func([]*callerv1.Row) error { return nil })
			})
		}
		requests.Wait()
		_, maximum := f.endpoint.connectionCounts()
		Expect(maximum).To(BeNumerically("<=", 5))
		moved := newFakeEndpoint()
		f.declareEndpoint(moved.address())
		result, _ := f.run(newRequest(reading, "c"))
		expectResult(result, ok, "")
		Eventually(func() int { open, _ := f.endpoint.connectionCounts(); return open }).Should(Equal(2), "open transactions")
		Expect(moved.commands).To(HaveLen(1))
		f.run(inTransaction(id, endpointv1.Verb_VERB_COMMIT, "c"))
		Eventually(func() int { open, _ := f.endpoint.connectionCounts(); return open }).Should(Equal(1), "the transaction that is still open")
	})

	It("opens connections in advance", func() {
		// Guards against statements that wait until a connection is open.
		f.home.reconcile(context.Background())
		Eventually(func() int { open, _ := f.endpoint.connectionCounts(); return open }).Should(Equal(3))
	})
})

var _ = Describe("Transactions", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	It("never share a connection", func() {
		// Guards against statements that run inside of another transaction.
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
		for _, commands := range f.endpoint.commands {
			kinds := slices.Compact(slices.Sorted(slices.Values(commands)))
			kinds = slices.DeleteFunc(kinds, func(c string) bool { return c == "begin" })
			Expect(len(kinds)).To(BeNumerically("<=", 1), strings.Join(kinds, " and "))
			total += len(commands)
		}
		Expect(total).To(Equal(62))
	})

	It("run one statement at a time", func() {
		id := f.begin()
		release := make(chan struct{})
		f.endpoint.respond = func(run *endpointv1.Run) ([]*endpointv1.ConnectResponse, bool) {
			<-release
			return []*endpointv1.ConnectResponse{pieceFrame(run, 0, true)}, true
		}
		var requests sync.WaitGroup
		for i := range 3 {
			requests.Go(func() {
				f.home.Execute(context.Background(), inTransaction(id, endpointv1.Verb_VERB_EXECUTE, fmt.Sprint(i)), func([]*callerv1.Row) error { return nil })
			})
		}
		connection := f.home.transactions[id].connection
		sent := func() int {
			connection.mu.Lock()
			defer connection.mu.Unlock()
			return len(connection.pending)
		}
		Eventually(sent).Should(Equal(1))
		Consistently(sent, 100*time.Millisecond).Should(Equal(1))
		close(release)
		requests.Wait()
	})

	It("are rolled back when idle, and the outcome of a repeated commit is unknown", func() {
		// Guards against idle transactions that keep their connections.
		id := f.begin()
		f.clock.Advance(DefaultIdleTimeout - time.Second)
		f.home.rollBackIdleTransactions()
		result, _ := f.run(inTransaction(id, endpointv1.Verb_VERB_EXECUTE, "c"))
		expectResult(result, ok, "")
		f.clock.Advance(DefaultIdleTimeout)
		f.home.rollBackIdleTransactions()
		Eventually(func() int { open, _ := f.endpoint.connectionCounts(); return open }).Should(BeZero())
		result, _ = f.run(inTransaction(id, endpointv1.Verb_VERB_EXECUTE, "c"))
		expectResult(result, notRun, refusal.TransactionUnknown)
		result, _ = f.run(inTransaction(id, endpointv1.Verb_VERB_COMMIT, "c"))
		expectResult(result, unknown, refusal.TransactionUnknown)
	})

	It("cannot be used by another workspace", func() {
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
		Entry("response lost", responding(false), unknown, refusal.ConnectionLost, 0),
		Entry("refused by the endpoint", responding(true, func(r *endpointv1.Run) *endpointv1.ConnectResponse { return failureFrame(r.GetId(), true) }), notRun, refusal.StatementFailed, 0),
		Entry("not durable", func(f *fixture) { f.observer.notDurable = true }, unknown, refusal.DeadlineExceeded, 0),
		Entry("replication stalled before it was sent", func(f *fixture) { f.observer.stalled = true }, notRun, refusal.ReplicationStalled, 1),
	)

	It("are completed during a drain, which refuses new steps", func() {
		// Guards against a drain that ends open transactions.
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
