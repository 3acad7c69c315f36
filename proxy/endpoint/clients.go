package endpoint

import (
	"context"
	"slices"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/declaration"
)

// acquireClient returns the client of an endpoint if this VM is its first home or its
// fallback home. The client counts a step in flight until the returned function is
// called.
func (h *Home) acquireClient(snapshot *declaration.Snapshot, endpoint string) (*endpointClient, func(), error) {
	declared, role, err := h.checkHome(snapshot, endpoint)
	if err != nil {
		return nil, nil, err
	}
	if database, ok := snapshot.DatabaseOf(endpoint); ok && role == fallbackHome {
		h.config.Observer.WatchTemporarily(database.Name)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return nil, nil, errLeaving()
	}
	client := h.clientFor(snapshot, declared)
	return client, client.inFlight.Begin(), nil
}

// checkHome returns the declaration of an endpoint and the role of this VM as its home, or
// a refusal if this VM is not one of its homes.
func (h *Home) checkHome(snapshot *declaration.Snapshot, endpoint string) (*declaration.Endpoint, homeRole, error) {
	declared, ok := snapshot.Endpoint(endpoint)
	if !ok {
		return nil, notHome, refusal.NewNotRun(refusal.NotReady, "the endpoint is not in the configuration of its home")
	}
	role := h.role(snapshot, declared)
	if role == notHome {
		return nil, notHome, refusal.NewNotRun(refusal.NotHome, "the VM is not the home of the endpoint")
	}
	return declared, role, nil
}

func errLeaving() error {
	return refusal.NewNotRun(refusal.NotHome, "the VM is leaving")
}

// homeRole is the role of this VM as a home of an endpoint.
type homeRole int

// The first home and the fallback home of an endpoint both accept steps. The fallback
// home is used while the first home cannot reach the endpoint although others can, and
// while VMs disagree about the membership. Each uses at most half of the endpoint's
// connections.
const (
	notHome homeRole = iota
	firstHome
	fallbackHome
)

// role returns the role of this VM as a home of an endpoint.
func (h *Home) role(snapshot *declaration.Snapshot, declared *declaration.Endpoint) homeRole {
	self := h.config.Directory.Self().Name
	live := h.config.Directory.Live()
	region := snapshot.RegionOf(declared.DataCentre)
	first, ok := h.homes.FirstHome(declared.Name, declared.DataCentre, region, live)
	switch {
	case !ok:
		return notHome
	case first.Name == self:
		return firstHome
	}
	if fallback, ok := h.homes.FallbackHome(declared.Name, declared.DataCentre, region, live); !ok || fallback.Name != self {
		return notHome
	}
	return fallbackHome
}

// isFirstHome reports whether this VM is the first home of an endpoint.
func (h *Home) isFirstHome(snapshot *declaration.Snapshot, declared *declaration.Endpoint) bool {
	first, ok := routing.Home(declared.Name, declared.DataCentre, snapshot.RegionOf(declared.DataCentre), h.config.Directory.Live())
	return ok && first.Name == h.config.Directory.Self().Name
}

// clientFor returns the client of an endpoint. It creates one if there is none or if
// the client's settings have changed; the old client is kept in retired until its
// steps have ended. The caller holds h.mu.
func (h *Home) clientFor(snapshot *declaration.Snapshot, declared *declaration.Endpoint) *endpointClient {
	settings := settingsFor(snapshot, declared)
	client, ok := h.clients[declared.Name]
	if ok && client.settings == settings {
		client.pool.setAddress(declared.Address)
		return client
	}
	if ok {
		h.retired = append(h.retired, client)
	}
	connections := newPool(poolConfig{
		address:  declared.Address,
		base:     h.base,
		dial:     h.config.Dial,
		limit:    settings.connections,
		pinLimit: settings.pinLimit(),
		proxy:    h.config.Directory.Self().Name,
		timer:    h.config.Timer,
	})
	queue := h.config.NewQueue(QueueConfig{
		Slots:   settings.slots,
		MaxWait: settings.maxWait,
	})
	client = newEndpointClient(declared.Name, settings, queue, connections, h.config.Timer, h.queueWait)
	h.clients[declared.Name] = client
	return client
}

// settingsFor returns the settings of the client of an endpoint.
func settingsFor(snapshot *declaration.Snapshot, declared *declaration.Endpoint) clientSettings {
	return clientSettings{
		slots:       max(1, declared.Slots),
		connections: max(1, declared.Connections/2),
		maxWait:     snapshot.Preset().MaxQueueWait,
	}
}

// reconcile creates the clients of the endpoints whose first home is this VM, opens
// connections in advance and closes clients that are no longer needed.
func (h *Home) reconcile(ctx context.Context) {
	snapshot := h.config.Configuration.Current()
	if snapshot == nil {
		return
	}
	wanted := h.homeEndpoints.update(h, snapshot)
	for name := range wanted {
		if declared, ok := snapshot.Endpoint(name); ok {
			h.warmUp(ctx, snapshot, declared)
		}
	}
	for _, client := range h.removeUnused(wanted) {
		client.close()
	}
}

// homeEndpointCache caches the names of the endpoints whose first home is this VM.
// Computing the home of every endpoint on each tick is too expensive, so it is repeated
// only when the configuration or the membership has changed. Only the goroutine of Run
// uses it.
type homeEndpointCache struct {
	endpoints map[string]bool
	live      []routing.VM
	version   uint64
}

// update returns the endpoints, without those that are leaving. It computes them only if
// its inputs have changed.
func (c *homeEndpointCache) update(h *Home, snapshot *declaration.Snapshot) map[string]bool {
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

// warmUp opens connections to an endpoint in the background, so that an endpoint that
// does not respond does not delay the others.
func (h *Home) warmUp(ctx context.Context, snapshot *declaration.Snapshot, declared *declaration.Endpoint) {
	h.mu.Lock()
	if h.draining {
		h.mu.Unlock()
		return
	}
	client := h.clientFor(snapshot, declared)
	done := client.inFlight.Begin()
	h.mu.Unlock()
	if !client.warmUpMu.TryLock() {
		done()
		return
	}
	go func() {
		defer done()
		defer client.warmUpMu.Unlock()
		client.pool.warmUp(ctx, min(client.settings.slots, client.settings.connections))
	}()
}

// removeUnused removes and returns the clients that have no steps in flight and are
// either retired or not wanted.
func (h *Home) removeUnused(wanted map[string]bool) []*endpointClient {
	h.mu.Lock()
	defer h.mu.Unlock()
	var unused, kept []*endpointClient
	for name, client := range h.clients {
		if !wanted[name] && client.inFlight.Count() == 0 {
			delete(h.clients, name)
			unused = append(unused, client)
		}
	}
	for _, client := range h.retired {
		if client.inFlight.Count() == 0 {
			unused = append(unused, client)
		} else {
			kept = append(kept, client)
		}
	}
	h.retired = kept
	return unused
}

// closeAll closes all clients and refuses steps from now on.
func (h *Home) closeAll() {
	h.mu.Lock()
	clients := h.retired
	for _, client := range h.clients {
		clients = append(clients, client)
	}
	h.clients, h.retired, h.draining = map[string]*endpointClient{}, nil, true
	h.mu.Unlock()
	h.shutdown()
	for _, client := range clients {
		client.close()
	}
}
