package failover

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/decision/evacuation"
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
	// pending is true while the outcome of the replacement is not known.
	pending bool
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
	return i.pending && now >= i.resumeAfter && (!i.asked || !primaryReported)
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
			stored:    &stored,
			pending:   configured,
			discarded: !configured,
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
		m.config.Log.Info("Could not remove the intents of earlier leaders.", "intents", len(discarded), "error", err.Error())
		return
	}
	m.config.Log.Info("Removed the intents of earlier leaders, whose primaries have been replaced.", "intents", len(discarded))
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
	value, err := intent.Encode()
	if err != nil {
		return err
	}
	key := store.IntentPrefix + name
	for {
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
		revision = conflict.Revisions[key]
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

// setIntent sets the intent that this leader has written. It is pending from now on.
func (m *Manager) setIntent(name string, intent store.Intent, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.databaseState(name).intent = intentState{
		stored: &store.StoredIntent{
			Intent:   intent,
			Revision: revision,
		},
		pending: true,
	}
}

// updateIntent changes the state of a database's intent.
func (m *Manager) updateIntent(name string, update func(*intentState)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	update(&m.databaseState(name).intent)
}

// endIntent records that a replacement has ended, or that the regular rules apply from now on. The
// intent stays in the store until it is replaced or the next leader removes it.
func (m *Manager) endIntent(name string) {
	m.updateIntent(name, func(i *intentState) { i.pending = false })
}

// deferIntent lets the regular rules apply while a primary is reported, and otherwise until the
// endpoints are asked again.
func (m *Manager) deferIntent(name string) {
	resumeAfter := m.config.Timer.SinceBoot() + switchoverRetryDelay
	m.updateIntent(name, func(i *intentState) { i.asked, i.resumeAfter = true, resumeAfter })
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

// resume goes on with a planned replacement that was begun, by this leader or by an earlier one.
func (m *Manager) resume(ctx context.Context, name string) {
	stored, ok := m.storedIntent(name)
	if !ok {
		return
	}
	primary := m.member(name, stored.Primary)
	resumption := takeover.Resumption{
		Intent: takeover.Intent{
			Primary:   stored.Primary.ID,
			Term:      stored.Term,
			Step:      stored.Step,
			Successor: stored.Successor.ID,
		},
		Superseded:   stored.Superseded,
		Reports:      m.reports(ctx, name, stored.Intent, primary),
		SyncReplicas: m.syncReplicas(name),
	}
	log := m.config.Log.WithValues("database", name, "endpoint", stored.Primary.ID, "step", stored.Step, "cause", stored.Cause)
	switch decided := resumption.Decide().(type) {
	case takeover.DiscardIntent:
		log.Info("A planned replacement has ended; its intent is discarded.")
		m.discardedIntents.Inc(1)
		// Only those of earlier leaders are removed: this one's are replaced by its next one.
		inherited := stored.Revision < m.currentLeadership().revision
		m.updateIntent(name, func(i *intentState) { i.pending, i.discarded = false, inherited })
	case takeover.PromoteSuccessor:
		log.Info("Going on with a planned replacement.", "successor", decided.Successor.ID)
		m.beginResumption(name, stored)
		m.promotePlanned(ctx, name, decided.Successor)
	case takeover.AwaitSuccessor:
		log.Info("Going on with a planned replacement; no endpoint has received the whole log yet.")
		m.beginResumption(name, stored)
		m.awaitSuccessor(ctx, name, primary, decided.Primary, stored.Cause)
	case takeover.UseRegularRules:
		log.Info("A planned replacement cannot be continued safely; the regular rules apply.")
		m.deferIntent(name)
		m.postponeSwitchover(name)
		if m.config.View.IsPrimary(primary) && !m.responds(ctx, primary) {
			m.verify(ctx, name, primary)
		}
	}
}

// beginResumption records that a planned replacement goes on: the database has no primary.
func (m *Manager) beginResumption(name string, stored store.StoredIntent) {
	m.resumedReplacements.Inc(1)
	m.config.View.RecordPromotion(name, "", false)
	if stored.Cause == causeFailing {
		m.setFailingReplacedAt(name, m.config.Timer.SinceBoot())
	}
}

// reports queries the status of the members of a database, except those that may get no control
// commands. The primary is the one that the intent names.
func (m *Manager) reports(ctx context.Context, name string, intent store.Intent, primary catalog.Endpoint) []takeover.Report {
	statuses := m.statuses(ctx, name, func(e catalog.Endpoint) bool {
		return m.config.View.Access(e) == evacuation.Open || e.Key.ID == primary.Key.ID && m.mayControl(e)
	})
	reports := make([]takeover.Report, 0, len(statuses))
	for _, s := range statuses {
		reports = append(reports, takeover.Report{
			Candidate: m.candidate(s.endpoint, s.report, primary),
			IsPrimary: s.report.Role == catalog.RolePrimary,
			Term:      s.report.Term,
			Restarted: isRestarted(s.endpoint.Key, intent.Primary) || isRestarted(s.endpoint.Key, intent.Successor),
		})
	}
	return reports
}

// isRestarted reports whether an endpoint is a later process of one that an intent names.
func isRestarted(current, named catalog.EndpointKey) bool {
	return current.ID == named.ID && !current.Born.Equal(named.Born)
}

// member returns the reported endpoint of a key; only its key if it is not reported.
func (m *Manager) member(name string, key catalog.EndpointKey) catalog.Endpoint {
	if e, ok := m.config.View.Endpoint(key.ID); ok && e.Database == name {
		return e
	}
	return catalog.Endpoint{
		Key:      key,
		Database: name,
	}
}
