// Package evacuation decides which requests may be sent to the endpoints of data centres that
// operators have taken out of use. Times are readings of a clock that continues while the VM
// is suspended.
package evacuation

import (
	"maps"
	"slices"
	"time"
)

const (
	// Margin is how long before the limit the last request is sent to an evacuated data centre,
	// counted from when the first VM learned of the evacuation. A watch of the store may miss a
	// change for 2.6 s plus 10% jitter. The pause before the next watch, its answer and the
	// request itself take up to 0.3 s. The time that the set takes from VM to VM is covered by
	// the ages that it carries.
	Margin = 3200 * time.Millisecond
	// MaxAge is the largest age of an evacuation that is kept and passed on. An evacuation of
	// which the beginning is unknown has this age, too.
	MaxAge = time.Hour
)

// Access is which requests may be sent to the endpoints of a data centre.
type Access int

// The kinds of access.
const (
	// Open means that the data centre is not evacuated.
	Open Access = iota
	// WritesOnly means that the data centre is being evacuated: its endpoints get no reads and
	// no first statements of read-only transactions, but the primary still gets writes and open
	// transactions continue.
	WritesOnly
	// Closed means that the endpoints of the data centre get no requests any more.
	Closed
)

// Set is one revision of the set of evacuated data centres. The zero value is the set of a VM
// that knows none. A Set is not changed after its creation.
type Set struct {
	// Revision is the store's revision of the set; 0 if none is known.
	Revision uint64
	// begunAt holds the time from which the limit counts for each data centre.
	begunAt map[string]time.Duration
}

// Replace returns the set with the data centres of a newer revision; false if the revision is
// not newer. The ages hold for how long VMs have known of each evacuation. A data centre that
// stays in the set keeps its time: if its evacuation was cancelled and requested again in
// between, that ends the access earlier than necessary, never later.
func (s Set) Replace(now time.Duration, revision uint64, ages map[string]time.Duration) (Set, bool) {
	if revision <= s.Revision {
		return s, false
	}
	newer := Set{
		Revision: revision,
		begunAt:  make(map[string]time.Duration, len(ages)),
	}
	for name, age := range ages {
		begunAt, ok := s.begunAt[name]
		if !ok {
			begunAt = now - min(max(age, 0), MaxAge)
		}
		newer.begunAt[name] = begunAt
	}
	return newer, true
}

// Change is a request to evacuate a data centre or the end of the evacuation.
type Change struct {
	Revision   uint64
	DataCentre string
	// Evacuated is false at the end of the evacuation.
	Evacuated bool
}

// Apply returns the set after changes in the order of their revisions, each of which is age
// old. Changes that the set already contains are skipped; those of one revision apply together.
func (s Set) Apply(now time.Duration, changes []Change, age time.Duration) Set {
	for len(changes) > 0 {
		revision := changes[0].Revision
		ages := s.Ages(now)
		for len(changes) > 0 && changes[0].Revision == revision {
			if changes[0].Evacuated {
				ages[changes[0].DataCentre] = age
			} else {
				delete(ages, changes[0].DataCentre)
			}
			changes = changes[1:]
		}
		s, _ = s.Replace(now, revision, ages)
	}
	return s
}

// Ages returns for how long VMs have known of the evacuation of each data centre.
func (s Set) Ages(now time.Duration) map[string]time.Duration {
	ages := make(map[string]time.Duration, len(s.begunAt))
	for name, begunAt := range s.begunAt {
		ages[name] = min(now-begunAt, MaxAge)
	}
	return ages
}

// DataCentres returns the evacuated data centres in sorted order.
func (s Set) DataCentres() []string { return slices.Sorted(maps.Keys(s.begunAt)) }

// Contains reports whether a data centre is evacuated.
func (s Set) Contains(dataCentre string) bool {
	_, ok := s.begunAt[dataCentre]
	return ok
}

// Access returns the access to a data centre. The limit is the time after the request of an
// evacuation from which no request may reach the data centre.
func (s Set) Access(dataCentre string, now, limit time.Duration) Access {
	begunAt, ok := s.begunAt[dataCentre]
	switch {
	case !ok:
		return Open
	case now-begunAt < limit-Margin:
		return WritesOnly
	default:
		return Closed
	}
}

// Decision is what happens to a statement that only the primary can run.
type Decision int

// The decisions.
const (
	// Send means that the statement may be sent to the primary.
	Send Decision = iota
	// Await means that the statement waits for the primary's successor.
	Await
	// Refuse means that the statement is refused immediately.
	Refuse
)

// Primary is the state of a database's primary.
type Primary struct {
	// Access is the access to the primary's data centre.
	Access Access
	// Replaceable means that another endpoint, outside of the evacuated data centres, can
	// succeed the primary.
	Replaceable bool
}

// Decide returns what happens to a statement that only this primary can run. Reads include the
// first statements of read-only transactions.
func (p Primary) Decide(read bool) Decision {
	switch {
	case p.Access == Open:
		return Send
	case p.Access == Closed:
		return Refuse
	case !read:
		return Send
	case p.Replaceable:
		return Await
	default:
		return Refuse
	}
}

// MustReplace reports whether the primary has to be replaced because of an evacuation. If no
// other endpoint can succeed it, nothing would be gained.
func (p Primary) MustReplace() bool { return p.Access != Open && p.Replaceable }

// MayControl reports whether control commands may be sent to the primary: after the limit only
// those that replace it.
func (p Primary) MayControl() bool { return p.Access != Closed || p.Replaceable }
