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

// fixture is a view with a manual clock.
type fixture struct {
	*view.View
	clock       *timer.Manual
	unreachable map[string]bool
	leaving     bool
}

// evacuationLimit is the time after which an evacuated data centre may get no more requests.
const evacuationLimit = 5 * time.Second

func newFixture() *fixture {
	f := &fixture{
		clock:       timer.NewManual(timer.ManualConfig{}),
		unreachable: map[string]bool{},
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
		Unreachable: func(name string) bool { return f.unreachable[name] },
		Leaving:     func() bool { return f.leaving },
		DrainLimit:  7 * time.Second,

		EvacuationLimit: evacuationLimit,
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

// registrations returns the registrations at a revision.
func registrations(revision uint64, vms ...catalog.VM) *catalog.VMSnapshot {
	result := &catalog.VMSnapshot{
		Revision: revision,
		ByName:   map[string]catalog.VM{},
	}
	for _, v := range vms {
		result.ByName[v.Name] = v
	}
	return result
}

// endpoint returns an endpoint of the database "db".
func endpoint(id string, role catalog.Role) catalog.Endpoint {
	return catalog.Endpoint{
		Key:        catalog.EndpointKey{ID: id},
		Database:   "db",
		DataCentre: "a2",
		Slots:      5,
		Role:       role,
	}
}

func endpoints(revision uint64, all ...catalog.Endpoint) *catalog.EndpointSnapshot {
	result := &catalog.EndpointSnapshot{
		Revision: revision,
		ByID:     map[string]catalog.Endpoint{},
	}
	for _, m := range all {
		result.ByID[m.Key.ID] = m
	}
	return result
}

// expectPrimary checks the primary of the database "db"; an empty id stands for none.
// It guards against statements that are sent to an endpoint that is not the primary.
func (f *fixture) expectPrimary(id string) {
	GinkgoHelper()
	primary, ok := f.Primary("db")
	Expect(ok).To(Equal(id != ""))
	Expect(primary.Key.ID).To(Equal(id))
}

// expectHomes checks the homes of an endpoint and their order. It guards against homes
// in a wrong order.
func (f *fixture) expectHomes(names ...string) {
	GinkgoHelper()
	var found []string
	for _, home := range f.Homes(endpoint("e1", catalog.RoleReplica), len(names)) {
		found = append(found, home.Name)
	}
	Expect(found).To(Equal(names))
}

var _ = Describe("View", func() {
	var f *fixture

	BeforeEach(func() { f = newFixture() })

	It("never replaces a configuration by an older one", func() {
		Expect(f.AcceptConfiguration(&catalog.Configuration{Version: 7}, "test")).To(BeTrue())
		for _, version := range []uint64{7, 6, 1} {
			Expect(f.AcceptConfiguration(&catalog.Configuration{Version: version}, "test")).To(BeFalse())
		}
		Expect(f.Configuration().Version).To(Equal(uint64(7)))
	})

	It("never replaces reports by the older ones of a stale read", func() {
		f.AcceptEndpoints(endpoints(9, endpoint("p", catalog.RolePrimary)), "test")
		Expect(f.AcceptEndpoints(endpoints(8), "test")).To(BeFalse())
		Expect(f.HasEndpoint(catalog.EndpointKey{ID: "p"})).To(BeTrue())
		f.AcceptEndpoints(endpoints(10), "test")
		Expect(f.HasEndpoint(catalog.EndpointKey{ID: "p"})).To(BeFalse())
	})

	// Leases of registrations may expire while the store is unavailable.
	It("keeps a VM without a registration for a while after its last message", func() {
		f.AcceptVMs(registrations(1, vm("self", "a1"), vm("b", "a2"), vm("c", "a2")), "test")
		f.RecordContact("b")
		f.AcceptVMs(registrations(2, vm("self", "a1")), "test")
		Expect(f.VMs().ByName).To(HaveKey("b"))
		Expect(f.VMs().ByName).NotTo(HaveKey("c"))
		f.clock.Advance(time.Minute)
		f.AcceptVMs(registrations(3, vm("self", "a1")), "test")
		Expect(f.VMs().ByName).NotTo(HaveKey("b"))
	})

	It("keeps itself without a registration while other VMs respond", func() {
		// Guards against a VM that only the store turns away: others still use it as a home,
		// but it opened only a fifth of the connections to the endpoint.
		f.AcceptVMs(registrations(1, vm("self", "a1"), vm("b", "a2")), "test")
		f.RecordContact("b")
		f.AcceptVMs(registrations(2, vm("b", "a2")), "gossip")
		Expect(f.VMs().ByName).To(HaveKey("self"))
		registered, _ := f.Registrations()
		Expect(registered.ByName).NotTo(HaveKey("self"), "the limits count registered VMs only")
		f.clock.Advance(time.Minute)
		f.AcceptVMs(registrations(3, vm("b", "a2")), "gossip")
		Expect(f.VMs().ByName).NotTo(HaveKey("self"))
	})

	It("drops a VM that is leaving as soon as its registration is gone", func() {
		f.AcceptVMs(registrations(1, vm("self", "a1"), vm("b", "a2")), "test")
		f.RecordContact("b")
		f.SetLeaving("b", 1, true)
		f.AcceptVMs(registrations(2, vm("self", "a1")), "test")
		Expect(f.VMs().ByName).NotTo(HaveKey("b"))
	})

	It("closes the channel of Changed at a change", func() {
		// Guards against waiting code that does not notice a change.
		changed := f.Changed()
		Expect(changed).NotTo(BeClosed())
		f.AcceptConfiguration(&catalog.Configuration{Version: 1}, "test")
		Expect(changed).To(BeClosed())
	})
})

var _ = Describe("the primary", func() {
	var f *fixture
	p, r := endpoint("p", catalog.RolePrimary), endpoint("r", catalog.RoleReplica)

	BeforeEach(func() {
		f = newFixture()
		f.AcceptEndpoints(endpoints(1, p, r), "test")
	})

	// provePrimary records a response by which an endpoint proves that it is the primary.
	provePrimary := func(e catalog.Endpoint, term uint64) {
		f.BeginStatement(e)
		f.EndStatement(e, view.StatementOutcome{
			ProvedPrimary: true,
			Position:      logpos.Position{Term: term},
		})
	}
	// rejectStatement records that an endpoint rejected a statement because it is not the primary.
	rejectStatement := func(e catalog.Endpoint) {
		f.BeginStatement(e)
		f.EndStatement(e, view.StatementOutcome{NotPrimary: true})
	}

	It("is the endpoint that reports the role", func() { f.expectPrimary("p") })

	It("is missing if a configured database has none and no promotion is pending", func() {
		declared := &catalog.Configuration{
			Version:   1,
			Databases: map[string]catalog.Database{"db": {Name: "db"}},
		}
		Expect(f.IsPrimaryMissing()).To(BeFalse())
		f.AcceptConfiguration(declared, "test")
		Expect(f.IsPrimaryMissing()).To(BeFalse())
		rejectStatement(p)
		Expect(f.IsPrimaryMissing()).To(BeTrue())
		f.RecordPromotion("db", "r", false)
		Expect(f.IsPrimaryMissing()).To(BeFalse())
	})

	It("is none while the only endpoint that reports the role has rejected a statement", func() {
		rejectStatement(p)
		f.expectPrimary("")
		f.AcceptEndpoints(endpoints(2, p, r), "test")
		f.expectPrimary("")
	})

	It("is none from the request for a promotion until its completion", func() {
		f.RecordPromotion("db", "r", false)
		f.expectPrimary("")
		f.RecordPromotion("db", "r", true)
		f.expectPrimary("r")
	})

	It("is the reported one again after a promotion timed out", func() {
		f.RecordPromotion("db", "r", false)
		f.clock.Advance(5 * time.Second)
		f.expectPrimary("p")
	})

	It("with synchronous replicas is none until the leader announces one, even if the leader is lost", func() {
		// Guards against commits that the former primary acknowledges and a late promotion drops.
		f.AcceptConfiguration(&catalog.Configuration{
			Version: 1,
			Databases: map[string]catalog.Database{"db": {
				Name:         "db",
				SyncReplicas: 1,
			}},
		}, "test")
		f.RecordPromotion("db", "r", false)
		f.clock.Advance(5 * time.Second)
		f.expectPrimary("")
		reported, _ := f.ReportedPrimary("db")
		Expect(reported.Key.ID).To(Equal("p"))
		f.clock.Advance(2 * time.Second)
		f.expectPrimary("p")
		f.RecordPromotion("db", "r", false)
		f.RecordPromotion("db", "p", true)
		f.expectPrimary("p")
	})

	It("is the endpoint that proved the highest term, even against the reports", func() {
		provePrimary(p, 1)
		provePrimary(r, 2)
		f.expectPrimary("r")
	})

	It("is not a former primary whose response arrives late", func() {
		provePrimary(p, 1)
		rejectStatement(p)
		f.RecordPromotion("db", "r", true)
		provePrimary(r, 2)
		provePrimary(p, 1)
		f.expectPrimary("r")
	})

	It("is not a former primary whose report has changed, on a VM that has not reached the new one", func() {
		// Guards against a statement that is sent to an endpoint more than 10 s after it began
		// to drain: it had proved an older term to a VM that sent nothing to the database
		// while the leader's announcement of its successor held.
		provePrimary(p, 1)
		f.AcceptEndpoints(endpoints(2, endpoint("p", catalog.RoleReplica), endpoint("r", catalog.RolePrimary)), "test")
		f.expectPrimary("r")
	})

	It("is the endpoint that proved the role after an older report of another role", func() {
		f.AcceptEndpoints(endpoints(2, endpoint("p", catalog.RoleReplica), endpoint("r", catalog.RoleReplica)), "test")
		provePrimary(r, 2)
		f.AcceptEndpoints(endpoints(3, endpoint("p", catalog.RoleReplica), endpoint("r", catalog.RoleReplica)), "test")
		f.expectPrimary("r")
	})

	It("is accepted again after the endpoint restarts", func() {
		rejectStatement(p)
		restarted := p
		restarted.Key.Born = time.Unix(5, 0)
		f.AcceptEndpoints(endpoints(2, restarted, r), "test")
		f.expectPrimary("p")
	})
})

var _ = Describe("candidates for reads", func() {
	It("exclude endpoints that are draining, excluded by the caller or unreachable", func() {
		// Guards against reads at an endpoint that is not to serve them, and against an
		// endpoint that stays excluded after a single failure.
		f := newFixture()
		draining := endpoint("draining", catalog.RoleReplica)
		draining.Draining = true
		unreachable := endpoint("lost", catalog.RoleReplica)
		f.AcceptEndpoints(endpoints(1, endpoint("p", catalog.RolePrimary), draining, unreachable, endpoint("excluded", catalog.RoleReplica)), "test")
		f.BeginStatement(unreachable)
		f.EndStatement(unreachable, view.StatementOutcome{Unreachable: true})
		candidates := f.Candidates("db", map[string]bool{"excluded": true})
		Expect(candidates).To(HaveLen(1))
		Expect(candidates[0].ID).To(Equal("p"))
		f.clock.Advance(time.Second)
		Expect(f.Candidates("db", nil)).To(HaveLen(3))
	})

	It("need samples that are recent on a clock that counts suspensions", func() {
		// Guards against stale reads after the VM was suspended.
		f := newFixture()
		f.AddSample("db", f.SinceBoot(), logpos.Position{Term: 1})
		_, ok := f.RequiredPosition("db", time.Second)
		Expect(ok).To(BeTrue())
		f.clock.Suspend(2 * time.Second)
		_, ok = f.RequiredPosition("db", time.Second)
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("a draining endpoint", func() {
	It("gets no new statements when its limit is near", func() {
		// Guards against statements at a draining primary that is not replaced in time,
		// because one leader after the other is lost.
		f := newFixture()
		draining := endpoint("p", catalog.RolePrimary)
		f.AcceptEndpoints(endpoints(1, draining), "test")
		f.clock.Advance(time.Minute)
		Expect(f.MayStartWork(draining)).To(BeTrue())
		draining.Draining = true
		f.AcceptEndpoints(endpoints(2, draining), "test")
		f.clock.Advance(2 * time.Second)
		f.AcceptEndpoints(endpoints(3, draining), "test")
		f.clock.Advance(1900 * time.Millisecond)
		Expect(f.MayStartWork(draining)).To(BeTrue())
		f.clock.Advance(200 * time.Millisecond)
		Expect(f.MayStartWork(draining)).To(BeFalse())
		primary, ok := f.Primary("db")
		Expect(ok).To(BeTrue(), "the leader still has to replace it")
		Expect(primary.Key.ID).To(Equal("p"))
		f.AcceptEndpoints(endpoints(4, endpoint("p", catalog.RolePrimary)), "test")
		Expect(f.MayStartWork(draining)).To(BeTrue())
	})
})
