// Package membership decides which VMs of the fleet are alive, with a protocol like
// SWIM: probes in shuffled round-robin order, indirect probes, suspicion, refutation by a
// higher sequence, and updates piggybacked on the probes.
package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Table is the member table of one VM. It is not safe for concurrent use.
type Table struct {
	config Config
	random *rand.Rand
	self   Member
	joined bool
	// onPlatformList is set once the platform's list has contained this VM.
	onPlatformList bool
	// replaced is set once a newer process runs under this VM's name.
	replaced bool
	members  map[string]*entry
	// diedAt holds when each dead member was declared dead.
	diedAt map[string]time.Time
	// suspicionDeadlines holds when each suspect member is declared dead.
	suspicionDeadlines map[string]time.Time
	// tombstones holds the VMs that were removed from the platform's list.
	tombstones map[string]tombstone
	// probeOrder is the order in which members are probed; probeCursor is the index of the
	// next one.
	probeOrder  []string
	probeCursor int
	// recordCursor is the index in probeOrder of the last record that was added to a
	// message without being queued.
	recordCursor    int
	pendingProbes   map[uint64]*probe
	lastProbeID     uint64
	nextProbeAt     time.Time
	nextDeadProbeAt time.Time
	lastTickAt      time.Time
	updateQueue     []*queuedUpdate
	queuedByVM      map[string]*queuedUpdate
	revision        uint64
	// urgentProbesDue is set when this VM itself has suspected a member or declared it
	// dead; nextUrgentAt is the earliest time of the next extra probes.
	urgentProbesDue bool
	nextUrgentAt    time.Time
}

// entry is a member of the table other than this VM.
type entry struct {
	Member
	// leaving is set once the VM is leaving, for the rest of its incarnation.
	leaving bool
	// onPlatformList is set once the platform's list has contained the VM.
	onPlatformList bool
}

// probe is a probe whose result has not been reported yet.
type probe struct {
	peer     Member
	sentAt   time.Time
	indirect bool
}

// tombstone is kept of a removed VM, so that records of the same or an earlier
// incarnation do not add it again.
type tombstone struct {
	incarnation uint64
	createdAt   time.Time
}

// New returns a Table that contains only this VM.
func New(config Config) (*Table, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	config = config.withDefaults()
	config.Self.State = Alive
	t := &Table{
		config:             config,
		random:             config.Random,
		self:               config.Self,
		members:            map[string]*entry{},
		diedAt:             map[string]time.Time{},
		suspicionDeadlines: map[string]time.Time{},
		tombstones:         map[string]tombstone{},
		pendingProbes:      map[uint64]*probe{},
		queuedByVM:         map[string]*queuedUpdate{},
	}
	return t, nil
}

// Apply merges updates that a peer sent.
func (t *Table) Apply(now time.Time, updates []Member) {
	for _, u := range updates {
		if u.VM == t.self.VM {
			t.applyOwnRecord(u)
			continue
		}
		t.applyUpdate(now, u)
	}
}

// MarkJoined marks the end of the join. From then on, a record of this VM with a higher
// incarnation means that another process has replaced this one. Before, it is the record
// of a former process whose clock was ahead.
func (t *Table) MarkJoined() {
	t.joined = true
}

// Leave announces that this VM is leaving.
func (t *Table) Leave() {
	if t.self.State == Leaving {
		return
	}
	t.self.State = Leaving
	t.self.Sequence++
	t.revision++
}

