package membership

import (
	"math/bits"
)

type broadcast struct {
	update Member
	sent   int
	// stale is set when a newer update of the same VM is queued.
	stale bool
}

// Updates returns the records for one message to a peer: this VM's own one, that
// of the peer if it may have to refute or adopt it, queued updates, and if there is room one
// record of the table in turn, which repairs updates that a peer has missed. An
// update is sent a number of times that is logarithmic in the fleet's size.
func (t *Table) Updates(peer string) []Member {
	updates := []Member{t.self}
	if e, ok := t.members[peer]; ok && e.State != Alive {
		updates = append(updates, e.Member)
	}
	limit := t.config.TransmitFactor * bits.Len(uint(t.Size()))
	for range len(t.queue) {
		if len(updates) >= t.config.UpdatesPerMessage-1 {
			break
		}
		b := t.queue[0]
		t.queue = t.queue[1:]
		if b.stale {
			continue
		}
		b.sent++
		if b.sent < limit {
			t.queue = append(t.queue, b)
		} else {
			delete(t.queued, b.update.VM)
		}
		if b.update.VM != peer {
			updates = append(updates, b.update)
		}
	}
	if record, ok := t.rotate(); ok && record.VM != peer {
		updates = append(updates, record)
	}
	return updates
}

// enqueue puts an update in front of the queue. Records from the platform's
// list alone are not spread: they say nothing of a process.
func (t *Table) enqueue(update Member) {
	if update.Incarnation == 0 {
		return
	}
	if old, ok := t.queued[update.VM]; ok {
		old.stale = true
	}
	b := &broadcast{
		update: update,
	}
	t.queued[update.VM] = b
	t.queue = append([]*broadcast{b}, t.queue...)
}

// rotate returns the records of the table in turn.
func (t *Table) rotate() (Member, bool) {
	if len(t.order) == 0 {
		return Member{}, false
	}
	t.rotation = (t.rotation + 1) % len(t.order)
	e, ok := t.members[t.order[t.rotation]]
	if !ok || e.Incarnation == 0 {
		return Member{}, false
	}
	return e.Member, true
}
