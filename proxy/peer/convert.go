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

// DecodeOutcome returns the outcome of a message; anything that is not known to
// this version is unknown.
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

// EncodeOutcome returns the message form of an outcome.
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

// DecodePosition returns the position of a message; it is zero if absent.
func DecodePosition(position *endpointv1.Position) logpos.Position {
	return logpos.Position{
		Term:  position.GetTerm(),
		Index: position.GetIndex(),
	}
}

// EncodePosition returns the message form of a position.
func EncodePosition(position logpos.Position) *endpointv1.Position {
	return &endpointv1.Position{
		Term:  position.Term,
		Index: position.Index,
	}
}

// DecodeView returns the view of a message.
func DecodeView(view *peerv1.DatabaseView) routing.DatabaseView {
	decoded := routing.DatabaseView{
		Database: view.GetDatabase(),
		Term:     view.GetTerm(),
		Primary:  view.GetPrimary(),
	}
	for _, m := range view.GetMembers() {
		decoded.Members = append(decoded.Members, routing.MemberView{
			Endpoint:  m.GetEndpoint(),
			Role:      DecodeRole(m.GetRole()),
			Reachable: m.GetReachable(),
			Last:      DecodePosition(m.GetLast()),
			Age:       m.GetAge().AsDuration(),
			AgeKnown:  m.GetAge() != nil,
			QueueWait: m.GetQueueWait().AsDuration(),
		})
	}
	return decoded
}

// EncodeView returns the message form of a view.
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
			Last:      EncodePosition(m.Last),
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

// EncodeRefusal returns the result of a step that was refused. An error of
// another type proves nothing.
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

// NewConnectError returns a refusal as an error of the protocol, with the code and the
// message given and a Refusal detail that also carries the request id, empty if
// there is none, and the version of the configuration.
func NewConnectError(code connect.Code, message string, refused *refusal.Error, requestID string, version uint64) (*connect.Error, error) {
	failed := connect.NewError(code, eris.New(message))
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
		return failed, eris.Wrap(err, "encode the refusal detail")
	}
	failed.AddDetail(encoded)
	return failed, nil
}

// DecodeRefusal returns the refusal in a result, or nil if the step is done.
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

// DecodeRole returns the role of a message.
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
