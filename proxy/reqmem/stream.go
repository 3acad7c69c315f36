package reqmem

import (
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/engine/budget"
)

var errEnded = eris.New("the request was ended, because others need its memory")

// Body returns a reader of the body that records progress.
func (r *Request) Body(body io.Reader) io.Reader {
	if r == nil {
		return body
	}
	return &progressReader{
		Reader:  body,
		request: r,
	}
}

// progressReader records the progress of a body.
type progressReader struct {
	io.Reader
	request  *Request
	received budget.ProgressCounter
}

// Read implements io.Reader.
func (p *progressReader) Read(data []byte) (int, error) {
	n, err := p.Reader.Read(data)
	if p.received.Add(n) {
		p.request.progress()
	}
	return n, err
}

// Writer returns a writer of the response that records progress.
func (r *Request) Writer(response http.ResponseWriter) http.ResponseWriter {
	if r == nil {
		return response
	}
	return &progressWriter{
		ResponseWriter: response,
		request:        r,
	}
}

// progressWriter records the progress of a response. HTTP/2 passes on what the caller allows only,
// so that a write waits for a caller that does not read.
type progressWriter struct {
	http.ResponseWriter
	request *Request
	sent    budget.ProgressCounter
}

// Write implements io.Writer.
func (p *progressWriter) Write(data []byte) (int, error) {
	if !p.request.beginSending() {
		return 0, errEnded
	}
	defer p.request.endSending()
	written := 0
	for written < len(data) {
		next := min(written+p.sent.Left(), len(data))
		n, err := p.ResponseWriter.Write(data[written:next])
		written += n
		if p.sent.Add(n) {
			p.request.progress()
		}
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Flush implements http.Flusher.
func (p *progressWriter) Flush() {
	flusher, ok := p.ResponseWriter.(http.Flusher)
	if !ok || !p.request.beginSending() {
		return
	}
	defer p.request.endSending()
	flusher.Flush()
}

// Unwrap returns the underlying writer for http.ResponseController.
func (p *progressWriter) Unwrap() http.ResponseWriter { return p.ResponseWriter }
