package peer

import (
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/budget"
)

// requestCopies is how often the texts of a request are in memory while it runs: as they were
// decoded, and as they are sent to the endpoint.
const requestCopies = 2

// textBytes returns the length of the texts of the request.
func (r *RunRequest) textBytes() int64 {
	length := len(r.Text) + len(r.ID)
	if r.Prepared != nil {
		length += len(r.Prepared.Shape)
	}
	for name, value := range r.Values {
		length += len(name) + len(value)
	}
	return int64(length)
}

// holdRequest takes the memory of a request. It does not wait for it, because the request is in
// memory already.
func (s *connectionService) holdRequest(request *RunRequest) (*budget.Account, *refusal.Error) {
	length := request.textBytes()
	if length <= budget.FreeBytes {
		return nil, nil
	}
	account := s.budget.Open(budget.Group(request.Workspace))
	if !account.TryTake(length * requestCopies) {
		account.Close()
		s.budget.Count("noMemory")
		return nil, refusal.NewNotRun(refusal.Overloaded, "the home VM has no memory left for the statement")
	}
	return account, nil
}

// holdResponse takes the memory of a response until it has been sent. If it is not free, the
// response is replaced by a refusal, and the transaction is rolled back.
func (s *connectionService) holdResponse(request *RunRequest, reply *RunResponse) {
	length := int64(0)
	for _, row := range reply.Rows {
		length += int64(len(row))
	}
	if length <= budget.FreeBytes {
		return
	}
	account := s.budget.OpenAnswers(budget.Group(request.Workspace))
	if account.TryTake(length * requestCopies) {
		reply.release = account.Close
		return
	}
	account.Close()
	s.budget.Count("noMemory")
	*reply = RunResponse{Refused: refusal.NewUnknown(refusal.Overloaded, "the home VM has no memory left for the answer")}
	if request.Step == StepFirst || request.Step == StepNext {
		reply.Failed = true
		s.handler.RollBackTransaction(request.Transaction)
	}
}
