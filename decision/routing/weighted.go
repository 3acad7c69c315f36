package routing

import (
	"math"
	"slices"
)

const (
	// coresPerStatement is the processor time of a home for one statement a second, in cores
	// (docs/CAPACITY.md, cores of the home by statements).
	coresPerStatement = 0.000334
	// megabitsPerStatement is the data that a home sends or receives for one statement, in
	// megabits: four messages of 271 bytes, from and to the entry VM and the endpoint.
	megabitsPerStatement = 4 * 271 * 8 / 1e6
)

// HomeWeight returns how many statements a second a VM of a size can run as a home: as many as
// the resource allows that is exhausted first. A resource that is not positive is not known and
// does not count; the weight is 0 if neither is known.
func HomeWeight(cores, linkMbps float64) float64 {
	byCores, byLink := cores/coresPerStatement, linkMbps/megabitsPerStatement
	switch {
	case cores > 0 && linkMbps > 0:
		return min(byCores, byLink)
	case cores > 0:
		return byCores
	case linkMbps > 0:
		return byLink
	default:
		return 0
	}
}

// RankWeighted returns the candidates sorted by weighted rendezvous hashing on the key, best
// first. A VM ranks first for a share of the keys that is proportional to its weight. If the
// weight of one VM changes, only keys that move to it or away from it change their first VM.
// Candidates of equal weight are in the order of Rank. A VM without a weight counts as one of the
// smallest weight.
func RankWeighted(key string, candidates []VM, weights map[string]float64) []VM {
	smallest := smallestWeight(weights)
	groups := map[float64][]VM{}
	for _, v := range candidates {
		weight := weights[v.Name]
		if weight <= 0 {
			weight = smallest
		}
		groups[weight] = append(groups[weight], v)
	}
	if len(groups) <= 1 {
		return Rank(key, candidates)
	}
	// Only the first VMs of the groups are compared by weight. Comparing all of them could change
	// the order within a group where rounding makes two costs equal.
	for weight, group := range groups {
		groups[weight] = Rank(key, group)
	}
	ranked := make([]VM, 0, len(candidates))
	for len(ranked) < len(candidates) {
		best, lowest := 0.0, math.Inf(1)
		for weight, group := range groups {
			if len(group) == 0 {
				continue
			}
			if cost := weightedCost(key, group[0].Name, weight); cost < lowest || (cost == lowest && weight > best) {
				best, lowest = weight, cost
			}
		}
		ranked = append(ranked, groups[best][0])
		groups[best] = slices.Delete(groups[best], 0, 1)
	}
	return ranked
}

// weightedCost returns the position of a VM in a ranking; the lowest is first. It is
// exponentially distributed over the keys, with the weight as its rate.
func weightedCost(key, name string, weight float64) float64 {
	// 52 bits of the score, so that the fraction is never rounded to 0 or 1.
	fraction := (float64(rankScore(key, name)>>12) + 0.5) / (1 << 52)
	return -math.Log(fraction) / weight
}

// smallestWeight returns the smallest known weight; 1 if none is known.
func smallestWeight(weights map[string]float64) float64 {
	smallest := math.Inf(1)
	for _, weight := range weights {
		if weight > 0 {
			smallest = min(smallest, weight)
		}
	}
	if math.IsInf(smallest, 1) {
		return 1
	}
	return smallest
}
