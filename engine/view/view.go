// Package view holds what this VM believes of the configuration, the endpoints and
// the fleet. Each kind of knowledge only moves forward.
package view

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/timer"
)

// Config configures a View.
type Config struct {
	Self catalog.VM
	// Regions maps data centres to their regions.
	Regions map[string]string
	Timer   timer.Service
	Log     logr.Logger
	// Unreachable tells whether a VM could not be reached a moment ago.
	Unreachable func(vm string) bool
}

// View is safe for concurrent use.
type View struct {
	config        Config
	configuration atomic.Pointer[catalog.Configuration]
	endpoints     atomic.Pointer[catalog.EndpointSnapshot]
	vms           atomic.Pointer[catalog.VMSnapshot]

	mu        sync.Mutex
	changed   chan struct{}
	databases map[string]*database
	leaving   map[string]uint64
	homes     map[string][]catalog.VM
	// heard holds when each VM was heard from last.
	heard       map[string]time.Duration
	vmsRevision uint64
}

// heardLife is how long a VM whose registration is missing stays in the fleet after
// it was heard from: longer than a round of questions to all VMs of a small fleet.
const heardLife = 4 * time.Second

// New returns a View that knows nothing but this VM.
func New(config Config) *View {
	v := &View{
		config:    config,
		changed:   make(chan struct{}),
		databases: map[string]*database{},
		leaving:   map[string]uint64{},
		homes:     map[string][]catalog.VM{},
		heard:     map[string]time.Duration{},
	}
	v.endpoints.Store(&catalog.EndpointSnapshot{})
	v.vms.Store(&catalog.VMSnapshot{})
	return v
}

// Self returns this VM.
func (v *View) Self() catalog.VM { return v.config.Self }

// Region returns the region of a data centre; empty if it is unknown.
func (v *View) Region(dataCentre string) string { return v.config.Regions[dataCentre] }

// Configuration returns the newest configuration; nil before the first.
func (v *View) Configuration() *catalog.Configuration { return v.configuration.Load() }

// Endpoints returns the newest reports of the endpoints.
func (v *View) Endpoints() *catalog.EndpointSnapshot { return v.endpoints.Load() }

// VMs returns the newest registrations of the fleet.
func (v *View) VMs() *catalog.VMSnapshot { return v.vms.Load() }

// AcceptConfiguration takes a configuration if its version is higher than all before.
func (v *View) AcceptConfiguration(c *catalog.Configuration, source string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	current := v.configuration.Load()
	if current != nil && c.Version <= current.Version {
		return false
	}
	v.configuration.Store(c)
	v.announce()
	v.config.Log.Info("The configuration changed.", "version", c.Version, "routes", len(c.Routes), "source", source)
	return true
}

// AcceptEndpoints takes the reports if they are newer.
func (v *View) AcceptEndpoints(e *catalog.EndpointSnapshot, source string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	current := v.endpoints.Load()
	if e.Revision <= current.Revision {
		return false
	}
	v.endpoints.Store(e)
	v.logEndpoints(current, e, source)
	for id, endpoint := range e.ByID {
		v.database(endpoint.Database).report(current.ByID[id], endpoint)
	}
	v.announce()
	return true
}

// ConfirmEndpoints takes another VM's word that nothing has changed up to a revision.
func (v *View) ConfirmEndpoints(revision uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	current := v.endpoints.Load()
	if revision > current.Revision {
		v.endpoints.Store(&catalog.EndpointSnapshot{
			Revision: revision,
			ByID:     current.ByID,
		})
	}
}

// logEndpoints writes a line for each endpoint that came, went or changed its role
// or state.
func (v *View) logEndpoints(old, current *catalog.EndpointSnapshot, source string) {
	for id, e := range current.ByID {
		before, known := old.ByID[id]
		if !known || before.Key != e.Key || before.Draining != e.Draining || before.Role != e.Role {
			v.config.Log.Info("An endpoint changed.", "endpoint", id, "database", e.Database, "primary", e.Role == catalog.RolePrimary,
				"draining", e.Draining, "revision", current.Revision, "source", source)
		}
	}
	for id, e := range old.ByID {
		if _, ok := current.ByID[id]; !ok {
			v.config.Log.Info("An endpoint is gone.", "endpoint", id, "database", e.Database, "revision", current.Revision, "source", source)
		}
	}
}

// AcceptVMs takes the registrations if they are newer.
func (v *View) AcceptVMs(vms *catalog.VMSnapshot, source string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	current := v.vms.Load()
	if vms.Revision <= v.vmsRevision {
		return false
	}
	v.vmsRevision = vms.Revision
	v.keepHeard(current, vms)
	if maps.Equal(current.ByName, vms.ByName) && current.Leader == vms.Leader {
		return false
	}
	v.vms.Store(vms)
	v.homes = map[string][]catalog.VM{}
	v.config.Log.Info("The fleet changed.", "vms", len(vms.ByName), "leader", vms.Leader, "revision", vms.Revision, "source", source)
	v.announce()
	return true
}

