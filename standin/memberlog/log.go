// Package memberlog implements the log of a database member, with the rules for
// terms and replicated entries. It does no I/O; the caller persists the returned
// changes.
package memberlog

import (
	"slices"

	"amaranthdock.dev/decision/logpos"
)

// AppendRequest carries entries from the primary of a term to a replica.
type AppendRequest struct {
	Term     uint64
	Claimant string
	// Previous is the position of the entry that precedes Entries in the log.
	Previous logpos.Position
	Entries  []Entry
}

// AppendResult is a replica's response to an AppendRequest.
type AppendResult struct {
	Accepted bool
	Changes  []Change
	// MatchLimit is the highest index at which the logs can still match. It is set
	// only if Previous did not match.
	MatchLimit uint64
}

// Log is the log of one member with its term state. It is not safe for
// concurrent use.
type Log struct {
	entries          []Entry
	indexByRequestID map[string]uint64
	fencedTerm       uint64
	claimant         string
	termStartIndex   uint64
}

// New returns an empty log of a replica in term 0.
func New() *Log {
	return &Log{indexByRequestID: map[string]uint64{}}
}

// Append adds replicated entries. It rejects a request with a lower term, and one
// whose Previous is missing from the log or has another term there. It truncates
// entries that diverge from the primary's.
func (l *Log) Append(request AppendRequest) AppendResult {
	changes, ok := l.FollowPrimary(request.Term, request.Claimant)
	if !ok {
		return AppendResult{}
	}
	if !l.contains(request.Previous) {
		return AppendResult{
			Changes:    changes,
			MatchLimit: min(request.Previous.Index-1, uint64(len(l.entries))),
		}
	}
	for _, e := range request.Entries {
		existing, found := l.At(e.Index)
		if found && existing.Term == e.Term {
			continue
		}
		if found {
			changes = append(changes, l.apply(Truncated{Last: e.Index - 1}))
		}
		changes = append(changes, l.apply(Appended{Entry: e}))
	}
	return AppendResult{
		Accepted: true,
		Changes:  changes,
	}
}

// At returns the entry at an index; the first index is 1.
func (l *Log) At(index uint64) (Entry, bool) {
	if index == 0 || index > uint64(len(l.entries)) {
		return Entry{}, false
	}
	return l.entries[index-1], true
}

// Claimant returns the claimant for which the highest term was accepted.
func (l *Log) Claimant() string {
	return l.claimant
}

// Clone returns an independent copy.
func (l *Log) Clone() *Log {
	clone := *l
	clone.entries = slices.Clone(l.entries)
	clone.indexByRequestID = make(map[string]uint64, len(l.indexByRequestID))
	for id, index := range l.indexByRequestID {
		clone.indexByRequestID[id] = index
	}
	return &clone
}

// Commit appends an entry on a primary and sets the term and index of the entry. It
// returns false if the member is not the primary.
func (l *Log) Commit(entry Entry) (Entry, []Change, bool) {
	if !l.IsPrimary() {
		return Entry{}, nil, false
	}
	entry.Term = l.fencedTerm
	entry.Index = uint64(len(l.entries)) + 1
	return entry, []Change{l.apply(Appended{Entry: entry})}, true
}

// Entries returns at most limit entries, starting at an index.
func (l *Log) Entries(from uint64, limit int) []Entry {
	if from == 0 || from > uint64(len(l.entries)) {
		return nil
	}
	rest := l.entries[from-1:]
	return slices.Clone(rest[:min(limit, len(rest))])
}

// Fence accepts a higher term for a claimant. The same term is accepted again only
// for the same claimant. A primary of a lower term becomes a replica.
func (l *Log) Fence(term uint64, claimant string) ([]Change, bool) {
	switch {
	case term == 0 || term < l.fencedTerm:
		return nil, false
	case term == l.fencedTerm:
		return nil, claimant == l.claimant
	}
	change := l.apply(Fenced{
		Term:     term,
		Claimant: claimant,
	})
	return []Change{change}, true
}

// FencedTerm returns the highest accepted term.
func (l *Log) FencedTerm() uint64 {
	return l.fencedTerm
}

// Find returns the entry of the request with an ID.
func (l *Log) Find(requestID string) (Entry, bool) {
	index, ok := l.indexByRequestID[requestID]
	if !ok {
		return Entry{}, false
	}
	return l.At(index)
}

// FollowPrimary accepts a term on contact from the term's primary, so that a member
// that missed the fence still rejects other claimants of the term. A member that had
// accepted the term for another claimant follows, too: that claimant cannot promote a
// primary in this term, because most members accepted the term for the one that did. It
// returns false for a lower term and on the primary itself.
func (l *Log) FollowPrimary(term uint64, claimant string) ([]Change, bool) {
	switch {
	case term == 0 || term < l.fencedTerm || term == l.fencedTerm && l.IsPrimary():
		return nil, false
	case term == l.fencedTerm && claimant == l.claimant:
		return nil, true
	}
	change := l.apply(Fenced{
		Term:     term,
		Claimant: claimant,
	})
	return []Change{change}, true
}

// Last returns the position of the last entry.
func (l *Log) Last() logpos.Position {
	if len(l.entries) == 0 {
		return logpos.Position{}
	}
	return l.entries[len(l.entries)-1].Position()
}

// IsPrimary reports whether the member is the primary of its highest accepted term.
func (l *Log) IsPrimary() bool {
	return l.termStartIndex > 0
}

// Promote makes the member the primary of the term that it accepted for the claimant,
// and appends the first entry of the term. A member whose log has entries of the term
// cannot become its primary any more: neither a replica nor the former primary after
// a restart.
func (l *Log) Promote(term uint64, claimant string) ([]Change, bool) {
	if term == 0 || term != l.fencedTerm || claimant != l.claimant {
		return nil, false
	}
	if l.IsPrimary() {
		return nil, true
	}
	if l.Last().Term >= term {
		return nil, false
	}
	first := Entry{
		Term:    term,
		Index:   uint64(len(l.entries)) + 1,
		Command: TermStartCommand,
	}
	change := l.apply(Appended{Entry: first})
	l.termStartIndex = first.Index
	return []Change{change}, true
}

// Replay applies a persisted change when a member restarts. A restarted member is a
// replica in its highest accepted term.
func (l *Log) Replay(change Change) {
	l.apply(change)
}

// Restart returns a copy of the log in its state after a restart of the member: the
// same entries and term, but as a replica.
func (l *Log) Restart() *Log {
	restarted := l.Clone()
	restarted.termStartIndex = 0
	return restarted
}

// TermStart returns the position of the first entry of the term on a primary, and the
// zero Position on a replica.
func (l *Log) TermStart() logpos.Position {
	e, _ := l.At(l.termStartIndex)
	return e.Position()
}

func (l *Log) apply(change Change) Change {
	switch c := change.(type) {
	case Appended:
		l.entries = append(l.entries, c.Entry)
		if c.Entry.RequestID != "" {
			l.indexByRequestID[c.Entry.RequestID] = c.Entry.Index
		}
	case Fenced:
		l.fencedTerm = c.Term
		l.claimant = c.Claimant
		l.termStartIndex = 0
	case Truncated:
		for _, e := range l.entries[c.Last:] {
			delete(l.indexByRequestID, e.RequestID)
		}
		l.entries = l.entries[:c.Last:c.Last]
	}
	return change
}

// contains reports whether the log has an entry at a position. The zero position
// before the first entry is always contained.
func (l *Log) contains(position logpos.Position) bool {
	if position.Index == 0 {
		return true
	}
	e, ok := l.At(position.Index)
	return ok && e.Term == position.Term
}
