// Package view holds this VM's local copy of the configuration, the endpoints' reports
// and the fleet's registrations, and the state that it derives from them. Older versions
// never replace newer ones.
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
	// Unreachable reports whether a recent call to a VM failed to reach it.
	Unreachable func(vm string) bool
}

// View is the local copy. It is safe for concurrent use.
type View struct {
	config        Config
	configuration atomic.Pointer[catalog.Configuration]
	endpoints     atomic.Pointer[catalog.EndpointSnapshot]
	vms           atomic.Pointer[catalog.VMSnapshot]

	mu sync.Mutex
	// changed is closed and replaced at each change.
	changed   chan struct{}
	databases map[string]*database
	// leavingIncarnations holds the incarnation of each VM that is leaving the fleet.
	leavingIncarnations map[string]uint64
	// rankedHomeCache holds the homes of each endpoint in rank order. It is cleared when
	// the fleet changes.
	rankedHomeCache map[string][]catalog.VM
	// lastContact holds the time of the last message from each VM, as a reading of
	// SinceBoot.
	lastContact map[string]time.Duration
	// latestContact is the time of the last message from any VM.
	latestContact time.Duration
	vmsRevision   uint64
	// ownRevision is the revision of this VM's own registration; 0 for none.
	ownRevision uint64
	// registrations holds the registrations as other VMs get them; see Registrations.
	registrations atomic.Pointer[catalog.VMSnapshot]
	// deletedAt holds the revision at which a registration was found to be deleted, for
	// all that were deleted after deletionsKnownFrom.
	deletedAt          map[string]uint64
	deletionsKnownFrom uint64
	// olderConfigurations holds the last configurations before the current one, the latest
	// last, and configurationDeltas the differences from them to the current one.
	olderConfigurations []*catalog.Configuration
	configurationDeltas map[uint64]*catalog.ConfigurationDelta
}

// contactTTL is how long a VM whose registration is missing stays in the fleet after its
// last message. It is longer than a gossip round over all VMs of a small fleet.
const contactTTL = 4 * time.Second

const (
	// maxDeletions bounds the number of remembered deletions of registrations.
	maxDeletions = 4096
	// maxOlderConfigurations is the number of older configurations from which a VM can tell
	// others the difference. VMs ask twice a second, and versions may be 0.3 s apart.
	maxOlderConfigurations = 6
)

// New returns a View without any data.
func New(config Config) *View {
	v := &View{
		config:              config,
		changed:             make(chan struct{}),
		databases:           map[string]*database{},
		leavingIncarnations: map[string]uint64{},
		rankedHomeCache:     map[string][]catalog.VM{},
		lastContact:         map[string]time.Duration{},
		deletedAt:           map[string]uint64{},
	}
	v.registrations.Store(&catalog.VMSnapshot{})
	v.endpoints.Store(&catalog.EndpointSnapshot{})
	v.vms.Store(&catalog.VMSnapshot{})
	return v
}

// Self returns this VM.
func (v *View) Self() catalog.VM { return v.config.Self }

// Region returns the region of a data centre; empty if it is unknown.
func (v *View) Region(dataCentre string) string { return v.config.Regions[dataCentre] }

// Configuration returns the latest configuration; nil if there is none yet.
func (v *View) Configuration() *catalog.Configuration { return v.configuration.Load() }

// Endpoints returns the latest reports of the endpoints.
func (v *View) Endpoints() *catalog.EndpointSnapshot { return v.endpoints.Load() }

// VMs returns the fleet: the latest registrations, and VMs that sent a message recently.
func (v *View) VMs() *catalog.VMSnapshot { return v.vms.Load() }

// AcceptConfiguration replaces the configuration if the version is higher, and reports
// whether it did.
func (v *View) AcceptConfiguration(c *catalog.Configuration, source string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	current := v.configuration.Load()
	if current != nil && c.Version <= current.Version {
		return false
	}
	if current != nil {
		first := max(len(v.olderConfigurations)+1-maxOlderConfigurations, 0)
		v.olderConfigurations = append(slices.Clone(v.olderConfigurations[first:]), current)
	}
	v.configurationDeltas = map[uint64]*catalog.ConfigurationDelta{}
	v.configuration.Store(c)
	v.notifyChange()
	v.config.Log.Info("The configuration changed.", "version", c.Version, "routes", len(c.Routes), "source", source)
	return true
}

