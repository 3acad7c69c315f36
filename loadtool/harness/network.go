package harness

import (
	"net/netip"
	"sync"

	"amaranthdock.dev/loadtool/relay"
)

// host is a process whose incoming connections go through a relay.
type host struct {
	name   string
	region string
	// address is the IP address on which the process listens and from which it opens
	// connections.
	address netip.Addr
}

// Network holds the network rules between the hosts of a deployment.
type Network struct {
	spec Spec

	mu      sync.Mutex
	hosts   map[netip.Addr]host
	blocked map[blockedPath]struct{}
	links   map[string]*relay.Link
}

// blockedPath is a direction in which no data is forwarded.
type blockedPath struct {
	from, to string
}

func newNetwork(spec Spec) *Network {
	return &Network{
		spec:    spec,
		hosts:   map[netip.Addr]host{},
		blocked: map[blockedPath]struct{}{},
		links:   map[string]*relay.Link{},
	}
}

// Partition blocks the traffic between two hosts in both directions.
func (n *Network) Partition(a, b string) {
	n.PartitionOneWay(a, b)
	n.PartitionOneWay(b, a)
}

// PartitionOneWay blocks the traffic from one host to another.
func (n *Network) PartitionOneWay(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[blockedPath{
		from: from,
		to:   to,
	}] = struct{}{}
}

// PartitionRegion blocks the traffic between a region and all other regions.
func (n *Network) PartitionRegion(region string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range n.hosts {
		for _, b := range n.hosts {
			if (a.region == region) != (b.region == region) {
				n.blocked[blockedPath{
					from: a.name,
					to:   b.name,
				}] = struct{}{}
			}
		}
	}
}

// Heal ends all partitions.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.blocked)
}

// Isolate blocks the traffic between one host and all others.
func (n *Network) Isolate(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.hosts {
		if h.name == name {
			continue
		}
		n.blocked[blockedPath{
			from: name,
			to:   h.name,
		}] = struct{}{}
		n.blocked[blockedPath{
			from: h.name,
			to:   name,
		}] = struct{}{}
	}
}

// CrossRegionBytes returns the bytes sent between regions, in both directions.
func (n *Network) CrossRegionBytes() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	var total int64
	for _, l := range n.links {
		total += l.TotalBytes()
	}
	return total
}

func (n *Network) add(h host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[h.address] = h
}

// link returns the link from one region to another. The caller must hold the lock.
func (n *Network) link(from, to string) *relay.Link {
	name := from + ">" + to
	l, ok := n.links[name]
	if !ok {
		l = &relay.Link{
			BytesPerSecond: n.spec.RegionRate,
		}
		n.links[name] = l
	}
	return l
}

// ruleFor returns the rules of the relay in front of a host. Sources that are not hosts, such
// as callers and operators, are never blocked or delayed.
func (n *Network) ruleFor(target host) relay.RuleFunc {
	return func(source netip.Addr) relay.Rule {
		n.mu.Lock()
		defer n.mu.Unlock()
		from, ok := n.hosts[source]
		if !ok {
			return relay.Rule{}
		}
		_, blockForward := n.blocked[blockedPath{
			from: from.name,
			to:   target.name,
		}]
		_, blockBackward := n.blocked[blockedPath{
			from: target.name,
			to:   from.name,
		}]
		rule := relay.Rule{
			BlockForward:  blockForward,
			BlockBackward: blockBackward,
		}
		if from.region != target.region {
			rule.Delay = n.spec.RegionDelay
			rule.Link = n.link(from.region, target.region)
		}
		return rule
	}
}
