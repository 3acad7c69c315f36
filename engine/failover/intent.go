package failover

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/decision/takeover"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/guard"
	"amaranthdock.dev/engine/store"
)

// maxDiscardedIntents bounds the number of intents that one change removes. The store accepts 32
// conditions and removals.
const maxDiscardedIntents = 10

var errNotLeader = errors.New("this VM is no longer the leader")

// intentState is what the leader knows about the intent of a database.
type intentState struct {
	// stored is the last intent that is known to be in the store; nil if none is.
	stored *store.StoredIntent
	// pending is true while the outcome of the replacement or promotion request is not known.
	pending bool
	// unanswered is true if a promotion request may still take effect: that of the intent, or an earlier one
	// if the intent is contested. An answered request supersedes all earlier ones.
	unanswered bool
	// asked is true once the endpoints were asked how far the replacement is, and the regular rules
	// apply unless no primary is reported.
	asked bool
	// resumeAfter is a reading of SinceBoot before which the endpoints are not asked again.
	resumeAfter time.Duration
	// discarded is true if the intent is to be removed from the store, and removed is the revision of
	// one that is there no longer: a read from before shows it still.
	discarded bool
	removed   uint64
}

// isDue reports whether the endpoints have to be asked about a replacement that was begun.
func (i *intentState) isDue(primaryReported bool, now time.Duration) bool {
	return i.pending && now >= i.resumeAfter && (!i.asked || !primaryReported || i.unanswered)
}

// isContested reports whether a request for the promotion of another endpoint may still take effect.
func (i *intentState) isContested(successor string) bool {
	return i.unanswered && (i.stored.Contested || i.stored.Successor.ID != successor)
}

// revision returns the revision of the intent's key; 0 if it is not known to exist.
func (i *intentState) revision() uint64 {
	if i.stored == nil {
		return 0
	}
	return i.stored.Revision
}

// knownIntents returns the intents that the leaders before this one have left; false if no read has
// shown them all. Intents are written only under the leader's key, so a read that began while there
// was no leader, or that is newer than this leadership, shows the last ones. A change that depends on
// an intent is conditional on its revision, for the case of a further leader in between.
func (m *Manager) knownIntents() (*store.Intents, bool) {
	read, current := m.config.StoreStatus.Intents(), m.currentLeadership()
	if read == nil || current.lease == 0 {
		return nil, false
	}
	vacant := read.Leaderless && read.RequestedAt >= current.acquiredAt-leaseTTL
	return read, vacant || read.Revision >= current.revision
}

// forgetIntents forgets the intents of an earlier leadership of this VM: others may have changed them.
func (m *Manager) forgetIntents() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, d := range m.databases {
		d.intent = intentState{}
	}
}

// adoptIntents takes over the intents of the leaders before this one, and removes those whose
// primaries have been replaced, with one call for all of them and once for each leadership.
func (m *Manager) adoptIntents(ctx context.Context, databases map[string]catalog.Database) {
	read, known := m.knownIntents()
	if !known {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, stored := range read.ByDatabase {
		d := m.databaseState(name)
		if d.busy || stored.Revision <= max(d.intent.revision(), d.intent.removed) {
			continue
		}
		_, configured := databases[name]
		d.intent = intentState{
			stored:     &stored,
			pending:    configured,
			unanswered: configured && takeoverIntent(stored.Intent).MayBeRequested(),
			discarded:  !configured,
		}
	}
	discarded := map[string]uint64{}
	for name, d := range m.databases {
		switch {
		case d.intent.pending && !d.intent.asked:
			return
		case d.intent.discarded && len(discarded) < maxDiscardedIntents:
			discarded[name] = d.intent.revision()
		}
	}
	revision := m.leadership.revision
	if len(discarded) == 0 || m.intentsRemovedBy == revision {
		return
	}
	m.intentsRemovedBy = revision
	go func() {
		defer guard.Recover(m.config.Log, "removal of intents")
		m.removeIntents(ctx, discarded, revision)
	}()
}

// removeIntents removes intents from the store that still have the given revisions. The next leader
// repeats that if it fails.
func (m *Manager) removeIntents(ctx context.Context, discarded map[string]uint64, leaderRevision uint64) {
	change := store.Change{Conditions: []store.Condition{{
		Key:      store.LeaderKey,
		Revision: leaderRevision,
	}}}
	for name, revision := range discarded {
		key := store.IntentPrefix + name
		change.Conditions = append(change.Conditions, store.Condition{
			Key:      key,
			Revision: revision,
		})
		change.Removals = append(change.Removals, key)
	}
	if _, err := m.config.Store.Commit(ctx, change); err != nil {
		m.config.Log.Info("Could not remove the intents of promotions that have ended.", "intents", len(discarded), "error", err.Error())
		return
	}
	m.config.Log.Info("Removed the intents of promotions that have ended.", "intents", len(discarded))
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, revision := range discarded {
		if d := m.databaseState(name); d.intent.revision() == revision {
			d.intent = intentState{removed: revision}
		}
	}
}

// recordIntent writes the intent to replace a primary, unless this leader has written it already. It
// is conditional on the last intent, so that a write without a response takes no effect after a
// later one. An intent that no read has shown yet is replaced only if the primary leads still:
// otherwise it may name the successor whose promotion was requested.
func (m *Manager) recordIntent(ctx context.Context, name string, intent store.Intent, leads bool) error {
	if !m.IsLeader() {
		return errNotLeader
	}
	if m.hasRecorded(name, intent) {
		return nil
	}
	m.mu.Lock()
	revision, leaderRevision := m.databaseState(name).intent.revision(), m.leadership.revision
	m.mu.Unlock()
	if leaderRevision == 0 {
		return errNotLeader
	}
	key := store.IntentPrefix + name
	for {
		value, err := intent.Encode()
		if err != nil {
			return err
		}
		written, err := m.config.Store.Commit(ctx, store.Change{
			Conditions: []store.Condition{
				{
					Key:      key,
					Revision: revision,
				},
				{
					Key:      store.LeaderKey,
					Revision: leaderRevision,
				},
			},
			Writes: []store.Write{{
				Key:   key,
				Value: value,
			}},
		})
		if err == nil {
			m.setIntent(name, intent, written)
			m.recordedIntents.Inc(1)
			return nil
		}
		var conflict *store.ConflictError
		if !leads || !errors.As(err, &conflict) || conflict.Revisions[store.LeaderKey] != leaderRevision || conflict.Revisions[key] == revision {
			return eris.Wrap(err, "record the intent to replace a primary")
		}
		revision, intent.Contested = conflict.Revisions[key], true
	}
}

// hasRecorded reports whether this leader has written an intent already. It is pending then, since
// the primary may step down at the next attempt.
func (m *Manager) hasRecorded(name string, intent store.Intent) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := &m.databaseState(name).intent
	if i.revision() <= m.leadership.revision || i.stored.Primary != intent.Primary || i.stored.Term != intent.Term || i.stored.Step != intent.Step {
		return false
	}
	i.pending, i.asked = true, false
	return true
}

