package confsync

import (
	"amaranthdock.dev/decision/routing"
)

// FleetVM is a VM of the member table.
type FleetVM struct {
	VM routing.VM
	// Live VMs respond to probes and are not leaving.
	Live bool
}

// Watchers returns the VMs that watch the store: in each region, the live VMs that rank
// first by rendezvous hashing, at most perRegion of them.
func Watchers(key string, live []routing.VM, perRegion int) []routing.VM {
	counts := map[string]int{}
	var watchers []routing.VM
	for _, v := range routing.Rank(key, live) {
		if counts[v.Region] == perRegion {
			continue
		}
		counts[v.Region]++
		watchers = append(watchers, v)
	}
	return watchers
}

// SetFleet applies a change of the member table. The fleet includes this VM, and is empty
// until this VM has joined. Until then, this VM neither watches the store nor decides
// whether there is an outage, because it does not know the other VMs.
func (s *State) SetFleet(fleet []FleetVM) {
	var live []routing.VM
	names := map[string]bool{}
	dataCentreLive := map[string]bool{}
	for _, f := range fleet {
		names[f.VM.Name] = true
		if f.Live {
			live = append(live, f.VM)
		}
		if f.VM.Region == s.config.StoreRegion {
			dataCentreLive[f.VM.DataCentre] = dataCentreLive[f.VM.DataCentre] || f.Live
		}
	}
	s.allDataCentresLive = true
	for _, hasLiveVM := range dataCentreLive {
		s.allDataCentresLive = s.allDataCentresLive && hasLiveVM
	}
	for vm := range s.storeReports {
		if !names[vm] {
			delete(s.storeReports, vm)
		}
	}
	s.otherWatchers = nil
	s.watching = false
	for _, w := range Watchers(s.config.Key, live, s.config.WatchersPerRegion) {
		if w.Name == s.config.Self.Name {
			s.watching = true
			continue
		}
		s.otherWatchers = append(s.otherWatchers, w)
	}
	if !s.watching {
		s.storeState = StoreUnknown
	}
}

// IsWatcher reports whether this VM watches the store.
func (s *State) IsWatcher() bool {
	return s.watching
}

// WatchersToProbe returns the other watchers while this VM is a watcher that cannot
// reach the store. This VM has to probe them directly to find out whether they can
// reach it. The result is empty otherwise.
func (s *State) WatchersToProbe() []routing.VM {
	if !s.watching || s.storeState != StoreUnreachable {
		return nil
	}
	return s.otherWatchers
}