// keepHeard keeps registrations that are missing although their VM was heard from
// lately: leases may lapse while the store is away. The caller holds the lock.
func (v *View) keepHeard(current, vms *catalog.VMSnapshot) {
	now := v.config.Timer.SinceBoot()
	for name, vm := range current.ByName {
		if _, ok := vms.ByName[name]; ok {
			continue
		}
		at, heard := v.heard[name]
		incarnation, leaving := v.leaving[name]
		if heard && now-at < heardLife && !(leaving && incarnation == vm.Incarnation) {
			vms.ByName[name] = vm
		}
	}
}

// RecordContact records that a VM answered or asked.
func (v *View) RecordContact(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.heard[name] = v.config.Timer.SinceBoot()
}

// HeardVMs returns how many other VMs were heard from lately.
func (v *View) HeardVMs() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	count := 0
	for _, at := range v.heard {
		if v.config.Timer.SinceBoot()-at < heardLife {
			count++
		}
	}
	return count
}

// VMsRevision returns the revision of the newest registrations.
func (v *View) VMsRevision() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.vmsRevision
}

// SetLeaving records whether an incarnation of a VM takes no new work.
func (v *View) SetLeaving(vm string, incarnation uint64, leaving bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known, ok := v.leaving[vm]
	if leaving == (ok && known == incarnation) {
		return
	}
	if leaving {
		v.leaving[vm] = incarnation
	} else {
		delete(v.leaving, vm)
	}
	v.announce()
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// announce wakes those who wait for a change. The caller holds the lock.
func (v *View) announce() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Endpoint returns what an endpoint reports of itself.
func (v *View) Endpoint(id string) (catalog.Endpoint, bool) {
	e, ok := v.endpoints.Load().ByID[id]
	return e, ok
}

// Present tells whether an endpoint is reported under this key.
func (v *View) Present(key catalog.EndpointKey) bool {
	e, ok := v.endpoints.Load().ByID[key.ID]
	return ok && e.Key == key
}

// Homes returns the VMs that may be home of an endpoint, best first: those of its
// data centre, then of its region, then the others, each by rendezvous hashing. VMs
// that are leaving or could not be reached go last, so that there is always one.
func (v *View) Homes(endpoint catalog.Endpoint) []catalog.VM {
	ranked := v.ranked(endpoint)
	usable := make([]catalog.VM, 0, len(ranked))
	var last []catalog.VM
	for _, vm := range ranked {
		if !v.usable(vm) {
			last = append(last, vm)
			continue
		}
		usable = append(usable, vm)
	}
	return append(usable, last...)
}

// FirstHome tells whether this VM is the best home that it knows for an endpoint.
func (v *View) FirstHome(endpoint catalog.Endpoint) bool {
	homes := v.Homes(endpoint)
	return len(homes) == 0 || homes[0].Name == v.config.Self.Name
}

// usable tells whether a VM is neither leaving nor could not be reached a moment ago.
func (v *View) usable(vm catalog.VM) bool {
	return !v.isLeaving(vm) && (vm.Name == v.config.Self.Name || !v.config.Unreachable(vm.Name))
}

func (v *View) isLeaving(vm catalog.VM) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	incarnation, ok := v.leaving[vm.Name]
	return ok && incarnation == vm.Incarnation
}

func (v *View) ranked(endpoint catalog.Endpoint) []catalog.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	ranked, ok := v.homes[endpoint.Key.ID]
	if !ok {
		ranked = v.rank(endpoint)
		v.homes[endpoint.Key.ID] = ranked
	}
	return ranked
}

func (v *View) rank(endpoint catalog.Endpoint) []catalog.VM {
	vms := v.vms.Load().ByName
	var near, region, far []routing.VM
	for _, vm := range vms {
		r := routing.VM{
			Name:       vm.Name,
			DataCentre: vm.DataCentre,
			Region:     vm.Region,
		}
		switch {
		case vm.DataCentre == endpoint.DataCentre:
			near = append(near, r)
		case vm.Region == v.Region(endpoint.DataCentre):
			region = append(region, r)
		default:
			far = append(far, r)
		}
	}
	ranked := make([]catalog.VM, 0, len(vms)+1)
	for _, group := range [][]routing.VM{near, region, far} {
		for _, r := range routing.Rank(endpoint.Key.ID, group) {
			ranked = append(ranked, vms[r.Name])
		}
	}
	if _, registered := vms[v.config.Self.Name]; !registered {
		ranked = append(ranked, v.config.Self)
	}
	return ranked
}

// Live returns the registered VMs, this one included, that are neither leaving nor
// could not be reached a moment ago.
func (v *View) Live() []routing.VM {
	vms := v.vms.Load().ByName
	live := make([]routing.VM, 0, len(vms))
	for _, vm := range vms {
		if !v.usable(vm) {
			continue
		}
		live = append(live, routing.VM{
			Name:       vm.Name,
			DataCentre: vm.DataCentre,
			Region:     vm.Region,
		})
	}
	return live
}

// Peers returns the other registered VMs, by name.
func (v *View) Peers() []catalog.VM {
	vms := v.vms.Load().ByName
	peers := make([]catalog.VM, 0, len(vms))
	for _, name := range slices.Sorted(maps.Keys(vms)) {
		if name != v.config.Self.Name {
			peers = append(peers, vms[name])
		}
	}
	return peers
}

// SinceBoot is the reading with which ages are measured.
func (v *View) SinceBoot() time.Duration { return v.config.Timer.SinceBoot() }
