package harness

import (
	"net/netip"
	"sync"

	"amaranthdock.dev/loadtool/relay"
)

// host is one process on the network between the relays.
type host struct {
	name   string
	region string
	// address that the process listens on and dials from.
	address netip.Addr
}

// Network holds the rules between the hosts of a deployment.
type Network struct {
	shape Spec

	mu    sync.Mutex
	hosts map[netip.Addr]host
	cuts  map[cut]struct{}
	links map[string]*relay.Link
}

// cut stops the data from one host to another.
type cut struct {
	from, to string
}

func newNetwork(shape Spec) *Network {
	return &Network{
		shape: shape,
		hosts: map[netip.Addr]host{},
		cuts:  map[cut]struct{}{},
		links: map[string]*relay.Link{},
	}
}

// Partition stops the data between two hosts in both directions.
func (n *Network) Partition(a, b string) {
	n.PartitionOneWay(a, b)
	n.PartitionOneWay(b, a)
}

// PartitionOneWay stops the data from one host to another.
func (n *Network) PartitionOneWay(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[cut{
		from: from,
		to:   to,
	}] = struct{}{}
}

// PartitionRegion stops the data between a region and all other regions.
func (n *Network) PartitionRegion(region string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range n.hosts {
		for _, b := range n.hosts {
			if (a.region == region) != (b.region == region) {
				n.cuts[cut{
					from: a.name,
					to:   b.name,
				}] = struct{}{}
			}
		}
	}
}

// Heal ends all cuts.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
}

// Isolate stops the data between one host and all others.
func (n *Network) Isolate(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.hosts {
		if h.name == name {
			continue
		}
		n.cuts[cut{
			from: name,
			to:   h.name,
		}] = struct{}{}
		n.cuts[cut{
			from: h.name,
			to:   name,
		}] = struct{}{}
	}
}

// RegionBytes returns the bytes that crossed between regions, both ways.
func (n *Network) RegionBytes() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	var total int64
	for _, l := range n.links {
		total += l.Total()
	}
	return total
}

func (n *Network) add(h host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[h.address] = h
}

// link returns the line between two regions; the caller holds the lock.
func (n *Network) link(from, to string) *relay.Link {
	name := from + ">" + to
	l, ok := n.links[name]
	if !ok {
		l = &relay.Link{
			BytesPerSecond: n.shape.RegionRate,
		}
		n.links[name] = l
	}
	return l
}

// rules returns the rules of the relay in front of a host. Sources that are no
// hosts, such as callers and operators, reach everything.
func (n *Network) rules(target host) relay.Rules {
	return func(source netip.Addr) relay.Rule {
		n.mu.Lock()
		defer n.mu.Unlock()
		from, ok := n.hosts[source]
		if !ok {
			return relay.Rule{}
		}
		_, cutForward := n.cuts[cut{
			from: from.name,
			to:   target.name,
		}]
		_, cutBackward := n.cuts[cut{
			from: target.name,
			to:   from.name,
		}]
		rule := relay.Rule{
			CutForward:  cutForward,
			CutBackward: cutBackward,
		}
		if from.region != target.region {
			rule.Delay = n.shape.RegionDelay
			rule.Link = n.link(from.region, target.region)
		}
		return rule
	}
}
