package peer

import (
	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/types/known/durationpb"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
)

// DecodeOutcome converts an outcome from its protobuf form. A value that this
// version does not know becomes refusal.Unknown.
func DecodeOutcome(outcome callerv1.Outcome) refusal.Outcome {
	switch outcome {
	case callerv1.Outcome_OUTCOME_DONE:
		return refusal.Done
	case callerv1.Outcome_OUTCOME_NOT_RUN:
		return refusal.NotRun
	default:
		return refusal.Unknown
	}
}

// EncodeOutcome converts an outcome to its protobuf form.
func EncodeOutcome(outcome refusal.Outcome) callerv1.Outcome {
	switch outcome {
	case refusal.Done:
		return callerv1.Outcome_OUTCOME_DONE
	case refusal.NotRun:
		return callerv1.Outcome_OUTCOME_NOT_RUN
	default:
		return callerv1.Outcome_OUTCOME_UNKNOWN
	}
}

// DecodePosition converts a log position from its protobuf form; nil becomes the
// zero Position.
func DecodePosition(position *endpointv1.Position) logpos.Position {
	return logpos.Position{
		Term:  position.GetTerm(),
		Index: position.GetIndex(),
	}
}

// EncodePosition converts a log position to its protobuf form.
func EncodePosition(position logpos.Position) *endpointv1.Position {
	return &endpointv1.Position{
		Term:  position.Term,
		Index: position.Index,
	}
}

// DecodeView converts a database view from its protobuf form.
func DecodeView(view *peerv1.DatabaseView) routing.DatabaseView {
	decoded := routing.DatabaseView{
		Database: view.GetDatabase(),
		Term:     view.GetTerm(),
		Primary:  view.GetPrimary(),
	}
	for _, m := range view.GetMembers() {
		decoded.Members = append(decoded.Members, routing.MemberView{
			Endpoint:     m.GetEndpoint(),
			Role:         DecodeRole(m.GetRole()),
			Reachable:    m.GetReachable(),
			LastPosition: DecodePosition(m.GetLast()),
			Age:          m.GetAge().AsDuration(),
			AgeKnown:     m.GetAge() != nil,
			QueueWait:    m.GetQueueWait().AsDuration(),
		})
	}
	return decoded
}

// EncodeView converts a database view to its protobuf form.
func EncodeView(view routing.DatabaseView) *peerv1.DatabaseView {
	encoded := &peerv1.DatabaseView{
		Database: view.Database,
		Term:     view.Term,
		Primary:  view.Primary,
	}
	for _, m := range view.Members {
		member := &peerv1.MemberView{
			Endpoint:  m.Endpoint,
			Reachable: m.Reachable,
			Last:      EncodePosition(m.LastPosition),
			QueueWait: durationpb.New(m.QueueWait),
			Role:      encodeRole(m.Role),
		}
		if m.AgeKnown {
			member.Age = durationpb.New(m.Age)
		}
		encoded.Members = append(encoded.Members, member)
	}
	return encoded
}

// EncodeRefusal returns the result of a step that failed with an error. If the error
// is not a refusal, the outcome is unknown, because nothing proves that the step had
// no effect.
func EncodeRefusal(err error) *peerv1.ForwardResult {
	refused, ok := refusal.As(err)
	if !ok {
		refused = refusal.NewUnknown(refusal.Internal, err.Error())
	}
	result := &peerv1.ForwardResult{
		Outcome: EncodeOutcome(refused.Outcome),
		Reason:  string(refused.Reason),
		Message: refused.Message,
	}
	if refused.RetryAfter > 0 {
		result.RetryAfter = durationpb.New(refused.RetryAfter)
	}
	return result
}

// NewConnectError converts a refusal to a Connect error with the given code and
// message. Its Refusal detail also carries the request id, which may be empty, and the
// version of the configuration. If the detail cannot be encoded, NewConnectError
// returns the Connect error without the detail, together with the encoding error.
func NewConnectError(code connect.Code, message string, refused *refusal.Error, requestID string, version uint64) (*connect.Error, error) {
	connectErr := connect.NewError(code, eris.New(message))
	detail := &callerv1.Refusal{
		Outcome:              EncodeOutcome(refused.Outcome),
		Reason:               string(refused.Reason),
		Field:                refused.Field,
		RequestId:            requestID,
		ConfigurationVersion: version,
	}
	if refused.RetryAfter > 0 {
		detail.RetryAfter = durationpb.New(refused.RetryAfter)
	}
	encoded, err := connect.NewErrorDetail(detail)
	if err != nil {
		return connectErr, eris.Wrap(err, "encode the refusal detail")
	}
	connectErr.AddDetail(encoded)
	return connectErr, nil
}

// DecodeRefusal returns the refusal in the result of a step, or nil if the step
// succeeded.
func DecodeRefusal(result *peerv1.ForwardResult) *refusal.Error {
	if result.GetOutcome() == callerv1.Outcome_OUTCOME_DONE {
		return nil
	}
	return &refusal.Error{
		Outcome:    DecodeOutcome(result.GetOutcome()),
		Reason:     refusal.Reason(result.GetReason()),
		Message:    result.GetMessage(),
		RetryAfter: result.GetRetryAfter().AsDuration(),
	}
}

// DecodeRole converts a role from its protobuf form.
func DecodeRole(role endpointv1.Role) routing.Role {
	switch role {
	case endpointv1.Role_ROLE_PRIMARY:
		return routing.RolePrimary
	case endpointv1.Role_ROLE_REPLICA:
		return routing.RoleReplica
	default:
		return routing.RoleUnknown
	}
}

func encodeRole(role routing.Role) endpointv1.Role {
	switch role {
	case routing.RolePrimary:
		return endpointv1.Role_ROLE_PRIMARY
	case routing.RoleReplica:
		return endpointv1.Role_ROLE_REPLICA
	default:
		return endpointv1.Role_ROLE_UNSPECIFIED
	}
}
