package view_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/slowstart"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/view"
)

var _ = Describe("a cold endpoint", func() {
	var f *fixture
	revision := uint64(0)
	cold := endpoint("e", catalog.RoleReplica)

	// report accepts a report of the endpoint.
	report := func(born int64, coldFor time.Duration) {
		revision++
		cold.Key.Born = time.UnixMilli(born)
		cold.ColdFor = coldFor
		f.AcceptEndpoints(&catalog.EndpointSnapshot{
			Revision: revision,
			ByID:     map[string]catalog.Endpoint{"e": cold},
		}, "test")
	}

	BeforeEach(func() {
		f = newFixture()
		f.AcceptConfiguration(&catalog.Configuration{
			Version:   1,
			Databases: map[string]catalog.Database{"db": {Name: "db", ColdRate: 12}},
		}, "test")
		f.AcceptVMs(registrations(1, vm("self", "a2")), "test")
		f.clock.Advance(time.Minute)
	})

	It("stays cold for the reported time, and again after a restart", func() {
		// Guards against an endpoint that is flooded while it is still slow, and against one
		// that stays limited because its reports are repeated.
		report(1, 8*time.Second)
		Expect(f.Coldness(cold)).To(Equal(slowstart.Coldness{
			Rate:  12,
			Until: 68 * time.Second,
			Share: 1,
		}))
		f.clock.Advance(2 * time.Second)
		report(1, 8*time.Second)
		Expect(f.Coldness(cold).Until).To(Equal(68 * time.Second))
		report(1, 3*time.Second)
		Expect(f.Coldness(cold).Until).To(Equal(65 * time.Second))
		f.clock.Suspend(10 * time.Second)
		report(2, 8*time.Second)
		Expect(f.Coldness(cold).Until).To(Equal(80 * time.Second))
	})

	It("is not limited without a rate or a cold time", func() {
		report(1, 0)
		Expect(f.Coldness(cold).Limited(f.clock.SinceBoot())).To(BeFalse())
		other := cold
		other.Database = "other"
		Expect(f.Coldness(other)).To(Equal(slowstart.Coldness{}))
	})

	It("is left to other endpoints while its home reports that its budget is spent", func() {
		// Guards against reads that each ask the home first.
		report(1, 8*time.Second)
		f.BeginStatement(cold)
		f.EndStatement(cold, view.StatementOutcome{BudgetWait: 300 * time.Millisecond})
		f.clock.Advance(100 * time.Millisecond)
		Expect(f.Candidates("db", nil)[0].Penalty).To(Equal(200 * time.Millisecond))
		f.clock.Advance(time.Second)
		Expect(f.Candidates("db", nil)[0].Penalty).To(BeZero())
	})

	// ranking registers three VMs with this one at a place of the ranking, and returns the
	// names of the others in their order.
	ranking := func(place int) []string {
		for i := range 100 {
			id := string(rune('a'+i%26)) + string(rune('a'+i/26))
			cold = endpoint(id, catalog.RoleReplica)
			f.AcceptVMs(registrations(uint64(2+i), vm("self", "a2"), vm("v1", "a2"), vm("v2", "a2")), "test")
			homes := f.Homes(cold, 3)
			if homes[place].Name != "self" {
				continue
			}
			cold.ColdFor = 8 * time.Second
			revision++
			f.AcceptEndpoints(&catalog.EndpointSnapshot{
				Revision: revision,
				ByID:     map[string]catalog.Endpoint{id: cold},
			}, "test")
			var others []string
			for _, h := range homes {
				if h.Name != "self" {
					others = append(others, h.Name)
				}
			}
			return others
		}
		Fail("no endpoint has this ranking")
		return nil
	}

	It("is taken over by the second VM of the ranking until the first responds again", func() {
		// Guards against a successor that gives up its budget whenever the backoff of the next
		// attempt to connect to the lost home has passed.
		others := ranking(1)
		Expect(f.Coldness(cold).Share).To(BeZero())
		f.unreachable[others[0]] = true
		Expect(f.Coldness(cold).Share).To(Equal(slowstart.SecondHomeShare))
		f.unreachable[others[0]] = false
		f.clock.Advance(time.Second)
		Expect(f.Coldness(cold).Share).To(Equal(slowstart.SecondHomeShare))
		f.RecordContact(others[0])
		Expect(f.Coldness(cold).Share).To(BeZero())
	})

	It("has no home in a VM that is leaving", func() {
		// Guards against several VMs that leave at the same time and each send the allowance of
		// a home, beside the one that the rest of the fleet has chosen.
		ranking(0)
		Expect(f.Coldness(cold).Share).To(Equal(1.0))
		f.leaving = true
		Expect(f.Coldness(cold).Share).To(BeZero())
		f.leaving = false
		f.unreachable[ranking(1)[0]] = true
		Expect(f.Coldness(cold).Share).To(Equal(slowstart.SecondHomeShare))
		f.leaving = true
		Expect(f.Coldness(cold).Share).To(BeZero())
	})

	It("is never taken over by the third VM of the ranking", func() {
		// Guards against VMs that are cut off from the fleet and all take themselves for the
		// home, so that the endpoint gets several times what it tolerates.
		for _, other := range ranking(2) {
			f.unreachable[other] = true
		}
		Expect(f.IsFirstHome(cold)).To(BeTrue())
		Expect(f.Coldness(cold).Share).To(BeZero())
	})
})
