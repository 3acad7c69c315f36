package membership

import (
	"math/bits"
)

// queuedUpdate is an update that is added to messages to peers.
type queuedUpdate struct {
	update    Member
	sendCount int
	// stale is set when a newer update of the same VM has been queued.
	stale bool
}

// Updates returns the records for one message to a peer: that of this VM, that of the
// peer if it is not alive, since the peer may have to refute or adopt it, and queued
// updates. The last one may be a record of the table, taken in round-robin order, which
// makes up for updates that the peer has missed. The number of times that an update is
// sent is logarithmic in the fleet's size.
func (t *Table) Updates(peer string) []Member {
	updates := []Member{t.self}
	if e, ok := t.members[peer]; ok && e.State != Alive {
		updates = append(updates, e.Member)
	}
	limit := t.config.TransmitFactor * bits.Len(uint(t.Size()))
	for range len(t.updateQueue) {
		if len(updates) >= t.config.UpdatesPerMessage-1 {
			break
		}
		queued := t.updateQueue[0]
		t.updateQueue = t.updateQueue[1:]
		if queued.stale {
			continue
		}
		queued.sendCount++
		if queued.sendCount < limit {
			t.updateQueue = append(t.updateQueue, queued)
		} else {
			delete(t.queuedByVM, queued.update.VM)
		}
		if queued.update.VM != peer {
			updates = append(updates, queued.update)
		}
	}
	if record, ok := t.nextTableRecord(); ok && record.VM != peer {
		updates = append(updates, record)
	}
	return updates
}

// enqueue puts an update at the front of the queue. A record that is only known from the
// platform's list is not sent to peers, since it does not show that a process runs.
func (t *Table) enqueue(update Member) {
	if update.Incarnation == 0 {
		return
	}
	if old, ok := t.queuedByVM[update.VM]; ok {
		old.stale = true
	}
	queued := &queuedUpdate{
		update: update,
	}
	t.queuedByVM[update.VM] = queued
	t.updateQueue = append([]*queuedUpdate{queued}, t.updateQueue...)
}

// nextTableRecord returns the next record of the table in round-robin order. It returns
// false if that record cannot be sent to peers.
func (t *Table) nextTableRecord() (Member, bool) {
	if len(t.probeOrder) == 0 {
		return Member{}, false
	}
	t.recordCursor = (t.recordCursor + 1) % len(t.probeOrder)
	e, ok := t.members[t.probeOrder[t.recordCursor]]
	if !ok || e.Incarnation == 0 {
		return Member{}, false
	}
	return e.Member, true
}
