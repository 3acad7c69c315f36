package endpoint

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"google.golang.org/protobuf/types/known/durationpb"

	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/decision/scheduling"
)

var _ = Describe("ExplainStep", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	explain := func(request *peerv1.ForwardRequest) *peerv1.ExplainStepResponse {
		GinkgoHelper()
		response, err := f.home.ExplainStep(context.Background(), request)
		Expect(err).NotTo(HaveOccurred())
		return response
	}
	newBegin := func() *peerv1.ForwardRequest {
		request := newRequest(writing, "begin")
		request.Verb = endpointv1.Verb_VERB_BEGIN
		return request
	}

	It("sends no statement, opens no connection and reserves nothing", func() {
		// Guards against an explanation that costs the endpoint a connection or a slot, at
		// a home without connections and at one with some.
		requests := []*peerv1.ForwardRequest{newRequest(reading, "c"), newRequest(writing, "c"), newBegin()}
		for range 20 {
			for _, request := range requests {
				expectResult(explain(request).GetResult(), ok, "")
			}
		}
		Expect(f.home.clients).To(BeEmpty())
		Expect(f.endpoint.commands).To(BeEmpty())
		f.run(newRequest(reading, "real"))
		id := f.begin()
		client, _ := f.home.existingClient("e")
		before := client.dump(false)
		for range 20 {
			for _, request := range requests {
				expectResult(explain(request).GetResult(), ok, "")
			}
		}
		Expect(client.dump(false)).To(Equal(before))
		Expect(f.home.inFlight.Count()).To(Equal(1), "only the open transaction is in flight")
		f.run(inTransaction(id, endpointv1.Verb_VERB_COMMIT, "commit"))
		Expect(f.endpoint.commands).To(Equal([][]string{{"real", "begin", "commit"}}))
		Expect(f.observer.temporaryWatches).To(BeEmpty())
	})

	DescribeTable("returns the refusal of the step",
		// Guards against an explanation that differs from what the home does.
		func(request func() *peerv1.ForwardRequest, fault func(*fixture), exclusion routing.Exclusion) {
			fault(f)
			executed, _ := f.run(request())
			explained := explain(request())
			expectResult(explained.GetResult(), notRun, refusal.Reason(executed.GetReason()))
			Expect(explained.GetResult().GetRetryAfter().AsDuration()).To(Equal(executed.GetRetryAfter().AsDuration()))
			Expect(explained.GetExclusion()).To(BeEquivalentTo(exclusion))
		},
		Entry("write at a replaced primary", writeRequest, func(f *fixture) { f.observer.view.Primary = "other" }, routing.NotPrimary),
		Entry("write with stalled replication", writeRequest, func(f *fixture) { f.observer.stalled = true }, routing.RefusedByHome),
		Entry("write without a primary", writeRequest, func(f *fixture) { f.observer.view.Primary = "" }, routing.RefusedByHome),
		Entry("begin at a replaced primary", newBegin, func(f *fixture) { f.observer.view.Primary = "other" }, routing.NotPrimary),
		Entry("read at an unconfirmed primary", readRequest, func(f *fixture) { f.observer.confirmed = false }, routing.PrimaryNotConfirmed),
		Entry("read at a replica without a position", readRequest, func(f *fixture) { f.observer.view.Primary = "other" }, routing.PrimaryRequired),
		Entry("read at a replica that is behind", positionRequest, behind, routing.BehindPosition),
		Entry("read at a replica with old data", maxAgeRequest, behind, routing.TooOld),
		Entry("leaving home", readRequest, func(f *fixture) { f.home.draining = true }, routing.RefusedByHome),
		Entry("unknown endpoint", func() *peerv1.ForwardRequest {
			request := newRequest(reading, "c")
			request.Endpoint = "none"
			return request
		}, func(*fixture) {}, routing.RefusedByHome),
		Entry("no configuration", readRequest, func(f *fixture) { f.snapshot = nil }, routing.RefusedByHome),
	)

	It("returns the queue's decision, the expected wait and the use of the endpoint", func() {
		f.home.config.NewQueue = func(c QueueConfig) Queue {
			return scheduling.New(scheduling.Config{
				Slots:              c.Slots,
				MaxWait:            time.Millisecond,
				InitialServiceTime: time.Second,
			})
		}
		declared, _ := f.snapshot.Endpoint("e")
		f.home.mu.Lock()
		client := f.home.clientFor(f.snapshot, declared)
		f.home.mu.Unlock()
		client.mu.Lock()
		for id := range uint64(fixtureSlots + 1) {
			client.queue.Enqueue(f.clock.Now(), scheduling.Item{ID: 100 + id, Subject: "w", Weight: 1, Deadline: f.clock.Now().Add(time.Hour)})
			client.queue.Next(f.clock.Now())
		}
		client.mu.Unlock()
		explained := explain(newRequest(reading, "c"))
		expectResult(explained.GetResult(), notRun, refusal.Overloaded)
		Expect(explained.GetExclusion()).To(BeEquivalentTo(routing.OverCapacity))
		Expect(explained.GetResult().GetRetryAfter().AsDuration()).To(BeNumerically(">", 0))
		Expect(explained.GetQueueWait().AsDuration()).To(BeNumerically(">", 0))
		Expect(explained.GetSlots()).To(BeEquivalentTo(fixtureSlots))
		Expect(explained.GetConnections()).To(BeZero())
		Expect(explained.GetConnectionLimit()).To(BeEquivalentTo(5))
	})

	It("returns how long a read waits for its position", func() {
		// Guards against a read that is explained as served although it may go on to
		// another endpoint.
		behind(f)
		f.observer.catchUpKnown = true
		explained := explain(positionRequest())
		expectResult(explained.GetResult(), ok, "")
		Expect(explained.GetCatchUp()).NotTo(BeNil())
		Expect(explained.GetCatchUpLimit().AsDuration()).To(BeNumerically(">", 0))
	})

	It("refuses a transaction beyond the limit of open ones", func() {
		for range declaredPins {
			f.begin()
		}
		explained := explain(newBegin())
		expectResult(explained.GetResult(), notRun, refusal.Overloaded)
		Expect(explained.GetTransactions()).To(Equal(explained.GetTransactionLimit()))
	})
})

// declaredPins is the number of transactions that the home of the fake endpoint keeps open:
// half of its 10 connections without its slots.
const declaredPins = 10/2 - fixtureSlots

func readRequest() *peerv1.ForwardRequest  { return newRequest(reading, "c") }
func writeRequest() *peerv1.ForwardRequest { return newRequest(writing, "c") }

func positionRequest() *peerv1.ForwardRequest {
	request := readRequest()
	request.Required = &endpointv1.Position{Term: 1, Index: 9}
	return request
}

func maxAgeRequest() *peerv1.ForwardRequest {
	request := readRequest()
	request.MaxAge = durationpb.New(time.Second)
	return request
}

// behind makes the endpoint a replica whose data is old.
func behind(f *fixture) {
	f.observer.view.Primary = "other"
	f.observer.view.Members = []routing.MemberView{{
		Endpoint:     "e",
		Reachable:    true,
		LastPosition: logpos.Position{Term: 1, Index: 2},
		Age:          time.Minute,
		AgeKnown:     true,
	}}
}
