package peer

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
	"net/rpc"

	"github.com/rotisserie/eris"
)

// errMessageTooLong means that a VM sends a message that exceeds the limit.
var errMessageTooLong = errors.New("the message of a VM is too long")

// serverCodec is the gob codec of net/rpc, except that it returns the memory of a response once it
// is encoded.
type serverCodec struct {
	connection io.ReadWriteCloser
	decoder    *gob.Decoder
	encoder    *gob.Encoder
	buffered   *bufio.Writer
}

var _ rpc.ServerCodec = (*serverCodec)(nil)

func newServerCodec(connection io.ReadWriteCloser) *serverCodec {
	buffered := bufio.NewWriter(connection)
	return &serverCodec{
		connection: connection,
		decoder:    gob.NewDecoder(connection),
		encoder:    gob.NewEncoder(buffered),
		buffered:   buffered,
	}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(request *rpc.Request) error {
	// net/rpc compares the error with io.EOF.
	return c.decoder.Decode(request)
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	return eris.Wrap(c.decoder.Decode(body), "decode the request of a VM")
}

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	if r, ok := body.(*RunResponse); ok && r.release != nil {
		defer r.release()
	}
	err := c.encoder.Encode(response)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.buffered.Flush()
	}
	if err != nil {
		// The stream is unusable after a part of a message.
		_ = c.Close()
	}
	return eris.Wrap(err, "send a response to a VM")
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error {
	return eris.Wrap(c.connection.Close(), "close a connection of a VM")
}

// frameLimiter follows the lengths of the messages of a gob stream and rejects those above a limit
// before the decoder gets memory for them.
type frameLimiter struct {
	limit int64
	// left is what remains of the current message.
	left int64
	// lengthLeft is the number of bytes that remain of its length, which are collected in length.
	lengthLeft int
	length     uint64
}

// add checks received bytes. A message begins with its length: one byte if it is less than 128, and
// otherwise the negated number of the bytes that follow, with the highest first.
func (f *frameLimiter) add(data []byte) error {
	for len(data) > 0 {
		if f.left > 0 {
			n := min(f.left, int64(len(data)))
			f.left -= n
			data = data[n:]
			continue
		}
		b := data[0]
		data = data[1:]
		switch {
		case f.lengthLeft > 0:
			f.length = f.length<<8 | uint64(b)
			f.lengthLeft--
		case b < 128:
			f.length = uint64(b)
		default:
			f.lengthLeft, f.length = -int(int8(b)), 0
		}
		if f.lengthLeft > 8 || (f.lengthLeft == 0 && f.length > uint64(f.limit)) {
			return errMessageTooLong
		}
		if f.lengthLeft == 0 {
			f.left = int64(f.length)
		}
	}
	return nil
}
