package store

import (
	"context"
	"errors"
	"slices"

	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/engine/catalog"
)

// maxRemovedClaims bounds the number of claims that are removed by one change.
const maxRemovedClaims = 10

// MayUseShares reports whether this VM may use its shares of limits.
func (s *Syncer) MayUseShares() bool {
	return limits.Standing{
		SinceRegistered:     s.since(s.registeredAt.Load()),
		RegistrationTTL:     registrationTTL,
		HearsMostNeighbours: s.config.HearsMostNeighbours(),
	}.MayUseShares()
}

// removeEndedClaims removes the claims of VMs whose registration has been lapsed for long. The
// leader does that for all VMs. The data may be stale: the change has the condition that the
// VM has not registered again.
func (s *Syncer) removeEndedClaims(ctx context.Context, vms *catalog.VMSnapshot) {
	lapsed := map[string]uint64{}
	for name, vm := range vms.ByName {
		if vm.Lapsed {
			lapsed[name] = vm.Revision
		}
	}
	ended := s.lapsedClaims.Update(s.config.Timer.SinceBoot(), lapsed, s.config.HearsMostNeighbours())
	if len(ended) == 0 || vms.Leader != s.config.View.Self().Name {
		return
	}
	slices.Sort(ended)
	change := Change{}
	for _, name := range ended[:min(len(ended), maxRemovedClaims)] {
		change.Conditions = append(change.Conditions,
			Condition{
				Key:      claimPrefix + name,
				Revision: lapsed[name],
			},
			Condition{Key: vmPrefix + name})
		change.Removals = append(change.Removals, claimPrefix+name)
	}
	requestedAt := s.config.Timer.SinceBoot()
	_, err := s.config.Store.Commit(ctx, change)
	if errors.Is(err, ErrConflict) {
		// A VM has registered again.
		err = nil
	}
	s.recordCall(requestedAt, err)
	if err == nil {
		s.config.Log.Info("Removed claims to shares of limits.", "vms", change.Removals, "lapsed", len(lapsed))
	}
}
