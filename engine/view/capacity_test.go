package view_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/placement"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/view"
)

var _ = Describe("the capacity of endpoints", func() {
	var f *fixture
	slow, fast := endpoint("e1", catalog.RoleReplica), endpoint("e2", catalog.RoleReplica)

	BeforeEach(func() {
		f = newFixture()
		f.AcceptEndpoints(endpoints(1, slow, fast), "test")
	})

	// read records a read at an endpoint with the time that its home reports.
	read := func(e catalog.Endpoint, priority int, serviceTime time.Duration) {
		f.BeginStatement(e)
		f.EndStatement(e, view.StatementOutcome{Duration: 30 * time.Millisecond})
		f.RecordCapacity(e, priority, peer.EndpointReport{
			Capacity:    3,
			ServiceTime: serviceTime,
		})
	}
	// choose returns the endpoint of the next read.
	choose := func() string {
		id, ok := placement.Choose(placement.Location{
			DataCentre: "a1",
			Region:     "a",
		}, logpos.Position{}, f.Candidates("db", nil))
		Expect(ok).To(BeTrue())
		return id
	}

	It("keeps reads from an endpoint that is much slower, also if this VM has none there", func() {
		// Guards against reads at a slow endpoint while a fast one is idle: the mean time that a
		// VM measures itself counts only for its statements in progress.
		read(slow, 0, 100*time.Millisecond)
		read(fast, 0, 25*time.Millisecond)
		Expect(choose()).To(Equal("e2"))
	})

	It("tries the endpoint again after a while", func() {
		// Guards against an endpoint without reads after it has recovered.
		read(slow, 0, 100*time.Millisecond)
		read(fast, 0, 25*time.Millisecond)
		f.clock.Advance(4 * time.Second)
		read(fast, 0, 25*time.Millisecond)
		f.BeginStatement(fast)
		Expect(choose()).To(Equal("e1"))
	})

	It("does not depend on the kinds of reads that the endpoints got", func() {
		// Guards against taking an endpoint with expensive reads for a slow one.
		read(slow, 2, 100*time.Millisecond)
		read(fast, 0, 25*time.Millisecond)
		Expect(choose()).To(Equal("e1"))
	})

	It("keeps reads from an endpoint at whose learned limit statements wait", func() {
		// Guards against an equal share of reads for an endpoint with a low limit: the wait that a
		// response predicts is forgotten before this VM sends its next read.
		read(slow, 0, 25*time.Millisecond)
		f.RecordCapacity(slow, 0, peer.EndpointReport{
			Capacity: 2,
			SlotWait: 40 * time.Millisecond,
		})
		f.clock.Advance(900 * time.Millisecond)
		Expect(choose()).To(Equal("e2"))
		f.RecordCapacity(slow, 0, peer.EndpointReport{Capacity: 5})
		Expect(choose()).To(Equal("e1"))
	})

	It("is the reported limit while the report is recent", func() {
		// Guards against a limit that is used long after the endpoint has recovered.
		read(slow, 0, 25*time.Millisecond)
		capacities := func() map[string]int {
			found := map[string]int{}
			for _, c := range f.Candidates("db", nil) {
				found[c.ID] = c.Capacity
			}
			return found
		}
		Expect(capacities()).To(Equal(map[string]int{
			"e1": 3,
			"e2": 0,
		}))
		f.clock.Advance(6 * time.Second)
		Expect(capacities()).To(Equal(map[string]int{
			"e1": 0,
			"e2": 0,
		}))
	})
})
