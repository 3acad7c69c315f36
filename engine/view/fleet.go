package view

import (
	"maps"
	"time"

	"amaranthdock.dev/engine/catalog"
)

// contactTTL is how long a VM whose registration is missing stays in the fleet after its
// last message. It is longer than a gossip round over all VMs of a small fleet.
const contactTTL = 4 * time.Second

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
	fleet := v.withRecentContacts(current, v.registrations.Load().WithoutLapsed())
	if sameFleet(current, fleet) {
		return false
	}
	v.vms.Store(fleet)
	v.rankedHomeCache = map[string][]catalog.VM{}
	v.rankingsChangedAt = v.config.Timer.SinceBoot()
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
	for name, vm := range vms.ByName {
		before, ok := current.ByName[name]
		if !ok {
			continue
		}
		if vm.Lapsed && before.Address.IsValid() {
			vm.DataCentre, vm.Region, vm.Address, vm.Incarnation = before.DataCentre, before.Region, before.Address, before.Incarnation
		}
		if vm.Incarnation == before.Incarnation && vm.Size == (catalog.VMSize{}) {
			// A VM of an older build, which does not know sizes, has passed the registration on.
			vm.Size = before.Size
		}
		if before.Same(vm) {
			vm.Revision = max(before.Revision, vm.Revision)
		} else {
			// The registration itself may be older than the change of its claim.
			vm.Revision = max(vms.Revision, vm.Revision)
		}
		vms.ByName[name] = vm
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

// Registrations returns the latest registrations, and the lapsed ones of VMs with a claim,
// without the VMs that are kept because of a recent message. It also returns the revision up
// to which they are known.
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

// HeardRecently reports whether a VM sent a message recently.
func (v *View) HeardRecently(name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	at, ok := v.lastContact[name]
	return ok && v.config.Timer.SinceBoot()-at < contactTTL
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
		v.rankingsChangedAt = v.config.Timer.SinceBoot()
	} else {
		delete(v.leavingIncarnations, vm)
		v.rankingsChangedAt = v.config.Timer.SinceBoot()
	}
	v.notifyChange()
}
