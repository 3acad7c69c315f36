package endpoint

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/scheduling"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/timer"
)

// checkInterval of a waiting step is a fraction of the detection time (500 ms).
const checkInterval = 100 * time.Millisecond

// shape is what a node cannot change while it works.
type shape struct {
	slots       int
	connections int
	maxWait     time.Duration
}

// node is one endpoint at its home: its queue, its workers, its connections.
type node struct {
	endpoint string
	inFlight peer.InFlight
	pool     *pool
	shape    shape
	stop     chan struct{}
	timer    timer.Service
	waited   metrics.Timer
	wake     chan struct{}
	// warming is held while connections are opened in advance.
	warming sync.Mutex

	mu     sync.Mutex
	lastID uint64
	queue  Queue
	tasks  map[uint64]*task
}

// task is a step in the queue. Its run is called by a worker, or never.
type task struct {
	done chan struct{}
	err  error
	id   uint64
	run  func() error
}

func newNode(endpoint string, form shape, queue Queue, connections *pool, service timer.Service, waited metrics.Timer) *node {
	n := &node{
		endpoint: endpoint,
		pool:     connections,
		shape:    form,
		stop:     make(chan struct{}),
		timer:    service,
		waited:   waited,
		wake:     make(chan struct{}, form.slots),
		queue:    queue,
		tasks:    map[uint64]*task{},
	}
	for range form.slots {
		go n.work()
	}
	return n
}

// submit queues a step, waits until a worker has run it and returns its error. A
// step that was not run is refused as such. While the step waits, a check that is
// not nil is made from time to time; its error takes the step out of the queue, so
// that a statement does not wait behind others that are stuck at a lost primary.
func (n *node) submit(ctx context.Context, item scheduling.Item, check, run func() error) error {
	waiting := &task{
		done: make(chan struct{}),
		run:  run,
	}
	if err := n.enqueue(item, waiting); err != nil {
		return err
	}
	for {
		ended, err := n.await(ctx, waiting, check)
		if ended {
			return err
		}
		if err != nil && n.remove(waiting) {
			return err
		}
	}
}

// await waits until the step has run (ended), the context has ended, or the check
// is due, and returns the step's error or the reason to give the step up.
func (n *node) await(ctx context.Context, waiting *task, check func() error) (ended bool, err error) {
	recheck := n.timer.After(checkInterval)
	defer recheck.Stop()
	select {
	case <-waiting.done:
		return true, waiting.err
	case <-ctx.Done():
		if n.remove(waiting) {
			return true, refusal.NewNotRun(refusal.QueueTimeout, "the request ended while it waited in the queue")
		}
		<-waiting.done
		return true, waiting.err
	case <-recheck.C():
		if check == nil {
			return false, nil
		}
		return false, check()
	}
}

// isAnswered tells whether the endpoint answered a step, be it with an error of the
// statement.
func isAnswered(err error) bool {
	refused, ok := refusal.As(err)
	if !ok {
		return err == nil
	}
	switch refused.Reason {
	case refusal.AccessMismatch, refusal.StatementFailed, refusal.TransactionConflict:
		return true
	default:
		return false
	}
}

// expectedWait of a step that arrives now.
func (n *node) expectedWait(subject string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.queue.ExpectedWait(n.timer.Now(), subject)
}

// queued returns the number of steps that wait or run.
func (n *node) queued() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.tasks)
}

func (n *node) close() {
	close(n.stop)
	n.pool.close()
}

func (n *node) enqueue(item scheduling.Item, waiting *task) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastID++
	item.ID = n.lastID
	waiting.id = item.ID
	decision := n.queue.Enqueue(item.Arrived, item)
	if refused, ok := decision.(scheduling.Refused); ok {
		return &refusal.Error{
			Outcome:    refusal.NotRun,
			Reason:     refused.Reason,
			Message:    "the queue of the endpoint refused the step",
			RetryAfter: refused.RetryAfter,
		}
	}
	n.tasks[item.ID] = waiting
	select {
	case n.wake <- struct{}{}:
	default:
		// As many wake-ups as workers are pending already.
	}
	return nil
}

func (n *node) remove(waiting *task) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.queue.Remove(waiting.id) {
		return false
	}
	delete(n.tasks, waiting.id)
	return true
}

// work runs steps until the node is closed.
func (n *node) work() {
	for {
		next := n.take()
		if next == nil {
			select {
			case <-n.wake:
				continue
			case <-n.stop:
				return
			}
		}
		next.err = next.run()
		n.finish(next)
	}
}

// take returns the next step to run, or nil, and refuses those that expired.
func (n *node) take() *task {
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		switch decision := n.queue.Next(n.timer.Now()).(type) {
		case scheduling.Run:
			return n.tasks[decision.Item.ID]
		case scheduling.Expired:
			expired, ok := n.tasks[decision.Item.ID]
			if !ok {
				continue
			}
			delete(n.tasks, decision.Item.ID)
			expired.err = refusal.NewNotRun(refusal.QueueTimeout, "the step waited too long in the queue")
			close(expired.done)
		default:
			return nil
		}
	}
}

func (n *node) finish(finished *task) {
	n.mu.Lock()
	if isAnswered(finished.err) {
		n.queue.Complete(n.timer.Now(), finished.id)
	} else {
		n.queue.ReleaseUnmeasured(finished.id)
	}
	delete(n.tasks, finished.id)
	n.mu.Unlock()
	close(finished.done)
}
