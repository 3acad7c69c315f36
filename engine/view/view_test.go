package view_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/view"
	"amaranthdock.dev/timer"
)

func TestView(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine/view")
}

// fixture is a view on a clock that is moved by hand.
type fixture struct {
	*view.View
	clock *timer.Manual
	down  map[string]bool
}

func newFixture() *fixture {
	f := &fixture{
		clock: timer.NewManual(timer.ManualConfig{}),
		down:  map[string]bool{},
	}
	f.View = view.New(view.Config{
		Self: vm("self", "a1"),
		Regions: map[string]string{
			"a1": "a",
			"a2": "a",
			"b1": "b",
		},
		Timer:       f.clock,
		Log:         logr.Discard(),
		Unreachable: func(name string) bool { return f.down[name] },
	})
	return f
}

func vm(name, dataCentre string) catalog.VM {
	return catalog.VM{
		Name:        name,
		DataCentre:  dataCentre,
		Region:      dataCentre[:1],
		Incarnation: 1,
	}
}

// fleet is a revision of registrations.
func fleet(revision uint64, vms ...catalog.VM) *catalog.VMSnapshot {
	f := &catalog.VMSnapshot{
		Revision: revision,
		ByName:   map[string]catalog.VM{},
	}
	for _, v := range vms {
		f.ByName[v.Name] = v
	}
	return f
}

// member is an endpoint of the database "db".
func member(id string, role catalog.Role) catalog.Endpoint {
	return catalog.Endpoint{
		Key:        catalog.EndpointKey{ID: id},
		Database:   "db",
		DataCentre: "a2",
		Slots:      5,
		Role:       role,
	}
}

func members(revision uint64, all ...catalog.Endpoint) *catalog.EndpointSnapshot {
	e := &catalog.EndpointSnapshot{
		Revision: revision,
		ByID:     map[string]catalog.Endpoint{},
	}
	for _, m := range all {
		e.ByID[m.Key.ID] = m
	}
	return e
}

// expectPrimary guards against statements for an endpoint that does not lead.
func (f *fixture) expectPrimary(id string) {
	GinkgoHelper()
	primary, ok := f.Primary("db")
	Expect(ok).To(Equal(id != ""))
	Expect(primary.Key.ID).To(Equal(id))
}

// expectHomes guards against homes in a wrong order.
func (f *fixture) expectHomes(names ...string) {
	GinkgoHelper()
	var found []string
	for _, home := range f.Homes(member("e1", catalog.RoleReplica)) {
		found = append(found, home.Name)
	}
	Expect(found).To(Equal(names))
}

var _ = Describe("knowledge", func() {
	var f *fixture

	BeforeEach(func() { f = newFixture() })

	It("of configurations never falls back", func() {
		Expect(f.AcceptConfiguration(&catalog.Configuration{Version: 7}, "test")).To(BeTrue())
		for _, version := range []uint64{7, 6, 1} {
			Expect(f.AcceptConfiguration(&catalog.Configuration{Version: version}, "test")).To(BeFalse())
		}
		Expect(f.Configuration().Version).To(Equal(uint64(7)))
	})

	It("of endpoints never falls back to a stale read", func() {
		f.AcceptEndpoints(members(9, member("p", catalog.RolePrimary)), "test")
		Expect(f.AcceptEndpoints(members(8), "test")).To(BeFalse())
		Expect(f.Present(catalog.EndpointKey{ID: "p"})).To(BeTrue())
		f.AcceptEndpoints(members(10), "test")
		Expect(f.Present(catalog.EndpointKey{ID: "p"})).To(BeFalse())
	})

	// Leases of registrations may lapse while the store is away.
	It("of a VM that was heard from outlives its registration for a while", func() {
		f.AcceptVMs(fleet(1, vm("self", "a1"), vm("b", "a2"), vm("c", "a2")), "test")
		f.RecordContact("b")
		f.AcceptVMs(fleet(2, vm("self", "a1")), "test")
		Expect(f.VMs().ByName).To(HaveKey("b"))
		Expect(f.VMs().ByName).NotTo(HaveKey("c"))
		f.clock.Advance(time.Minute)
		f.AcceptVMs(fleet(3, vm("self", "a1")), "test")
		Expect(f.VMs().ByName).NotTo(HaveKey("b"))
	})

	It("of a VM that has left does not outlive its registration", func() {
		f.AcceptVMs(fleet(1, vm("self", "a1"), vm("b", "a2")), "test")
		f.RecordContact("b")
		f.SetLeaving("b", 1, true)
		f.AcceptVMs(fleet(2, vm("self", "a1")), "test")
		Expect(f.VMs().ByName).NotTo(HaveKey("b"))
	})

	It("wakes those who wait for a change", func() {
		changed := f.Changed()
		Expect(changed).NotTo(BeClosed())
		f.AcceptConfiguration(&catalog.Configuration{Version: 1}, "test")
		Expect(changed).To(BeClosed())
	})
})