// Member returns the record of a VM.
func (t *Table) Member(vm string) (Member, bool) {
	if vm == t.self.VM {
		return t.self, true
	}
	e, ok := t.members[vm]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// Members returns all records: first that of this VM, then the others sorted by name.
func (t *Table) Members() []Member {
	members := make([]Member, 0, len(t.members)+1)
	for _, e := range t.members {
		members = append(members, e.Member)
	}
	slices.SortFunc(members, func(a, b Member) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	return slices.Insert(members, 0, t.self)
}

// Replaced reports whether a newer process runs under this VM's name.
func (t *Table) Replaced() bool {
	return t.replaced
}

// Revision returns a number that increases with each change of a record.
func (t *Table) Revision() uint64 {
	return t.revision
}

// Self returns the record of this VM.
func (t *Table) Self() Member {
	return t.self
}

// Size returns the number of VMs in the table, including this one.
func (t *Table) Size() int {
	return len(t.members) + 1
}

// Sample returns up to count random members that are alive.
func (t *Table) Sample(count int) []Member {
	return t.sampleAlive(count, "")
}

// applyUpdate merges a record of another VM, unless it is invalid or not newer.
func (t *Table) applyUpdate(now time.Time, update Member) {
	if update.VM == "" || update.State < Alive || update.State > Dead {
		return
	}
	if removed, ok := t.tombstones[update.VM]; ok {
		if update.Incarnation <= removed.incarnation {
			return
		}
		delete(t.tombstones, update.VM)
	}
	e, known := t.members[update.VM]
	if !known && update.State == Dead {
		return
	}
	if known && !update.supersedes(e.Member) {
		return
	}
	if !known {
		e = &entry{}
		t.members[update.VM] = e
		t.insertInProbeOrder(update.VM)
	}
	if update.Incarnation > e.Incarnation {
		e.leaving = false
	}
	t.storeUpdate(now, e, update)
}

// applyOwnRecord handles a record of this VM that a peer sent: it refutes the states
// Suspect and Dead, and adopts the state Leaving.
func (t *Table) applyOwnRecord(update Member) {
	if update.Incarnation > t.self.Incarnation {
		t.handleOtherProcess(update)
		return
	}
	if update.Incarnation < t.self.Incarnation {
		return
	}
	switch update.State {
	case Leaving:
		t.Leave()
	case Suspect, Dead:
		if update.Sequence < t.self.Sequence {
			return
		}
		t.self.Sequence = update.Sequence + 1
		t.revision++
	}
}

// handleOtherProcess handles a record of another process under this VM's name, with a
// higher incarnation.
func (t *Table) handleOtherProcess(update Member) {
	if t.joined {
		t.replaced = true
		return
	}
	t.self.Incarnation = update.Incarnation + 1
	t.self.Sequence = 0
	t.revision++
}

// insertInProbeOrder inserts a new member at a random position after the probe cursor,
// so that it is probed within two rounds.
func (t *Table) insertInProbeOrder(vm string) {
	position := t.probeCursor + t.random.IntN(len(t.probeOrder)-t.probeCursor+1)
	t.probeOrder = slices.Insert(t.probeOrder, position, vm)
}

// removeMember removes a member. Its name stays in the probe order until the next
// shuffle and is skipped.
func (t *Table) removeMember(vm string) {
	delete(t.members, vm)
	delete(t.diedAt, vm)
	delete(t.suspicionDeadlines, vm)
	t.revision++
}

// sampleAlive returns up to count random members that are alive, without the given one.
func (t *Table) sampleAlive(count int, except string) []Member {
	var chosen []Member
	// The limited number of draws makes the cost independent of the fleet's size.
	for range 8 * count {
		if len(chosen) == count || len(t.probeOrder) == 0 {
			break
		}
		vm := t.probeOrder[t.random.IntN(len(t.probeOrder))]
		e, ok := t.members[vm]
		if !ok || vm == except || e.State != Alive {
			continue
		}
		if !slices.ContainsFunc(chosen, func(m Member) bool { return m.VM == vm }) {
			chosen = append(chosen, e.Member)
		}
	}
	return chosen
}

// storeUpdate stores an update and queues it for the peers.
func (t *Table) storeUpdate(now time.Time, e *entry, update Member) {
	if update.State == Leaving {
		e.leaving = true
	}
	if update.State == Alive && e.leaving {
		update.State = Leaving
	}
	e.Member = update
	delete(t.diedAt, update.VM)
	delete(t.suspicionDeadlines, update.VM)
	switch update.State {
	case Suspect:
		t.suspicionDeadlines[update.VM] = now.Add(t.config.SuspicionTimeout)
	case Dead:
		t.diedAt[update.VM] = now
	}
	t.revision++
	t.enqueue(update)
}
