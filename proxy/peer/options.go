package peer

import (
	"net/http"

	"connectrpc.com/connect"
)

const (
	// compressMinBytes is the minimum size of responses that are compressed. Nearly
	// all messages are smaller, and compressing them would take longer than handling
	// them.
	compressMinBytes = 4 << 10
	// maxFrameBytes is the smallest maximum frame size that HTTP/2 allows. A client
	// allocates a buffer of this size (capped at 512 KiB) for each open stream.
	maxFrameBytes = 16 << 10
)

// EndpointClientOptions returns the options for clients of endpoints. They turn off gzip
// for responses, because these messages are small. Responses of the platform's
// service stay compressed, because the share record is large.
func EndpointClientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithAcceptCompression("gzip", nil, nil),
	}
}

// HandlerOptions returns the options for all Connect handlers.
func HandlerOptions() connect.HandlerOption {
	return connect.WithCompressMinBytes(compressMinBytes)
}

// ServerHTTP2Config returns the HTTP/2 configuration for all servers.
func ServerHTTP2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxReadFrameSize: maxFrameBytes,
	}
}
