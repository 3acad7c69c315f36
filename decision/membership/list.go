package membership

import (
	"time"

	"github.com/rotisserie/eris"
)

// ErrListIncomplete is returned for a platform list that is empty, or that does
// not name this VM although an earlier one did. Such a list must not be merged,
// since it would drop VMs that run.
var ErrListIncomplete = eris.New("membership: the platform list does not name this VM")

// MergePlatformList merges the platform's list. A VM that an earlier list named and this
// one does not is forgotten for good; only a higher incarnation comes back.
func (t *Table) MergePlatformList(now time.Time, list []PlatformVM) error {
	named := make(map[string]bool, len(list))
	for _, l := range list {
		named[l.VM] = true
	}
	if len(list) == 0 || (t.listed && !named[t.self.VM]) {
		return ErrListIncomplete
	}
	for _, l := range list {
		t.mergeListed(now, l)
	}
	for vm, e := range t.members {
		if e.listed && !named[vm] {
			t.forget(now, e)
		}
	}
	return nil
}

// forget removes a member and tells the peers, most of which do not read the
// list, that it is dead.
func (t *Table) forget(now time.Time, e *entry) {
	death := e.Member
	death.State = Dead
	t.remove(death.VM)
	t.forgotten[death.VM] = tombstone{
		incarnation: death.Incarnation,
		since:       now,
	}
	t.enqueue(death)
}

func (t *Table) mergeListed(now time.Time, l PlatformVM) {
	if l.VM == t.self.VM {
		t.listed = true
		if l.Leaving {
			t.Leave()
		}
		return
	}
	if _, gone := t.forgotten[l.VM]; gone {
		return
	}
	e, known := t.members[l.VM]
	if !known {
		t.apply(now, Member{
			VM:         l.VM,
			DataCentre: l.DataCentre,
			Address:    l.Address,
			State:      Alive,
		})
		e = t.members[l.VM]
	}
	e.listed = true
	if !l.Leaving || e.leaving {
		return
	}
	e.leaving = true
	if e.State == Alive {
		leaving := e.Member
		leaving.State = Leaving
		t.set(now, e, leaving)
	}
}