// takeoverIntent returns what the decisions need of an intent.
func takeoverIntent(intent store.Intent) takeover.Intent {
	return takeover.Intent{
		Primary:   intent.Primary.ID,
		Term:      intent.Term,
		Step:      intent.Step,
		Successor: intent.Successor.ID,
		Contested: intent.Contested,
	}
}

// setIntent sets the intent that this leader has written. It is pending from now on.
func (m *Manager) setIntent(name string, intent store.Intent, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.databaseState(name).intent = intentState{
		stored: &store.StoredIntent{
			Intent:   intent,
			Revision: revision,
		},
		pending:    true,
		unanswered: takeoverIntent(intent).MayBeRequested(),
	}
}

// intentRevision returns the revision of a database's intent; 0 if it is not known to exist.
func (m *Manager) intentRevision(name string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.databaseState(name).intent.revision()
}

// forgetIntent forgets an intent that is not the one in the store. The replacement goes on with that one,
// once a read has shown it.
func (m *Manager) forgetIntent(name string) {
	m.updateIntent(name, func(i *intentState) { *i = intentState{removed: i.revision()} })
}

// updateIntent changes the state of a database's intent.
func (m *Manager) updateIntent(name string, update func(*intentState)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	update(&m.databaseState(name).intent)
}

// endIntent records that a planned replacement has ended, so that the regular rules apply from now on. A
// promotion request that may still take effect stays pending. The intent stays in the store until it is
// replaced or the next leader removes it.
func (m *Manager) endIntent(name string) {
	m.updateIntent(name, func(i *intentState) { i.pending = i.pending && i.unanswered })
}

// completeIntent records that the successor of an intent leads. Without an earlier request for another
// endpoint, only the request of the intent can have made it the primary.
func (m *Manager) completeIntent(name string) {
	m.updateIntent(name, func(i *intentState) {
		i.unanswered = i.unanswered && i.stored.Contested
		i.pending = i.pending && i.unanswered
	})
}

// deferIntent lets the regular rules apply until the endpoints are asked again: after a delay, if no primary
// is reported or a request is outstanding. It reports whether the endpoints were asked for the first time.
func (m *Manager) deferIntent(name string) bool {
	resumeAfter := m.config.Timer.SinceBoot() + switchoverRetryDelay
	wasAsked := false
	m.updateIntent(name, func(i *intentState) {
		wasAsked = i.asked
		i.asked, i.resumeAfter = true, resumeAfter
	})
	return !wasAsked
}

// storedIntent returns the last intent of a database that is known to be in the store; false if there
// is none, or if the leadership has changed.
func (m *Manager) storedIntent(name string) (store.StoredIntent, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if stored := m.databaseState(name).intent.stored; stored != nil {
		return *stored, true
	}
	return store.StoredIntent{}, false
}
