package endpoint

import (
	"context"
	"slices"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/declaration"
)

// enter returns the node of an endpoint and counts a step on it until the
// returned function is called.
func (h *Home) enter(snapshot *declaration.Snapshot, endpoint string) (*node, func(), error) {
	declared, ok := snapshot.Endpoint(endpoint)
	if !ok {
		return nil, nil, refusal.NewNotRun(refusal.NotReady, "the endpoint is not in the configuration of its home")
	}
	switch h.rank(snapshot, declared) {
	case firstRank:
	case secondRank:
		if database, ok := snapshot.DatabaseOf(endpoint); ok {
			h.config.Observer.WatchTemporarily(database.Name)
		}
	default:
		return nil, nil, refusal.NewNotRun(refusal.NotHome, "the VM is not the home of the endpoint")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return nil, nil, refusal.NewNotRun(refusal.NotHome, "the VM is leaving")
	}
	n := h.nodeFor(snapshot, declared)
	return n, n.inFlight.Begin(), nil
}

// homeRank is the rank of this VM among the homes of an endpoint.
type homeRank int

// Steps are accepted by the first and the second rank: the second takes over
// while the first is alone in being unable to reach the endpoint, and while the
// views of the membership differ. Each uses at most half of the endpoint's
// connections.
const (
	noRank homeRank = iota
	firstRank
	secondRank
)

func (h *Home) rank(snapshot *declaration.Snapshot, declared *declaration.Endpoint) homeRank {
	self := h.config.Directory.Self().Name
	live := h.config.Directory.Live()
	region := snapshot.RegionOf(declared.DataCentre)
	first, ok := h.homes.FirstHome(declared.Name, declared.DataCentre, region, live)
	switch {
	case !ok:
		return noRank
	case first.Name == self:
		return firstRank
	}
	if second, ok := h.homes.FallbackHome(declared.Name, declared.DataCentre, region, live); !ok || second.Name != self {
		return noRank
	}
	return secondRank
}

// isFirstHome tells whether this VM is the first rank for an endpoint.
func (h *Home) isFirstHome(snapshot *declaration.Snapshot, declared *declaration.Endpoint) bool {
	first, ok := routing.Home(declared.Name, declared.DataCentre, snapshot.RegionOf(declared.DataCentre), h.config.Directory.Live())
	return ok && first.Name == h.config.Directory.Self().Name
}

// nodeFor returns the node of an endpoint, made anew if its shape has changed.
// The caller holds the lock.
func (h *Home) nodeFor(snapshot *declaration.Snapshot, declared *declaration.Endpoint) *node {
	form := shape{
		slots:       max(1, declared.Slots),
		connections: max(1, declared.Connections/2),
		maxWait:     snapshot.Preset().MaxQueueWait,
	}
	n, ok := h.nodes[declared.Name]
	if ok && n.shape == form {
		n.pool.setAddress(declared.Address)
		return n
	}
	if ok {
		h.retired = append(h.retired, n)
	}
	connections := newPool(poolConfig{
		address:  declared.Address,
		base:     h.base,
		dial:     h.config.Dial,
		limit:    form.connections,
		pinLimit: max(1, form.connections-form.slots),
		proxy:    h.config.Directory.Self().Name,
		timer:    h.config.Timer,
	})
	queue := h.config.NewQueue(QueueConfig{
		Slots:   form.slots,
		MaxWait: form.maxWait,
	})
	n = newNode(declared.Name, form, queue, connections, h.config.Timer, h.waited)
	h.nodes[declared.Name] = n
	return n
}

// reconcile makes and warms the nodes of this home's endpoints and closes the
// idle ones of others.
func (h *Home) reconcile(ctx context.Context) {
	snapshot := h.config.Configuration.Current()
	if snapshot == nil {
		return
	}
	wanted := h.homed.update(h, snapshot)
	for name := range wanted {
		if declared, ok := snapshot.Endpoint(name); ok {
			h.warm(ctx, snapshot, declared)
		}
	}
	for _, n := range h.takeUnused(wanted) {
		n.close()
	}
}

// homed holds the endpoints that this VM is the first rank for. Ranking all
// endpoints costs too much to be done on every tick, so it is done when the
// configuration or the membership has changed. Only Run uses it.
type homed struct {
	endpoints map[string]bool
	live      []routing.VM
	version   uint64
}

// update returns the endpoints; those that are leaving are not among them.
func (c *homed) update(h *Home, snapshot *declaration.Snapshot) map[string]bool {
	live := h.config.Directory.Live()
	if c.endpoints != nil && c.version == snapshot.Version() && slices.Equal(c.live, live) {
		return c.endpoints
	}
	c.endpoints, c.live, c.version = map[string]bool{}, slices.Clone(live), snapshot.Version()
	for _, database := range snapshot.Databases() {
		for i := range database.Endpoints {
			declared := &database.Endpoints[i]
			if !declared.Leaving && h.isFirstHome(snapshot, declared) {
				c.endpoints[declared.Name] = true
			}
		}
	}
	return c.endpoints
}

// warm opens connections in the background: an endpoint that does not respond
// must not hold up the others.
func (h *Home) warm(ctx context.Context, snapshot *declaration.Snapshot, declared *declaration.Endpoint) {
	h.mu.Lock()
	if h.draining {
		h.mu.Unlock()
		return
	}
	n := h.nodeFor(snapshot, declared)
	done := n.inFlight.Begin()
	h.mu.Unlock()
	if !n.warming.TryLock() {
		done()
		return
	}
	go func() {
		defer done()
		defer n.warming.Unlock()
		n.pool.warm(ctx, min(n.shape.slots, n.shape.connections))
	}()
}

// takeUnused removes the nodes that are neither wanted nor in use.
func (h *Home) takeUnused(wanted map[string]bool) []*node {
	h.mu.Lock()
	defer h.mu.Unlock()
	var unused, kept []*node
	for name, n := range h.nodes {
		if !wanted[name] && n.inFlight.Count() == 0 {
			delete(h.nodes, name)
			unused = append(unused, n)
		}
	}
	for _, n := range h.retired {
		if n.inFlight.Count() == 0 {
			unused = append(unused, n)
		} else {
			kept = append(kept, n)
		}
	}
	h.retired = kept
	return unused
}

func (h *Home) closeAll() {
	h.mu.Lock()
	nodes := h.retired
	for _, n := range h.nodes {
		nodes = append(nodes, n)
	}
	h.nodes, h.retired, h.draining = map[string]*node{}, nil, true
	h.mu.Unlock()
	h.shutdown()
	for _, n := range nodes {
		n.close()
	}
}
