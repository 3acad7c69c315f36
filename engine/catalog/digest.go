package catalog

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash of the endpoints. It changes when an endpoint is added, removed
// or changed, but not when only its report count does.
func (e *EndpointSnapshot) Digest() uint64 {
	digest := xxhash.New()
	for _, id := range slices.Sorted(maps.Keys(e.ByID)) {
		endpoint := e.ByID[id]
		endpoint.Reports = 0
		// Writes to a hash never fail.
		_, _ = fmt.Fprintf(digest, "%d %s %s %s %s %d %t %d\n", endpoint.Key.Born.UnixMilli(), id, endpoint.Database, endpoint.Address,
			endpoint.DataCentre, endpoint.Slots, endpoint.Draining, endpoint.Role)
		if endpoint.ColdFor > 0 {
			_, _ = fmt.Fprintln(digest, "cold", endpoint.ColdFor)
		}
	}
	return digest.Sum64()
}

// Digest returns a hash of the VMs. It changes when a VM is added, removed or changed,
// or when another VM becomes the leader.
func (v *VMSnapshot) Digest() uint64 {
	digest := xxhash.New()
	_, _ = fmt.Fprintln(digest, v.Leader)
	for _, name := range slices.Sorted(maps.Keys(v.ByName)) {
		vm := v.ByName[name]
		if vm.Lapsed {
			// What is known about such a VM differs from VM to VM.
			_, _ = fmt.Fprintln(digest, name, "lapsed")
			continue
		}
		_, _ = fmt.Fprintf(digest, "%s %s %s %s %d\n", name, vm.DataCentre, vm.Region, vm.Address, vm.Incarnation)
		if vm.Size != (VMSize{}) {
			_, _ = fmt.Fprintln(digest, "size", vm.Size.Cores, vm.Size.LinkMbps)
		}
		if vm.Unclaimed {
			_, _ = fmt.Fprintln(digest, "unclaimed")
		}
	}
	return digest.Sum64()
}