// ConfigurationSince returns the difference from an older version to the current
// configuration; false if this VM does not have the older one any more.
func (v *View) ConfigurationSince(version uint64) (*catalog.ConfigurationDelta, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if delta, ok := v.configurationDeltas[version]; ok {
		return delta, true
	}
	for _, older := range v.olderConfigurations {
		if older.Version == version {
			delta := v.configuration.Load().Since(older)
			v.configurationDeltas[version] = delta
			return delta, true
		}
	}
	return nil, false
}

// AcceptEndpoints replaces the reports if the revision is higher, and reports whether it
// did.
func (v *View) AcceptEndpoints(e *catalog.EndpointSnapshot, source string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	current := v.endpoints.Load()
	if e.Revision <= current.Revision {
		return false
	}
	v.endpoints.Store(e)
	v.logEndpointChanges(current, e, source)
	for id, endpoint := range e.ByID {
		v.database(endpoint.Database).recordReport(current.ByID[id], endpoint)
	}
	v.notifyChange()
	return true
}

// ConfirmEndpoints records that, according to another VM, the reports have not changed up
// to a revision.
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

// logEndpointChanges logs each endpoint that was added or removed, was restarted, or
// changed its role or state.
func (v *View) logEndpointChanges(old, current *catalog.EndpointSnapshot, source string) {
	for id, e := range current.ByID {
		before, known := old.ByID[id]
		if !known || before.Key != e.Key || before.Draining != e.Draining || before.Role != e.Role {
			v.config.Log.Info("An endpoint changed.", "endpoint", id, "database", e.Database, "primary", e.Role == catalog.RolePrimary,
				"draining", e.Draining, "revision", current.Revision, "source", source)
		}
	}
	for id, e := range old.ByID {
		if _, ok := current.ByID[id]; !ok {
			v.config.Log.Info("An endpoint was removed.", "endpoint", id, "database", e.Database, "revision", current.Revision, "source", source)
		}
	}
}

// AcceptVMs replaces the registrations unless the revision is lower, and reports whether
// the fleet or its leader changed. At the same revision, VMs that were kept without a
// registration may be gone.
func (v *View) AcceptVMs(vms *catalog.VMSnapshot, source string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if vms.Revision < v.vmsRevision {
		return false
	}
	v.vmsRevision = vms.Revision
	v.recordRegistrations(vms)
	return v.updateFleet(source)
}

// RecordOwnRegistration records that this VM's registration was written at a revision. Until
// a later list arrives, this VM counts as registered although it is not in its list.
func (v *View) RecordOwnRegistration(revision uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ownRevision = revision
	if v.vmsRevision != 0 {
		v.updateFleet("self")
	}
}

// updateFleet derives the fleet from the registrations, and reports whether it changed. The
// caller holds the lock.
func (v *View) updateFleet(source string) bool {
	current := v.vms.Load()
	fleet := v.withRecentContacts(current, v.registrations.Load())
	if sameFleet(current, fleet) {
		return false
	}
	v.vms.Store(fleet)
	v.rankedHomeCache = map[string][]catalog.VM{}
	v.config.Log.Info("The fleet changed.", "vms", len(fleet.ByName), "leader", fleet.Leader, "revision", v.vmsRevision, "source", source)
	v.notifyChange()
	return true
}

func sameFleet(a, b *catalog.VMSnapshot) bool {
	return a.Leader == b.Leader && maps.EqualFunc(a.ByName, b.ByName, catalog.VM.Same)
}

