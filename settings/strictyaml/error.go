package strictyaml

import (
	"fmt"
	"strings"
)

// Error is one error in a file.
type Error struct {
	File string
	// Line and Column start at 1; 0 if the position is unknown.
	Line   int
	Column int
	// Field is the path of the field, e.g. workspaces[2].rate.
	Field   string
	Message string
}

// Error returns the position, the field and the message on one line.
func (e *Error) Error() string {
	position := fmt.Sprintf("%s:%d:%d", e.File, e.Line, e.Column)
	if e.Field == "" {
		return position + ": " + e.Message
	}
	return position + ": " + e.Field + ": " + e.Message
}

// Errors contains all errors in a file, in the order in which they were found.
type Errors []*Error

// Error returns one line for each error.
func (e Errors) Error() string {
	lines := make([]string, 0, len(e))
	for _, element := range e {
		lines = append(lines, element.Error())
	}
	return strings.Join(lines, "\n")
}

// ErrorOrNil returns e as an error, or nil if it is empty.
func (e Errors) ErrorOrNil() error {
	if len(e) == 0 {
		return nil
	}
	return e
}
