package operator

import (
	"connectrpc.com/connect"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/proxy/peer"
)

// fail returns a refusal as an error of the protocol, with a Refusal detail.
func (o *Operator) fail(code connect.Code, refused *refusal.Error) error {
	failed, err := peer.NewConnectError(code, refused.Message, refused, "", o.currentVersion())
	if err != nil {
		o.logger.Error(err, "The refusal detail was not encoded.")
	}
	return failed
}
