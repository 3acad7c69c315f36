package membership

import (
	"maps"
	"slices"
	"time"
)

// HandleAck reports that the probe with the id was answered. A suspicion
// ends only by the refutation that the peer's answer carries.
func (t *Table) HandleAck(id uint64) {
	delete(t.probes, id)
}

// HandleProbeTimeout reports that the probe with the id was not answered in time.
func (t *Table) HandleProbeTimeout(now time.Time, id uint64) Decision {
	p, ok := t.probes[id]
	if !ok {
		return None{}
	}
	delete(t.probes, id)
	// A miss that is reported much too late shows that this VM itself was
	// paused; it says nothing about the peer.
	if now.Sub(p.sent) > t.config.ProbeTimeout+t.config.ProbeInterval {
		return None{}
	}
	e, ok := t.members[p.peer.VM]
	if !ok || e.Incarnation != p.peer.Incarnation || e.State == Dead {
		return None{}
	}
	if !p.indirect {
		through := t.sample(t.config.IndirectProbes, p.peer.VM)
		if len(through) > 0 {
			return ProbeIndirectly{
				ID:     t.track(now, e.Member, true),
				Peer:   e.Member,
				Relays: through,
			}
		}
	}
	if e.State != Suspect && e.Sequence == p.peer.Sequence {
		suspect := e.Member
		suspect.State = Suspect
		t.apply(now, suspect)
		t.urgent = true
	}
	return None{}
}

// Tick ends suspicions and starts the probes that are due. It is to be called
// several times in each probe interval.
func (t *Table) Tick(now time.Time) []Decision {
	t.skipPause(now)
	t.lastTick = now
	for vm, end := range t.suspects {
		if now.Before(end) {
			continue
		}
		death := t.members[vm].Member
		death.State = Dead
		t.apply(now, death)
		t.urgent = true
	}
	decisions := t.spreadUrgent(now)
	if !now.Before(t.nextProbe) {
		t.nextProbe = now.Add(t.config.ProbeInterval)
		if peer, ok := t.nextPeer(); ok {
			decisions = append(decisions, ProbePeer{
				ID:   t.track(now, peer, false),
				Peer: peer,
			})
		}
	}
	if !now.Before(t.nextDeadProbe) {
		t.nextDeadProbe = now.Add(t.config.DeadProbeInterval)
		t.dropOldDead(now)
		if peer, ok := t.nextDead(); ok {
			decisions = append(decisions, ProbePeer{
				ID:   t.track(now, peer, false),
				Peer: peer,
			})
		}
	}
	if len(decisions) == 0 {
		decisions = append(decisions, None{})
	}
	return decisions
}

// dropOldDead bounds the table of a VM that does not read the platform's list.
func (t *Table) dropOldDead(now time.Time) {
	for vm, since := range t.dead {
		if now.Sub(since) > t.config.DeadRetention {
			t.remove(vm)
		}
	}
	for vm, grave := range t.forgotten {
		if now.Sub(grave.since) > tombstoneRetention {
			delete(t.forgotten, vm)
		}
	}
}

// nextDead picks a dead member that did not leave by itself.
func (t *Table) nextDead() (Member, bool) {
	candidates := slices.DeleteFunc(slices.Sorted(maps.Keys(t.dead)), func(vm string) bool {
		return t.members[vm].leaving
	})
	if len(candidates) == 0 {
		return Member{}, false
	}
	return t.members[candidates[t.random.IntN(len(candidates))]].Member, true
}

// nextPeer returns the next member in the probe order that is not dead. The
// order is shuffled again after each round.
func (t *Table) nextPeer() (Member, bool) {
	for range 2 {
		for t.next < len(t.order) {
			e, ok := t.members[t.order[t.next]]
			t.next++
			if ok && e.State != Dead {
				return e.Member, true
			}
		}
		t.order = slices.Sorted(maps.Keys(t.members))
		t.random.Shuffle(len(t.order), func(i, j int) {
			t.order[i], t.order[j] = t.order[j], t.order[i]
		})
		t.next = 0
	}
	return Member{}, false
}

// skipPause restarts the suspicions if this VM was paused, because their
// refutations may wait unread.
func (t *Table) skipPause(now time.Time) {
	pause := now.Sub(t.lastTick)
	if t.lastTick.IsZero() || pause <= t.config.ProbeInterval {
		return
	}
	for vm := range t.suspects {
		t.suspects[vm] = now.Add(t.config.SuspicionTimeout)
	}
}

// spreadUrgent probes some more peers after this VM has itself suspected a
// member or declared it dead, so that all VMs agree about a round of probes
// earlier. The extra probes of one VM are bounded for each probe interval.
func (t *Table) spreadUrgent(now time.Time) []Decision {
	if !t.urgent || now.Before(t.nextUrgent) {
		return nil
	}
	t.urgent = false
	t.nextUrgent = now.Add(t.config.ProbeInterval)
	var decisions []Decision
	for _, peer := range t.sample(t.config.UrgentProbes, "") {
		decisions = append(decisions, ProbePeer{
			ID:   t.track(now, peer, false),
			Peer: peer,
		})
	}
	return decisions
}

func (t *Table) track(now time.Time, peer Member, indirect bool) uint64 {
	t.lastProbe++
	t.probes[t.lastProbe] = &probe{
		peer:     peer,
		sent:     now,
		indirect: indirect,
	}
	return t.lastProbe
}
