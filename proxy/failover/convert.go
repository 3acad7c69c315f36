package failover

import (
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	"amaranthdock.dev/api/amaranthdock/endpoint/v1/endpointv1connect"
	"amaranthdock.dev/decision/promotion"
	"amaranthdock.dev/proxy/peer"
)

type endpointClient = endpointv1connect.EndpointServiceClient

// decodeStatus converts a status. The endpoint name is the one from the configuration,
// because terms and positions belong to the address that was queried.
func decodeStatus(endpoint string, message *endpointv1.Status) promotion.Status {
	return promotion.Status{
		Endpoint:           endpoint,
		Role:               peer.DecodeRole(message.GetRole()),
		FencedTerm:         message.GetFencedTerm(),
		LastPosition:       peer.DecodePosition(message.GetLast()),
		TermStart:          peer.DecodePosition(message.GetTermStart()),
		ReplicationSilence: message.GetReplicationSilence().AsDuration(),
	}
}
