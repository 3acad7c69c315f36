package failover

import (
	"context"
	"errors"
	"strconv"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/engine/store"
)

// nextFencingToken reserves the next fencing token for promotions in the database. The
// write is conditional on the leader's key, so it fails once another VM is the leader. It replaces
// the intent by that of a planned replacement, or removes it if intent is nil and one is known.
func (m *Manager) nextFencingToken(ctx context.Context, name string, intent *store.Intent) (uint64, error) {
	key := store.FencingTokenPrefix + name
	var (
		lastErr error
		tried   uint64
	)
	for range maxTokenAttempts {
		item, found, err := m.config.Store.Get(ctx, key)
		if err != nil {
			lastErr = err
			continue
		}
		lastToken := uint64(0)
		if found {
			if lastToken, err = strconv.ParseUint(string(item.Value), 10, 64); err != nil {
				return 0, eris.Wrapf(err, "parse the last fencing token under %q", key)
			}
		}
		if intent != nil && tried != 0 && lastToken == tried {
			// The write was applied although its response was lost.
			m.setIntent(name, *intent, item.Revision)
		}
		tried = lastToken + 1
		change, err := m.tokenChange(name, item, tried, intent)
		if err != nil {
			return 0, err
		}
		revision, err := m.config.Store.Commit(ctx, change)
		if err == nil {
			m.applyIntentChange(name, intent, revision)
			return tried, nil
		}
		lastErr = err
		if intent != nil && m.isIntentOutdated(name, err) {
			break
		}
	}
	return 0, eris.Wrap(lastErr, "reserve a fencing token")
}

// tokenChange returns the change that reserves a fencing token, after the item of the last one.
func (m *Manager) tokenChange(name string, last store.Item, token uint64, intent *store.Intent) (store.Change, error) {
	m.mu.Lock()
	intentRevision, leaderRevision := m.databaseState(name).intent.revision(), m.leadership.revision
	m.mu.Unlock()
	tokenKey, intentKey := store.FencingTokenPrefix+name, store.IntentPrefix+name
	change := store.Change{
		Conditions: []store.Condition{
			{
				Key:      tokenKey,
				Revision: last.Revision,
			},
			{
				Key:      store.LeaderKey,
				Revision: leaderRevision,
			},
		},
		Writes: []store.Write{{
			Key:   tokenKey,
			Value: []byte(strconv.FormatUint(token, 10)),
		}},
	}
	if intent == nil {
		if intentRevision != 0 {
			change.Removals = []string{intentKey}
		}
		return change, nil
	}
	value, err := intent.Encode()
	if err != nil {
		return store.Change{}, err
	}
	change.Conditions = append(change.Conditions, store.Condition{
		Key:      intentKey,
		Revision: intentRevision,
	})
	change.Writes = append(change.Writes, store.Write{
		Key:   intentKey,
		Value: value,
	})
	return change, nil
}

// applyIntentChange records what the change that reserved a fencing token did to the intent.
func (m *Manager) applyIntentChange(name string, intent *store.Intent, revision uint64) {
	if intent != nil {
		m.setIntent(name, *intent, revision)
		return
	}
	m.updateIntent(name, func(i *intentState) { *i = intentState{removed: max(i.revision(), i.removed)} })
}

// isIntentOutdated reports whether a change failed because the intent in the store is another one.
// The replacement then goes on with that one, once a read has shown it.
func (m *Manager) isIntentOutdated(name string, err error) bool {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	i := &m.databaseState(name).intent
	if conflict.Revisions[store.IntentPrefix+name] == i.revision() {
		return false
	}
	*i = intentState{removed: i.revision()}
	return true
}
