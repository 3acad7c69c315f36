package member

import (
	"slices"
	"strings"

	"amaranthdock.dev/standin/memberlog"
)

// row is a value and the index of the entry that wrote it.
type row struct {
	value string
	index uint64
}

// table is the state that the applied entries add up to.
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
			at, _ := slices.BinarySearch(t.keys, w.Key)
			t.keys = slices.Insert(t.keys, at, w.Key)
		}
		t.rows[w.Key] = row{
			value: w.Value,
			index: entry.Index,
		}
	}
}

// withPrefix returns the sorted keys that begin with a prefix.
func (t *table) withPrefix(prefix string) []string {
	from, _ := slices.BinarySearch(t.keys, prefix)
	to := from
	for to < len(t.keys) && strings.HasPrefix(t.keys[to], prefix) {
		to++
	}
	return t.keys[from:to]
}

// seenRow is a key that a transaction read and its version then; 0 if absent.
type seenRow struct {
	key   string
	index uint64
}

// seenRange is a range that a transaction read.
type seenRange struct {
	prefix string
	rows   []seenRow
}

// transaction buffers writes and remembers what it read, so that a commit can
// detect conflicts.
type transaction struct {
	table  *table
	writes map[string]string
	order  []string
	rows   []seenRow
	ranges []seenRange
}

func newTransaction(t *table) *transaction {
	return &transaction{
		table:  t,
		writes: map[string]string{},
	}
}

// conflicts tells whether anything that the transaction read has changed.
func (t *transaction) conflicts(now *table) bool {
	for _, seen := range t.rows {
		if now.rows[seen.key].index != seen.index {
			return true
		}
	}
	for _, seen := range t.ranges {
		if !slices.Equal(seen.rows, now.seen(seen.prefix)) {
			return true
		}
	}
	return false
}

func (t *transaction) get(key string) (string, bool) {
	if value, ok := t.writes[key]; ok {
		return value, true
	}
	held, ok := t.table.rows[key]
	t.rows = append(t.rows, seenRow{
		key:   key,
		index: held.index,
	})
	return held.value, ok
}

func (t *transaction) put(key, value string) {
	if _, ok := t.writes[key]; !ok {
		t.order = append(t.order, key)
	}
	t.writes[key] = value
}

// scan returns [key, value] rows in key order, at most limit unless that is 0.
func (t *transaction) scan(prefix string, limit int) [][]string {
	t.ranges = append(t.ranges, seenRange{
		prefix: prefix,
		rows:   t.table.seen(prefix),
	})
	keys := slices.Clone(t.table.withPrefix(prefix))
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

// logWrites returns the buffered writes in the order of their first use.
func (t *transaction) logWrites() []memberlog.Write {
	writes := make([]memberlog.Write, 0, len(t.order))
	for _, key := range t.order {
		writes = append(writes, memberlog.Write{
			Key:   key,
			Value: t.writes[key],
		})
	}
	return writes
}

func (t *table) seen(prefix string) []seenRow {
	keys := t.withPrefix(prefix)
	rows := make([]seenRow, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, seenRow{
			key:   key,
			index: t.rows[key].index,
		})
	}
	return rows
}
