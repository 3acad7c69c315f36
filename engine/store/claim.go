package store

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/engine/catalog"
)

// maxRemovedClaims bounds the number of claims that are removed by one change.
const maxRemovedClaims = 10

// claims holds the VMs with a claim, by region and name. The value identifies the process for
// which the claim was added: the claim of a later process of the VM is that of a predecessor.
type claims map[string]map[string]uint16

// claimProcess returns the value of a claim that is added for a process.
func claimProcess(incarnation uint64) uint16 { return uint16(incarnation & 0xffff) }

// find returns the process for which the claim of a VM was added; false if there is no claim.
func (c claims) find(name string) (uint16, bool) {
	for _, vms := range c {
		if process, ok := vms[name]; ok {
			return process, true
		}
	}
	return 0, false
}

func (c claims) add(vm catalog.VM) {
	if c[vm.Region] == nil {
		c[vm.Region] = map[string]uint16{}
	}
	c[vm.Region][vm.Name] = claimProcess(vm.Incarnation)
}

func (c claims) remove(name string) {
	for _, vms := range c {
		delete(vms, name)
	}
}

// decodeClaims adds the claims to a read, and marks the VMs without a registration or without a
// claim.
func (s *Syncer) decodeClaims(items []Item, read *fleetRead) {
	i := slices.IndexFunc(items, func(item Item) bool { return item.Key == claimsKey })
	if i < 0 {
		return
	}
	read.claimsRevision = items[i].Revision
	decoded := claims{}
	if err := json.Unmarshal(items[i].Value, &decoded); err != nil {
		s.config.Log.Info("Could not decode the claims.", "error", err.Error())
		return
	}
	read.claims = decoded
	vms := read.vms.ByName
	for name, vm := range vms {
		if _, claimed := decoded.find(name); !claimed {
			vm.Unclaimed = true
			vms[name] = vm
		}
	}
	for region, names := range decoded {
		for name := range names {
			if _, registered := vms[name]; !registered {
				vms[name] = catalog.VM{
					Name:     name,
					Region:   region,
					Revision: read.claimsRevision,
					Lapsed:   true,
				}
			}
		}
	}
}

// resumeClaim records whether this process, which is registered, has the claim of a predecessor.
func (s *Syncer) resumeClaim(read *fleetRead) {
	self := s.config.View.Self()
	if process, ok := read.claims.find(self.Name); ok && process != claimProcess(self.Incarnation) {
		s.registrationKept.Store(true)
	}
}

// MayUseShares reports whether this VM may use its shares of limits.
func (s *Syncer) MayUseShares() bool {
	standing := limits.Standing{
		SinceRegistered: s.since(s.registeredAt.Load()),
		RegistrationTTL: registrationTTL,
	}
	if standing.MayUseShares() {
		return true
	}
	// This takes a lock for each neighbour, too much for each operation of a registered VM.
	standing.HearsMostNeighbours = s.config.HearsMostNeighbours()
	return standing.MayUseShares()
}

// IsRegistered reports whether the registration of this VM has certainly not lapsed.
func (s *Syncer) IsRegistered() bool { return s.since(s.registeredAt.Load()) < registrationTTL }

// updateClaims adds the claims of VMs that have registered, and removes those of VMs whose
// registration has been lapsed for long. Only the leader does that; other VMs count the time, in
// case they become the leader. It returns true if the next read has to be current and soon.
func (s *Syncer) updateClaims(ctx context.Context, read *fleetRead) bool {
	var added, lapsed, ended []string
	for name, vm := range read.vms.ByName {
		switch {
		case vm.Lapsed:
			lapsed = append(lapsed, name)
		case vm.Unclaimed || read.claims == nil:
			added = append(added, name)
		}
	}
	if !read.stale {
		ended = s.lapsedClaims.Update(limits.Observation{
			RequestedAt:         read.requestedAt,
			RespondedAt:         read.respondedAt,
			Lapsed:              lapsed,
			HearsMostNeighbours: s.config.HearsMostNeighbours(),
		})
	}
	if read.vms.Leader != s.config.View.Self().Name {
		return false
	}
	if len(added) == 0 && len(ended) == 0 {
		return len(lapsed) > 0
	}
	slices.Sort(ended)
	if err := s.writeClaims(ctx, read, added, ended[:min(len(ended), maxRemovedClaims)]); err != nil {
		s.config.Log.Info("Could not update the claims to shares of limits.", "error", err.Error())
	}
	return true
}

// writeClaims adds and removes claims, under the condition that nobody else has done so and that
// the VMs whose claims are removed have not registered again.
func (s *Syncer) writeClaims(ctx context.Context, read *fleetRead, added, ended []string) error {
	changed := read.claims
	if changed == nil {
		changed = claims{}
	}
	for _, name := range added {
		changed.add(read.vms.ByName[name])
	}
	change := Change{Conditions: []Condition{{
		Key:      claimsKey,
		Revision: read.claimsRevision,
	}}}
	for _, name := range ended {
		changed.remove(name)
		change.Conditions = append(change.Conditions, Condition{Key: vmPrefix + name})
	}
	value, err := json.Marshal(changed)
	if err != nil {
		return eris.Wrap(err, "encode the claims")
	}
	change.Writes = []Write{{
		Key:   claimsKey,
		Value: value,
	}}
	requestedAt := s.config.Timer.SinceBoot()
	_, err = s.config.Store.Commit(ctx, change)
	if errors.Is(err, ErrConflict) {
		s.recordCall(requestedAt, nil)
		return nil
	}
	s.recordCall(requestedAt, err)
	if err != nil {
		return err
	}
	s.config.Log.Info("Updated the claims to shares of limits.", "added", len(added), "removed", ended)
	return nil
}
