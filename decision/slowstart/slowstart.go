// Package slowstart decides how many requests a home may send to an endpoint that is cold, which
// means that it stays slow for a while after its start, or that was cold until a short time ago.
// A Budget is not safe for concurrent use; the caller holds a lock.
package slowstart

import (
	"math"
	"sort"
	"time"
)

const (
	// window is the sliding time in which requests are counted: the second of the rule, and
	// 0.1 s for the delay between the decision and the write, which differs between requests
	// on a VM that gets a part of a processor core.
	window = 1100 * time.Millisecond
	// riseTime is how long after the cold period the rate is limited still. It doubles each
	// second, so that it is 1024 times the rate of the cold period at the end.
	riseTime = 10 * time.Second
	// SecondHomeShare is the part of a home's allowance that a second home may use. A second home
	// exists while VMs have different views of the fleet.
	SecondHomeShare = 0.5
)

// Coldness is what a VM knows about an endpoint that is or was cold.
type Coldness struct {
	// Rate is the number of requests a second that the endpoint takes while it is cold; 0 if
	// there is no limit.
	Rate float64
	// Until is the reading of SinceBoot at which the cold period ends; 0 if there was none.
	Until time.Duration
	// Share is the part of a home's allowance that this VM may use; 0 if it is not a home.
	Share float64
}

// Limited reports whether the rate of requests is limited at a reading of SinceBoot.
func (c Coldness) Limited(now time.Duration) bool {
	return c.Rate > 0 && c.Until > 0 && now < c.Until+riseTime
}

// Config states what an endpoint tolerates from all VMs together in any second: its rate times
// Overage, plus Slack. Without an Overage, 1 is used.
type Config struct {
	Overage float64
	Slack   float64
}

// Budget counts the requests of one home to one endpoint. All times are readings of SinceBoot.
type Budget struct {
	config   Config
	coldness Coldness
	// sent holds the times of the requests in the window, the oldest first.
	sent []time.Duration
	// reserved is the number of requests that may be sent, but have not been yet.
	reserved int
	// spentUntil is the time until which the budget of a new home counts as spent.
	spentUntil time.Duration
}

// New returns the budget of a VM that is not a home yet.
func New(config Config) *Budget {
	if config.Overage <= 0 {
		config.Overage = 1
	}
	return &Budget{config: config}
}

// Update sets what is known about the endpoint. A VM that becomes a home does not know what the
// one before has sent, so its budget counts as spent at first.
func (b *Budget) Update(now time.Duration, coldness Coldness) {
	if coldness.Share > 0 && b.coldness.Share == 0 {
		b.spentUntil = now + window
	}
	b.coldness = coldness
}

// IsCold reports whether the endpoint is in its cold period.
func (b *Budget) IsCold(now time.Duration) bool { return now < b.coldness.Until }

// Share returns the part of a home's allowance that this VM may use; 0 if it is not a home.
func (b *Budget) Share() float64 { return b.coldness.Share }

// Reserve reserves requests that are about to be sent, and reports whether there is room.
func (b *Budget) Reserve(now time.Duration, requests int) bool {
	if b.Wait(now, requests) > 0 {
		return false
	}
	b.reserved += requests
	return true
}

// Release ends the reservation of requests that are not sent.
func (b *Budget) Release(requests int) { b.reserved -= requests }

// Send counts requests at the time at which they are sent. Of these, reserved were reserved.
func (b *Budget) Send(now time.Duration, requests, reserved int) {
	b.reserved -= reserved
	b.forget(now)
	for range requests {
		b.sent = append(b.sent, now)
	}
}

// Wait returns how long until there is room for so many requests, if no others are sent before
// them. Requests that are more than the allowance have room while nothing else is in the window.
func (b *Budget) Wait(now time.Duration, requests int) time.Duration {
	b.forget(now)
	limit, period := b.allowance(now)
	wait := max(b.spentUntil-now, 0)
	excess := len(b.sent) + b.reserved + min(requests, limit) - limit
	if excess <= 0 {
		return wait
	}
	// Requests that are reserved are sent a moment later, so they leave a period from now.
	leaves := now + period
	if excess <= len(b.sent) {
		leaves = b.sent[excess-1] + period
	}
	return max(wait, leaves-now)
}

// WaitBehind returns how long until there is room for requests that are sent after others.
func (b *Budget) WaitBehind(now time.Duration, ahead, requests int) time.Duration {
	limit, period := b.allowance(now)
	requests = min(requests, limit)
	if ahead == 0 {
		return b.Wait(now, requests)
	}
	total := ahead + requests
	first := min(total, limit)
	return b.Wait(now, first) + time.Duration((total-first+limit-1)/limit)*period
}

// allowance returns how many requests may be sent in a period. The period is longer than the
// window if the rate is less than one request in a window.
func (b *Budget) allowance(now time.Duration) (int, time.Duration) {
	rate := min(b.coldness.Rate, (b.coldness.Rate*b.config.Overage+b.config.Slack)/2)
	// A VM that is no longer a home still finishes its open transactions.
	rate *= max(b.coldness.Share, SecondHomeShare)
	if now > b.coldness.Until {
		rate *= math.Exp2(min(now-b.coldness.Until, riseTime).Seconds())
	}
	if rate >= 1 {
		return int(rate), window
	}
	return 1, time.Duration(float64(window) / max(rate, 0.001))
}

// forget removes the requests that have left the window.
func (b *Budget) forget(now time.Duration) {
	_, period := b.allowance(now)
	left := sort.Search(len(b.sent), func(i int) bool { return b.sent[i] > now-period })
	b.sent = b.sent[left:]
}
