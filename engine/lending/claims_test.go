package lending_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/engine/catalog"
)

const (
	registrationTTL = 4 * time.Second
	renewalInterval = 1300 * time.Millisecond
	contactTTL      = 4 * time.Second
)

// claimModel is a fleet with a store of registrations and claims, whose VMs are cut off from the
// store and from each other, suspended, killed and started again.
type claimModel struct {
	fleet  *fakeFleet
	random *rand.Rand
	now    time.Duration
	vms    []*modelVM
	// storeDown is set during an outage of the store, in which leases may lapse.
	storeDown, leasesLapse bool
	revision               uint64
	// registered holds when registrations expire.
	registered map[string]time.Duration
	claims     map[string]bool
}

// modelVM is one VM and what it knows.
type modelVM struct {
	name                               string
	storeCut, peersCut, suspended, off bool
	registeredAt, renewAt, readAt      time.Duration
	heardAt                            map[string]time.Duration
	list                               *catalog.VMSnapshot
	lapsed                             limits.LapsedClaims
}

func newClaimModel(seed uint64, size int, rate, burst float64) *claimModel {
	m := &claimModel{
		fleet:      newFleet(size, rate, burst),
		random:     rand.New(rand.NewPCG(seed, 1)),
		registered: map[string]time.Duration{},
		claims:     map[string]bool{},
	}
	m.fleet.views = map[string]*catalog.VMSnapshot{}
	for i := range size {
		v := &modelVM{
			name:    name(i),
			heardAt: map[string]time.Duration{},
		}
		m.vms = append(m.vms, v)
		m.register(v)
		m.claims[v.name] = true
	}
	for _, v := range m.vms {
		m.read(v)
		for _, other := range m.vms {
			v.heardAt[other.name] = 0
		}
	}
	m.fleet.clock.Advance(10 * time.Second)
	return m
}

// register writes the registration of a VM.
func (m *claimModel) register(v *modelVM) {
	m.revision++
	m.registered[v.name] = m.now + registrationTTL
	v.registeredAt, v.renewAt = m.now, m.now+renewalInterval
}

// read gives a VM the store's list.
func (m *claimModel) read(v *modelVM) {
	list := &catalog.VMSnapshot{
		Revision: m.revision,
		ByName:   map[string]catalog.VM{},
	}
	for registered := range m.registered {
		list.ByName[registered] = catalog.VM{
			Name:      registered,
			Unclaimed: !m.claims[registered],
		}
	}
	for claimed := range m.claims {
		if _, registered := m.registered[claimed]; !registered {
			list.ByName[claimed] = catalog.VM{
				Name:   claimed,
				Lapsed: true,
			}
		}
	}
	v.list, v.readAt = list, m.now
	if v == m.leader() {
		m.updateClaims(v)
	}
}

// leader returns the VM that adds and removes claims: the first that reaches the store.
func (m *claimModel) leader() *modelVM {
	for _, v := range m.vms {
		if m.reachesStore(v) {
			return v
		}
	}
	return nil
}

func (m *claimModel) reachesStore(v *modelVM) bool {
	return !m.storeDown && !v.storeCut && !v.suspended && !v.off
}

// hearsMost reports whether a VM has heard most of the others recently.
func (m *claimModel) hearsMost(v *modelVM) bool {
	heard := 0
	for other := range v.list.ByName {
		if at, ok := v.heardAt[other]; ok && other != v.name && m.now-at < contactTTL {
			heard++
		}
	}
	return 2*heard > len(v.list.ByName)-1
}

// updateClaims lets the leader add and remove claims after a read.
func (m *claimModel) updateClaims(v *modelVM) {
	o := limits.Observation{
		RequestedAt:         m.now,
		RespondedAt:         m.now,
		HearsMostNeighbours: m.hearsMost(v),
	}
	for listed, vm := range v.list.ByName {
		switch {
		case vm.Lapsed:
			o.Lapsed = append(o.Lapsed, listed)
		case vm.Unclaimed:
			m.revision++
			m.claims[listed] = true
		}
	}
	for _, listed := range v.lapsed.Update(o) {
		m.revision++
		delete(m.claims, listed)
	}
}

