// Package routing decides which VM and which endpoint serve a statement.
package routing

import (
	"iter"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// hashSeparator separates the VM's name and the key in the hashed text.
const hashSeparator = "\x00"

// VM is a proxy VM and its location.
type VM struct {
	Name       string
	DataCentre string
	Region     string
}

// Home returns the home of an endpoint, which is the VM that runs the endpoint's
// statements. It is the live VM that ranks first for the key (the endpoint's name) in
// the endpoint's data centre; if none is live there, in its region; else among all. It
// returns false if live is empty.
func Home(key, dataCentre, region string, live []VM) (VM, bool) {
	if home, ok := bestRanked(key, live, func(v *VM) bool { return v.DataCentre == dataCentre }); ok {
		return home, true
	}
	if home, ok := bestRanked(key, live, func(v *VM) bool { return v.Region == region }); ok {
		return home, true
	}
	return bestRanked(key, live, func(*VM) bool { return true })
}

// bestRanked returns the eligible candidate that ranks first. It runs for each
// statement, so it neither sorts nor copies the candidates.
func bestRanked(key string, candidates []VM, eligible func(*VM) bool) (VM, bool) {
	var (
		best  *VM
		score uint64
	)
	for i := range candidates {
		v := &candidates[i]
		if !eligible(v) {
			continue
		}
		s := rankScore(key, v.Name)
		if best == nil || ranksBefore(s, v.Name, score, best.Name) {
			best, score = v, s
		}
	}
	if best == nil {
		return VM{}, false
	}
	return *best, true
}

// First returns the names of the candidates that Rank would put first, at most count of
// them. It does not sort the candidates, so it suits a few places among many VMs.
func First(key string, names iter.Seq[string], count int) []string {
	type scored struct {
		name  string
		score uint64
	}
	best := make([]scored, 0, count)
	for name := range names {
		candidate := scored{
			name:  name,
			score: rankScore(key, name),
		}
		i := len(best)
		for i > 0 && ranksBefore(candidate.score, candidate.name, best[i-1].score, best[i-1].name) {
			i--
		}
		if i == count {
			continue
		}
		if len(best) == count {
			best = best[:count-1]
		}
		best = slices.Insert(best, i, candidate)
	}
	first := make([]string, 0, len(best))
	for _, b := range best {
		first = append(first, b.name)
	}
	return first
}

// ranksBefore reports whether one VM ranks before another one with these scores.
func ranksBefore(score uint64, name string, otherScore uint64, otherName string) bool {
	return score > otherScore || (score == otherScore && name < otherName)
}

// rankScore returns the score of a VM in the ranking for a key. The digest is a local
// value, so that it is not allocated on the heap.
func rankScore(key, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// A write to a digest never fails.
	_, _ = digest.WriteString(name)
	_, _ = digest.WriteString(hashSeparator)
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

// Rank returns the candidates sorted by rendezvous hashing on the key, best first. All
// VMs compute the same order from the same candidates, and the loss of a VM reassigns
// only the keys for which it ranked first.
func Rank(key string, candidates []VM) []VM {
	type scored struct {
		vm    VM
		score uint64
	}
	scores := make([]scored, 0, len(candidates))
	for _, v := range candidates {
		scores = append(scores, scored{
			vm:    v,
			score: rankScore(key, v.Name),
		})
	}
	slices.SortFunc(scores, func(a, b scored) int {
		if ranksBefore(a.score, a.vm.Name, b.score, b.vm.Name) {
			return -1
		}
		return 1
	})
	ranked := make([]VM, 0, len(scores))
	for _, s := range scores {
		ranked = append(ranked, s.vm)
	}
	return ranked
}
