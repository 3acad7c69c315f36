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

// traceLookback is how long before a request the trace includes state changes. It
// exceeds the duration of a failover, from the first symptom to the end.
const traceLookback = 3 * time.Second

// trace holds the log lines that explain one request.
type trace struct {
	Request string     `json:"request"`
	Lines   []*logLine `json:"lines"`
	// FirstCause is the earliest line that explains a refusal; nil if the request
	// succeeded.
	FirstCause *logLine `json:"firstCause,omitempty"`
}

func (a *app) addTrace(k *kingpin.Application) {
	command := k.Command("trace", "Explain a request from the logs of the VMs.")
	request := command.Arg("request", "ID of the request.").Required().String()
	files := command.Arg("files", "Log files; standard input if absent.").ExistingFiles()
	command.Action(a.commandAction(func(context.Context) error {
		lines, err := readLogs(*files, os.Stdin)
		if err != nil {
			return err
		}
		found := buildTrace(*request, lines)
		if len(found.Lines) == 0 {
			return eris.Errorf("the logs contain no line of request %q", *request)
		}
		return a.printTrace(found)
	}))
}

// buildTrace collects the lines of a request and, from the VMs that handled it, the
// state changes of its database, endpoints and VMs.
func buildTrace(request string, lines []*logLine) trace {
	found := trace{Request: request}
	database := ""
	names, vms := map[string]bool{}, map[string]bool{}
	var first, last time.Time
	var refusal *logLine
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
			refusal = l
		}
	}
	if first.IsZero() {
		return found
	}
	for _, l := range lines {
		inWindow := !l.Time.Before(first.Add(-traceLookback)) && !l.Time.After(last)
		if l.Request == request || (inWindow && vms[l.VM] && l.isStateChangeOf(database, names)) {
			found.Lines = append(found.Lines, l)
		}
	}
	if refusal != nil {
		found.FirstCause = findFirstCause(found.Lines, refusal)
	}
	return found
}

// findFirstCause returns the earliest state change before the refusal. It returns the
// refusal itself if there is none, or if the reason is a rate limit, a missing
// permission, an unknown key or an invalid request.
func findFirstCause(lines []*logLine, refusal *logLine) *logLine {
	switch refusal.text("reason") {
	case "rateExceeded", "keyUnknown", "notAllowed", "invalidRequest":
		return refusal
	}
	for _, l := range lines {
		if l.Request == "" && !l.Time.After(refusal.Time) {
			return l
		}
	}
	return refusal
}

func (a *app) printTrace(found trace) error {
	if a.output == outputJSON {
		return a.printJSON(found)
	}
	if err := a.printLogLines(found.Lines); err != nil {
		return err
	}
	if found.FirstCause == nil {
		return a.printText([]byte("The request succeeded.\n"))
	}
	cause := found.FirstCause
	return a.printText([]byte(fmt.Sprintf("First cause: %s on %s at %s (%s)\n", cause.Message, cause.VM, cause.Time.Format(time.RFC3339Nano), formatFields(cause))))
}

// printLogLines prints log lines as a table or as JSON.
func (a *app) printLogLines(lines []*logLine) error {
	rows := make([][]string, 0, len(lines))
	for _, l := range lines {
		rows = append(rows, []string{l.Time.Format("15:04:05.000000"), l.VM, l.Part, l.Message, formatFields(l)})
	}
	return a.printResult([]string{"TIME", "VM", "PART", "EVENT", "FIELDS"}, rows, lines)
}

// formatFields returns the fields as name=value pairs, sorted by name.
func formatFields(l *logLine) string {
	pairs := make([]string, 0, len(l.Fields))
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		pairs = append(pairs, fmt.Sprintf("%s=%v", name, l.Fields[name]))
	}
	return strings.Join(pairs, " ")
}
