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

// leaveFanOut is the number of peers that are told at once of the leaving; the
// others hear of it through the probes.
const leaveFanOut = 4

// Directory tells which VMs are in the fleet.
type Directory interface {
	// Address returns the address of a VM's peer listener.
	Address(vm string) (netip.AddrPort, bool)
	// Incarnation returns the number of a VM's start, once the VM told it.
	Incarnation(vm string) (uint64, bool)
	// AnnounceLeaving announces that this VM is leaving.
	AnnounceLeaving(ctx context.Context) error
	// Live returns the VMs that may get new work, sorted by name. The slice must
	// not be changed.
	Live() []routing.VM
	// Self returns this VM.
	Self() routing.VM
}

var _ Directory = (*Service)(nil)

// Address returns the address of a VM's peer listener.
func (p *Service) Address(vm string) (netip.AddrPort, bool) {
	m, ok := p.view.Load().members[vm]
	return m.Address, ok
}

// Incarnation returns the number of a VM's start, once the VM told it.
func (p *Service) Incarnation(vm string) (uint64, bool) {
	m, ok := p.view.Load().members[vm]
	return m.Incarnation, ok && m.Incarnation != 0
}

// AnnounceLeaving announces that this VM is leaving. It returns an error if none of the
// peers asked at once has answered; the probes go on announcing it.
func (p *Service) AnnounceLeaving(ctx context.Context) error {
	p.mu.Lock()
	p.table.Leave()
	p.refresh()
	targets := p.table.Sample(leaveFanOut)
	p.mu.Unlock()
	if len(targets) == 0 {
		return nil
	}
	if p.exchangeAll(ctx, targets, false) == 0 {
		return eris.New("gossip: no peer answered the announcement of leaving")
	}
	return nil
}

// Leaving is closed once this VM is leaving, by Leave or by the platform's list.
func (p *Service) Leaving() <-chan struct{} {
	return p.leaving
}

// Live returns the VMs that may get new work, sorted by name.
func (p *Service) Live() []routing.VM {
	return p.view.Load().live
}

// Self returns this VM.
func (p *Service) Self() routing.VM {
	return p.config.Self
}

// addresses resolves VMs to members; the caller holds mu.
func (p *Service) addresses(vms []routing.VM) []membership.Member {
	var members []membership.Member
	for _, v := range vms {
		if m, ok := p.table.Member(v.Name); ok {
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