// step lets the VMs act once.
func (m *claimModel) step() {
	for registered, expires := range m.registered {
		if m.now >= expires && (!m.storeDown || m.leasesLapse) {
			m.revision++
			delete(m.registered, registered)
		}
	}
	for _, v := range m.vms {
		if v.suspended || v.off {
			continue
		}
		m.renew(v)
		if m.reachesStore(v) && m.now-v.readAt >= time.Second {
			m.read(v)
		}
		m.exchange(v)
		m.fleet.mu.Lock()
		m.fleet.views[v.name] = v.list
		m.fleet.cut[v.name] = v.peersCut
		m.fleet.uncertain[v.name] = !limits.Standing{
			SinceRegistered:     m.now - v.registeredAt,
			RegistrationTTL:     registrationTTL,
			HearsMostNeighbours: m.hearsMost(v),
		}.MayUseShares()
		m.fleet.mu.Unlock()
	}
}

// renew renews a registration. The response may be lost.
func (m *claimModel) renew(v *modelVM) {
	if m.now < v.renewAt || !m.reachesStore(v) {
		return
	}
	if _, ok := m.registered[v.name]; !ok {
		m.register(v)
		return
	}
	m.registered[v.name] = m.now + registrationTTL
	if m.random.IntN(5) > 0 {
		v.registeredAt = m.now
	}
	v.renewAt = m.now + renewalInterval
}

// exchange lets a VM exchange its list with three others.
func (m *claimModel) exchange(v *modelVM) {
	for range 3 {
		other := m.vms[m.random.IntN(len(m.vms))]
		if other == v || v.peersCut || other.peersCut || other.suspended || other.off {
			continue
		}
		v.heardAt[other.name], other.heardAt[v.name] = m.now, m.now
		if other.list.Revision > v.list.Revision {
			v.list = other.list
		} else if v.list.Revision > other.list.Revision {
			other.list = v.list
		}
	}
}

// restart starts a new process of a VM.
func (m *claimModel) restart(v *modelVM) {
	v.off, v.suspended = false, false
	v.lapsed = limits.LapsedClaims{}
	v.heardAt = map[string]time.Duration{}
	v.registeredAt, v.renewAt = -time.Hour, m.now
	v.list = &catalog.VMSnapshot{}
	_, kept := m.claims[v.name]
	if m.reachesStore(v) {
		m.register(v)
		m.read(v)
	}
	m.fleet.mu.Lock()
	m.fleet.start = limits.Start(limits.Joined{})
	if kept {
		m.fleet.start = limits.Resumed{}
	}
	m.fleet.views[v.name] = v.list
	m.fleet.mu.Unlock()
	m.fleet.restart(v.name, 0.1)
}

// disturb changes the state of a random VM or of the store.
func (m *claimModel) disturb() {
	v := m.vms[m.random.IntN(len(m.vms))]
	switch m.random.IntN(9) {
	case 0:
		v.storeCut = !v.storeCut
	case 1:
		v.peersCut = !v.peersCut
	case 2, 3:
		cut := !v.peersCut
		v.storeCut, v.peersCut = cut, cut
	case 4:
		v.suspended = !v.suspended
	case 5:
		v.off = true
	case 6, 7:
		m.restart(v)
	case 8:
		m.storeDown, m.leasesLapse = !m.storeDown && m.random.IntN(2) == 0, m.random.IntN(2) == 0
	}
}

// running returns the VMs that run.
func (m *claimModel) running() []string {
	var names []string
	for _, v := range m.vms {
		if !v.off && !v.suspended {
			names = append(names, v.name)
		}
	}
	return names
}

// heal ends all disturbances.
func (m *claimModel) heal() {
	m.storeDown = false
	for _, v := range m.vms {
		v.storeCut, v.peersCut, v.suspended = false, false, false
		if v.off {
			m.restart(v)
		}
	}
}

