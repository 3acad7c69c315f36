// Package memberlog holds the rules for terms and log entries that a database
// member follows. It does no I/O; the caller keeps the returned changes.
package memberlog

import (
	"slices"

	"amaranthdock.dev/decision/logpos"
)

// AppendRequest carries entries from the primary of a term to a replica.
type AppendRequest struct {
	Term     uint64
	Claimant string
	// Previous is the position of the entry before the first of Entries.
	Previous logpos.Position
	Entries  []Entry
}

// AppendResult is a replica's answer to an AppendRequest.
type AppendResult struct {
	Accepted bool
	Changes  []Change
	// MatchLimit is, if Previous did not match, the highest index at which the
	// logs can still match.
	MatchLimit uint64
}

// Log is the log of one member with its term state. It is not safe for
// concurrent use.
type Log struct {
	entries  []Entry
	ids      map[string]uint64
	fenced   uint64
	claimant string
	opening  uint64
}

// New returns an empty log of a replica in term 0.
func New() *Log {
	return &Log{ids: map[string]uint64{}}
}

// Append adds replicated entries. It refuses lower terms, a gap and a mismatch
// at Previous, and truncates entries that diverge from the primary's.
func (l *Log) Append(request AppendRequest) AppendResult {
	changes, ok := l.Follow(request.Term, request.Claimant)
	if !ok {
		return AppendResult{}
	}
	if !l.matches(request.Previous) {
		return AppendResult{
			Changes:    changes,
			MatchLimit: min(request.Previous.Index-1, uint64(len(l.entries))),
		}
	}
	for _, e := range request.Entries {
		held, found := l.At(e.Index)
		if found && held.Term == e.Term {
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

// At returns the entry at an index, which counts from 1.
func (l *Log) At(index uint64) (Entry, bool) {
	if index == 0 || index > uint64(len(l.entries)) {
		return Entry{}, false
	}
	return l.entries[index-1], true
}

// Claimant returns the claimant for whom the highest term was accepted.
func (l *Log) Claimant() string {
	return l.claimant
}

// Clone returns an independent copy.
func (l *Log) Clone() *Log {
	c := *l
	c.entries = slices.Clone(l.entries)
	c.ids = make(map[string]uint64, len(l.ids))
	for id, index := range l.ids {
		c.ids[id] = index
	}
	return &c
}

// Commit adds an entry of the own term on a primary. The term and index are set
// by the log. It returns false if the member does not lead.
func (l *Log) Commit(entry Entry) (Entry, []Change, bool) {
	if !l.Leads() {
		return Entry{}, nil, false
	}
	entry.Term = l.fenced
	entry.Index = uint64(len(l.entries)) + 1
	return entry, []Change{l.apply(Appended{Entry: entry})}, true
}

// Entries returns at most limit entries from an index on.
func (l *Log) Entries(from uint64, limit int) []Entry {
	if from == 0 || from > uint64(len(l.entries)) {
		return nil
	}
	rest := l.entries[from-1:]
	return slices.Clone(rest[:min(limit, len(rest))])
}

// Fence accepts a term, once and for one claimant. A repetition by the same
// claimant is accepted again. A primary of a lower term leads no longer.
func (l *Log) Fence(term uint64, claimant string) ([]Change, bool) {
	switch {
	case term == 0 || term < l.fenced:
		return nil, false
	case term == l.fenced:
		return nil, claimant == l.claimant
	}
	change := l.apply(Fenced{
		Term:     term,
		Claimant: claimant,
	})
	return []Change{change}, true
}

// FencedTerm returns the highest term accepted.
func (l *Log) FencedTerm() uint64 {
	return l.fenced
}

// Find returns the entry that recorded a request id.
func (l *Log) Find(requestID string) (Entry, bool) {
	index, ok := l.ids[requestID]
	if !ok {
		return Entry{}, false
	}
	return l.At(index)
}

// Follow accepts a term from its primary, so that a member that missed the
// fence still refuses other claimants of the term. It returns false for a lower
// term and on the primary itself.
func (l *Log) Follow(term uint64, claimant string) ([]Change, bool) {
	changes, ok := l.Fence(term, claimant)
	return changes, ok && !l.Leads()
}

// Last returns the position of the last entry.
func (l *Log) Last() logpos.Position {
	if len(l.entries) == 0 {
		return logpos.Position{}
	}
	return l.entries[len(l.entries)-1].Position()
}

// Leads tells whether the member is the primary of its highest term.
func (l *Log) Leads() bool {
	return l.opening > 0
}

// Promote makes the member the primary of the term that it accepted for the
// claimant, and writes the opening entry of the term. Once entries of the term
// exist, nobody else can become its primary: neither a replica nor the former
// primary after a restart.
func (l *Log) Promote(term uint64, claimant string) ([]Change, bool) {
	if term == 0 || term != l.fenced || claimant != l.claimant {
		return nil, false
	}
	if l.Leads() {
		return nil, true
	}
	if l.Last().Term >= term {
		return nil, false
	}
	opening := Entry{
		Term:    term,
		Index:   uint64(len(l.entries)) + 1,
		Command: OpeningCommand,
	}
	change := l.apply(Appended{Entry: opening})
	l.opening = opening.Index
	return []Change{change}, true
}

// Replay applies a kept change when a member restarts. A restarted member is a
// replica in its highest accepted term.
func (l *Log) Replay(change Change) {
	l.apply(change)
}

// Restart returns the log as a restarted member finds it.
func (l *Log) Restart() *Log {
	c := l.Clone()
	c.opening = 0
	return c
}

// TermStart returns, on a primary, the position of the entry that opened its
// term; else the zero Position.
func (l *Log) TermStart() logpos.Position {
	e, _ := l.At(l.opening)
	return e.Position()
}

func (l *Log) apply(change Change) Change {
	switch c := change.(type) {
	case Appended:
		l.entries = append(l.entries, c.Entry)
		if c.Entry.RequestID != "" {
			l.ids[c.Entry.RequestID] = c.Entry.Index
		}
	case Fenced:
		l.fenced = c.Term
		l.claimant = c.Claimant
		l.opening = 0
	case Truncated:
		for _, e := range l.entries[c.Last:] {
			delete(l.ids, e.RequestID)
		}
		l.entries = l.entries[:c.Last:c.Last]
	}
	return change
}

func (l *Log) matches(previous logpos.Position) bool {
	if previous.Index == 0 {
		return true
	}
	e, ok := l.At(previous.Index)
	return ok && e.Term == previous.Term
}
