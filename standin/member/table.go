package member

import (
	"slices"
	"strings"

	"amaranthdock.dev/standin/memberlog"
)

// row is a value and its version: the index of the entry that wrote it.
type row struct {
	value   string
	version uint64
}

// table is the state after all applied entries, with its keys in sorted order.
type table struct {
	rows map[string]row
	keys []string
}

func newTable() *table {
	return &table{rows: map[string]row{}}
}

func (t *table) apply(entry memberlog.Entry) {
	for _, w := range entry.Writes {
		if _, ok := t.rows[w.Key]; !ok {
			position, _ := slices.BinarySearch(t.keys, w.Key)
			t.keys = slices.Insert(t.keys, position, w.Key)
		}
		t.rows[w.Key] = row{
			value:   w.Value,
			version: entry.Index,
		}
	}
}

// keysWithPrefix returns the sorted keys that begin with a prefix.
func (t *table) keysWithPrefix(prefix string) []string {
	from, _ := slices.BinarySearch(t.keys, prefix)
	to := from
	for to < len(t.keys) && strings.HasPrefix(t.keys[to], prefix) {
		to++
	}
	return t.keys[from:to]
}

// readKey is a key that a transaction read, with its version at that time; 0 if the
// key was absent.
type readKey struct {
	key     string
	version uint64
}

// readRange is a range of keys that a transaction read.
type readRange struct {
	prefix string
	keys   []readKey
}

// transaction buffers writes and records the versions of what it read, so that a
// commit can detect conflicts.
type transaction struct {
	table      *table
	writes     map[string]string
	writeOrder []string
	readKeys   []readKey
	readRanges []readRange
}

func newTransaction(t *table) *transaction {
	return &transaction{
		table:  t,
		writes: map[string]string{},
	}
}

// hasConflict reports whether anything that the transaction read has changed.
func (t *transaction) hasConflict(current *table) bool {
	for _, read := range t.readKeys {
		if current.rows[read.key].version != read.version {
			return true
		}
	}
	for _, read := range t.readRanges {
		if !slices.Equal(read.keys, current.versions(read.prefix)) {
			return true
		}
	}
	return false
}

func (t *transaction) get(key string) (string, bool) {
	if value, ok := t.writes[key]; ok {
		return value, true
	}
	stored, ok := t.table.rows[key]
	t.readKeys = append(t.readKeys, readKey{
		key:     key,
		version: stored.version,
	})
	return stored.value, ok
}

func (t *transaction) put(key, value string) {
	if _, ok := t.writes[key]; !ok {
		t.writeOrder = append(t.writeOrder, key)
	}
	t.writes[key] = value
}

// scan returns [key, value] rows in the order of their keys, at most limit; a limit
// of 0 means no limit.
func (t *transaction) scan(prefix string, limit int) [][]string {
	t.readRanges = append(t.readRanges, readRange{
		prefix: prefix,
		keys:   t.table.versions(prefix),
	})
	keys := slices.Clone(t.table.keysWithPrefix(prefix))
	for key := range t.writes {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	keys = slices.Compact(keys)
	if limit > 0 && len(keys) > limit {
		keys = keys[:limit]
	}
	rows := make([][]string, 0, len(keys))
	for _, key := range keys {
		value, ok := t.writes[key]
		if !ok {
			value = t.table.rows[key].value
		}
		rows = append(rows, []string{key, value})
	}
	return rows
}

// orderedWrites returns the buffered writes in the order in which their keys were
// first written.
func (t *transaction) orderedWrites() []memberlog.Write {
	writes := make([]memberlog.Write, 0, len(t.writeOrder))
	for _, key := range t.writeOrder {
		writes = append(writes, memberlog.Write{
			Key:   key,
			Value: t.writes[key],
		})
	}
	return writes
}

// versions returns the keys with a prefix and their current versions.
func (t *table) versions(prefix string) []readKey {
	keys := t.keysWithPrefix(prefix)
	rows := make([]readKey, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, readKey{
			key:     key,
			version: t.rows[key].version,
		})
	}
	return rows
}
