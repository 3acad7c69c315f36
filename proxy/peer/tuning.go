package peer

import (
	"net/http"

	"connectrpc.com/connect"
)

const (
	// compressMinBytes is the size from which answers are compressed. Nearly all
	// messages are below it, where compression takes more time than the message.
	compressMinBytes = 4 << 10
	// maxFrameBytes is the least that HTTP/2 allows. A client keeps a buffer of
	// this size, at most 512 KiB, for each open stream.
	maxFrameBytes = 16 << 10
)

// ClientOptions are for the clients of members, whose messages are small. The
// platform's answers stay compressed, because the share record is large.
func ClientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithAcceptCompression("gzip", nil, nil),
	}
}

// HandlerOptions are for all handlers.
func HandlerOptions() connect.HandlerOption {
	return connect.WithCompressMinBytes(compressMinBytes)
}

// ServerHTTP2 is for all servers.
func ServerHTTP2() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxReadFrameSize: maxFrameBytes,
	}
}
