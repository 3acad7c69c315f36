package endpoint

import (
	"time"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/scheduling"
	"amaranthdock.dev/decision/slowstart"
	"amaranthdock.dev/engine/guard"
	"amaranthdock.dev/engine/peer"
)

const (
	// maxReadBudgetWait is how long a read that may run elsewhere waits for the budget of a cold
	// endpoint. It is less than a round trip to another region.
	maxReadBudgetWait = 20 * time.Millisecond
	// minBudgetWaitReport is the shortest wait that is reported with a refusal, so that the VMs
	// of a large fleet do not all try again as soon as there is room for one request.
	minBudgetWaitReport = 500 * time.Millisecond
	// notHomeRetryAfter is the delay after which a VM that is not the home of a cold endpoint
	// may have become it.
	notHomeRetryAfter = time.Second
	// coldSampleTTL replaces sampleTTL at a cold endpoint, whose budget samples must not use up.
	coldSampleTTL = time.Second
)

// slowStart limits the requests to an endpoint that is cold or was cold until a short time ago.
// The lock of the endpoint client protects it.
type slowStart struct {
	// budget is nil while the endpoint is not limited.
	budget *slowstart.Budget
	// items holds the reservations of the items that hold a slot, and requests the same ones
	// from the moment at which their goroutines know that they hold a slot.
	items    map[uint64]*reservation
	requests map[*peer.RunRequest]*reservation
	// waking is set while a goroutine waits until the budget has room.
	waking bool
}

// reservation is the number of requests that an item may send still.
type reservation struct {
	left int
}

// requestCount returns how many requests a step sends at most, without resending any. Each
// command that the endpoint executes counts: a begin, a statement, a commit and a rollback.
// Commands that only set up a connection don't.
func requestCount(request *peer.RunRequest) int {
	switch {
	case request.Step == peer.StepSingle && request.Fenced:
		return 3
	case request.Step == peer.StepPosition, request.Step == peer.StepFirst && request.Text != "":
		return 2
	default:
		return 1
	}
}

// countRequests returns how many of the commands are requests in the sense of requestCount.
func countRequests(commands []Command) int {
	count := 0
	for _, c := range commands {
		switch c.(type) {
		case Forward, Execute, Begin, Commit, Rollback:
			count++
		}
	}
	return count
}

// updateSlowStart brings the budget up to date and reports whether the endpoint is limited. The
// lock must be held.
func (e *endpointClient) updateSlowStart() bool {
	if e.config.Coldness == nil {
		return false
	}
	now := e.config.Timer.SinceBoot()
	coldness := e.config.Coldness(e.target)
	if !coldness.Limited(now) {
		if e.slow.budget != nil {
			e.endSlowStart()
			e.config.Log.Info("Requests to an endpoint are no longer limited after its start.", "endpoint", e.target.Key.ID, "database", e.target.Database)
		}
		return false
	}
	if e.slow.budget == nil {
		e.slow.budget = slowstart.New(e.config.ColdTolerance)
		e.slow.items = map[uint64]*reservation{}
		e.slow.requests = map[*peer.RunRequest]*reservation{}
		e.config.Metrics.coldEndpoints.Inc(1)
		e.config.Log.Info("Requests to an endpoint are limited after its start.", "endpoint", e.target.Key.ID, "database", e.target.Database,
			"rate", coldness.Rate, "coldFor", (coldness.Until - now).String(), "share", coldness.Share)
	}
	if before := e.slow.budget.Share(); before != coldness.Share {
		e.config.Log.V(1).Info("The share of this VM in the budget of a cold endpoint changed.", "endpoint", e.target.Key.ID,
			"before", before, "share", coldness.Share)
	}
	e.slow.budget.Update(now, coldness)
	return true
}

// endSlowStart forgets the budget of an endpoint that is gone. The lock must be held.
func (e *endpointClient) endSlowStart() {
	if e.slow.budget != nil {
		e.slow.budget = nil
		e.config.Metrics.coldEndpoints.Dec(1)
	}
}

