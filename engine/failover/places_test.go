package failover_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/engine/catalog"
)

// place reports the endpoints with a as the primary, in the given data centres.
func (f *fixture) place(dataCentres map[string]string) {
	f.reportEndpoints("a", func(id string, e *catalog.Endpoint) bool {
		e.DataCentre = dataCentres[id]
		return true
	})
}

// evacuate replaces the set of evacuated data centres.
func (f *fixture) evacuate(revision uint64, names ...string) {
	ages := map[string]time.Duration{}
	for _, name := range names {
		ages[name] = 0
	}
	f.view.AcceptEvacuations(revision, ages, "test")
}

// requireSyncReplica makes commits wait for a replica.
func (f *fixture) requireSyncReplica() {
	f.view.AcceptConfiguration(&catalog.Configuration{
		Version: 2,
		Databases: map[string]catalog.Database{"db": {
			Name:         "db",
			SyncReplicas: 1,
		}},
	}, "test")
}

// awaitStepDown waits until the primary has stepped down.
func (f *fixture) awaitStepDown() {
	GinkgoHelper()
	Eventually(func() bool {
		f.database.mu.Lock()
		defer f.database.mu.Unlock()
		return f.database.primary == ""
	}).WithTimeout(3 * time.Second).Should(BeTrue())
}

// queried returns the endpoints that received a control command since the last call.
func (f *fixture) queried() []string {
	f.database.mu.Lock()
	defer f.database.mu.Unlock()
	ids := f.database.queriedIDs
	f.database.queriedIDs = nil
	return ids
}

var _ = Describe("a primary in an evacuated data centre", func() {
	var f *fixture

	BeforeEach(func() {
		f = newFixture()
		f.place(map[string]string{
			"a": "a1",
			"b": "b1",
			"c": "a2",
		})
		f.queried()
	})

	It("is replaced in a planned way, also if the leader is in that data centre", func() {
		go func() {
			time.Sleep(400 * time.Millisecond)
			f.database.update(func() { f.database.received["b"] = 50 })
		}()
		f.evacuate(1, "a1")
		f.expectPromotion("b")
		Expect(f.database.requestedPromotions()).To(Equal([]string{"b"}))
	})

	It("is not succeeded by an endpoint in another evacuated data centre, which gets no queries", func() {
		// Guards against a successor that has received most, but has to be replaced at once.
		f.evacuate(1, "a1", "a2")
		f.expectPromotion("b")
		Expect(f.queried()).NotTo(ContainElement("c"))
	})

	It("stays if all endpoints are evacuated, and gets no control commands after the limit", func() {
		f.view.AcceptEvacuations(1, map[string]time.Duration{
			"a1": evacuationLimit,
			"a2": evacuationLimit,
			"b1": evacuationLimit,
		}, "test")
		f.expectNoPromotion()
		Expect(f.queried()).To(BeEmpty())
	})

	It("stays if the evacuation is cancelled while no endpoint can succeed it", func() {
		// Guards against a database without a primary after a cancelled evacuation.
		f.requireSyncReplica()
		f.evacuate(1, "a1")
		f.awaitStepDown()
		f.evacuate(2)
		f.expectPromotion("a")
	})

	It("does not lead again if no replica has received its whole log in time", func() {
		// Guards against a primary that leads again and is then refused all writes.
		f.requireSyncReplica()
		f.evacuate(1, "a1")
		f.awaitStepDown()
		time.Sleep(1700 * time.Millisecond)
		Expect(f.database.requestedPromotions()).To(BeEmpty())
		f.reportEndpoints("", nil)
		Eventually(f.database.requestedPromotions).WithTimeout(5 * time.Second).Should(Equal([]string{"c"}))
	})

	It("that is lost is replaced although it gets no statements any more", func() {
		// Guards against a planned replacement that waits for ever for a primary that is gone,
		// which no home reports because none sends it statements.
		f.database.update(func() { f.database.unreachable["a"] = true })
		f.evacuate(1, "a1")
		Eventually(f.database.requestedPromotions).WithTimeout(5 * time.Second).Should(Equal([]string{"c"}))
	})
})

var _ = Describe("the successor of a primary", func() {
	It("is the endpoint that most routes of the database allow", func() {
		f := newFixture()
		f.place(map[string]string{
			"a": "a1",
			"b": "b1",
			"c": "a2",
		})
		f.database.update(func() { f.database.received["b"], f.database.received["c"] = 50, 50 })
		route := func(database string, regions catalog.Regions) catalog.Route {
			return catalog.Route{
				Database: database,
				Regions:  regions,
			}
		}
		f.view.AcceptConfiguration(&catalog.Configuration{
			Version:   2,
			Databases: map[string]catalog.Database{"db": {Name: "db"}},
			Routes: map[string]catalog.Route{
				"h1": route("db", "b"),
				"h2": route("db", ""),
				"h3": route("other", "a"),
				"h4": route("other", "a"),
			},
		}, "test")
		f.evacuate(1, "a1")
		f.expectPromotion("b")
	})
})

var _ = Describe("the successor of a draining primary", func() {
	It("is an endpoint that is not cold", func() {
		// Guards against a primary that refuses most requests because it has just started.
		f := newFixture()
		f.database.update(func() { f.database.received["b"], f.database.received["c"] = 50, 50 })
		f.view.AcceptConfiguration(&catalog.Configuration{
			Version: 2,
			Databases: map[string]catalog.Database{"db": {
				Name:     "db",
				ColdRate: 10,
			}},
		}, "test")
		f.reportEndpoints("a", func(id string, e *catalog.Endpoint) bool {
			e.Draining = id == "a"
			if id == "b" {
				e.ColdFor = time.Minute
			}
			return true
		})
		f.expectPromotion("c")
		Expect(f.database.requestedPromotions()).To(Equal([]string{"c"}))
	})
})
