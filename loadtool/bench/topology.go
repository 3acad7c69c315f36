package bench

import (
	"time"

	"amaranthdock.dev/decision/routing"
)

const (
	// localHop is the one-way latency inside a place; placeHop and regionHop are
	// those between places and between regions of the users' networks.
	localHop  = 100 * time.Microsecond
	placeHop  = time.Millisecond
	regionHop = 20 * time.Millisecond
)

// site is a place and its region.
type site struct {
	place, region string
}

var (
	olfusa     = site{place: "olfusa", region: "sudurland"}
	thjorsa    = site{place: "thjorsa", region: "sudurland"}
	hvitarosar = site{place: "hvitarosar", region: "vesturland"}
)

// fleet returns the 7 entry VMs of the first user.
func fleet() []routing.VM {
	var all []routing.VM
	for _, v := range []struct {
		name string
		site site
	}{
		{name: "o1", site: olfusa},
		{name: "o2", site: olfusa},
		{name: "o3", site: olfusa},
		{name: "t1", site: thjorsa},
		{name: "t2", site: thjorsa},
		{name: "h1", site: hvitarosar},
		{name: "h2", site: hvitarosar},
	} {
		all = append(all, routing.VM{
			Name:   v.name,
			Place:  v.site.place,
			Region: v.site.region,
		})
	}
	return all
}

// hop returns the one-way latency between two sites.
func hop(a, b site) time.Duration {
	switch {
	case a.region != b.region:
		return regionHop
	case a.place != b.place:
		return placeHop
	default:
		return localHop
	}
}

func siteOf(v routing.VM) site {
	return site{
		place:  v.Place,
		region: v.Region,
	}
}
