package confsync

import (
	"amaranthdock.dev/decision/routing"
)

// FleetVM is one VM of the member table.
type FleetVM struct {
	VM routing.VM
	// Live VMs answer probes and are not leaving.
	Live bool
}

// Watchers returns the VMs that watch the store: in each region the first ones
// of the live VMs by rendezvous hashing.
func Watchers(key string, live []routing.VM, perRegion int) []routing.VM {
	taken := map[string]int{}
	var watchers []routing.VM
	for _, v := range routing.Rank(key, live) {
		if taken[v.Region] == perRegion {
			continue
		}
		taken[v.Region]++
		watchers = append(watchers, v)
	}
	return watchers
}

// SetFleet takes over a change of the member table. The fleet names this VM too;
// it is empty until this VM has joined, so that it neither watches the store nor
// judges an outage without knowing the others.
func (s *State) SetFleet(fleet []FleetVM) {
	var live []routing.VM
	known := map[string]bool{}
	dataCentreLive := map[string]bool{}
	for _, k := range fleet {
		known[k.VM.Name] = true
		if k.Live {
			live = append(live, k.VM)
		}
		if k.VM.Region == s.config.StoreRegion {
			dataCentreLive[k.VM.DataCentre] = dataCentreLive[k.VM.DataCentre] || k.Live
		}
	}
	s.dataCentresCovered = true
	for _, covered := range dataCentreLive {
		s.dataCentresCovered = s.dataCentresCovered && covered
	}
	for vm := range s.reports {
		if !known[vm] {
			delete(s.reports, vm)
		}
	}
	s.watchers = nil
	s.watching = false
	for _, w := range Watchers(s.config.Key, live, s.config.WatchersPerRegion) {
		if w.Name == s.config.Self.Name {
			s.watching = true
			continue
		}
		s.watchers = append(s.watchers, w)
	}
	if !s.watching {
		s.store = StoreUnwatched
	}
}

// IsWatcher tells whether this VM watches the store.
func (s *State) IsWatcher() bool {
	return s.watching
}

// WatchersToProbe returns the other watchers, which this VM has to probe directly while
// it cannot reach the store, to find out whether they can. It is empty otherwise.
func (s *State) WatchersToProbe() []routing.VM {
	if !s.watching || s.store != StoreUnreachable {
		return nil
	}
	return s.watchers
}
