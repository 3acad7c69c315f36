package failover

import "amaranthdock.dev/engine/catalog"

// mustEvacuate reports whether a reported primary has to be replaced because its data centre is
// evacuated.
func (m *Manager) mustEvacuate(primary catalog.Endpoint, reported bool) bool {
	return reported && m.config.View.PrimaryAccess(primary).MustReplace()
}

// mayControl reports whether control commands may be sent to an endpoint. At the limit of an
// evacuation they end, except for those that serve to replace a primary.
func (m *Manager) mayControl(target catalog.Endpoint) bool {
	access := m.config.View.PrimaryAccess(target)
	access.Replaceable = access.Replaceable && m.config.View.IsPrimary(target)
	return access.MayControl()
}

// suspectEvacuated records that an evacuated primary did not respond. Homes would not report
// that, since the primary gets no statements any more.
func (m *Manager) suspectEvacuated(primary catalog.Endpoint) {
	if m.mustEvacuate(primary, true) {
		m.Suspect(primary)
	}
}

// switchoverCause returns why a primary is replaced in a planned way.
func (m *Manager) switchoverCause(old catalog.Endpoint) string {
	if m.mustEvacuate(old, true) {
		return "the data centre of the primary is evacuated"
	}
	return "the primary is draining"
}

// allowingRoutes returns the number of an endpoint's routes that allow its region.
func (m *Manager) allowingRoutes(e catalog.Endpoint) int {
	c := m.config.View.Configuration()
	if c == nil {
		return 0
	}
	count := 0
	for _, r := range c.Routes {
		if r.Database == e.Database && r.Regions.Allows(m.config.View.Region(e.DataCentre)) {
			count++
		}
	}
	return count
}
