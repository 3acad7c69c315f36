package catalog

import (
	"slices"
	"strings"
)

// Regions is a set of regions: their names in sorted order, joined by commas. The empty set
// means that there is no restriction. It is comparable, so that it can be part of a Route.
type Regions string

// NewRegions returns the set of the named regions.
func NewRegions(names []string) Regions {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return Regions(strings.Join(slices.Compact(sorted), ","))
}

// names returns the regions of the set in sorted order.
func (r Regions) names() []string {
	if r == "" {
		return nil
	}
	return strings.Split(string(r), ",")
}

// Allows reports whether the region is in the set or there is no restriction.
func (r Regions) Allows(region string) bool {
	return r == "" || slices.Contains(r.names(), region)
}

// And returns the regions that both sets allow; false if there are none.
func (r Regions) And(other Regions) (Regions, bool) {
	switch {
	case r == "":
		return other, true
	case other == "":
		return r, true
	}
	common := slices.DeleteFunc(r.names(), func(name string) bool { return !other.Allows(name) })
	return NewRegions(common), len(common) > 0
}
