package caller

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"connectrpc.com/connect"

	"amaranthdock.dev/decision/refusal"
)

// reachedKey is the context key of the mark that a method has been reached.
type reachedKey struct{}

// withReached returns a context in which markReached sets the flag.
func withReached(ctx context.Context, reached *bool) context.Context {
	return context.WithValue(ctx, reachedKey{}, reached)
}

// markReached is an interceptor, which runs once a request has been decoded and
// before its method.
func markReached(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		// The library does not call the method once the deadline has passed.
		if reached, ok := ctx.Value(reachedKey{}).(*bool); ok && ctx.Err() == nil {
			*reached = true
		}
		return next(ctx, request)
	}
}

// early holds back an error that the protocol library answers before any method
// is reached, because it has no Refusal detail. An encoding that is not known
// passes, because the protocol wants the code unimplemented for it. Streams and
// gRPC answer with status 200 and are not held.
type early struct {
	http.ResponseWriter
	reached *bool
	held    *bytes.Buffer
}

// WriteHeader passes the status on, unless it is that of an early error.
func (e *early) WriteHeader(status int) {
	isJSON := strings.HasPrefix(e.Header().Get("Content-Type"), "application/json")
	if status != http.StatusOK && status != http.StatusNotImplemented && !*e.reached && isJSON {
		e.held = &bytes.Buffer{}
		return
	}
	e.ResponseWriter.WriteHeader(status)
}

// Write keeps the body of an early error.
func (e *early) Write(body []byte) (int, error) {
	if e.held != nil {
		return e.held.Write(body)
	}
	return e.ResponseWriter.Write(body)
}

// Unwrap gives http.ResponseController the writer below.
func (e *early) Unwrap() http.ResponseWriter { return e.ResponseWriter }

// Flush passes a part of a stream on.
func (e *early) Flush() {
	if flusher, ok := e.ResponseWriter.(http.Flusher); ok {
		flusher.Flush()
	}
}

// refusal returns the held error as a refusal, or nil if there is none.
func (e *early) refusal() *refusal.Error {
	if e.held == nil {
		return nil
	}
	var wire struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}
	if err := json.Unmarshal(e.held.Bytes(), &wire); err != nil {
		wire.Message = "the request could not be read"
	}
	if wire.Code == connect.CodeDeadlineExceeded.String() {
		return refusal.NewNotRun(refusal.DeadlineExceeded, "the deadline has passed")
	}
	field := ""
	if strings.HasPrefix(wire.Message, "parse timeout") {
		field = "Connect-Timeout-Ms"
	}
	return invalid(field, wire.Message)
}

// decompress unpacks a gzip body up to the limit, so that one that is too large
// once decompressed gets the same refusal as one that arrives too large.
func decompress(request *http.Request, body []byte, limit int64) ([]byte, error) {
	if request.Header.Get("Content-Encoding") != "gzip" {
		return body, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(body))
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(reader, limit+1))
	}
	if err != nil {
		return nil, invalid("Content-Encoding", "the request is not valid gzip")
	}
	request.Header.Del("Content-Encoding")
	return body, nil
}
