package commands

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// fixedFields are left out of logLine.Fields. All but the level, which is dropped, have a
// struct field of their own.
var fixedFields = []string{"level", "time", "vm", "part", "msg", "request"}

// logLine is one parsed line of a proxy's log.
type logLine struct {
	Time    time.Time      `json:"time"`
	VM      string         `json:"vm"`
	Part    string         `json:"part,omitempty"`
	Message string         `json:"message"`
	Request string         `json:"request,omitempty"`
	Fields  map[string]any `json:"fields,omitempty"`
}

// text returns the string value of a field; empty if the field is absent or not a
// string.
func (l *logLine) text(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// isStateChangeOf reports whether the line belongs to no request and is about the
// database or one of the named endpoints and VMs.
func (l *logLine) isStateChangeOf(database string, names map[string]bool) bool {
	if l.Request != "" {
		return false
	}
	return (database != "" && l.text("database") == database) || names[l.text("endpoint")] || names[l.text("peer")]
}

// readLogs reads the log lines of files, or of input if there are no files, sorted by
// time. It skips text before the JSON object of a line, and lines without a valid
// object.
func readLogs(files []string, input io.Reader) ([]*logLine, error) {
	var lines []*logLine
	if len(files) == 0 {
		return sortByTime(scanLog(lines, input))
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, eris.Wrap(err, "open the log")
		}
		lines, err = scanLog(lines, file)
		closeErr := file.Close()
		if err != nil {
			return nil, eris.Wrapf(err, "read %s", name)
		}
		if closeErr != nil {
			return nil, eris.Wrapf(closeErr, "close %s", name)
		}
	}
	return sortByTime(lines, nil)
}

func sortByTime(lines []*logLine, err error) ([]*logLine, error) {
	slices.SortStableFunc(lines, func(a, b *logLine) int { return a.Time.Compare(b.Time) })
	return lines, err
}

func scanLog(lines []*logLine, source io.Reader) ([]*logLine, error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		start := strings.IndexByte(scanner.Text(), '{')
		if start < 0 {
			continue
		}
		if line, ok := parseLogLine(scanner.Text()[start:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, eris.Wrap(scanner.Err(), "read the log")
}

func parseLogLine(text string) (*logLine, bool) {
	var fields map[string]any
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(&fields); err != nil {
		return nil, false
	}
	line := &logLine{Fields: fields}
	line.VM = line.text("vm")
	line.Part = line.text("part")
	line.Message = line.text("msg")
	line.Request = line.text("request")
	timestamp, err := time.Parse(time.RFC3339Nano, line.text("time"))
	if err != nil || line.Message == "" {
		return nil, false
	}
	line.Time = timestamp
	for _, name := range fixedFields {
		delete(fields, name)
	}
	return line, true
}
