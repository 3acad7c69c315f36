package membership

import (
	"time"

	"github.com/rotisserie/eris"
)

// ErrListIncomplete is returned for a platform list that is empty, or that does not
// contain this VM although an earlier list did. Merging such a list would remove VMs that
// are running.
var ErrListIncomplete = eris.New("membership: the platform list is empty or no longer contains this VM")

// MergePlatformList merges the platform's list into the table. A VM that was on an
// earlier list and is not on this one is removed. It can only be added again with a
// higher incarnation.
func (t *Table) MergePlatformList(now time.Time, list []PlatformVM) error {
	listed := make(map[string]bool, len(list))
	for _, l := range list {
		listed[l.VM] = true
	}
	if len(list) == 0 || (t.onPlatformList && !listed[t.self.VM]) {
		return ErrListIncomplete
	}
	for _, l := range list {
		t.mergePlatformVM(now, l)
	}
	for vm, e := range t.members {
		if e.onPlatformList && !listed[vm] {
			t.removePermanently(now, e)
		}
	}
	return nil
}

// removePermanently removes a member, keeps a tombstone of it, and queues an update that
// declares it dead, because most peers do not read the platform's list.
func (t *Table) removePermanently(now time.Time, e *entry) {
	deadRecord := e.Member
	deadRecord.State = Dead
	t.removeMember(deadRecord.VM)
	t.tombstones[deadRecord.VM] = tombstone{
		incarnation: deadRecord.Incarnation,
		createdAt:   now,
	}
	t.enqueue(deadRecord)
}

// mergePlatformVM merges one VM of the platform's list into the table.
func (t *Table) mergePlatformVM(now time.Time, l PlatformVM) {
	if l.VM == t.self.VM {
		t.onPlatformList = true
		if l.Leaving {
			t.Leave()
		}
		return
	}
	if _, removed := t.tombstones[l.VM]; removed {
		return
	}
	e, known := t.members[l.VM]
	if !known {
		t.applyUpdate(now, Member{
			VM:         l.VM,
			DataCentre: l.DataCentre,
			Address:    l.Address,
			State:      Alive,
		})
		e = t.members[l.VM]
	}
	e.onPlatformList = true
	if !l.Leaving || e.leaving {
		return
	}
	e.leaving = true
	if e.State == Alive {
		leaving := e.Member
		leaving.State = Leaving
		t.storeUpdate(now, e, leaving)
	}
}
