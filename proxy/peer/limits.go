package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net/http"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protowire"

	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/api/amaranthdock/peer/v1/peerv1connect"
	"amaranthdock.dev/decision/memory"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/budget"
	"amaranthdock.dev/proxy/reqmem"
	"amaranthdock.dev/timer"
)

const (
	// prefixBytes is the size of the prefix of a message in a stream: a byte of flags and the length.
	prefixBytes = 5
	// forwardCopies is how often a forwarded statement is in memory while it runs: as it was
	// received, as a message, and as it is sent to the endpoint.
	forwardCopies = 3
	// workspaceField is the number of the field workspace of ForwardRequest.
	workspaceField = 2
)

// LimitConfig configures LimitForwards.
type LimitConfig struct {
	// Budget is the budget; nil for no limit.
	Budget *budget.Budget
	Timer  timer.Service
	// MaxMessageBytes is the limit of the library for a message.
	MaxMessageBytes int64
}

// LimitForwards returns a handler that takes the memory of a forwarded statement before it reads
// more than the first part of it. It does not wait for memory, because what was sent and is not read
// counts for the connection, which also carries the messages of gossip.
func LimitForwards(config LimitConfig, next http.Handler) http.Handler {
	if config.Budget == nil {
		return next
	}
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		if request.URL.Path != peerv1connect.PeerServiceForwardProcedure {
			next.ServeHTTP(response, request)
			return
		}
		held := reqmem.New(reqmem.Config{
			Budget:   config.Budget,
			Timer:    config.Timer,
			Response: response,
		})
		defer held.Close()
		body, refused := config.readForward(request.Body, held)
		ctx := held.WithContext(request.Context())
		if refused != nil {
			ctx = context.WithValue(ctx, refusedKey{}, refused)
		}
		request = request.WithContext(ctx)
		request.Body = io.NopCloser(body)
		next.ServeHTTP(held.Writer(response), request)
	})
}

// readForward reads a message with its prefix. If it is refused, an empty message is returned.
func (c LimitConfig) readForward(body io.Reader, held *reqmem.Request) (io.Reader, *refusal.Error) {
	first, err := io.ReadAll(io.LimitReader(body, prefixBytes+budget.FreeBytes))
	if err != nil || len(first) < prefixBytes+budget.FreeBytes {
		held.EndBody()
		return io.MultiReader(bytes.NewReader(first), body), nil
	}
	length := int64(binary.BigEndian.Uint32(first[1:prefixBytes]))
	if first[0] != 0 {
		// The length of a compressed message is not known.
		length = c.MaxMessageBytes
	}
	if length > c.MaxMessageBytes {
		held.EndBody()
		return io.MultiReader(bytes.NewReader(first), body), nil
	}
	empty := bytes.NewReader(make([]byte, prefixBytes))
	if !held.TryTakeBody(workspaceOf(first[prefixBytes:]), length*forwardCopies) {
		held.EndBody()
		c.Budget.Count("noMemory")
		return empty, refusal.NewNotRun(refusal.Overloaded, "the home VM has no memory left for the statement")
	}
	message := bytes.NewBuffer(make([]byte, 0, prefixBytes+length+bytes.MinRead))
	message.Write(first)
	_, err = message.ReadFrom(io.LimitReader(held.Body(body), prefixBytes+length-int64(len(first))))
	if !held.EndBody() {
		return empty, refusal.NewNotRun(refusal.Overloaded, "the statement was ended, because it stalled and others need its memory")
	}
	if err != nil {
		return io.MultiReader(message, errorReader{err}), nil
	}
	return message, nil
}

// errorReader is a reader that fails.
type errorReader struct{ err error }

// Read implements io.Reader.
func (r errorReader) Read([]byte) (int, error) { return 0, r.err }

// workspaceOf returns the group of the workspace in the first part of a ForwardRequest. The fields
// before the statement are short.
func workspaceOf(message []byte) string {
	for len(message) > 0 {
		number, kind, n := protowire.ConsumeTag(message)
		if n < 0 {
			break
		}
		message = message[n:]
		if number == workspaceField && kind == protowire.BytesType {
			workspace, n := protowire.ConsumeBytes(message)
			if n < 0 {
				break
			}
			return string(workspace)
		}
		if n = protowire.ConsumeFieldValue(number, kind, message); n < 0 {
			break
		}
		message = message[n:]
	}
	return memory.Anonymous
}

// refusedKey is the key of the refusal of a forwarded statement in a context.
type refusedKey struct{}

// Forward runs a step on this VM, unless there was no memory for it.
func (h *Handler) Forward(ctx context.Context, request *peerv1.ForwardRequest, stream *connect.ServerStream[peerv1.ForwardResponse]) error {
	if refused, ok := ctx.Value(refusedKey{}).(*refusal.Error); ok {
		return stream.Send(&peerv1.ForwardResponse{Result: EncodeRefusal(refused)})
	}
	return h.Forwarding.Forward(ctx, request, stream)
}

// chargeKey is the key of a charge in a context.
type chargeKey struct{}

// Charge takes the memory of a message with a length in bytes, before it is read.
type Charge func(length int64) error

// WithCharge returns a context for calls over a client of NewHTTPClient whose response messages are
// charged. Messages of up to budget.FreeBytes are not.
func WithCharge(ctx context.Context, charge Charge) context.Context {
	return context.WithValue(ctx, chargeKey{}, charge)
}

// chargedTransport charges the messages of streams.
type chargedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t chargedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if charge, ok := request.Context().Value(chargeKey{}).(Charge); ok && err == nil {
		response.Body = &chargedBody{
			ReadCloser: response.Body,
			charge:     charge,
		}
	}
	return response, err
}

// chargedBody is a body of messages with prefixes.
type chargedBody struct {
	io.ReadCloser
	charge Charge
	// prefix is what was received of the prefix of a message, left what remains of the message.
	prefix []byte
	left   int64
	err    error
}

// Read implements io.Reader. It reads at most to the end of a prefix or of a message.
func (b *chargedBody) Read(data []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.left > 0 {
		n, err := b.ReadCloser.Read(data[:min(int64(len(data)), b.left)])
		b.left -= int64(n)
		return n, err
	}
	n, err := b.ReadCloser.Read(data[:min(len(data), prefixBytes-len(b.prefix))])
	b.prefix = append(b.prefix, data[:n]...)
	if len(b.prefix) == prefixBytes {
		b.beginMessage()
	}
	return n, err
}

// beginMessage charges a message whose prefix was received.
func (b *chargedBody) beginMessage() {
	b.left = int64(binary.BigEndian.Uint32(b.prefix[1:]))
	b.prefix = b.prefix[:0]
	if b.left > budget.FreeBytes {
		b.err = b.charge(b.left)
	}
}
