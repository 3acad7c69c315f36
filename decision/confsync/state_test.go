package confsync

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthdock.dev/decision/routing"
)

func TestConfsync(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "confsync")
}

var start = time.Unix(1000, 0)

func at(elapsed time.Duration) time.Time { return start.Add(elapsed) }

func vm(name, dataCentre string) routing.VM {
	return routing.VM{
		Name:       name,
		DataCentre: dataCentre,
		Region:     dataCentre[:1],
	}
}

func newState(self routing.VM) *State {
	state, err := New(Config{
		Self:        self,
		Key:         "configuration",
		StoreRegion: "a",
	})
	Expect(err).NotTo(HaveOccurred())
	return state
}

// watcherFleet returns two watchers in different data centres of region a, one in region
// b, and the fleet that consists of them.
func watcherFleet() (self, other, far routing.VM, fleet []FleetVM) {
	self, other, far = vm("w1", "a1"), vm("w2", "a2"), vm("w3", "b1")
	for _, v := range []routing.VM{self, other, far} {
		fleet = append(fleet, FleetVM{
			VM:   v,
			Live: true,
		})
	}
	return self, other, far, fleet
}

// expectAge checks the authority age, which must be based on evidence. It guards against
// a VM that claims authority without evidence that its configuration is current.
func expectAge(state *State, now time.Time, expected time.Duration) {
	GinkgoHelper()
	age, ok := state.AuthorityAge(now)
	Expect(ok).To(BeTrue())
	Expect(age).To(Equal(expected))
}

var _ = Describe("State", func() {
	It("has no authority without a version", func() {
		state := newState(vm("w1", "a1"))
		state.SetFleet([]FleetVM{{VM: vm("w1", "a1"), Live: true}})
		state.RecordStoreFailure(start)
		Expect(state.Authorized(start)).To(BeFalse())
		Expect(state.Activate(1)).To(BeTrue())
		Expect(state.Authorized(at(5 * time.Second))).To(BeFalse())
	})

	It("adds the time since the request was sent to the age that a peer reported", func() {
		// Guards against an age that is too low because it leaves out the time until the
		// response arrived.
		state := newState(vm("x", "b1"))
		state.Activate(3)
		state.HandleResponse(start, "w1", Digest{Version: 3, Age: time.Second, AgeKnown: true})
		expectAge(state, at(2*time.Second), 3*time.Second)
		Expect(state.Authorized(at(3 * time.Second))).To(BeTrue())
		Expect(state.Authorized(at(3*time.Second + 1))).To(BeFalse())
		state.HandleResponse(start, "w2", Digest{Version: 3, Age: 2 * time.Second, AgeKnown: true})
		expectAge(state, at(2*time.Second), 3*time.Second)
		state.HandleResponse(at(time.Second), "w2", Digest{Version: 2, AgeKnown: true})
		expectAge(state, at(2*time.Second), 3*time.Second)
	})

	It("uses the age of a higher version only once it has the version", func() {
		// Guards against authority for an old version that is based on the age of a newer
		// one.
		state := newState(vm("x", "b1"))
		state.Activate(3)
		decision := state.HandleResponse(start, "w1", Digest{Version: 4, AgeKnown: true})
		Expect(decision).To(Equal(Fetch{NewerThan: 3}))
		Expect(state.Authorized(start)).To(BeFalse())
		Expect(state.Activate(4)).To(BeTrue())
		expectAge(state, at(time.Second), time.Second)
	})

	It("rejects a version lower than the highest one seen, also from the store", func() {
		state := newState(vm("x", "b1"))
		Expect(state.ObserveVersion(9)).To(Equal(Fetch{}))
		Expect(state.Activate(8)).To(BeFalse())
		Expect(state.Activate(9)).To(BeTrue())
		Expect(state.ObserveVersion(8)).To(Equal(None{}))
		Expect(state.RecordStoreSuccess(start, 8)).To(BeFalse())
		Expect(state.Authorized(start)).To(BeFalse())
		Expect(state.RecordStoreSuccess(start, 9)).To(BeTrue())
		expectAge(state, start, 0)
	})

	It("chooses two watchers in each region", func() {
		// Guards against a region without a watcher, or with only one.
		var live []routing.VM
		for i := range 40 {
			live = append(live, vm(fmt.Sprintf("vm%d", i), []string{"a1", "a2", "b1", "c1"}[i%4]))
		}
		counts := map[string]int{}
		for _, w := range Watchers("configuration", live, 2) {
			counts[w.Region]++
		}
		Expect(counts).To(Equal(map[string]int{"a": 2, "b": 2, "c": 2}))
	})

	DescribeTable("is authorized during an outage only if nobody can change the configuration",
		func(change func(state *State, fleet []FleetVM), claimed bool) {
			self, other, far, fleet := watcherFleet()
			state := newState(self)
			state.SetFleet(fleet)
			state.Activate(1)
			state.RecordStoreSuccess(start, 1)
			now := at(10 * time.Second)
			state.RecordStoreFailure(now.Add(-time.Second))
			state.HandleResponse(now, other.Name, Digest{Version: 1, Store: StoreUnreachable})
			state.HandleResponse(now, far.Name, Digest{Version: 1, Store: StoreUnreachable})
			change(state, fleet)
			Expect(state.Authorized(now)).To(Equal(claimed))
		},
		Entry("no VM reaches the store", func(*State, []FleetVM) {}, true),
		Entry("the other watcher of the region reaches the store", func(s *State, _ []FleetVM) {
			s.HandleResponse(at(10*time.Second), "w2", Digest{Version: 1, Store: StoreReachable})
		}, false),
		Entry("a watcher of another region reaches the store", func(s *State, _ []FleetVM) {
			s.HandleResponse(at(10*time.Second), "w3", Digest{Version: 1, Store: StoreReachable})
		}, false),
		Entry("the other watcher has not responded", func(s *State, _ []FleetVM) { delete(s.storeReports, "w2") }, false),
		Entry("the other watcher's last response is too old", func(s *State, _ []FleetVM) {
			s.HandleResponse(at(7*time.Second), "w2", Digest{Version: 1, Store: StoreUnreachable})
		}, false),
		Entry("a data centre of the region has no live VM", func(s *State, fleet []FleetVM) {
			fleet[1].Live = false
			s.SetFleet(fleet)
		}, false),
		Entry("another region has no live VM", func(s *State, fleet []FleetVM) {
			fleet[2].Live = false
			s.SetFleet(fleet)
		}, true),
		Entry("a newer version exists", func(s *State, _ []FleetVM) { s.ObserveVersion(2) }, false),
		Entry("its own last failure is too old, as after a pause", func(s *State, _ []FleetVM) { s.lastFailureSentAt = at(5 * time.Second) }, false),
		Entry("it has not joined", func(s *State, _ []FleetVM) { s.SetFleet(nil) }, false),
	)

	It("uses the age of a watcher that reaches the store", func() {
		// Guards against a watcher that loses its authority because it alone cannot reach
		// the store.
		self, other, _, fleet := watcherFleet()
		state := newState(self)
		state.SetFleet(fleet)
		state.Activate(1)
		state.RecordStoreFailure(start)
		Expect(state.WatchersToProbe()).To(HaveLen(2))
		state.HandleResponse(start, other.Name, Digest{Version: 1, Age: time.Second, AgeKnown: true, Store: StoreReachable})
		expectAge(state, start, time.Second)
	})
})

