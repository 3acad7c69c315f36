package operator

import (
	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/types/known/durationpb"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	"amaranthdock.dev/decision/refusal"
)

// fail returns a refusal as an error of the protocol, with a Refusal detail.
func (o *Operator) fail(code connect.Code, refused *refusal.Error) error {
	failure := connect.NewError(code, eris.New(refused.Message))
	message := &callerv1.Refusal{
		Outcome:              outcomeOf(refused.Outcome),
		Reason:               string(refused.Reason),
		Field:                refused.Field,
		ConfigurationVersion: o.currentVersion(),
	}
	if refused.RetryAfter > 0 {
		message.RetryAfter = durationpb.New(refused.RetryAfter)
	}
	detail, err := connect.NewErrorDetail(message)
	if err != nil {
		o.logger.Error(err, "The refusal detail was not encoded.")
		return failure
	}
	failure.AddDetail(detail)
	return failure
}

func outcomeOf(outcome refusal.Outcome) callerv1.Outcome {
	switch outcome {
	case refusal.Done:
		return callerv1.Outcome_OUTCOME_DONE
	case refusal.NotRun:
		return callerv1.Outcome_OUTCOME_NOT_RUN
	default:
		return callerv1.Outcome_OUTCOME_UNKNOWN
	}
}
