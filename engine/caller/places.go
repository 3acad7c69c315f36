package caller

import (
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/evacuation"
	"amaranthdock.dev/decision/placement"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/endpoint"
)

// isAllowed reports whether the statement may run at an endpoint, because of its region.
func (d *dispatch) isAllowed(e catalog.Endpoint) bool {
	return d.auth.regions.Allows(d.session.manager.config.View.Region(e.DataCentre))
}

// candidates returns the endpoints that may run the statement if it is a read.
func (d *dispatch) candidates() []placement.Candidate {
	var allowed []placement.Candidate
	for _, c := range d.session.manager.config.View.Candidates(d.auth.database.Name, d.excluded) {
		if d.auth.regions.Allows(c.Region) {
			allowed = append(allowed, c)
		}
	}
	return allowed
}

// isRead reports whether the statement is a read or the first statement of a read-only
// transaction.
func (d *dispatch) isRead() bool {
	t := d.session.transaction
	return !d.request.Write && (t == nil || t.readOnly)
}

// mayUsePrimary reports whether the statement may be sent to the primary now.
func (d *dispatch) mayUsePrimary(primary catalog.Endpoint) bool {
	v := d.session.manager.config.View
	return d.isAllowed(primary) && v.MayStartWork(primary) && v.PrimaryAccess(primary).Decide(d.isRead()) == evacuation.Send
}

// refusePlace returns a refusal if no endpoint may run the statement and waiting does not help;
// nil if one may, or if the database has no endpoints or no primary at present.
func (d *dispatch) refusePlace() *refusal.Error {
	v := d.session.manager.config.View
	if d.auth.noRegion {
		return refusal.NewNotRun(refusal.RegionNotAllowed, "the route and the workspace allow no region in common")
	}
	if d.auth.regions == "" && len(v.Evacuations().DataCentres()) == 0 {
		return nil
	}
	name := d.auth.database.Name
	hasReplica := !d.needsPrimary() && len(d.candidates()) > 0
	if _, ok := v.RequiredPosition(name, d.auth.route.MaxStaleness); ok && hasReplica {
		return nil
	}
	primary, ok := v.Primary(name)
	switch {
	case !ok && hasReplica:
		return nil
	case !ok:
		return d.refuseMembers()
	case !hasReplica && !d.isAllowed(primary):
		return d.regionRefusal()
	case v.PrimaryAccess(primary).Decide(d.isRead()) == evacuation.Refuse:
		// The primary gets no requests for its position any more either, without which no
		// replica can run a read.
		return endpoint.EvacuatedRefusal()
	}
	return nil
}

// refuseMembers returns a refusal if the database has endpoints, but none of them may become a
// primary that may run the statement.
func (d *dispatch) refuseMembers() *refusal.Error {
	v := d.session.manager.config.View
	members := v.Members(d.auth.database.Name)
	allowed := 0
	for _, e := range members {
		if !d.isAllowed(e) {
			continue
		}
		allowed++
		if v.Access(e) == evacuation.Open {
			return nil
		}
	}
	switch {
	case len(members) == 0:
		return nil
	case allowed == 0:
		return d.regionRefusal()
	default:
		return endpoint.EvacuatedRefusal()
	}
}

func (d *dispatch) regionRefusal() *refusal.Error {
	return refusal.NewNotRun(refusal.RegionNotAllowed, "no endpoint that could run the statement is in an allowed region")
}

// homes returns the VMs through which the statement may be sent to an endpoint, the best first:
// those in an allowed region, and this VM itself.
func (d *dispatch) homes(target catalog.Endpoint) []catalog.VM {
	v := d.session.manager.config.View
	if d.auth.regions == "" {
		return v.Homes(target, maxHomesPerEndpoint)
	}
	var allowed []catalog.VM
	for _, vm := range v.Homes(target, len(v.VMs().ByName)+1) {
		if vm.Name == v.Self().Name || d.auth.regions.Allows(vm.Region) {
			allowed = append(allowed, vm)
		}
	}
	return allowed[:min(len(allowed), maxHomesPerEndpoint)]
}

// countEvacuated counts a statement that was refused because of an evacuation.
func (s *SessionManager) countEvacuated(refused *refusal.Error) {
	if refused.Reason == refusal.DataCentreEvacuated {
		metrics.GetOrRegisterCounter("evacuation.refused", s.config.Registry).Inc(1)
	}
}
