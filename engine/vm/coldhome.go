package vm

import (
	"context"
	"time"

	"amaranthdock.dev/decision/connections"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/guard"
	"amaranthdock.dev/engine/peer"
)

// firstHomeCheckTimeout bounds a check of the first home. A VM that does not respond is noticed
// earlier by the ping of the call.
const firstHomeCheckTimeout = time.Second

// checkFirstHome calls the first home of an endpoint in the background, unless such a call is
// running, so that this VM notices if the home is lost. The result of the call shows in
// peer.Clients.Unreachable.
func (v *VM) checkFirstHome(endpoint catalog.Endpoint) {
	home := v.view.Homes(endpoint, 1)[0]
	if home.Name == v.config.Self.Name || !v.checkingFirstHome.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer guard.Recover(v.config.Log, "check of a first home")
		defer v.checkingFirstHome.Store(false)
		if err := v.clients.Call(context.Background(), home, "Ping", &peer.Empty{}, &peer.Empty{}, firstHomeCheckTimeout); err != nil {
			v.config.Log.V(1).Info("Could not reach the first home of a cold endpoint.", "peer", home.Name, "endpoint", endpoint.Key.ID, "error", err.Error())
		}
	}()
}

// homeStanding returns the place of this VM among an endpoint's homes.
func (v *VM) homeStanding(endpoint catalog.Endpoint) connections.Standing {
	rank, since := v.view.HomeStanding(endpoint)
	return connections.Standing{
		Rank:      rank,
		Confirmed: v.store.IsRegistered() || v.gossip.HearsMostNeighbours(),
		Since:     since,
	}
}

// isRegistered reports whether this VM is registered in the fleet.
func (v *VM) isRegistered() bool {
	_, ok := v.view.VMs().ByName[v.config.Self.Name]
	return ok
}
