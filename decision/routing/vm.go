// Package routing decides which VM and which endpoint serve a statement.
package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// VM is a proxy as the routing sees it.
type VM struct {
	Name   string
	Place  string
	Region string
}

// Home returns the home of a key (an endpoint): the best-ranked live VM of the
// place, else of the region, else of all. It returns false if live is empty.
func Home(key, place, region string, live []VM) (VM, bool) {
	candidates := filter(live, func(v VM) bool { return v.Place == place })
	if len(candidates) == 0 {
		candidates = filter(live, func(v VM) bool { return v.Region == region })
	}
	if len(candidates) == 0 {
		candidates = live
	}
	if len(candidates) == 0 {
		return VM{}, false
	}
	return Rank(key, candidates)[0], true
}

// Rank sorts the candidates by rendezvous hashing on the key, best first. All
// VMs with the same candidates agree, and a lost VM moves only its own keys.
func Rank(key string, candidates []VM) []VM {
	type scored struct {
		vm    VM
		score uint64
	}
	scores := make([]scored, 0, len(candidates))
	for _, v := range candidates {
		scores = append(scores, scored{
			vm:    v,
			score: xxhash.Sum64String(v.Name + "\x00" + key),
		})
	}
	slices.SortFunc(scores, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		case a.vm.Name < b.vm.Name:
			return -1
		default:
			return 1
		}
	})
	ranked := make([]VM, 0, len(scores))
	for _, s := range scores {
		ranked = append(ranked, s.vm)
	}
	return ranked
}

func filter(vms []VM, keep func(VM) bool) []VM {
	var kept []VM
	for _, v := range vms {
		if keep(v) {
			kept = append(kept, v)
		}
	}
	return kept
}