// refuseIfNotColdHome returns a refusal if the endpoint is cold and this VM is not its home. The
// view of this VM may be older than that of the VM that sent the request, so it then checks
// whether the first home is reachable.
func (e *endpointClient) refuseIfNotColdHome() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.updateSlowStart() || !e.isForeignCold() {
		return nil
	}
	if e.config.CheckFirstHome != nil {
		e.config.CheckFirstHome(e.target)
	}
	return e.notColdHomeRefusal()
}

// isForeignCold reports whether the endpoint is cold and this VM is not its home. The lock must
// be held and the budget must be up to date.
func (e *endpointClient) isForeignCold() bool {
	return e.slow.budget.IsCold(e.config.Timer.SinceBoot()) && e.slow.budget.Share() == 0
}

// notColdHomeRefusal returns the refusal of a request that belongs to another VM. The lock must
// be held.
func (e *endpointClient) notColdHomeRefusal() error {
	e.config.Metrics.coldRefused.Inc(1)
	return &refusal.Error{
		Outcome:    refusal.NotRun,
		Reason:     refusal.NotReady,
		Message:    "the endpoint is cold, and another VM is its home",
		RetryAfter: notHomeRetryAfter,
	}
}

// refuseIfBudgetSpent returns a refusal if the budget of a cold endpoint has no room for a
// statement in time. The lock must be held.
func (e *endpointClient) refuseIfBudgetSpent(request *peer.RunRequest, item scheduling.Item) error {
	if !e.updateSlowStart() {
		return nil
	}
	ahead := 0
	for waiting := range e.queue.WaitingItems() {
		if waiting.Transaction || !item.Transaction {
			ahead += waiting.Requests
		}
	}
	wait := e.slow.budget.WaitBehind(e.config.Timer.SinceBoot(), ahead, item.Requests)
	runsElsewhere := (request.Step == peer.StepSingle && !request.Write && !request.Fenced) || (request.Step == peer.StepFirst && request.ReadOnly)
	if wait < item.Deadline.Sub(item.ArrivedAt) && (!runsElsewhere || wait <= maxReadBudgetWait) {
		if wait > 0 {
			e.config.Metrics.coldWaits.Inc(1)
		}
		return nil
	}
	return e.budgetRefusal(wait)
}

// budgetRefusal returns the refusal of a request for which the budget has no room in time.
func (e *endpointClient) budgetRefusal(wait time.Duration) error {
	e.config.Metrics.coldRefused.Inc(1)
	return &refusal.Error{
		Outcome:    refusal.NotRun,
		Reason:     refusal.Overloaded,
		Message:    "the endpoint has started recently and takes no further request in time",
		RetryAfter: wait,
	}
}

// mayStart reports whether the budget has room for an item, and reserves it. If not, it arranges
// that the queue is processed again when there is room. The lock must be held.
func (e *endpointClient) mayStart(item scheduling.Item) bool {
	if !e.updateSlowStart() {
		return true
	}
	now := e.config.Timer.SinceBoot()
	foreign := e.isForeignCold() && !item.Transaction
	if !foreign && e.slow.budget.Reserve(now, item.Requests) {
		e.slow.items[item.ID] = &reservation{left: item.Requests}
		return true
	}
	if !e.slow.waking {
		e.slow.waking = true
		wait := e.slow.budget.Wait(now, item.Requests)
		if foreign {
			wait = 0
		}
		go e.wakeQueue(wait)
	}
	return false
}

// wakeQueue processes the queue after a wait, and refuses the statements that wait for the
// budget of a cold endpoint of which this VM is not the home any more.
func (e *endpointClient) wakeQueue(wait time.Duration) {
	defer guard.Recover(e.config.Log, "wake-up of a queue")
	<-e.config.Timer.After(wait).C()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow.waking = false
	if e.updateSlowStart() && e.isForeignCold() {
		var foreign []uint64
		for item := range e.queue.WaitingItems() {
			if !item.Transaction {
				foreign = append(foreign, item.ID)
			}
		}
		for _, item := range foreign {
			e.queue.Remove(item)
			e.notifyWaiter(item, e.notColdHomeRefusal())
		}
	}
	e.processQueue()
}

