package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	"amaranthdock.dev/decision/memory"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/budget"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/proxy/reqmem"
)

const (
	// bodyCopies is how often a long request is in memory while it runs: as it was received, as a
	// message, and as it is forwarded.
	bodyCopies = 3
	// memoryWait limits the wait for the memory of a long request. Requests that wait longer would
	// miss their deadlines.
	memoryWait = 3 * time.Second
)

// group returns the workspace whose memory a request takes. A key that is not known counts as none.
func (c *Caller) group(header http.Header) string {
	snapshot := c.config.Configuration.Current()
	if snapshot == nil {
		return memory.Anonymous
	}
	p, err := authenticate(snapshot, header.Clone(), "")
	if err != nil {
		return memory.Anonymous
	}
	return p.workspace
}

// readLimited reads a body up to the limit and one byte more. Beyond the first part it reads on
// only with the memory for the longest request, of which it keeps what the body needs.
func (c *Caller) readLimited(request *http.Request, limit int64, held *reqmem.Request) ([]byte, error) {
	if held == nil {
		return io.ReadAll(io.LimitReader(request.Body, limit+1))
	}
	first, err := io.ReadAll(io.LimitReader(request.Body, budget.FreeBytes))
	if err != nil || len(first) < budget.FreeBytes {
		return first, err
	}
	longest := (limit + 1) * bodyCopies
	if err := held.TakeBody(c.group(request.Header), longest, c.config.Timer.Now().Add(memoryWait)); err != nil {
		c.config.Budget.Count("noMemory")
		return nil, refusal.NewNotRun(refusal.Overloaded, "this VM has no memory left for the request")
	}
	body := bytes.NewBuffer(make([]byte, 0, limit+1+bytes.MinRead))
	body.Write(first)
	_, err = body.ReadFrom(io.LimitReader(held.Body(request.Body), limit+1-int64(len(first))))
	held.ReleaseBody(longest - int64(body.Len())*bodyCopies)
	return body.Bytes(), err
}

// rowMemory takes the memory of the rows of a response that is sent as a whole.
type rowMemory struct {
	held   *reqmem.Request
	group  string
	length int64
	// refused is set once there was no memory, or the rows were too long.
	refused *refusal.Error
}

// add takes the memory of rows, as far as it was not taken before they were received.
func (m *rowMemory) add(rows []*callerv1.Row) error {
	if m.held == nil {
		return nil
	}
	if m.refused != nil {
		return m.refused
	}
	for _, row := range rows {
		m.length += int64(proto.Size(row))
	}
	if err := m.held.HoldReceived(m.group, m.length); err != nil {
		m.refused = refusal.NewUnknown(refusal.Overloaded, "this VM has no memory left for the rows")
		return m.refused
	}
	return nil
}

// collectRows returns a function that collects the rows of a response that is sent as a whole.
func (c *Caller) collectRows(ctx context.Context, r *request, rows *[]*callerv1.Row) peer.SendRows {
	m := &rowMemory{
		held:  reqmem.FromContext(ctx),
		group: r.workspace,
	}
	return func(more []*callerv1.Row) error {
		if err := m.add(more); err != nil {
			return err
		}
		*rows = append(*rows, more...)
		return nil
	}
}
