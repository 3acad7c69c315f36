// Package session holds the session token, which carries the positions that a
// session's reads have to see, and the handle of an open transaction.
package session

import (
	"cmp"
	"slices"

	"amaranthdock.dev/decision/logpos"
)

// MaxEntries bounds the databases that one token lists.
const MaxEntries = 32

// Entry is the position that a session has seen in one database.
type Entry struct {
	Database string
	Position logpos.Position
}

// Token is what a session has seen. The zero Token has seen nothing.
type Token struct {
	Workspace string
	// Entries in the order of use, the latest last, one for each database.
	Entries []Entry
	// Truncated tells that entries were dropped, so that any database that is
	// not listed may have a required position that is no longer known.
	Truncated bool
}

// Position returns the position required of reads in a database.
func (t Token) Position(database string) (logpos.Position, bool) {
	i := t.index(database)
	if i < 0 {
		return logpos.Position{}, false
	}
	return t.Entries[i].Position, true
}

// MustReadPrimary tells whether only the primary is known to hold all that the
// session has seen in a database.
func (t Token) MustReadPrimary(database string) bool {
	return t.Truncated && t.index(database) < 0
}

// WithPosition returns the token after the session saw a position. The position of
// a write is complete: it covers all that the session saw before. That of a read
// at the primary is not, because it is capped by what is known to be durable. An
// incomplete position is left out when a dropped entry may have been higher.
func (t Token) WithPosition(database string, position logpos.Position, complete bool) Token {
	if !complete && t.MustReadPrimary(database) {
		return t
	}
	entries := make([]Entry, 0, len(t.Entries)+1)
	for _, e := range t.Entries {
		if e.Database == database {
			position = logpos.Max(position, e.Position)
			continue
		}
		entries = append(entries, e)
	}
	entries = append(entries, Entry{
		Database: database,
		Position: position,
	})
	return bounded(t.Workspace, entries, t.Truncated)
}

// Merge returns the token that covers all of the given ones, which belong to one
// workspace. A database that a truncated token does not list is left out, since
// the entry that the token dropped may be higher than those of the others.
func Merge(workspace string, tokens ...Token) Token {
	type ranked struct {
		entry Entry
		age   int
	}
	best := map[string]ranked{}
	truncated := false
	for _, t := range tokens {
		truncated = truncated || t.Truncated
		for i, e := range t.Entries {
			age := len(t.Entries) - i
			known, ok := best[e.Database]
			if ok {
				e.Position = logpos.Max(e.Position, known.entry.Position)
				age = min(age, known.age)
			}
			best[e.Database] = ranked{
				entry: e,
				age:   age,
			}
		}
	}
	kept := make([]ranked, 0, len(best))
	for database, r := range best {
		if !anyDropped(tokens, database) {
			kept = append(kept, r)
		}
	}
	slices.SortFunc(kept, func(a, b ranked) int {
		if c := cmp.Compare(b.age, a.age); c != 0 {
			return c
		}
		return cmp.Compare(a.entry.Database, b.entry.Database)
	})
	entries := make([]Entry, 0, len(kept))
	for _, r := range kept {
		entries = append(entries, r.entry)
	}
	return bounded(workspace, entries, truncated)
}

func (t Token) index(database string) int {
	return slices.IndexFunc(t.Entries, func(e Entry) bool { return e.Database == database })
}

func anyDropped(tokens []Token, database string) bool {
	return slices.ContainsFunc(tokens, func(t Token) bool { return t.MustReadPrimary(database) })
}

func bounded(workspace string, entries []Entry, truncated bool) Token {
	if excess := len(entries) - MaxEntries; excess > 0 {
		entries = entries[excess:]
		truncated = true
	}
	return Token{
		Workspace: workspace,
		Entries:   entries,
		Truncated: truncated,
	}
}