// bindReservation lets a request use the reservation of its item.
func (e *endpointClient) bindReservation(request *peer.RunRequest, item uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if held, ok := e.slow.items[item]; ok {
		e.slow.requests[request] = held
	}
}

// releaseReservation ends the reservations of a request and of its item; the item is 0 if there
// is none. The lock must be held.
func (e *endpointClient) releaseReservation(request *peer.RunRequest, item uint64) {
	for _, held := range []*reservation{e.slow.items[item], e.slow.requests[request]} {
		if held == nil {
			continue
		}
		if e.slow.budget != nil {
			e.slow.budget.Release(held.left)
		}
		held.left = 0
	}
	delete(e.slow.items, item)
	delete(e.slow.requests, request)
}

// reserveSample reserves the requests of a position sample. The error is a refusal.
func (e *endpointClient) reserveSample(request *peer.RunRequest) error {
	if e.reserveAgain(request, requestCount(request)) {
		return nil
	}
	return e.budgetRefusal(e.budgetWait())
}

// releaseSample ends the reservation of a position sample.
func (e *endpointClient) releaseSample(request *peer.RunRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseReservation(request, 0)
}

// reserveAgain reserves requests that a step sends once more, and reports whether there is room.
// If the endpoint is not limited, there is.
func (e *endpointClient) reserveAgain(request *peer.RunRequest, requests int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.updateSlowStart() {
		return true
	}
	if !e.slow.budget.Reserve(e.config.Timer.SinceBoot(), requests) {
		return false
	}
	held := e.slow.requests[request]
	if held == nil {
		held = &reservation{}
		e.slow.requests[request] = held
	}
	held.left += requests
	return true
}

// recordSend counts the requests among commands that are about to be sent on behalf of a
// request. The request may be nil.
func (e *endpointClient) recordSend(request *peer.RunRequest, commands []Command) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.slow.budget == nil {
		return
	}
	count := countRequests(commands)
	reserved := 0
	if held := e.slow.requests[request]; held != nil {
		reserved = min(count, held.left)
		held.left -= reserved
		if held.left == 0 {
			delete(e.slow.requests, request)
		}
	}
	e.slow.budget.Send(e.config.Timer.SinceBoot(), count, reserved)
	if e.slow.budget.IsCold(e.config.Timer.SinceBoot()) {
		e.config.Metrics.coldRequests.Inc(int64(count))
	}
}

// budgetWait returns how long until a further request may be sent; 0 if the endpoint is not
// limited.
func (e *endpointClient) budgetWait() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.slow.budget == nil {
		return 0
	}
	ahead := 0
	for waiting := range e.queue.WaitingItems() {
		ahead += waiting.Requests
	}
	return e.slow.budget.WaitBehind(e.config.Timer.SinceBoot(), ahead, 1)
}

// reportBudget tells the VM that sent a request how long the endpoint takes no more requests.
func (e *endpointClient) reportBudget(result *peer.RunResponse) {
	if e.config.Coldness == nil {
		return
	}
	result.Report.BudgetWait = e.budgetWait()
	if refused := result.Refused; refused != nil && refused.RetryAfter > 0 && e.isLimited() {
		result.Report.BudgetWait = max(result.Report.BudgetWait, refused.RetryAfter, minBudgetWaitReport)
	}
}

// awaitResend waits until there is room to send a request once more, and reports whether that was
// in time.
func (e *endpointClient) awaitResend(request *peer.RunRequest, deadline time.Time) bool {
	for !e.reserveAgain(request, 1) {
		if deadline.Sub(e.config.Timer.Now()) < minRetryTimeout {
			return false
		}
		<-e.config.Timer.After(busyRetryDelay).C()
	}
	return true
}

// isLimited reports whether the endpoint is cold or was cold until a short time ago.
func (e *endpointClient) isLimited() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.slow.budget != nil
}
