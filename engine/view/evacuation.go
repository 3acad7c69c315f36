package view

import (
	"time"

	"amaranthdock.dev/decision/evacuation"
	"amaranthdock.dev/engine/catalog"
)

// Evacuations returns the newest known set of evacuated data centres.
func (v *View) Evacuations() evacuation.Set {
	if current := v.evacuations.Load(); current != nil {
		return *current
	}
	return evacuation.Set{}
}

// UsesEvacuations reports whether the deployment has evacuations.
func (v *View) UsesEvacuations() bool { return v.config.EvacuationLimit > 0 }

// AcceptEvacuations replaces the set of evacuated data centres if the revision is newer. The
// ages hold for how long VMs have known of each evacuation.
func (v *View) AcceptEvacuations(revision uint64, ages map[string]time.Duration, source string) {
	v.updateEvacuations(source, func(current evacuation.Set, now time.Duration) evacuation.Set {
		newer, _ := current.Replace(now, revision, ages)
		return newer
	})
}

// ApplyEvacuations applies changes that the store has sent. They are age old at most.
func (v *View) ApplyEvacuations(changes []evacuation.Change, age time.Duration) {
	v.updateEvacuations("store", func(current evacuation.Set, now time.Duration) evacuation.Set {
		return current.Apply(now, changes, age)
	})
}

// updateEvacuations replaces the set by the result of update if that is newer, and logs the
// difference.
func (v *View) updateEvacuations(source string, update func(evacuation.Set, time.Duration) evacuation.Set) {
	if !v.UsesEvacuations() {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now, older := v.SinceBoot(), v.Evacuations()
	newer := update(older, now)
	if newer.Revision <= older.Revision {
		return
	}
	v.evacuations.Store(&newer)
	ages := newer.Ages(now)
	for _, name := range newer.DataCentres() {
		if !older.Contains(name) {
			v.config.Log.Info("The evacuation of a data centre began.", "dataCentre", name, "revision", newer.Revision,
				"knownFor", ages[name].String(), "source", source)
		}
	}
	for _, name := range older.DataCentres() {
		if !newer.Contains(name) {
			v.config.Log.Info("The evacuation of a data centre ended.", "dataCentre", name, "revision", newer.Revision, "source", source)
		}
	}
	v.notifyChange()
}

// Access returns which requests may be sent to an endpoint because of evacuations.
func (v *View) Access(e catalog.Endpoint) evacuation.Access {
	current := v.evacuations.Load()
	if current == nil {
		return evacuation.Open
	}
	return current.Access(e.DataCentre, v.SinceBoot(), v.config.EvacuationLimit)
}

// PrimaryAccess returns the access to an endpoint as the primary of its database.
func (v *View) PrimaryAccess(primary catalog.Endpoint) evacuation.Primary {
	state := evacuation.Primary{Access: v.Access(primary)}
	if state.Access == evacuation.Open {
		return state
	}
	for _, e := range v.Members(primary.Database) {
		if e.Key != primary.Key && !e.Draining && v.Access(e) == evacuation.Open {
			state.Replaceable = true
		}
	}
	return state
}

// IsPrimary reports whether this VM takes an endpoint for the primary of its database.
func (v *View) IsPrimary(e catalog.Endpoint) bool {
	primary, ok := v.Primary(e.Database)
	return ok && primary.Key == e.Key
}

// MayKeepConnections reports whether unused connections to an endpoint may stay open. In an
// evacuated data centre that holds only for a primary that still gets writes: otherwise each of
// these would open a connection.
func (v *View) MayKeepConnections(e catalog.Endpoint) bool {
	switch v.Access(e) {
	case evacuation.Open:
		return true
	case evacuation.WritesOnly:
		return v.IsPrimary(e)
	default:
		return false
	}
}
