package view

import (
	"time"

	"amaranthdock.dev/engine/catalog"
)

// HomeStanding returns the number of VMs that are ranked before this VM among the homes of an
// endpoint, and a time, as a reading of SinceBoot, since which that has not changed. VMs that are
// leaving do not count, and unreachable ones do: they may still use their connections. If this VM
// is leaving itself, at least one other VM counts.
func (v *View) HomeStanding(endpoint catalog.Endpoint) (int, time.Duration) {
	rank := 0
	for _, vm := range v.rankedHomes(endpoint) {
		if vm.Name == v.config.Self.Name {
			if v.IsLeaving(vm) {
				rank = max(rank, 1)
			}
			break
		}
		if !v.IsLeaving(vm) {
			rank++
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return rank, v.rankingsChangedAt
}
