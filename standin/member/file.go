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

// record is one line of the log file; exactly one field is set.
type record struct {
	Entry    *memberlog.Entry     `json:"entry,omitempty"`
	Fence    *memberlog.Fenced    `json:"fence,omitempty"`
	Truncate *memberlog.Truncated `json:"truncate,omitempty"`
}

// file keeps the changes of a log. Each change is handed to the operating
// system before the call that made it is answered, so that it outlives a killed
// process; it is not synced, because the stand-in need not outlive its machine.
type file struct {
	handle *os.File
}

// openFile opens or creates a log file and replays it. A last line that a kill
// cut short was never answered and is removed. An empty path keeps nothing.
func openFile(path string, replay func(memberlog.Change)) (*file, error) {
	if path == "" {
		return &file{}, nil
	}
	handle, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "member: open the log file")
	}
	whole, err := readRecords(handle, replay)
	if err != nil {
		return nil, errors.Join(err, handle.Close())
	}
	if err := handle.Truncate(whole); err != nil {
		return nil, errors.Join(eris.Wrap(err, "member: remove a partial record"), handle.Close())
	}
	if _, err := handle.Seek(whole, io.SeekStart); err != nil {
		return nil, errors.Join(eris.Wrap(err, "member: seek in the log file"), handle.Close())
	}
	return &file{handle: handle}, nil
}

func (f *file) close() error {
	if f.handle == nil {
		return nil
	}
	return f.handle.Close()
}

// write adds changes to the file in one call.
func (f *file) write(changes []memberlog.Change) error {
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

// readRecords returns the length of the whole records.
func readRecords(handle io.Reader, replay func(memberlog.Change)) (int64, error) {
	reader := bufio.NewReader(handle)
	var whole int64
	for {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return whole, nil
		}
		if err != nil {
			return 0, eris.Wrap(err, "member: read the log file")
		}
		var r record
		if err := json.Unmarshal(line, &r); err != nil {
			return 0, eris.Wrapf(err, "member: the log file is damaged at byte %d", whole)
		}
		change, ok := toChange(r)
		if !ok {
			return 0, eris.Errorf("member: the log file has an empty record at byte %d", whole)
		}
		replay(change)
		whole += int64(len(line))
	}
}

func toChange(r record) (memberlog.Change, bool) {
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

func toRecord(change memberlog.Change) record {
	switch c := change.(type) {
	case memberlog.Appended:
		return record{Entry: &c.Entry}
	case memberlog.Fenced:
		return record{Fence: &c}
	case memberlog.Truncated:
		return record{Truncate: &c}
	default:
		return record{}
	}
}
