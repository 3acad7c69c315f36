package lending

import (
	"context"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/types/known/durationpb"

	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/timer"
)

// maxLoan is the largest loan that a request may ask for, in tokens.
const maxLoan = 1_000_000

// Borrow handles the loan request of a peer. A VM that holds no share of the subject
// returns the code FailedPrecondition, which makes the peer read the share record
// again.
func (l *Limiter) Borrow(_ context.Context, request *peerv1.BorrowRequest) (*peerv1.BorrowResponse, error) {
	if request.GetTokens() < 1 || request.GetTokens() > maxLoan {
		return nil, connect.NewError(connect.CodeInvalidArgument, eris.New("the number of tokens is out of range"))
	}
	granted, remaining, nextToken, isHolder := l.lend(request.GetSubject(), request.GetTokens())
	if !isHolder {
		return nil, connect.NewError(connect.CodeFailedPrecondition, eris.New("this VM holds no share of the subject"))
	}
	return &peerv1.BorrowResponse{
		Granted:   granted,
		Remaining: remaining,
		NextToken: durationpb.New(min(nextToken, time.Hour)),
	}, nil
}

// Lend debits tokens from this VM's share for another VM. It returns the tokens
// granted, the tokens that remain and the time until the share has one more.
func (l *Limiter) Lend(subject string, tokens int64) (granted, remaining int64, nextToken time.Duration) {
	granted, remaining, nextToken, _ = l.lend(subject, tokens)
	return granted, remaining, nextToken
}

// borrow sends one loan request and admits waiters with the tokens granted. It
// discards tokens that no waiter needs, because a borrowed token may only be spent
// within limits.LoanTimeout after the request.
func (l *Limiter) borrow(s *subject, request limits.LoanRequest) {
	loan := limits.Loan{RequestedAt: l.config.Timer.Now()}
	response, err := l.callLender(s.name, request)
	l.mu.Lock()
	defer l.mu.Unlock()
	// Read the clock only after taking the lock, because the tokens are spent now
	// and waiting for the lock may have taken too long.
	now := l.config.Timer.Now()
	delete(s.requestedTokens, request.Lender)
	s.lenderStates[request.Lender] = limits.LenderState{
		RespondedAt:     now,
		RemainingTokens: response.GetRemaining(),
		UntilNextToken:  response.GetNextToken().AsDuration(),
		Failed:          err != nil,
	}
	granted := min(max(response.GetGranted(), 0), request.Tokens)
	if loan.UsableAt(now) {
		used := min(granted, int64(len(s.waiters)))
		l.admitWaiters(s, used)
		l.counters.borrowed.Inc(used)
		granted -= used
	}
	l.counters.discarded.Inc(granted)
	if connect.CodeOf(err) == connect.CodeFailedPrecondition {
		l.requestRefresh()
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (l *Limiter) callLender(subject string, request limits.LoanRequest) (*peerv1.BorrowResponse, error) {
	address, ok := l.config.Directory.Address(request.Lender)
	if !ok {
		return nil, eris.Errorf("lending: the address of VM %s is unknown", request.Lender)
	}
	l.counters.loans.Inc(1)
	ctx, cancel := timer.WithTimeout(l.loanContext, l.config.Timer, limits.LoanTimeout)
	defer cancel()
	return l.config.Dial(address).Borrow(ctx, &peerv1.BorrowRequest{
		Subject:  subject,
		Tokens:   request.Tokens,
		Borrower: l.self,
	})
}

// lend implements Lend and also reports whether this VM holds a share of the subject.
func (l *Limiter) lend(name string, tokens int64) (granted, remaining int64, nextToken time.Duration, isHolder bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loaded || l.record.Share(name, l.self).Millionths == 0 {
		return 0, 0, 0, false
	}
	now := l.config.Timer.Now()
	s := l.subject(now, name)
	granted = limits.GrantLoan(now, s.share, tokens, int64(len(s.waiters)))
	l.counters.lent.Inc(granted)
	remaining = s.share.Available(now)
	return granted, remaining, s.share.TimeUntil(now, remaining+1), true
}

// containsVM reports whether a list of VMs that is sorted by name contains a VM.
func containsVM(live []routing.VM, name string) bool {
	_, found := slices.BinarySearchFunc(live, name, func(v routing.VM, name string) int {
		return strings.Compare(v.Name, name)
	})
	return found
}

// lenders returns the other live VMs that hold a share of the subject. The caller
// holds mu.
func (l *Limiter) lenders(s *subject) []limits.Lender {
	live := l.config.Directory.Live()
	limit := l.limit(s.name)
	var lenders []limits.Lender
	for _, share := range l.record.Shares(s.name) {
		if share.VM == l.self || !containsVM(live, share.VM) {
			continue
		}
		capacity, rate := limit.BucketParameters(share.Millionths)
		lenders = append(lenders, limits.Lender{
			VM:       share.VM,
			State:    s.lenderStates[share.VM],
			Capacity: capacity,
			Rate:     rate,
		})
	}
	return lenders
}
