package memberlog

import "amaranthdock.dev/decision/logpos"

// OpeningCommand is the command of the entry that opens a term.
const OpeningCommand = "open"

// Write sets one key to a value.
type Write struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Entry is one record of the log: the writes of one committed request and its
// result, or the opening of a term.
type Entry struct {
	Term      uint64   `json:"term"`
	Index     uint64   `json:"index"`
	RequestID string   `json:"requestId"`
	Workspace string   `json:"workspace"`
	Command   string   `json:"command"`
	Arguments []string `json:"arguments,omitempty"`
	Writes    []Write  `json:"writes,omitempty"`
	// Rows and RowsAffected are returned again when the request id is repeated.
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

// Change is a change of the log that has to be kept durably, in order, before
// the call that made it is answered.
type Change interface {
	change()
}

// Appended adds an entry at the end.
type Appended struct {
	Entry Entry
}

// Fenced accepts a term for a claimant.
type Fenced struct {
	Term     uint64
	Claimant string
}

// Truncated removes all entries after an index.
type Truncated struct {
	Last uint64
}

func (Appended) change()  {}
func (Fenced) change()    {}
func (Truncated) change() {}
