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

// maxLogLine is the longest log line that is read, in bytes.
const maxLogLine = 1 << 20

// fixedFields of a log line, which are not repeated among the others.
var fixedFields = []string{"level", "time", "vm", "part", "msg", "request"}

// logLine is one line of a process's log.
type logLine struct {
	Time    time.Time      `json:"time"`
	VM      string         `json:"vm"`
	Part    string         `json:"part,omitempty"`
	Message string         `json:"message"`
	Request string         `json:"request,omitempty"`
	Fields  map[string]any `json:"fields,omitempty"`
}

// text returns a field as text; empty if the line has none.
func (l *logLine) text(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// concerns tells whether the line changes what its VM believes of a database or of
// one of the named endpoints and VMs.
func (l *logLine) concerns(database string, names map[string]bool) bool {
	if l.Request != "" {
		return false
	}
	return (database != "" && l.text("database") == database) || names[l.text("endpoint")] || names[l.text("peer")]
}

// readLogs reads the lines of files, or of the standard input if there are none, in
// the order of their times. Text before the JSON object of a line is passed over, and
// so are lines without one.
func readLogs(files []string, input io.Reader) ([]*logLine, error) {
	var lines []*logLine
	if len(files) == 0 {
		return sorted(scanLog(lines, input))
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, eris.Wrap(err, "open the log")
		}
		lines, err = scanLog(lines, file)
		closing := file.Close()
		if err != nil {
			return nil, eris.Wrapf(err, "read %s", name)
		}
		if closing != nil {
			return nil, eris.Wrapf(closing, "close %s", name)
		}
	}
	return sorted(lines, nil)
}

func sorted(lines []*logLine, err error) ([]*logLine, error) {
	slices.SortStableFunc(lines, func(a, b *logLine) int { return a.Time.Compare(b.Time) })
	return lines, err
}

func scanLog(lines []*logLine, source io.Reader) ([]*logLine, error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		at := strings.IndexByte(scanner.Text(), '{')
		if at < 0 {
			continue
		}
		if line, ok := parseLog(scanner.Text()[at:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, eris.Wrap(scanner.Err(), "read the log")
}

func parseLog(text string) (*logLine, bool) {
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
	at, err := time.Parse(time.RFC3339Nano, line.text("time"))
	if err != nil || line.Message == "" {
		return nil, false
	}
	line.Time = at
	for _, name := range fixedFields {
		delete(fields, name)
	}
	return line, true
}
