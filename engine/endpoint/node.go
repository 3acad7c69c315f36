package endpoint

import (
	"context"
	"slices"
	"sync"
	"time"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/scheduling"
	"amaranthdock.dev/decision/staleness"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/peer"
)

const (
	// defaultSlots for an endpoint that reports none.
	defaultSlots = 5
	// slotMargin is one statement more than there are slots, so that the endpoint
	// does not stand idle for the trip between two statements.
	slotMargin = 1
	// maxWait for a slot, above which statements are refused as overloaded.
	maxWait = 500 * time.Millisecond
	// initialCost of a statement, before the first measurement.
	initialCost = 30 * time.Millisecond
	// loggedWait for a slot, above which a statement gets a line in the log.
	loggedWait = 50 * time.Millisecond
	// failureLogInterval between two log lines that one endpoint does not answer, since
	// one that loses some answers would fill the log.
	failureLogInterval = time.Second
	// quietLimit without an answer to any of the statements at an endpoint, after which
	// the leader is asked to look at it. Longer statements cost one look.
	quietLimit = 250 * time.Millisecond
	// unansweredInterval between two calls of Unanswered for one endpoint.
	unansweredInterval = 200 * time.Millisecond
)

// node is one endpoint, as its home sees it.
type node struct {
	config *Config
	target catalog.Endpoint

	mu           sync.Mutex
	queue        *scheduling.Queue
	waiters      map[uint64]chan error
	nextItem     uint64
	idle         []*pooled
	open         int
	limit        int
	pinned       int
	pinWaiters   []chan struct{}
	tooManyUntil time.Time
	lastUsed     time.Time
	failing      bool
	// failureLogged is set while the log holds that the endpoint does not answer.
	failureLogged   bool
	failureLoggedAt time.Time
	dialFailedAt    time.Time
	reportedAt      time.Time
	// progress is when the endpoint answered last, or began to be busy.
	progress time.Time
	sample   staleness.Sample
}

func newNode(config *Config, target catalog.Endpoint) *node {
	if target.Slots <= 0 {
		target.Slots = defaultSlots
	}
	return &node{
		config: config,
		target: target,
		queue: scheduling.New(scheduling.Config{
			Slots:              target.Slots + slotMargin,
			MaxWait:            maxWait,
			InitialServiceTime: initialCost,
		}),
		waiters: map[uint64]chan error{},
	}
}

// inSlot waits for a slot and calls run while it holds it. Run returns whether the
// endpoint answered, so that its time says something of the service time.
func (n *node) inSlot(ctx context.Context, request *peer.RunRequest, deadline time.Time, run func() bool) error {
	item, admitted, err := n.arrive(request, deadline)
	if err != nil {
		return err
	}
	arrived := n.config.Timer.Now()
	if err := n.await(ctx, item, admitted, deadline); err != nil {
		return err
	}
	if waited := n.config.Timer.Now().Sub(arrived); waited > loggedWait {
		n.config.Log.V(1).Info("A statement waited for a slot.", "request", request.ID, "endpoint", n.target.Key.ID,
			"database", n.target.Database, "workspace", request.Workspace, "waited", waited.String())
	}
	answered := run()
	n.mu.Lock()
	defer n.mu.Unlock()
	if answered {
		n.queue.Complete(n.config.Timer.Now(), item)
	} else {
		n.queue.ReleaseUnmeasured(item)
	}
	n.pump()
	return nil
}

func (n *node) arrive(request *peer.RunRequest, deadline time.Time) (uint64, chan error, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.config.Timer.Now()
	n.lastUsed = now
	n.nextItem++
	decided := n.queue.Enqueue(now, scheduling.Item{
		ID:          n.nextItem,
		Subject:     request.Workspace,
		Weight:      1,
		Arrived:     now,
		Deadline:    deadline,
		Transaction: request.Step == peer.StepNext || request.Step == peer.StepCommit,
		Priority:    request.Priority,
	})
	if refused, ok := decided.(scheduling.Refused); ok {
		return 0, nil, &refusal.Error{
			Outcome:    refusal.NotRun,
			Reason:     refused.Reason,
			Message:    "the endpoint's queue is too long for the statement's time",
			RetryAfter: refused.RetryAfter,
		}
	}
	admitted := make(chan error, 1)
	n.waiters[n.nextItem] = admitted
	item := n.nextItem
	n.pump()
	n.watch(now)
	return item, admitted, nil
}

