package commands

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// The output formats.
const (
	outputJSON  = "json"
	outputTable = "table"
)

// printResult writes a table of rows below a header, or the value as JSON, depending
// on --output.
func (a *app) printResult(header []string, rows [][]string, value any) error {
	if a.output == outputJSON {
		return a.printJSON(value)
	}
	writer := tabwriter.NewWriter(a.config.Output, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return writer.Flush()
}

func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.config.Output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printText writes text unchanged.
func (a *app) printText(text []byte) error {
	_, err := a.config.Output.Write(text)
	return err
}
