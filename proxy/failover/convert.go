package failover

import (
	"google.golang.org/protobuf/types/known/durationpb"

	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	"amaranthdock.dev/api/amaranthdock/endpoint/v1/endpointv1connect"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/promotion"
	"amaranthdock.dev/decision/routing"
)

type endpointClient = endpointv1connect.EndpointServiceClient

// FromView returns the message of a view.
func FromView(view routing.DatabaseView) *peerv1.DatabaseView {
	message := &peerv1.DatabaseView{
		Database: view.Database,
		Term:     view.Term,
		Primary:  view.Primary,
	}
	for _, m := range view.Members {
		member := &peerv1.MemberView{
			Endpoint:  m.Endpoint,
			Reachable: m.Reachable,
			Last: &endpointv1.Position{
				Term:  m.Last.Term,
				Index: m.Last.Index,
			},
			QueueWait: durationpb.New(m.QueueWait),
			Role:      fromRole(m.Role),
		}
		if m.AgeKnown {
			member.Age = durationpb.New(m.Age)
		}
		message.Members = append(message.Members, member)
	}
	return message
}

// ToView returns the view in a message.
func ToView(message *peerv1.DatabaseView) routing.DatabaseView {
	view := routing.DatabaseView{
		Database: message.GetDatabase(),
		Term:     message.GetTerm(),
		Primary:  message.GetPrimary(),
	}
	for _, m := range message.GetMembers() {
		view.Members = append(view.Members, routing.MemberView{
			Endpoint:  m.GetEndpoint(),
			Role:      toRole(m.GetRole()),
			Reachable: m.GetReachable(),
			Last:      toPosition(m.GetLast()),
			Age:       m.GetAge().AsDuration(),
			AgeKnown:  m.GetAge() != nil,
			QueueWait: m.GetQueueWait().AsDuration(),
		})
	}
	return view
}

// fromStatus takes the name from the configuration, because terms and positions
// belong to the address that was asked.
func fromStatus(endpoint string, message *endpointv1.Status) promotion.Status {
	return promotion.Status{
		Endpoint:           endpoint,
		Role:               toRole(message.GetRole()),
		FencedTerm:         message.GetFencedTerm(),
		Last:               toPosition(message.GetLast()),
		TermStart:          toPosition(message.GetTermStart()),
		ReplicationSilence: message.GetReplicationSilence().AsDuration(),
	}
}

func fromRole(role routing.Role) endpointv1.Role {
	switch role {
	case routing.RolePrimary:
		return endpointv1.Role_ROLE_PRIMARY
	case routing.RoleReplica:
		return endpointv1.Role_ROLE_REPLICA
	default:
		return endpointv1.Role_ROLE_UNSPECIFIED
	}
}

func toPosition(message *endpointv1.Position) logpos.Position {
	return logpos.Position{
		Term:  message.GetTerm(),
		Index: message.GetIndex(),
	}
}

func toRole(role endpointv1.Role) routing.Role {
	switch role {
	case endpointv1.Role_ROLE_PRIMARY:
		return routing.RolePrimary
	case endpointv1.Role_ROLE_REPLICA:
		return routing.RoleReplica
	default:
		return routing.RoleUnknown
	}
}