// await waits until the queue starts or drops the item.
func (n *node) await(ctx context.Context, item uint64, admitted chan error, deadline time.Time) error {
	select {
	case err := <-admitted:
		return err
	default:
	}
	timeout := n.config.Timer.After(deadline.Sub(n.config.Timer.Now()))
	defer timeout.Stop()
	select {
	case err := <-admitted:
		return err
	case <-timeout.C():
	case <-ctx.Done():
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.queue.Remove(item) {
		delete(n.waiters, item)
		return refusal.NewNotRun(refusal.QueueTimeout, "no slot of the endpoint was free in time")
	}
	// The queue started or dropped the item at the same moment.
	return <-admitted
}

// pump starts and drops items. The caller holds the lock.
func (n *node) pump() {
	for {
		switch decided := n.queue.Next(n.config.Timer.Now()).(type) {
		case scheduling.Run:
			if n.queue.Running() == 1 {
				n.progress = n.config.Timer.Now()
			}
			n.wake(decided.Item.ID, nil)
		case scheduling.Expired:
			n.wake(decided.Item.ID, refusal.NewNotRun(refusal.QueueTimeout, "no slot of the endpoint was free in time"))
		default:
			return
		}
	}
}

func (n *node) wake(item uint64, err error) {
	n.waiters[item] <- err
	delete(n.waiters, item)
}

// pin waits for the right to hold a connection for a transaction. Transactions leave
// a connection for each slot, so that single statements always find one.
func (n *node) pin(ctx context.Context, deadline time.Time) error {
	n.mu.Lock()
	if n.pinned < n.pinLimit() {
		n.pinned++
		n.mu.Unlock()
		return nil
	}
	granted := make(chan struct{}, 1)
	n.pinWaiters = append(n.pinWaiters, granted)
	n.mu.Unlock()
	timeout := n.config.Timer.After(deadline.Sub(n.config.Timer.Now()))
	defer timeout.Stop()
	select {
	case <-granted:
		return nil
	case <-timeout.C():
	case <-ctx.Done():
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	at := slices.Index(n.pinWaiters, granted)
	if at < 0 {
		return nil
	}
	n.pinWaiters = slices.Delete(n.pinWaiters, at, at+1)
	return refusal.NewNotRun(refusal.Overloaded, "transactions hold all connections to the endpoint")
}

func (n *node) unpin() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.pinWaiters) > 0 && n.pinned <= n.pinLimit() {
		n.pinWaiters[0] <- struct{}{}
		n.pinWaiters = n.pinWaiters[1:]
		return
	}
	n.pinned--
}

func (n *node) pinLimit() int {
	return max(n.limit-n.target.Slots-slotMargin, 1)
}

// setLimit of the connections that this home may hold.
func (n *node) setLimit(limit int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limit = max(limit, 1)
}

// expectedWait for a slot, for a workspace.
func (n *node) expectedWait(workspace string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.queue.ExpectedWait(n.config.Timer.Now(), workspace)
}

// watch tells on an endpoint that has been quiet for long while statements run there,
// before their own time is over. The caller holds the lock.
func (n *node) watch(now time.Time) {
	if n.queue.Running() == 0 || now.Sub(n.progress) < quietLimit || now.Sub(n.reportedAt) < unansweredInterval {
		return
	}
	n.reportedAt = now
	if n.config.ReportUnresponsive != nil {
		go n.config.ReportUnresponsive(n.target)
	}
}

func (n *node) answered() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.progress = n.config.Timer.Now()
	if !n.failing {
		return
	}
	n.failing = false
	if n.failureLogged {
		n.failureLogged = false
		n.config.Log.Info("The endpoint answers again.", "endpoint", n.target.Key.ID, "database", n.target.Database)
	}
}

// unanswered records a missing answer, and tells it on.
func (n *node) unanswered() {
	n.mu.Lock()
	now := n.config.Timer.Now()
	logged := !n.failing && now.Sub(n.failureLoggedAt) >= failureLogInterval
	if logged {
		n.failureLogged = true
		n.failureLoggedAt = now
	}
	n.failing = true
	due := now.Sub(n.reportedAt) >= unansweredInterval
	if due {
		n.reportedAt = now
	}
	n.mu.Unlock()
	if logged {
		n.config.Log.Info("The endpoint does not answer.", "endpoint", n.target.Key.ID, "database", n.target.Database)
	}
	if due && n.config.ReportUnresponsive != nil {
		n.config.ReportUnresponsive(n.target)
	}
}
