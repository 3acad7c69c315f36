package limits

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxLoanRequests is the number of lenders to ask at the same time.
	maxLoanRequests = 3
	// lenderStateTTL is how long a lender's response is trusted. After that the
	// lender is asked again even if it is expected to have no tokens, because other
	// borrowers may have stopped.
	lenderStateTTL = time.Second
)

// LoanRequest is a request for a loan of tokens.
type LoanRequest struct {
	Lender string
	Tokens int64
}

// LenderState is what a borrower knows about a lender from its last response.
type LenderState struct {
	// RespondedAt is when the lender responded; the zero time if it never did.
	RespondedAt time.Time
	// RemainingTokens is the number of tokens that the lender had left.
	RemainingTokens int64
	// UntilNextToken is the time from the response until the lender has one more
	// token.
	UntilNextToken time.Duration
	// Failed is true if the call failed or timed out.
	Failed bool
}

// Lender is a VM that can be asked for a loan.
type Lender struct {
	VM    string
	State LenderState
	// Capacity (in tokens) and Rate (in tokens per second) belong to the bucket of
	// the lender's share.
	Capacity, Rate float64
}

// Loan is a loan that was requested from a lender.
type Loan struct {
	// RequestedAt is the borrower's clock just before it sent the request.
	RequestedAt time.Time
}

// UsableAt reports whether a loan that arrives now may be spent. The borrower must
// discard a later one: in a window that began after the debit, its tokens would
// exceed the limit.
func (l Loan) UsableAt(now time.Time) bool {
	return now.Sub(l.RequestedAt) <= LoanTimeout
}

// GrantLoan debits a loan from the lender's share and returns the number of tokens
// granted. The lender's own waiting requests have precedence. The lender must call
// it before it responds.
func GrantLoan(now time.Time, share *LocalShare, requested, waiting int64) int64 {
	spare := share.Available(now) - max(waiting, 0)
	return share.Take(now, min(requested, spare))
}

// ExpectedTokens estimates the tokens that the lender will have after a wait. A
// lender without a recent response is expected to have a full bucket, and at least
// one token, so that it is asked.
func (l Lender) ExpectedTokens(now time.Time, wait time.Duration) float64 {
	if l.State.RespondedAt.IsZero() || now.Sub(l.State.RespondedAt) > lenderStateTTL {
		return max(l.Capacity, 1)
	}
	if l.State.Failed {
		return 0
	}
	since := now.Sub(l.State.RespondedAt) + wait - l.State.UntilNextToken
	tokens := float64(l.State.RemainingTokens)
	if since >= 0 {
		tokens += 1 + l.Rate*since.Seconds()
	}
	return min(tokens, l.Capacity)
}

// PlanLoans chooses the lenders to ask for a number of tokens: as few as cover the
// demand, those with the most expected tokens first.
func PlanLoans(now time.Time, demand int64, lenders []Lender) []LoanRequest {
	sorted := slices.Clone(lenders)
	slices.SortStableFunc(sorted, func(a, b Lender) int {
		return cmp.Compare(b.ExpectedTokens(now, 0), a.ExpectedTokens(now, 0))
	})
	var requests []LoanRequest
	for _, l := range sorted {
		expected := int64(l.ExpectedTokens(now, 0))
		if demand <= 0 || expected < 1 || len(requests) == maxLoanRequests {
			break
		}
		tokens := min(demand, expected)
		requests = append(requests, LoanRequest{
			Lender: l.VM,
			Tokens: tokens,
		})
		demand -= tokens
	}
	return requests
}

// TimeUntilLendable returns the time until at least one lender may grant a loan,
// because it is expected to have a token or because its state expires.
func TimeUntilLendable(now time.Time, lenders []Lender) time.Duration {
	next := Never
	for _, l := range lenders {
		if l.ExpectedTokens(now, 0) >= 1 {
			return 0
		}
		expires := lenderStateTTL - now.Sub(l.State.RespondedAt)
		if l.State.Failed || l.Capacity < 1 {
			next = min(next, expires)
			continue
		}
		next = min(next, expires, max(l.State.UntilNextToken-now.Sub(l.State.RespondedAt), 0))
	}
	return next
}

// CanAdmitWithin reports whether one more request can expect a token within the
// wait, after the requests that already wait.
func CanAdmitWithin(now time.Time, wait time.Duration, waiting int64, share *LocalShare, lenders []Lender) bool {
	_, rate := share.limit.BucketParameters(share.Millionths())
	share.bucket.refill(now)
	expected := share.bucket.tokens + rate*wait.Seconds()
	for _, l := range lenders {
		expected += l.ExpectedTokens(now, wait)
	}
	return float64(waiting+1) <= expected+tokenEpsilon
}