// TestNoRevert checks guarantee G13 on a fleet whose VMs push, fetch, read stale entries
// and restart in any order: no VM goes back to an older version, and no authorized VM is
// behind a change for longer than the limits. The store has outages, and the first
// watcher fails to reach it at other times too. The watchers learn of a change from the
// VM that made it, as they do by its push. The test guards against a stale entry or an
// older version of a peer that replaces a newer version, and against a VM that stays
// authorized for too long with an outdated version.
func TestNoRevert(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		self, other, far, fleet := watcherFleet()
		names := []routing.VM{self, other, far, vm("x", "b1")}
		states := make([]*State, len(names))
		for i, v := range names {
			states[i] = newState(v)
			states[i].SetFleet(fleet)
		}
		now, changed, store, out := start, []time.Time{start, start}, uint64(1), false
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "elapsed")) * time.Millisecond)
			i := rapid.IntRange(0, len(states)-1).Draw(t, "vm")
			peer := rapid.IntRange(0, len(states)-1).Draw(t, "peer")
			s, before := states[i], states[i].Version()
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				if !out {
					store++
					changed = append(changed, now)
					states[0].ObserveVersion(store)
					states[1].ObserveVersion(store)
				}
			case 1, 2:
				switch {
				case out || (i == 0 && rapid.Bool().Draw(t, "cut")):
					s.RecordStoreFailure(now)
				default:
					s.Activate(store)
					s.RecordStoreSuccess(now, store)
				}
			case 6:
				out = !out
			case 7:
				stale := rapid.Uint64Range(1, store).Draw(t, "stale")
				s.Activate(stale)
				s.RecordStoreSuccess(now.Add(-time.Hour), stale)
			case 3, 4:
				s.HandleResponse(now, names[peer].Name, states[peer].Digest(now))
				s.Activate(states[peer].Version())
			case 5:
				states[i] = newState(names[i])
				continue
			}
			if s.Version() < before {
				t.Fatalf("%s reverted from %d to %d", names[i].Name, before, s.Version())
			}
			if v := s.Version(); v < store && s.Authorized(now) && now.Sub(changed[v+1]) > DefaultMaxAuthorityAge+DefaultMaxReportAge {
				t.Fatalf("%s is still authorized with version %d, %s after version %d", names[i].Name, v, now.Sub(changed[v+1]), v+1)
			}
		}
	})
}
