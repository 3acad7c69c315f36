// Package session implements session tokens, which carry the log positions that the
// reads of a session must see, and the handles of open transactions.
package session

import (
	"cmp"
	"slices"

	"amaranthdock.dev/decision/logpos"
)

// MaxEntries is the maximum number of databases in one token.
const MaxEntries = 32

// Entry is the log position that a session has seen in one database.
type Entry struct {
	Database string
	Position logpos.Position
}

// Token holds the log positions that a session has seen. The zero Token has none.
type Token struct {
	Workspace string
	// Entries has one entry for each database, ordered from the least to the most
	// recently used.
	Entries []Entry
	// Truncated means that entries were dropped: a database without an entry may have
	// a required position that is no longer known.
	Truncated bool
}

// Position returns the position that reads in a database must see, and whether there
// is an entry for the database.
func (t Token) Position(database string) (logpos.Position, bool) {
	i := t.index(database)
	if i < 0 {
		return logpos.Position{}, false
	}
	return t.Entries[i].Position, true
}

// MustReadPrimary reports whether reads in a database must go to the primary: the
// entry may have been dropped, and only the primary is known to have everything that
// the session has seen.
func (t Token) MustReadPrimary(database string) bool {
	return t.Truncated && t.index(database) < 0
}

// WithPosition returns the token after the session has seen a position. The position
// of a write is complete: it covers everything that the session saw before. The
// position of a read at the primary is not, because it is capped at the position that
// is known to be durable. An incomplete position is ignored if a dropped entry may
// have been higher.
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
	return newBoundedToken(t.Workspace, entries, t.Truncated)
}

// Merge returns a token that covers all of the given tokens, which belong to one
// workspace. A database without an entry in a truncated token is omitted, because the
// dropped entry may have been higher than those of the other tokens.
func Merge(workspace string, tokens ...Token) Token {
	type rankedEntry struct {
		entry Entry
		age   int
	}
	mergedEntries := map[string]rankedEntry{}
	truncated := false
	for _, t := range tokens {
		truncated = truncated || t.Truncated
		for i, e := range t.Entries {
			age := len(t.Entries) - i
			known, ok := mergedEntries[e.Database]
			if ok {
				e.Position = logpos.Max(e.Position, known.entry.Position)
				age = min(age, known.age)
			}
			mergedEntries[e.Database] = rankedEntry{
				entry: e,
				age:   age,
			}
		}
	}
	kept := make([]rankedEntry, 0, len(mergedEntries))
	for database, r := range mergedEntries {
		if !mayBeDropped(tokens, database) {
			kept = append(kept, r)
		}
	}
	slices.SortFunc(kept, func(a, b rankedEntry) int {
		if c := cmp.Compare(b.age, a.age); c != 0 {
			return c
		}
		return cmp.Compare(a.entry.Database, b.entry.Database)
	})
	entries := make([]Entry, 0, len(kept))
	for _, r := range kept {
		entries = append(entries, r.entry)
	}
	return newBoundedToken(workspace, entries, truncated)
}

func (t Token) index(database string) int {
	return slices.IndexFunc(t.Entries, func(e Entry) bool { return e.Database == database })
}

// mayBeDropped reports whether one of the tokens may have dropped its entry for the
// database.
func mayBeDropped(tokens []Token, database string) bool {
	return slices.ContainsFunc(tokens, func(t Token) bool { return t.MustReadPrimary(database) })
}

// newBoundedToken returns a token with the last MaxEntries entries.
func newBoundedToken(workspace string, entries []Entry, truncated bool) Token {
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