var _ = Describe("homes", func() {
	var f *fixture

	BeforeEach(func() {
		f = newFixture()
		f.AcceptVMs(fleet(1, vm("self", "a1"), vm("near", "a2"), vm("far", "b1")), "test")
	})

	It("are in the endpoint's data centre first, then in its region", func() {
		f.expectHomes("near", "self", "far")
		Expect(f.FirstHome(member("e1", catalog.RoleReplica))).To(BeFalse())
	})

	It("pass over a VM that could not be reached", func() {
		f.down["near"] = true
		f.expectHomes("self", "far", "near")
		Expect(f.FirstHome(member("e1", catalog.RoleReplica))).To(BeTrue())
	})

	It("pass over a VM that is leaving, until it starts anew", func() {
		f.SetLeaving("near", 1, true)
		f.expectHomes("self", "far", "near")
		again := vm("near", "a2")
		again.Incarnation = 2
		f.AcceptVMs(fleet(2, vm("self", "a1"), again, vm("far", "b1")), "test")
		f.expectHomes("near", "self", "far")
	})

	It("include this VM before it is registered", func() {
		f = newFixture()
		f.expectHomes("self")
	})
})

var _ = Describe("the primary", func() {
	var f *fixture
	p, r := member("p", catalog.RolePrimary), member("r", catalog.RoleReplica)

	BeforeEach(func() {
		f = newFixture()
		f.AcceptEndpoints(members(1, p, r), "test")
	})

	// proved is an answer by which an endpoint shows that it leads.
	proved := func(e catalog.Endpoint, term uint64) {
		f.BeginStatement(e)
		f.EndStatement(e, view.StatementOutcome{
			ProvedPrimary: true,
			Position:      logpos.Position{Term: term},
		})
	}
	refused := func(e catalog.Endpoint) {
		f.BeginStatement(e)
		f.EndStatement(e, view.StatementOutcome{NotPrimary: true})
	}

	It("is the endpoint that reports it", func() { f.expectPrimary("p") })

	It("is missed where the configuration names the database, unless one is being promoted", func() {
		declared := &catalog.Configuration{
			Version:   1,
			Databases: map[string]catalog.Database{"db": {Name: "db"}},
		}
		Expect(f.IsPrimaryMissing()).To(BeFalse())
		f.AcceptConfiguration(declared, "test")
		Expect(f.IsPrimaryMissing()).To(BeFalse())
		refused(p)
		Expect(f.IsPrimaryMissing()).To(BeTrue())
		f.RecordPromotion("db", "r", false)
		Expect(f.IsPrimaryMissing()).To(BeFalse())
	})

	It("is none while the only one that reports it has refused", func() {
		refused(p)
		f.expectPrimary("")
		f.AcceptEndpoints(members(2, p, r), "test")
		f.expectPrimary("")
	})

	It("is none between the order of a promotion and its effect", func() {
		f.RecordPromotion("db", "r", false)
		f.expectPrimary("")
		f.RecordPromotion("db", "r", true)
		f.expectPrimary("r")
	})

	It("is the reported one again when an order has no effect", func() {
		f.RecordPromotion("db", "r", false)
		f.clock.Advance(5 * time.Second)
		f.expectPrimary("p")
	})

	It("is the one that proved the newest term, whatever the reports say", func() {
		proved(p, 1)
		proved(r, 2)
		f.expectPrimary("r")
	})

	It("is not an old one whose answer arrives late", func() {
		proved(p, 1)
		refused(p)
		f.RecordPromotion("db", "r", true)
		proved(r, 2)
		proved(p, 1)
		f.expectPrimary("r")
	})

	It("is found again when the endpoint starts anew", func() {
		refused(p)
		again := p
		again.Key.Born = time.Unix(5, 0)
		f.AcceptEndpoints(members(2, again, r), "test")
		f.expectPrimary("p")
	})
})

var _ = Describe("candidates for reads", func() {
	It("leave out endpoints that drain, are passed over or were not reached", func() {
		f := newFixture()
		draining := member("draining", catalog.RoleReplica)
		draining.Draining = true
		lost := member("lost", catalog.RoleReplica)
		f.AcceptEndpoints(members(1, member("p", catalog.RolePrimary), draining, lost, member("passed", catalog.RoleReplica)), "test")
		f.BeginStatement(lost)
		f.EndStatement(lost, view.StatementOutcome{Unreachable: true})
		candidates := f.Candidates("db", map[string]bool{"passed": true})
		Expect(candidates).To(HaveLen(1))
		Expect(candidates[0].ID).To(Equal("p"))
		f.clock.Advance(time.Second)
		Expect(f.Candidates("db", nil)).To(HaveLen(3))
	})

	It("need samples that are young on a clock which counts suspensions", func() {
		f := newFixture()
		f.AddSample("db", f.SinceBoot(), logpos.Position{Term: 1})
		_, ok := f.RequiredPosition("db", time.Second)
		Expect(ok).To(BeTrue())
		f.clock.Suspend(2 * time.Second)
		_, ok = f.RequiredPosition("db", time.Second)
		Expect(ok).To(BeFalse())
	})
})
