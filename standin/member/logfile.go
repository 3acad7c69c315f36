package member

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/standin/memberlog"
)

// logRecord is one line of the log file. Exactly one field is set.
type logRecord struct {
	Entry    *memberlog.Entry     `json:"entry,omitempty"`
	Fence    *memberlog.Fenced    `json:"fence,omitempty"`
	Truncate *memberlog.Truncated `json:"truncate,omitempty"`
}

// logFile persists the changes of a log. Each change is written before the response
// to the call that made it is sent, so that it survives a kill of the process. The
// file is not synced, because the stand-in need not survive a crash of the machine.
type logFile struct {
	handle *os.File
}

// openLogFile opens or creates a log file and replays its changes. It removes a last
// line that is incomplete because the process was killed; no response was sent for
// that change. An empty path disables the log file.
func openLogFile(path string, replay func(memberlog.Change)) (*logFile, error) {
	if path == "" {
		return &logFile{}, nil
	}
	handle, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "member: open the log file")
	}
	validLength, err := readRecords(handle, replay)
	if err != nil {
		return nil, errors.Join(err, handle.Close())
	}
	if err := handle.Truncate(validLength); err != nil {
		return nil, errors.Join(eris.Wrap(err, "member: remove a partial record"), handle.Close())
	}
	if _, err := handle.Seek(validLength, io.SeekStart); err != nil {
		return nil, errors.Join(eris.Wrap(err, "member: seek in the log file"), handle.Close())
	}
	return &logFile{handle: handle}, nil
}

func (f *logFile) close() error {
	if f.handle == nil {
		return nil
	}
	return f.handle.Close()
}

// write appends changes to the file in one system call.
func (f *logFile) write(changes []memberlog.Change) error {
	if f.handle == nil || len(changes) == 0 {
		return nil
	}
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	for _, change := range changes {
		if err := encoder.Encode(toRecord(change)); err != nil {
			return eris.Wrap(err, "member: encode a record")
		}
	}
	if _, err := f.handle.Write(lines.Bytes()); err != nil {
		return eris.Wrap(err, "member: write the log file")
	}
	return nil
}

// readRecords replays the changes of all complete records and returns the length of
// these records in bytes.
func readRecords(handle io.Reader, replay func(memberlog.Change)) (int64, error) {
	reader := bufio.NewReader(handle)
	var validLength int64
	for {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return validLength, nil
		}
		if err != nil {
			return 0, eris.Wrap(err, "member: read the log file")
		}
		var r logRecord
		if err := json.Unmarshal(line, &r); err != nil {
			return 0, eris.Wrapf(err, "member: the log file is damaged at byte %d", validLength)
		}
		change, ok := toChange(r)
		if !ok {
			return 0, eris.Errorf("member: the log file has an empty record at byte %d", validLength)
		}
		replay(change)
		validLength += int64(len(line))
	}
}

func toChange(r logRecord) (memberlog.Change, bool) {
	switch {
	case r.Entry != nil:
		return memberlog.Appended{Entry: *r.Entry}, true
	case r.Fence != nil:
		return *r.Fence, true
	case r.Truncate != nil:
		return *r.Truncate, true
	default:
		return nil, false
	}
}

func toRecord(change memberlog.Change) logRecord {
	switch c := change.(type) {
	case memberlog.Appended:
		return logRecord{Entry: &c.Entry}
	case memberlog.Fenced:
		return logRecord{Fence: &c}
	case memberlog.Truncated:
		return logRecord{Truncate: &c}
	default:
		return logRecord{}
	}
}
