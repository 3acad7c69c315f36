package catalog

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a number that differs between revisions in which an endpoint came,
// went or changed. The count of its reports alone is no change.
func (e *EndpointSnapshot) Digest() uint64 {
	digest := xxhash.New()
	for _, id := range slices.Sorted(maps.Keys(e.ByID)) {
		endpoint := e.ByID[id]
		endpoint.Reports = 0
		// Writes to a digest never fail.
		_, _ = fmt.Fprintf(digest, "%d %s %s %s %s %d %t %d\n", endpoint.Key.Born.UnixMilli(), id, endpoint.Database, endpoint.Address,
			endpoint.DataCentre, endpoint.Slots, endpoint.Draining, endpoint.Role)
	}
	return digest.Sum64()
}

// Digest returns a number that differs between revisions in which a VM came, went or
// changed, or another one leads.
func (v *VMSnapshot) Digest() uint64 {
	digest := xxhash.New()
	_, _ = fmt.Fprintln(digest, v.Leader)
	for _, name := range slices.Sorted(maps.Keys(v.ByName)) {
		vm := v.ByName[name]
		_, _ = fmt.Fprintf(digest, "%s %s %s %s %d\n", name, vm.DataCentre, vm.Region, vm.Address, vm.Incarnation)
	}
	return digest.Sum64()
}
