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

// maxAsk is the largest loan of one call, in tokens.
const maxAsk = 1_000_000

// Borrow answers a peer that is short of tokens. A VM that holds no part of the
// subject answers with the code FailedPrecondition, so that the peer reads the
// record again.
func (p *Part) Borrow(_ context.Context, request *peerv1.BorrowRequest) (*peerv1.BorrowResponse, error) {
	if request.GetTokens() < 1 || request.GetTokens() > maxAsk {
		return nil, connect.NewError(connect.CodeInvalidArgument, eris.New("tokens is out of range"))
	}
	granted, remaining, next, holder := p.lend(request.GetSubject(), request.GetTokens())
	if !holder {
		return nil, connect.NewError(connect.CodeFailedPrecondition, eris.New("this VM holds no part of the subject"))
	}
	return &peerv1.BorrowResponse{
		Granted:   granted,
		Remaining: remaining,
		NextToken: durationpb.New(min(next, time.Hour)),
	}, nil
}

// Lend debits tokens for another VM. It returns the tokens granted, the tokens
// that remain and the time until the next one.
func (p *Part) Lend(subject string, tokens int64) (granted, remaining int64, nextToken time.Duration) {
	granted, remaining, nextToken, _ = p.lend(subject, tokens)
	return granted, remaining, nextToken
}

// borrow asks one lender and admits waiters with what it grants. Tokens beyond
// the waiters are lost: they must not be kept.
func (p *Part) borrow(s *subject, ask limits.LoanRequest) {
	loan := limits.Loan{RequestedAt: p.config.Timer.Now()}
	response, err := p.call(s.name, ask)
	p.mu.Lock()
	defer p.mu.Unlock()
	// The reading must follow the lock: the loan is spent at this time.
	now := p.config.Timer.Now()
	delete(s.asked, ask.Lender)
	s.hints[ask.Lender] = limits.LenderState{
		RespondedAt:    now,
		Remaining:      response.GetRemaining(),
		UntilNextToken: response.GetNextToken().AsDuration(),
		Failed:         err != nil,
	}
	granted := min(max(response.GetGranted(), 0), ask.Tokens)
	if loan.UsableAt(now) {
		used := min(granted, int64(len(s.waiters)))
		p.serve(s, used)
		p.counts.borrowed.Inc(used)
		granted -= used
	}
	p.counts.discarded.Inc(granted)
	if connect.CodeOf(err) == connect.CodeFailedPrecondition {
		p.requestRefresh()
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (p *Part) call(subject string, ask limits.LoanRequest) (*peerv1.BorrowResponse, error) {
	address, ok := p.config.Directory.Address(ask.Lender)
	if !ok {
		return nil, eris.Errorf("lending: the address of %s is unknown", ask.Lender)
	}
	p.counts.loans.Inc(1)
	ctx, cancel := timer.WithTimeout(p.calls, p.config.Timer, limits.LoanTimeout)
	defer cancel()
	return p.config.Dial(address).Borrow(ctx, &peerv1.BorrowRequest{
		Subject:  subject,
		Tokens:   ask.Tokens,
		Borrower: p.self,
	})
}

// lend also tells whether this VM holds a part of the subject.
func (p *Part) lend(name string, tokens int64) (granted, remaining int64, next time.Duration, holder bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.loaded || p.record.Share(name, p.self).Millionths == 0 {
		return 0, 0, 0, false
	}
	now := p.config.Timer.Now()
	s := p.subject(now, name)
	granted = limits.GrantLoan(now, s.share, tokens, int64(len(s.waiters)))
	p.counts.lent.Inc(granted)
	remaining = s.share.Available(now)
	return granted, remaining, s.share.TimeUntil(now, remaining+1), true
}

// contains looks for a VM in a list that is sorted by name.
func contains(live []routing.VM, name string) bool {
	_, found := slices.BinarySearchFunc(live, name, func(v routing.VM, name string) int {
		return strings.Compare(v.Name, name)
	})
	return found
}

// lenders returns the other holders that are live. The caller holds mu.
func (p *Part) lenders(s *subject) []limits.Lender {
	live := p.config.Directory.Live()
	limit := p.limit(s.name)
	var lenders []limits.Lender
	for _, part := range p.record.Shares(s.name) {
		if part.VM == p.self || !contains(live, part.VM) {
			continue
		}
		capacity, rate := limit.BucketParameters(part.Millionths)
		lenders = append(lenders, limits.Lender{
			VM:       part.VM,
			State:    s.hints[part.VM],
			Capacity: capacity,
			Rate:     rate,
		})
	}
	return lenders
}
