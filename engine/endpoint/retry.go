package endpoint

import (
	"context"
	"time"

	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/timer"
)

const (
	// minRetryTimeout is the least remaining time with which a request is retried.
	minRetryTimeout = 50 * time.Millisecond
	// busyRetryDelay is the time before the retry at an endpoint without a free slot, about the
	// duration of a short statement.
	busyRetryDelay = 10 * time.Millisecond
	// maxCommitRetryDelay is the longest time between two attempts of a commit at a busy endpoint.
	// The delays double up to it: a new process has 3 retries for each workspace, which would be
	// spent after 30 ms otherwise, and a refused commit costs the caller the whole transaction.
	maxCommitRetryDelay = 80 * time.Millisecond
)

// attempts limits the attempts of one request at an endpoint: by the request's time limit, by the
// retry budget of its workspace and by the budget of a cold endpoint.
type attempts struct {
	home     *Home
	client   *endpointClient
	request  *peer.RunRequest
	deadline time.Time
	// endBoot is the reading of SinceBoot at which the time limit ends. The deadline does not
	// include the time for which this VM was suspended.
	endBoot time.Duration
}

// newAttempts returns the attempts of a request that has just arrived, and counts it.
func (h *Home) newAttempts(client *endpointClient, request *peer.RunRequest, deadline time.Time) *attempts {
	h.retryBudgets.CountRequest(request.Workspace)
	return &attempts{
		home:     h,
		client:   client,
		request:  request,
		deadline: deadline,
		endBoot:  h.config.Timer.SinceBoot() + request.Timeout,
	}
}

// timeLeft reports whether there is time for another attempt.
func (a *attempts) timeLeft(ctx context.Context) bool {
	t := a.home.config.Timer
	return ctx.Err() == nil && a.deadline.Sub(t.Now()) >= minRetryTimeout && !a.isLate()
}

// isLate reports whether the time limit is over, including the time for which this VM was suspended.
func (a *attempts) isLate() bool {
	return a.home.config.Timer.SinceBoot() >= a.endBoot
}

// mayRetry reports whether the request is sent once more, and charges the retry. The requests are
// those that the retry sends to the endpoint.
func (a *attempts) mayRetry(ctx context.Context, requests int) bool {
	return a.timeLeft(ctx) && a.client.reserveAgain(a.request, requests) && a.charge()
}

// mayRetryBusy reports whether a statement may be sent once more because the endpoint was busy, which
// proves that it has not run. A read that can run at another endpoint goes there instead.
func (a *attempts) mayRetryBusy(ctx context.Context) bool {
	return !a.request.Alternatives && a.mayRetry(ctx, requestCount(a.request))
}

// retriesBusy reports whether a statement is sent once more after a reply. It waits for
// busyRetryDelay before it returns true.
func (a *attempts) retriesBusy(ctx context.Context, reply *ReplyError) bool {
	return reply != nil && reply.Code == Busy && a.mayRetryBusy(ctx) && a.waitBusy(ctx, busyRetryDelay)
}

// mayRetryCommit reports whether a commit is sent once more to a busy endpoint, after the given
// number of attempts. It waits before it returns true.
func (a *attempts) mayRetryCommit(ctx context.Context, sent int) bool {
	if !a.timeLeft(ctx) || !a.client.awaitResend(a.request, a.deadline) || !a.charge() {
		return false
	}
	delay := busyRetryDelay
	for range sent - 1 {
		delay = min(2*delay, maxCommitRetryDelay)
	}
	return a.waitBusy(ctx, delay)
}

// waitBusy waits before another attempt at a busy endpoint, and reports whether there is still time
// for it afterwards.
func (a *attempts) waitBusy(ctx context.Context, delay time.Duration) bool {
	if err := timer.Sleep(ctx, a.home.config.Timer, delay); err != nil || a.isLate() {
		return false
	}
	a.home.config.Metrics.busyRetries.Inc(1)
	return true
}

// charge takes a retry out of the budget of the request's workspace; false if there is none left.
func (a *attempts) charge() bool {
	if a.home.retryBudgets.TakeRetry(a.request.Workspace) {
		return true
	}
	a.home.config.Metrics.retriesRefused.Inc(1)
	return false
}
