package view

import (
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/engine/catalog"
)

// Homes returns up to count VMs that may be the home of an endpoint, which is the VM that
// holds all connections to it. The best come first: those in the endpoint's data centre,
// then those in its region, then the others, each group in the order of rendezvous hashing, weighted by size.
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
	weights := v.homeWeights()
	ranked := make([]catalog.VM, 0, len(vms)+1)
	for _, group := range [][]routing.VM{sameDataCentre, sameRegion, otherRegions} {
		for _, candidate := range routing.RankWeighted(endpoint.Key.ID, group, weights) {
			ranked = append(ranked, vms[candidate.Name])
		}
	}
	if _, registered := vms[v.config.Self.Name]; !registered {
		ranked = append(ranked, v.config.Self)
	}
	return ranked
}
