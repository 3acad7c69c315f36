package bench

import (
	"time"

	"amaranthdock.dev/decision/routing"
)

const (
	// localLatency, dataCentreLatency and regionLatency are the one-way latencies inside a
	// data centre, between data centres and between regions of the users' networks.
	localLatency      = 100 * time.Microsecond
	dataCentreLatency = time.Millisecond
	regionLatency     = 20 * time.Millisecond
)

// location is a data centre and its region.
type location struct {
	dataCentre, region string
}

var (
	olfusa     = location{dataCentre: "olfusa", region: "sudurland"}
	thjorsa    = location{dataCentre: "thjorsa", region: "sudurland"}
	hvitarosar = location{dataCentre: "hvitarosar", region: "vesturland"}
)

// entryVMs returns the 7 VMs of the first user, all of which receive requests.
func entryVMs() []routing.VM {
	var all []routing.VM
	for _, v := range []struct {
		name string
		at   location
	}{
		{name: "o1", at: olfusa},
		{name: "o2", at: olfusa},
		{name: "o3", at: olfusa},
		{name: "t1", at: thjorsa},
		{name: "t2", at: thjorsa},
		{name: "h1", at: hvitarosar},
		{name: "h2", at: hvitarosar},
	} {
		all = append(all, routing.VM{
			Name:       v.name,
			DataCentre: v.at.dataCentre,
			Region:     v.at.region,
		})
	}
	return all
}

// latencyBetween returns the one-way latency between two locations.
func latencyBetween(a, b location) time.Duration {
	switch {
	case a.region != b.region:
		return regionLatency
	case a.dataCentre != b.dataCentre:
		return dataCentreLatency
	default:
		return localLatency
	}
}

func locationOf(v routing.VM) location {
	return location{
		dataCentre: v.DataCentre,
		region:     v.Region,
	}
}
