// Package membership decides which VMs of the fleet are alive, in the manner of
// SWIM: probes in shuffled round-robin order, indirect probes, suspicion,
// refutation by a higher sequence, and updates piggybacked on the probes.
package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Table is the member table of one VM. It is not safe for concurrent use.
type Table struct {
	config   Config
	random   *rand.Rand
	self     Member
	joined   bool
	listed   bool
	replaced bool
	members  map[string]*entry
	// dead holds the time of death of the dead members.
	dead map[string]time.Time
	// suspects holds the end of the suspicion of the suspect members.
	suspects  map[string]time.Time
	forgotten map[string]tombstone
	// order is the probe order; next is the index of the next member in it.
	order []string
	next  int
	// rotation is the index in order of the next record sent unasked.
	rotation      int
	probes        map[uint64]*probe
	lastProbe     uint64
	nextProbe     time.Time
	nextDeadProbe time.Time
	lastTick      time.Time
	queue         []*broadcast
	queued        map[string]*broadcast
	revision      uint64
	// urgent is set when this VM itself has suspected a member or declared it
	// dead; nextUrgent is the earliest time of the next extra probes.
	urgent     bool
	nextUrgent time.Time
}

type entry struct {
	Member
	// leaving holds for the rest of the incarnation.
	leaving bool
	// listed is set once the platform's list has named the VM.
	listed bool
}

type probe struct {
	peer     Member
	sent     time.Time
	indirect bool
}

type tombstone struct {
	incarnation uint64
	since       time.Time
}

// New returns a Table that holds only the VM itself.
func New(config Config) (*Table, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	config = config.withDefaults()
	config.Self.State = Alive
	t := &Table{
		config:    config,
		random:    config.Random,
		self:      config.Self,
		members:   map[string]*entry{},
		dead:      map[string]time.Time{},
		suspects:  map[string]time.Time{},
		forgotten: map[string]tombstone{},
		probes:    map[uint64]*probe{},
		queued:    map[string]*broadcast{},
	}
	return t, nil
}

// Apply merges updates that a peer sent.
func (t *Table) Apply(now time.Time, updates []Member) {
	for _, u := range updates {
		if u.VM == t.self.VM {
			t.applySelf(u)
			continue
		}
		t.apply(now, u)
	}
}

// MarkJoined ends the join. From then on, a record of this VM with a higher
// incarnation means that another process has taken its place; before, it is
// the record of a former process whose clock was ahead.
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

// Members returns all records, that of this VM first, the others by name.
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

// Replaced tells whether a newer process runs under this VM's name.
func (t *Table) Replaced() bool {
	return t.replaced
}

// Revision rises with each change of a record.
func (t *Table) Revision() uint64 {
	return t.revision
}

// Self returns the record of this VM.
func (t *Table) Self() Member {
	return t.self
}

// Size returns the number of VMs in the table, with this one.
func (t *Table) Size() int {
	return len(t.members) + 1
}

// Sample returns up to count random members that are alive.
func (t *Table) Sample(count int) []Member {
	return t.sample(count, "")
}

func (t *Table) apply(now time.Time, update Member) {
	if update.VM == "" || update.State < Alive || update.State > Dead {
		return
	}
	if grave, ok := t.forgotten[update.VM]; ok {
		if update.Incarnation <= grave.incarnation {
			return
		}
		delete(t.forgotten, update.VM)
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
		t.insert(update.VM)
	}
	if update.Incarnation > e.Incarnation {
		e.leaving = false
	}
	t.set(now, e, update)
}

// applySelf refutes a suspicion or a death of this VM.
func (t *Table) applySelf(update Member) {
	if update.Incarnation > t.self.Incarnation {
		t.applyOtherSelf(update)
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

// applyOtherSelf handles a record of another process under this VM's name.
func (t *Table) applyOtherSelf(update Member) {
	if t.joined {
		t.replaced = true
		return
	}
	t.self.Incarnation = update.Incarnation + 1
	t.self.Sequence = 0
	t.revision++
}

// insert places a new member at a random position of the rest of the probe
// order, so that it is probed within two rounds.
func (t *Table) insert(vm string) {
	position := t.next + t.random.IntN(len(t.order)-t.next+1)
	t.order = slices.Insert(t.order, position, vm)
}

// remove drops a member; the probe order skips its name.
func (t *Table) remove(vm string) {
	delete(t.members, vm)
	delete(t.dead, vm)
	delete(t.suspects, vm)
	t.revision++
}

// sample returns up to count random members that are alive, other than one.
func (t *Table) sample(count int, except string) []Member {
	var chosen []Member
	// A bounded number of draws keeps the cost independent of the fleet's size.
	for range 8 * count {
		if len(chosen) == count || len(t.order) == 0 {
			break
		}
		vm := t.order[t.random.IntN(len(t.order))]
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

// set stores an update and queues it for the peers.
func (t *Table) set(now time.Time, e *entry, update Member) {
	if update.State == Leaving {
		e.leaving = true
	}
	if update.State == Alive && e.leaving {
		update.State = Leaving
	}
	e.Member = update
	delete(t.dead, update.VM)
	delete(t.suspects, update.VM)
	switch update.State {
	case Suspect:
		t.suspects[update.VM] = now.Add(t.config.SuspicionTimeout)
	case Dead:
		t.dead[update.VM] = now
	}
	t.revision++
	t.enqueue(update)
}
