package commands

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
)

// traceLead is how long before a request changes of belief are shown: longer than a
// failover from its first sign to its end.
const traceLead = 3 * time.Second

// trace is the story of one request.
type trace struct {
	Request string     `json:"request"`
	Lines   []*logLine `json:"lines"`
	// FirstCause is the earliest line that explains a refusal; nil if the request was
	// served.
	FirstCause *logLine `json:"firstCause,omitempty"`
}

func (a *app) addTrace(k *kingpin.Application) {
	command := k.Command("trace", "Explain a request from the logs of the VMs.")
	request := command.Arg("request", "Id of the request.").Required().String()
	files := command.Arg("files", "Logs; the standard input if absent.").ExistingFiles()
	command.Action(a.action(func(context.Context) error {
		lines, err := readLogs(*files, os.Stdin)
		if err != nil {
			return err
		}
		found := traceOf(*request, lines)
		if len(found.Lines) == 0 {
			return eris.Errorf("no line of the logs names the request %q", *request)
		}
		return a.printTrace(found)
	}))
}

// traceOf collects the lines of a request, and the changes of belief about what it
// used, on the VMs that it touched.
func traceOf(request string, lines []*logLine) trace {
	found := trace{Request: request}
	database := ""
	names, vms := map[string]bool{}, map[string]bool{}
	var first, last time.Time
	var refused *logLine
	for _, l := range lines {
		if l.Request != request {
			continue
		}
		if first.IsZero() {
			first = l.Time
		}
		last = l.Time
		database = l.text("database")
		vms[l.VM] = true
		for _, field := range []string{"endpoint", "home"} {
			if name := l.text(field); name != "" {
				names[name] = true
				vms[name] = true
			}
		}
		if l.text("reason") != "" && l.text("outcome") != "" {
			refused = l
		}
	}
	if first.IsZero() {
		return found
	}
	for _, l := range lines {
		near := !l.Time.Before(first.Add(-traceLead)) && !l.Time.After(last)
		if l.Request == request || (near && vms[l.VM] && l.concerns(database, names)) {
			found.Lines = append(found.Lines, l)
		}
	}
	if refused != nil {
		found.FirstCause = firstCause(found.Lines, refused)
	}
	return found
}

// firstCause returns the earliest change of belief before a refusal that does not
// follow from a limit, a key or a queue, else the refusal itself.
func firstCause(lines []*logLine, refused *logLine) *logLine {
	switch refused.text("reason") {
	case "rateExceeded", "keyUnknown", "notAllowed", "invalidRequest":
		return refused
	}
	for _, l := range lines {
		if l.Request == "" && !l.Time.After(refused.Time) {
			return l
		}
	}
	return refused
}

func (a *app) printTrace(found trace) error {
	if a.output == outputJSON {
		return a.printJSON(found)
	}
	if err := a.printLines(found.Lines); err != nil {
		return err
	}
	if found.FirstCause == nil {
		return a.printText([]byte("The request was served.\n"))
	}
	c := found.FirstCause
	return a.printText([]byte(fmt.Sprintf("First cause: %s on %s at %s (%s)\n", c.Message, c.VM, c.Time.Format(time.RFC3339Nano), fieldText(c))))
}

// printLines prints log lines as a table.
func (a *app) printLines(lines []*logLine) error {
	rows := make([][]string, 0, len(lines))
	for _, l := range lines {
		rows = append(rows, []string{l.Time.Format("15:04:05.000000"), l.VM, l.Part, l.Message, fieldText(l)})
	}
	return a.print([]string{"TIME", "VM", "PART", "EVENT", "FIELDS"}, rows, lines)
}

// fieldText returns the fields as name=value, in the order of their names.
func fieldText(l *logLine) string {
	parts := make([]string, 0, len(l.Fields))
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		parts = append(parts, fmt.Sprintf("%s=%v", name, l.Fields[name]))
	}
	return strings.Join(parts, " ")
}
