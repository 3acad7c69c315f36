package failover

import (
	"context"
	"errors"
	"strconv"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/decision/takeover"
	"amaranthdock.dev/engine/store"
)

// nextFencingToken reserves the next fencing token for promotions in the database and writes the intent of
// the promotion. The write is conditional on the leader's key, so it fails once another VM is the leader,
// and on the intent that it replaces. If that is another one than this leader knows, a planned replacement
// ends; any other promotion replaces it as one that may still take effect.
func (m *Manager) nextFencingToken(ctx context.Context, name string, intent store.Intent) (uint64, error) {
	key := store.FencingTokenPrefix + name
	var (
		lastErr error
		tried   uint64
	)
	replaced := m.intentRevision(name)
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
		if tried != 0 && lastToken == tried {
			// The write was applied although its response was lost.
			m.setIntent(name, intent, item.Revision)
			replaced = item.Revision
		}
		tried = lastToken + 1
		change, err := m.tokenChange(name, item, tried, intent, replaced)
		if err != nil {
			return 0, err
		}
		revision, err := m.config.Store.Commit(ctx, change)
		if err == nil {
			m.setIntent(name, intent, revision)
			return tried, nil
		}
		lastErr = err
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) || conflict.Revisions[store.IntentPrefix+name] == replaced {
			continue
		}
		if intent.Step != takeover.Request {
			m.forgetIntent(name)
			break
		}
		replaced, intent.Contested = conflict.Revisions[store.IntentPrefix+name], true
	}
	return 0, eris.Wrap(lastErr, "reserve a fencing token")
}

// tokenChange returns the change that reserves a fencing token, after the item of the last one, and replaces
// the intent at a revision.
func (m *Manager) tokenChange(name string, last store.Item, token uint64, intent store.Intent, replaced uint64) (store.Change, error) {
	value, err := intent.Encode()
	if err != nil {
		return store.Change{}, err
	}
	tokenKey, intentKey := store.FencingTokenPrefix+name, store.IntentPrefix+name
	return store.Change{
		Conditions: []store.Condition{
			{
				Key:      tokenKey,
				Revision: last.Revision,
			},
			{
				Key:      store.LeaderKey,
				Revision: m.currentLeadership().revision,
			},
			{
				Key:      intentKey,
				Revision: replaced,
			},
		},
		Writes: []store.Write{
			{
				Key:   tokenKey,
				Value: []byte(strconv.FormatUint(token, 10)),
			},
			{
				Key:   intentKey,
				Value: value,
			},
		},
	}, nil
}
