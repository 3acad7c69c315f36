package membership

import (
	"maps"
	"slices"
	"time"
)

// HandleAck records that the peer of the probe with the ID responded. This does not
// end a suspicion; only the refutation in the peer's response does.
func (t *Table) HandleAck(id uint64) {
	delete(t.pendingProbes, id)
}

// HandleProbeTimeout handles the timeout of the probe with the ID. After a direct probe, it
// returns a decision to probe the peer indirectly; after an indirect one, it suspects the
// peer.
func (t *Table) HandleProbeTimeout(now time.Time, id uint64) Decision {
	p, ok := t.pendingProbes[id]
	if !ok {
		return None{}
	}
	delete(t.pendingProbes, id)
	// A timeout that is reported much too late shows that this VM was paused. It says
	// nothing about the peer.
	if now.Sub(p.sentAt) > t.config.ProbeTimeout+t.config.ProbeInterval {
		return None{}
	}
	e, ok := t.members[p.peer.VM]
	if !ok || e.Incarnation != p.peer.Incarnation || e.State == Dead {
		return None{}
	}
	if !p.indirect {
		relays := t.sampleAlive(t.config.IndirectProbes, p.peer.VM)
		if len(relays) > 0 {
			return ProbeIndirectly{
				ID:     t.trackProbe(now, e.Member, true),
				Peer:   e.Member,
				Relays: relays,
			}
		}
	}
	if e.State != Suspect && e.Sequence == p.peer.Sequence {
		suspect := e.Member
		suspect.State = Suspect
		t.applyUpdate(now, suspect)
		t.urgentProbesDue = true
	}
	return None{}
}

// Tick declares the members dead whose suspicion timeout has passed, and returns the
// probes that are due. It must be called several times per probe interval.
func (t *Table) Tick(now time.Time) []Decision {
	t.extendSuspicionsAfterPause(now)
	t.lastTickAt = now
	for vm, deadline := range t.suspicionDeadlines {
		if now.Before(deadline) {
			continue
		}
		deadRecord := t.members[vm].Member
		deadRecord.State = Dead
		t.applyUpdate(now, deadRecord)
		t.urgentProbesDue = true
	}
	decisions := t.urgentProbes(now)
	if !now.Before(t.nextProbeAt) {
		t.nextProbeAt = now.Add(t.config.ProbeInterval)
		if peer, ok := t.nextProbeTarget(); ok {
			decisions = append(decisions, ProbePeer{
				ID:   t.trackProbe(now, peer, false),
				Peer: peer,
			})
		}
	}
	if !now.Before(t.nextDeadProbeAt) {
		t.nextDeadProbeAt = now.Add(t.config.DeadProbeInterval)
		t.pruneExpired(now)
		if peer, ok := t.randomDeadPeer(); ok {
			decisions = append(decisions, ProbePeer{
				ID:   t.trackProbe(now, peer, false),
				Peer: peer,
			})
		}
	}
	if len(decisions) == 0 {
		decisions = append(decisions, None{})
	}
	return decisions
}

// pruneExpired removes dead members and tombstones after their retention. This limits
// the size of the table on a VM that does not read the platform's list.
func (t *Table) pruneExpired(now time.Time) {
	for vm, diedAt := range t.diedAt {
		if now.Sub(diedAt) > t.config.DeadRetention {
			t.removeMember(vm)
		}
	}
	for vm, removed := range t.tombstones {
		if now.Sub(removed.createdAt) > tombstoneRetention {
			delete(t.tombstones, vm)
		}
	}
}

// randomDeadPeer returns a random dead member that had not announced that it was leaving.
func (t *Table) randomDeadPeer() (Member, bool) {
	candidates := slices.DeleteFunc(slices.Sorted(maps.Keys(t.diedAt)), func(vm string) bool {
		return t.members[vm].leaving
	})
	if len(candidates) == 0 {
		return Member{}, false
	}
	return t.members[candidates[t.random.IntN(len(candidates))]].Member, true
}

// nextProbeTarget returns the next member in the probe order that is not dead. The order
// is shuffled again after each round.
func (t *Table) nextProbeTarget() (Member, bool) {
	for range 2 {
		for t.probeCursor < len(t.probeOrder) {
			e, ok := t.members[t.probeOrder[t.probeCursor]]
			t.probeCursor++
			if ok && e.State != Dead {
				return e.Member, true
			}
		}
		t.probeOrder = slices.Sorted(maps.Keys(t.members))
		t.random.Shuffle(len(t.probeOrder), func(i, j int) {
			t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i]
		})
		t.probeCursor = 0
	}
	return Member{}, false
}

// extendSuspicionsAfterPause restarts all suspicion timeouts if this VM was paused,
// because refutations may have arrived that it has not processed yet.
func (t *Table) extendSuspicionsAfterPause(now time.Time) {
	pause := now.Sub(t.lastTickAt)
	if t.lastTickAt.IsZero() || pause <= t.config.ProbeInterval {
		return
	}
	for vm := range t.suspicionDeadlines {
		t.suspicionDeadlines[vm] = now.Add(t.config.SuspicionTimeout)
	}
}

// urgentProbes returns extra probes after this VM itself has suspected a member or
// declared it dead. They spread the update, so that all VMs agree about one round of
// probes earlier. The number of extra probes per probe interval is limited.
func (t *Table) urgentProbes(now time.Time) []Decision {
	if !t.urgentProbesDue || now.Before(t.nextUrgentAt) {
		return nil
	}
	t.urgentProbesDue = false
	t.nextUrgentAt = now.Add(t.config.ProbeInterval)
	var decisions []Decision
	for _, peer := range t.sampleAlive(t.config.UrgentProbes, "") {
		decisions = append(decisions, ProbePeer{
			ID:   t.trackProbe(now, peer, false),
			Peer: peer,
		})
	}
	return decisions
}

// trackProbe records a probe that the caller is about to send, and returns its ID.
func (t *Table) trackProbe(now time.Time, peer Member, indirect bool) uint64 {
	t.lastProbeID++
	t.pendingProbes[t.lastProbeID] = &probe{
		peer:     peer,
		sentAt:   now,
		indirect: indirect,
	}
	return t.lastProbeID
}