// recordRegistrations replaces the registrations as other VMs get them, and records which
// ones were deleted. The caller holds the lock.
func (v *View) recordRegistrations(vms *catalog.VMSnapshot) {
	current := v.registrations.Load()
	if current.Revision == 0 {
		v.deletionsKnownFrom = vms.Revision
	}
	if sameFleet(current, vms) && current.Revision != 0 {
		return
	}
	for name := range current.ByName {
		if _, ok := vms.ByName[name]; !ok {
			v.deletedAt[name] = vms.Revision
		}
	}
	for name := range vms.ByName {
		delete(v.deletedAt, name)
	}
	if len(v.deletedAt) > maxDeletions {
		clear(v.deletedAt)
		v.deletionsKnownFrom = vms.Revision
	}
	v.registrations.Store(vms)
}

// withRecentContacts returns the registrations and those that are missing although their VM
// sent a message recently: a VM that only the store turns away keeps its homes. This VM stays
// as long as any other VM responds to it. It is also added if it has registered since. The
// caller holds the lock.
func (v *View) withRecentContacts(current, vms *catalog.VMSnapshot) *catalog.VMSnapshot {
	now := v.config.Timer.SinceBoot()
	self := v.config.Self
	missing := map[string]catalog.VM{}
	for name, vm := range current.ByName {
		if _, ok := vms.ByName[name]; ok {
			continue
		}
		contactedAt, contacted := v.lastContact[name]
		if name == self.Name {
			contactedAt, contacted = v.latestContact, len(v.lastContact) > 0
		}
		incarnation, leaving := v.leavingIncarnations[name]
		if contacted && now-contactedAt < contactTTL && !(leaving && incarnation == vm.Incarnation) {
			missing[name] = vm
		}
	}
	if _, ok := vms.ByName[self.Name]; !ok && v.ownRevision > v.vmsRevision {
		missing[self.Name] = self
	}
	if len(missing) == 0 {
		return vms
	}
	maps.Copy(missing, vms.ByName)
	return &catalog.VMSnapshot{
		Revision: vms.Revision,
		ByName:   missing,
		Leader:   vms.Leader,
	}
}

// Registrations returns the latest registrations without the VMs that are kept because of
// a recent message, and the revision up to which they are known.
func (v *View) Registrations() (*catalog.VMSnapshot, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registrations.Load(), v.vmsRevision
}

// RegistrationsSince returns the changes of the registrations after a revision; false if
// this VM does not know all of them.
func (v *View) RegistrationsSince(revision uint64) (*catalog.VMDelta, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if revision == 0 || revision < v.deletionsKnownFrom {
		return nil, false
	}
	vms := v.registrations.Load()
	delta := &catalog.VMDelta{
		Revision: v.vmsRevision,
		Leader:   vms.Leader,
		VMs:      catalog.MapDelta[catalog.VM]{Set: map[string]catalog.VM{}},
	}
	for name, vm := range vms.ByName {
		if vm.Revision > revision {
			delta.VMs.Set[name] = vm
		}
	}
	for name, deletedAt := range v.deletedAt {
		if deletedAt > revision {
			delta.VMs.Removed = append(delta.VMs.Removed, name)
		}
	}
	return delta, true
}

// RecordContact records that a VM sent a request or a response.
func (v *View) RecordContact(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.latestContact = v.config.Timer.SinceBoot()
	v.lastContact[name] = v.latestContact
}

// RecentContactCount returns the number of other VMs that sent a message recently.
func (v *View) RecentContactCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	count := 0
	for _, at := range v.lastContact {
		if v.config.Timer.SinceBoot()-at < contactTTL {
			count++
		}
	}
	return count
}

// VMsRevision returns the revision of the latest registrations.
func (v *View) VMsRevision() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.vmsRevision
}

