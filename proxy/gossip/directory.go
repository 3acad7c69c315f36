package gossip

import (
	"context"
	"net/netip"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/decision/membership"
	"amaranthdock.dev/decision/routing"
)

// leaveFanOut is the number of peers that are notified immediately when this VM leaves.
// The others learn of it through probes.
const leaveFanOut = 4

// Directory provides the VMs of the fleet.
type Directory interface {
	// Address returns the address of a VM's peer listener.
	Address(vm string) (netip.AddrPort, bool)
	// Incarnation returns the incarnation of a VM's process. It returns false until the
	// VM has reported it.
	Incarnation(vm string) (uint64, bool)
	// AnnounceLeaving announces that this VM is leaving.
	AnnounceLeaving(ctx context.Context) error
	// Live returns the VMs that accept new work, sorted by name. The slice must not be
	// modified.
	Live() []routing.VM
	Self() routing.VM
}

var _ Directory = (*Service)(nil)

// Address returns the address of a VM's peer listener.
func (s *Service) Address(vm string) (netip.AddrPort, bool) {
	m, ok := s.fleet.Load().members[vm]
	return m.Address, ok
}

// Incarnation returns the incarnation of a VM's process. It returns false until the VM has
// reported it.
func (s *Service) Incarnation(vm string) (uint64, bool) {
	m, ok := s.fleet.Load().members[vm]
	return m.Incarnation, ok && m.Incarnation != 0
}

// AnnounceLeaving announces that this VM is leaving. It returns an error if none of the
// peers that it notifies immediately has responded. Later probes continue to announce it.
func (s *Service) AnnounceLeaving(ctx context.Context) error {
	s.mu.Lock()
	s.table.Leave()
	s.refreshView()
	targets := s.table.Sample(leaveFanOut)
	s.mu.Unlock()
	if len(targets) == 0 {
		return nil
	}
	if s.probeMembers(ctx, targets, false) == 0 {
		return eris.New("gossip: no peer acknowledged that this VM is leaving")
	}
	return nil
}

// Leaving returns a channel that is closed once this VM is leaving, because of
// AnnounceLeaving or because the platform's VM list says so.
func (s *Service) Leaving() <-chan struct{} {
	return s.leaving
}

// Live returns the VMs that accept new work, sorted by name.
func (s *Service) Live() []routing.VM {
	return s.fleet.Load().live
}

// Self returns this VM.
func (s *Service) Self() routing.VM {
	return s.config.Self
}

// lookUpMembers returns the members for VMs and skips unknown ones. The caller holds mu.
func (s *Service) lookUpMembers(vms []routing.VM) []membership.Member {
	var members []membership.Member
	for _, v := range vms {
		if m, ok := s.table.Member(v.Name); ok {
			members = append(members, m)
		}
	}
	return members
}

func sortByName(vms []routing.VM) {
	slices.SortFunc(vms, func(a, b routing.VM) int {
		return strings.Compare(a.Name, b.Name)
	})
}
