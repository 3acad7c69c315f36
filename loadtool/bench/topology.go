package bench

import (
	"time"

	"amaranthdock.dev/decision/routing"
)

const (
	// localHop is the one-way latency inside a data centre; dataCentreHop and regionHop are
	// those between data centres and between regions of the users' networks.
	localHop      = 100 * time.Microsecond
	dataCentreHop = time.Millisecond
	regionHop     = 20 * time.Millisecond
)

// site is a data centre and its region.
type site struct {
	dataCentre, region string
}

var (
	olfusa     = site{dataCentre: "olfusa", region: "sudurland"}
	thjorsa    = site{dataCentre: "thjorsa", region: "sudurland"}
	hvitarosar = site{dataCentre: "hvitarosar", region: "vesturland"}
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
			Name:       v.name,
			DataCentre: v.site.dataCentre,
			Region:     v.site.region,
		})
	}
	return all
}

// hop returns the one-way latency between two sites.
func hop(a, b site) time.Duration {
	switch {
	case a.region != b.region:
		return regionHop
	case a.dataCentre != b.dataCentre:
		return dataCentreHop
	default:
		return localHop
	}
}

func siteOf(v routing.VM) site {
	return site{
		dataCentre: v.DataCentre,
		region:     v.Region,
	}
}