// SetLeaving records whether an incarnation of a VM is leaving the fleet and takes no new
// work.
func (v *View) SetLeaving(vm string, incarnation uint64, leaving bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	knownIncarnation, ok := v.leavingIncarnations[vm]
	if leaving == (ok && knownIncarnation == incarnation) {
		return
	}
	if leaving {
		v.leavingIncarnations[vm] = incarnation
	} else {
		delete(v.leavingIncarnations, vm)
	}
	v.notifyChange()
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// notifyChange wakes the goroutines that wait on Changed. The caller holds the lock.
func (v *View) notifyChange() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Endpoint returns the latest report of an endpoint.
func (v *View) Endpoint(id string) (catalog.Endpoint, bool) {
	e, ok := v.endpoints.Load().ByID[id]
	return e, ok
}

// HasEndpoint reports whether this incarnation of an endpoint is in the latest reports.
func (v *View) HasEndpoint(key catalog.EndpointKey) bool {
	e, ok := v.endpoints.Load().ByID[key.ID]
	return ok && e.Key == key
}

// Homes returns up to count VMs that may be the home of an endpoint, which is the VM that
// holds all connections to it. The best come first: those in the endpoint's data centre,
// then those in its region, then the others, each group in the order of rendezvous hashing.
// VMs that are leaving or unreachable come last instead of being left out, so that the
// result is never empty.
func (v *View) Homes(endpoint catalog.Endpoint, count int) []catalog.VM {
	ranked := v.rankedHomes(endpoint)
	count = min(count, len(ranked))
	homes := make([]catalog.VM, 0, count)
	var unavailable []catalog.VM
	for _, vm := range ranked {
		if len(homes) == count {
			return homes
		}
		if v.IsAvailable(vm) {
			homes = append(homes, vm)
		} else if len(unavailable) < count {
			unavailable = append(unavailable, vm)
		}
	}
	return append(homes, unavailable[:count-len(homes)]...)
}

// IsFirstHome reports whether this VM is ranked first among the homes of an endpoint.
func (v *View) IsFirstHome(endpoint catalog.Endpoint) bool {
	return v.Homes(endpoint, 1)[0].Name == v.config.Self.Name
}

// IsAvailable reports whether a VM is neither leaving nor unreachable.
func (v *View) IsAvailable(vm catalog.VM) bool {
	return !v.IsLeaving(vm) && (vm.Name == v.config.Self.Name || !v.config.Unreachable(vm.Name))
}

// IsLeaving reports whether this incarnation of a VM is leaving the fleet.
func (v *View) IsLeaving(vm catalog.VM) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	incarnation, ok := v.leavingIncarnations[vm.Name]
	return ok && incarnation == vm.Incarnation
}

// rankedHomes returns the ranking of the homes of an endpoint from the cache, and computes
// it if it is missing.
func (v *View) rankedHomes(endpoint catalog.Endpoint) []catalog.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	ranked, ok := v.rankedHomeCache[endpoint.Key.ID]
	if !ok {
		ranked = v.rankHomes(endpoint)
		v.rankedHomeCache[endpoint.Key.ID] = ranked
	}
	return ranked
}

// rankHomes computes the ranking of the homes of an endpoint. The caller holds the lock.
func (v *View) rankHomes(endpoint catalog.Endpoint) []catalog.VM {
	vms := v.vms.Load().ByName
	var sameDataCentre, sameRegion, otherRegions []routing.VM
	for _, vm := range vms {
		candidate := routing.VM{
			Name:       vm.Name,
			DataCentre: vm.DataCentre,
			Region:     vm.Region,
		}
		switch {
		case vm.DataCentre == endpoint.DataCentre:
			sameDataCentre = append(sameDataCentre, candidate)
		case vm.Region == v.Region(endpoint.DataCentre):
			sameRegion = append(sameRegion, candidate)
		default:
			otherRegions = append(otherRegions, candidate)
		}
	}
	ranked := make([]catalog.VM, 0, len(vms)+1)
	for _, group := range [][]routing.VM{sameDataCentre, sameRegion, otherRegions} {
		for _, candidate := range routing.Rank(endpoint.Key.ID, group) {
			ranked = append(ranked, vms[candidate.Name])
		}
	}
	if _, registered := vms[v.config.Self.Name]; !registered {
		ranked = append(ranked, v.config.Self)
	}
	return ranked
}

// Peers returns the other registered VMs, sorted by name.
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

// SinceBoot returns the reading of the clock with which ages are measured. The clock
// advances while the VM is suspended.
func (v *View) SinceBoot() time.Duration { return v.config.Timer.SinceBoot() }
