// Package logpos compares positions in the replication logs of a database's members.
package logpos

import (
	"cmp"
	"strconv"
)

// initialTextCapacity is enough for the text of most positions, in bytes.
const initialTextCapacity = 24

// Position is the term and index of a log entry. Index counts entries from 1 and
// continues across terms. The zero Position is before every entry.
type Position struct {
	Term  uint64
	Index uint64
}

// Compare orders positions by term, then by index.
func (p Position) Compare(other Position) int {
	if c := cmp.Compare(p.Term, other.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Index, other.Index)
}

// Covers reports whether a log that ends at p contains the durable entry at required.
// The term is compared first, because a member that was partitioned in an older term
// may have a longer, divergent log.
func (p Position) Covers(required Position) bool {
	return p.Compare(required) >= 0
}

// IsZero reports whether p is before every entry.
func (p Position) IsZero() bool {
	return p == Position{}
}

// String returns "term/index".
func (p Position) String() string {
	text := strconv.AppendUint(make([]byte, 0, initialTextCapacity), p.Term, 10)
	text = append(text, '/')
	return string(strconv.AppendUint(text, p.Index, 10))
}

// Max returns the later of two positions.
func Max(a, b Position) Position {
	if a.Compare(b) >= 0 {
		return a
	}
	return b
}

// Min returns the earlier of two positions.
func Min(a, b Position) Position {
	if a.Compare(b) <= 0 {
		return a
	}
	return b
}