var _ = Describe("a limit whose workspace presses all VMs", func() {
	const (
		rate  = 200.0
		burst = 150.0
		step  = 100 * time.Millisecond
	)

	// play plays steps and returns the admissions.
	play := func(m *claimModel, steps int, change func(step int)) *admissions {
		a := &admissions{step: step}
		for i := range steps {
			change(i)
			m.step()
			total := 0
			for _, vm := range m.running() {
				m.fleet.limiters[vm].UpdateBuckets()
				total += m.fleet.admitAll(vm)
			}
			a.admitted = append(a.admitted, total)
			m.fleet.clock.Advance(step)
			m.now += step
		}
		return a
	}

	It("holds in any schedule of cuts, restarts, outages, lost responses and suspensions", func() {
		// Guards against a share that is used on two sides: by a VM that is cut off and by
		// those that have taken it over, or by the old and the new process of a VM.
		for seed := range uint64(30) {
			size := []int{3, 7, 12, 24}[seed%4]
			m := newClaimModel(seed, size, rate, burst)
			a := play(m, 700, func(i int) {
				switch {
				case i == 550:
					m.heal()
				case i < 550 && m.random.IntN(12) == 0:
					m.disturb()
				}
			})
			By(fmt.Sprintf("seed %d, %d VMs", seed, size))
			a.expectWithinLimit(rate, burst)
			sum := 0
			for _, n := range a.admitted[650:] {
				sum += n
			}
			Expect(float64(sum)).To(BeNumerically(">=", 0.85*rate*5), "used again after the disturbances, seed %d", seed)
		}
	})

	It("holds while two of seven VMs are cut off from the store and the fleet", func() {
		// Guards against 837 requests of 799 on a day of the users' bench: the VMs that were cut
		// off kept their shares, and the others divided the whole limit.
		m := newClaimModel(1, 7, rate, burst)
		a := play(m, 600, func(i int) {
			for _, v := range m.vms[:2] {
				v.storeCut, v.peersCut = i >= 20, i >= 20
			}
		})
		a.expectWithinLimit(rate, burst)
		// VMs that are cut off for 12 s lose nothing, and those that stay cut off lose their
		// shares to the others.
		for from, least := range map[int]float64{60: 0.95, 500: 0.95} {
			sum := 0
			for _, n := range a.admitted[from : from+60] {
				sum += n
			}
			Expect(float64(sum)).To(BeNumerically(">=", least*rate*6), "from step %d", from)
		}
	})

	It("admits nothing on a VM that has no claim yet, nor for 2 s after", func() {
		// Guards against a share that a VM uses before those that hold it know.
		f := newFleet(2, 70, 70)
		withClaim := f.vms
		joining := withClaim.ByName[name(1)]
		joining.Unclaimed = true
		f.vms = &catalog.VMSnapshot{ByName: map[string]catalog.VM{
			name(0): withClaim.ByName[name(0)],
			name(1): joining,
		}}
		f.start = limits.Joined{}
		f.restart(name(1), 0.1)
		f.cut[name(1)] = true
		f.clock.Advance(10 * time.Second)
		Expect(f.admitAll(name(1))).To(BeZero())
		f.vms = withClaim
		Expect(f.admitAll(name(1))).To(BeZero())
		f.clock.Advance(1900 * time.Millisecond)
		Expect(f.admitAll(name(1))).To(BeZero())
		f.clock.Advance(time.Second)
		Expect(f.admitAll(name(1))).To(BeNumerically("~", 0.9*70/2, 2))
	})

	It("goes on in a long outage of the store", func() {
		// Guards against VMs that stop using their shares although no VM could take them over.
		m := newClaimModel(1, 7, rate, burst)
		a := play(m, 600, func(i int) { m.storeDown, m.leasesLapse = i >= 20, true })
		a.expectWithinLimit(rate, burst)
		sum := 0
		for _, n := range a.admitted[300:] {
			sum += n
		}
		Expect(float64(sum)).To(BeNumerically(">=", 0.95*rate*30))
		Expect(slices.Sorted(maps.Keys(m.claims))).To(HaveLen(7))
	})
})
