package memberlog

import "amaranthdock.dev/decision/logpos"

// TermStartCommand is the command of the first entry of a term.
const TermStartCommand = "open"

// Write sets one key to a value.
type Write struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Entry is one entry of the log: the writes and the result of one committed request,
// or the start of a term.
type Entry struct {
	Term      uint64   `json:"term"`
	Index     uint64   `json:"index"`
	RequestID string   `json:"requestId"`
	Workspace string   `json:"workspace"`
	Command   string   `json:"command"`
	Arguments []string `json:"arguments,omitempty"`
	Writes    []Write  `json:"writes,omitempty"`
	// Rows and RowsAffected are returned again if a request with the same ID is
	// repeated.
	Rows         [][]string `json:"rows,omitempty"`
	RowsAffected int64      `json:"rowsAffected,omitempty"`
}

// Position returns the term and index of the entry.
func (e Entry) Position() logpos.Position {
	return logpos.Position{
		Term:  e.Term,
		Index: e.Index,
	}
}

// Change is a change of the log. Changes must be persisted, in order, before the
// response to the call that made them is sent.
type Change interface {
	change()
}

// Appended records that an entry was added at the end of the log.
type Appended struct {
	Entry Entry
}

// Fenced records that a term was accepted for a claimant.
type Fenced struct {
	Term     uint64
	Claimant string
}

// Truncated records that all entries after the index Last were removed.
type Truncated struct {
	Last uint64
}

func (Appended) change()  {}
func (Fenced) change()    {}
func (Truncated) change() {}
