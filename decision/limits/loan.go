package limits

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxLenders is the number of holders that are asked at once.
	maxLenders = 3
	// hintLifetime is how long a lender's answer is relied on. Later the lender
	// is asked again even if it is expected to be empty, because other borrowers
	// may have stopped.
	hintLifetime = time.Second
)

// LoanRequest is a request for a loan.
type LoanRequest struct {
	Lender string
	Tokens int64
}

// LenderState is what a borrower knows of a lender.
type LenderState struct {
	// RespondedAt is when the lender answered; the zero time if it never did.
	RespondedAt time.Time
	// Remaining tokens after the answer.
	Remaining int64
	// UntilNextToken is the time from the answer until the lender has another one.
	UntilNextToken time.Duration
	// Failed marks a call without an answer in time.
	Failed bool
}

// Lender is a holder that can be asked.
type Lender struct {
	VM    string
	State LenderState
	// Capacity in tokens and rate in tokens per second of its part.
	Capacity, Rate float64
}

// Loan is a call for tokens.
type Loan struct {
	// RequestedAt is the borrower's reading just before it sent the call.
	RequestedAt time.Time
}

// UsableAt tells whether a loan that arrives now may be spent. A late one is
// discarded: its tokens would exceed the bound in a window that began after they
// were debited.
func (l Loan) UsableAt(now time.Time) bool {
	return now.Sub(l.RequestedAt) <= LoanTimeout
}

// GrantLoan debits a loan from the lender's share and returns the tokens granted. The
// lender's own waiting requests go first. It must be called before the lender
// answers.
func GrantLoan(now time.Time, share *LocalShare, asked, waiting int64) int64 {
	spare := share.Available(now) - max(waiting, 0)
	return share.Take(now, min(asked, spare))
}

// Expected estimates the tokens of a lender after a wait. A lender that has not
// answered lately is expected to have one.
func (l Lender) Expected(now time.Time, wait time.Duration) float64 {
	if l.State.RespondedAt.IsZero() || now.Sub(l.State.RespondedAt) > hintLifetime {
		return max(l.Capacity, 1)
	}
	if l.State.Failed {
		return 0
	}
	since := now.Sub(l.State.RespondedAt) + wait - l.State.UntilNextToken
	tokens := float64(l.State.Remaining)
	if since >= 0 {
		tokens += 1 + l.Rate*since.Seconds()
	}
	return min(tokens, l.Capacity)
}

// PlanLoans chooses the lenders to ask now for a number of tokens: those with the most
// tokens expected, as few as cover the demand.
func PlanLoans(now time.Time, demand int64, lenders []Lender) []LoanRequest {
	sorted := slices.Clone(lenders)
	slices.SortStableFunc(sorted, func(a, b Lender) int {
		return cmp.Compare(b.Expected(now, 0), a.Expected(now, 0))
	})
	var asks []LoanRequest
	for _, l := range sorted {
		expected := int64(l.Expected(now, 0))
		if demand <= 0 || expected < 1 || len(asks) == maxLenders {
			break
		}
		tokens := min(demand, expected)
		asks = append(asks, LoanRequest{
			Lender: l.VM,
			Tokens: tokens,
		})
		demand -= tokens
	}
	return asks
}

// TimeUntilLendable returns the time until a lender is expected to have a token.
func TimeUntilLendable(now time.Time, lenders []Lender) time.Duration {
	next := Never
	for _, l := range lenders {
		if l.Expected(now, 0) >= 1 {
			return 0
		}
		expires := hintLifetime - now.Sub(l.State.RespondedAt)
		if l.State.Failed || l.Capacity < 1 {
			next = min(next, expires)
			continue
		}
		next = min(next, expires, max(l.State.UntilNextToken-now.Sub(l.State.RespondedAt), 0))
	}
	return next
}

// CanAdmitWithin tells whether a further request can expect a token within the wait, behind
// the requests that already wait.
func CanAdmitWithin(now time.Time, wait time.Duration, waiting int64, share *LocalShare, lenders []Lender) bool {
	_, rate := share.limit.BucketParameters(share.Millionths())
	share.bucket.refill(now)
	expected := share.bucket.tokens + rate*wait.Seconds()
	for _, l := range lenders {
		expected += l.Expected(now, wait)
	}
	return float64(waiting+1) <= expected+rounding
}
