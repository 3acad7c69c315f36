package operator

import (
	"connectrpc.com/connect"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/proxy/peer"
)

// refusalError converts a refusal to a Connect error with a Refusal detail.
func (o *Operator) refusalError(code connect.Code, refused *refusal.Error) error {
	connectErr, err := peer.NewConnectError(code, refused.Message, refused, "", o.currentVersion())
	if err != nil {
		o.logger.Error(err, "Could not encode the refusal detail.")
	}
	return connectErr
}
