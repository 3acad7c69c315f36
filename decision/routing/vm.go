// Package routing decides which VM and which endpoint serve a statement.
package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// separator of the name and the key in a score.
const separator = "\x00"

// VM is a proxy as the routing sees it.
type VM struct {
	Name       string
	DataCentre string
	Region     string
}

// Home returns the home of a key (an endpoint): the best-ranked live VM of the
// data centre, else of the region, else of all. It returns false if live is empty.
func Home(key, dataCentre, region string, live []VM) (VM, bool) {
	if home, ok := first(key, live, func(v *VM) bool { return v.DataCentre == dataCentre }); ok {
		return home, true
	}
	if home, ok := first(key, live, func(v *VM) bool { return v.Region == region }); ok {
		return home, true
	}
	return first(key, live, func(*VM) bool { return true })
}

// first returns the best-ranked of the candidates that are eligible. Each
// statement needs it, so it neither sorts nor copies the fleet.
func first(key string, candidates []VM, eligible func(*VM) bool) (VM, bool) {
	var (
		best  *VM
		score uint64
	)
	for i := range candidates {
		v := &candidates[i]
		if !eligible(v) {
			continue
		}
		s := scoreOf(key, v.Name)
		if best == nil || s > score || (s == score && v.Name < best.Name) {
			best, score = v, s
		}
	}
	if best == nil {
		return VM{}, false
	}
	return *best, true
}

// scoreOf a VM in the ranking by a key. The digest stays on the stack.
func scoreOf(key, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// Writes to a digest never fail.
	_, _ = digest.WriteString(name)
	_, _ = digest.WriteString(separator)
	_, _ = digest.WriteString(key)
	return digest.Sum64()
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
			score: scoreOf(key, v.Name),
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
