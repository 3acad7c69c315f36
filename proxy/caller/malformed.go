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

// methodReachedKey is the context key of the flag that markMethodReached sets.
type methodReachedKey struct{}

// withMethodReached returns a context with the flag that markMethodReached sets.
func withMethodReached(ctx context.Context, methodReached *bool) context.Context {
	return context.WithValue(ctx, methodReachedKey{}, methodReached)
}

// markMethodReached is an interceptor that sets the flag when the service method is
// about to be called, after the request has been decoded.
func markMethodReached(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		// The library does not call the method if the deadline has passed.
		if methodReached, ok := ctx.Value(methodReachedKey{}).(*bool); ok && ctx.Err() == nil {
			*methodReached = true
		}
		return next(ctx, request)
	}
}

// earlyErrorWriter is a response writer that intercepts the errors with which the
// protocol library responds before it calls a service method, because they have no
// Refusal detail. The error for an unknown encoding is not intercepted, because the
// protocol requires the code unimplemented for it. Errors of streams and of gRPC have
// the status 200 and are not intercepted either.
type earlyErrorWriter struct {
	http.ResponseWriter
	methodReached *bool
	// body is the body of the intercepted error; nil if there is none.
	body *bytes.Buffer
}

// WriteHeader writes the status unless it belongs to an error to intercept.
func (e *earlyErrorWriter) WriteHeader(status int) {
	isJSON := strings.HasPrefix(e.Header().Get("Content-Type"), "application/json")
	if status != http.StatusOK && status != http.StatusNotImplemented && !*e.methodReached && isJSON {
		e.body = &bytes.Buffer{}
		return
	}
	e.ResponseWriter.WriteHeader(status)
}

// Write writes the body, or keeps it if the error is intercepted.
func (e *earlyErrorWriter) Write(body []byte) (int, error) {
	if e.body != nil {
		return e.body.Write(body)
	}
	return e.ResponseWriter.Write(body)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (e *earlyErrorWriter) Unwrap() http.ResponseWriter { return e.ResponseWriter }

// Flush flushes the underlying writer.
func (e *earlyErrorWriter) Flush() {
	if flusher, ok := e.ResponseWriter.(http.Flusher); ok {
		flusher.Flush()
	}
}

// refusal converts the intercepted error to a refusal; nil if there is none.
func (e *earlyErrorWriter) refusal() *refusal.Error {
	if e.body == nil {
		return nil
	}
	var wire struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}
	if err := json.Unmarshal(e.body.Bytes(), &wire); err != nil {
		wire.Message = "the request could not be read"
	}
	if wire.Code == connect.CodeDeadlineExceeded.String() {
		return refusal.NewNotRun(refusal.DeadlineExceeded, "the deadline has passed")
	}
	field := ""
	if strings.HasPrefix(wire.Message, "parse timeout") {
		field = "Connect-Timeout-Ms"
	}
	return invalidRequest(field, wire.Message)
}

// decompress decompresses a gzip body up to the limit, so that a body that is too large
// when decompressed gets the same refusal as one that is too large as received.
func decompress(request *http.Request, body []byte, limit int64) ([]byte, error) {
	if request.Header.Get("Content-Encoding") != "gzip" {
		return body, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(body))
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(reader, limit+1))
	}
	if err != nil {
		return nil, invalidRequest("Content-Encoding", "the request is not valid gzip")
	}
	request.Header.Del("Content-Encoding")
	return body, nil
}
