package strictyaml

import (
	"fmt"
	"strings"
)

// Error is one fault of a file.
type Error struct {
	File string
	// Line and Column count from 1; 0 if the place is unknown.
	Line   int
	Column int
	// Field is the path of the field, e.g. workspaces[2].rate.
	Field   string
	Message string
}

// Error returns the place, the field and the message on one line.
func (e *Error) Error() string {
	place := fmt.Sprintf("%s:%d:%d", e.File, e.Line, e.Column)
	if e.Field == "" {
		return place + ": " + e.Message
	}
	return place + ": " + e.Field + ": " + e.Message
}

// Errors are all faults of a file, in the order in which they were found.
type Errors []*Error

// Error returns one line for each fault.
func (e Errors) Error() string {
	lines := make([]string, 0, len(e))
	for _, fault := range e {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// Or returns the faults as an error, or nil if there are none.
func (e Errors) Or() error {
	if len(e) == 0 {
		return nil
	}
	return e
}
