package peer

import (
	"bytes"
	"encoding/gob"
	"testing"
)

// FuzzFrameLimiter guards against a message that passes the limit, and against one within the limit
// that is rejected, however the stream is cut.
func FuzzFrameLimiter(f *testing.F) {
	const limit = 4096
	f.Add([]byte{5, 1, 2, 3, 4, 5, 0}, uint8(1))
	f.Add([]byte{0xfe, 0x10, 0x00}, uint8(2))
	f.Add([]byte{0xfc, 0xff, 0xff, 0xff, 0xff}, uint8(3))
	f.Add([]byte{0xf7, 1, 1, 1, 1, 1, 1, 1, 1, 1}, uint8(7))
	f.Fuzz(func(t *testing.T, data []byte, part uint8) {
		limiter := &frameLimiter{limit: limit}
		for rest := data; len(rest) > 0; {
			n := min(len(rest), int(part)+1)
			if err := limiter.add(rest[:n]); err != nil {
				break
			}
			if limiter.left > limit || limiter.left < 0 {
				t.Fatalf("%d bytes are left of a message", limiter.left)
			}
			rest = rest[n:]
		}
		// A stream of the encoder with the data as text.
		var stream bytes.Buffer
		encoder := gob.NewEncoder(&stream)
		for range 2 {
			if err := encoder.Encode(&RunRequest{Text: string(data)}); err != nil {
				t.Fatal(err)
			}
		}
		limiter = &frameLimiter{limit: int64(len(data)) + 1024}
		for rest := stream.Bytes(); len(rest) > 0; {
			n := min(len(rest), int(part)+1)
			if err := limiter.add(rest[:n]); err != nil {
				t.Fatal(err)
			}
			rest = rest[n:]
		}
		if limiter.left != 0 || limiter.lengthLeft != 0 {
			t.Fatal("the end of the last message was not found")
		}
	})
}
