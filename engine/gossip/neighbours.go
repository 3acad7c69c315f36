package gossip

import (
	"iter"

	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/engine/catalog"
)

// neighbourCache holds the neighbours of a VM in one fleet.
type neighbourCache struct {
	of         *catalog.VMSnapshot
	neighbours []catalog.VM
}

// get returns the neighbours in a fleet and selects them if the fleet is another one.
func (c *neighbourCache) get(self catalog.VM, fleet *catalog.VMSnapshot) []catalog.VM {
	if c.of != fleet {
		c.of, c.neighbours = fleet, rankNeighbours(self, fleet)
	}
	return c.neighbours
}

// neighbours returns the available VMs among the neighbours of this VM, or all other VMs if
// none of the neighbours is available.
func (s *Service) neighbours() []catalog.VM {
	v := s.config.View
	s.mu.Lock()
	ranked := s.fleetNeighbours.get(v.Self(), v.VMs())
	s.mu.Unlock()
	available := make([]catalog.VM, 0, len(ranked))
	for _, vm := range ranked {
		if v.IsAvailable(vm) {
			available = append(available, vm)
		}
	}
	if len(available) == 0 {
		return v.Peers()
	}
	return available
}

// rankNeighbours selects the VMs with which a VM exchanges data: a few of its own region and
// a few of the others. Each VM selects others, so that all VMs are connected through their
// neighbours. A random choice among all VMs would open a connection to each of them.
func rankNeighbours(self catalog.VM, fleet *catalog.VMSnapshot) []catalog.VM {
	inRegion := func(same bool) iter.Seq[string] {
		return func(yield func(string) bool) {
			for name, vm := range fleet.ByName {
				if name != self.Name && (vm.Region == self.Region) == same && !yield(name) {
					return
				}
			}
		}
	}
	names := append(routing.First(self.Name, inRegion(true), nearNeighbours), routing.First(self.Name, inRegion(false), farNeighbours)...)
	neighbours := make([]catalog.VM, 0, len(names))
	for _, name := range names {
		neighbours = append(neighbours, fleet.ByName[name])
	}
	return neighbours
}

// HearsMostNeighbours reports whether most of the VMs with which this VM exchanges data have
// sent a message recently. VMs whose registration has lapsed count, because they may still run.
func (s *Service) HearsMostNeighbours() bool {
	registrations, _ := s.config.View.Registrations()
	s.mu.Lock()
	neighbours := s.claimNeighbours.get(s.config.View.Self(), registrations)
	s.mu.Unlock()
	heard := 0
	for _, vm := range neighbours {
		if s.config.View.HeardRecently(vm.Name) {
			heard++
		}
	}
	return 2*heard > len(neighbours) || len(neighbours) == 0
}
