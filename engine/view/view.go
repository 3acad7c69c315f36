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

	"amaranthdock.dev/decision/evacuation"
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
	// Leaving reports whether this VM is leaving the fleet; nil if it never does. SetLeaving
	// records it for the other VMs.
	Leaving func() bool
	// DrainLimit is the time after which an endpoint that is draining may get no new statements;
	// 0 for no limit.
	DrainLimit time.Duration
	// EvacuationLimit is the time after which an evacuated data centre may get no more requests;
	// 0 if the deployment has no evacuations.
	EvacuationLimit time.Duration
}

// View is the local copy. It is safe for concurrent use.
type View struct {
	config        Config
	configuration atomic.Pointer[catalog.Configuration]
	endpoints     atomic.Pointer[catalog.EndpointSnapshot]
	vms           atomic.Pointer[catalog.VMSnapshot]
	evacuations   atomic.Pointer[evacuation.Set]

	mu sync.Mutex
	// changed is closed and replaced at each change.
	changed   chan struct{}
	databases map[string]*database
	// leavingIncarnations holds the incarnation of each VM that is leaving the fleet.
	leavingIncarnations map[string]uint64
	// rankedHomeCache holds the homes of each endpoint in rank order. It is cleared when
	// the fleet changes.
	rankedHomeCache map[string][]catalog.VM
	// rankingsChangedAt is when a ranking of homes may last have changed, as a reading of SinceBoot.
	rankingsChangedAt time.Duration
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
	v.rankingsChangedAt = config.Timer.SinceBoot()
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
		v.database(endpoint.Database).recordReport(current.ByID[id], endpoint, v.config.Timer.SinceBoot())
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
