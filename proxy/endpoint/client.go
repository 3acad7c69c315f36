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

// checkInterval is the interval between two checks of a queued step. It is a fraction
// of the failure detection timeout (500 ms).
const checkInterval = 100 * time.Millisecond

// clientSettings contains the settings that are fixed for the lifetime of a client.
// When they change, a new client replaces the old one.
type clientSettings struct {
	slots       int
	connections int
	maxWait     time.Duration
}

// pinLimit returns the maximum number of connections that transactions hold.
func (s clientSettings) pinLimit() int {
	return max(1, s.connections-s.slots)
}

// endpointClient sends steps to one endpoint. It consists of a queue, one worker for
// each slot of the endpoint and a connection pool.
type endpointClient struct {
	endpoint  string
	inFlight  peer.InFlight
	pool      *pool
	settings  clientSettings
	stop      chan struct{}
	timer     timer.Service
	queueWait metrics.Timer
	wake      chan struct{}
	// warmUpMu is held while connections are opened in advance, so that only one
	// goroutine does it.
	warmUpMu sync.Mutex

	mu     sync.Mutex
	lastID uint64
	queue  Queue
	tasks  map[uint64]*task
}

// task is a queued step. A worker calls run at most once.
type task struct {
	done chan struct{}
	err  error
	id   uint64
	run  func() error
}

func newEndpointClient(endpoint string, settings clientSettings, queue Queue, connections *pool, service timer.Service, queueWait metrics.Timer) *endpointClient {
	c := &endpointClient{
		endpoint:  endpoint,
		pool:      connections,
		settings:  settings,
		stop:      make(chan struct{}),
		timer:     service,
		queueWait: queueWait,
		wake:      make(chan struct{}, settings.slots),
		queue:     queue,
		tasks:     map[uint64]*task{},
	}
	for range settings.slots {
		go c.runTasks()
	}
	return c
}

// submit queues a step, waits until a worker has run it and returns its error. A
// step that was not run is refused with the outcome NotRun. While the step is
// queued, check is called every checkInterval unless it is nil. If it fails, the
// step is removed from the queue, so that a statement does not wait behind others
// that are blocked at a lost primary.
func (c *endpointClient) submit(ctx context.Context, item scheduling.Item, check, run func() error) error {
	queued := &task{
		done: make(chan struct{}),
		run:  run,
	}
	if err := c.enqueue(item, queued); err != nil {
		return err
	}
	for {
		ended, err := c.waitOrCheck(ctx, queued, check)
		if ended {
			return err
		}
		if err != nil && c.remove(queued) {
			return err
		}
	}
}

// waitOrCheck waits for the first of three events. If the step or the context has
// ended, it returns true and the error of the step. If the check is due, it returns
// false and the error of the check.
func (c *endpointClient) waitOrCheck(ctx context.Context, queued *task, check func() error) (ended bool, err error) {
	checkDue := c.timer.After(checkInterval)
	defer checkDue.Stop()
	select {
	case <-queued.done:
		return true, queued.err
	case <-ctx.Done():
		if c.remove(queued) {
			return true, refusal.NewNotRun(refusal.QueueTimeout, "the request ended while it waited in the queue")
		}
		<-queued.done
		return true, queued.err
	case <-checkDue.C():
		if check == nil {
			return false, nil
		}
		return false, check()
	}
}

// hasResponse reports whether the endpoint responded to a step, possibly with an
// error of the statement.
func hasResponse(err error) bool {
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

// expectedWait returns the expected queue wait of a step that arrives now.
func (c *endpointClient) expectedWait(subject string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.ExpectedWait(c.timer.Now(), subject)
}

// taskCount returns the number of steps that are queued or running.
func (c *endpointClient) taskCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.tasks)
}

func (c *endpointClient) close() {
	close(c.stop)
	c.pool.close()
}

func (c *endpointClient) enqueue(item scheduling.Item, queued *task) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	item.ID = c.lastID
	queued.id = item.ID
	if err := queueError(c.queue.Enqueue(item.ArrivedAt, item)); err != nil {
		return err
	}
	c.tasks[item.ID] = queued
	select {
	case c.wake <- struct{}{}:
	default:
		// There is already a pending wake-up for each worker.
	}
	return nil
}

// queueError returns the error for a decision on an arriving step; nil if the step was
// accepted.
func queueError(decision scheduling.Decision) error {
	refused, ok := decision.(scheduling.Refused)
	if !ok {
		return nil
	}
	return &refusal.Error{
		Outcome:    refusal.NotRun,
		Reason:     refused.Reason,
		Message:    "the queue of the endpoint refused the step",
		RetryAfter: refused.RetryAfter,
	}
}

// remove removes a task from the queue; false if the task is no longer queued.
func (c *endpointClient) remove(queued *task) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.queue.Remove(queued.id) {
		return false
	}
	delete(c.tasks, queued.id)
	return true
}

// runTasks runs queued steps until the client is closed.
func (c *endpointClient) runTasks() {
	for {
		next := c.nextTask()
		if next == nil {
			select {
			case <-c.wake:
				continue
			case <-c.stop:
				return
			}
		}
		next.err = next.run()
		c.finish(next)
	}
}

// nextTask returns the next step to run, or nil if none can run now. It refuses expired
// steps.
func (c *endpointClient) nextTask() *task {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch decision := c.queue.Next(c.timer.Now()).(type) {
		case scheduling.Run:
			return c.tasks[decision.Item.ID]
		case scheduling.Expired:
			expired, ok := c.tasks[decision.Item.ID]
			if !ok {
				continue
			}
			delete(c.tasks, decision.Item.ID)
			expired.err = refusal.NewNotRun(refusal.QueueTimeout, "the step waited too long in the queue")
			close(expired.done)
		default:
			return nil
		}
	}
}

func (c *endpointClient) finish(finished *task) {
	c.mu.Lock()
	if hasResponse(finished.err) {
		c.queue.Complete(c.timer.Now(), finished.id)
	} else {
		c.queue.ReleaseUnmeasured(finished.id)
	}
	delete(c.tasks, finished.id)
	c.mu.Unlock()
	close(finished.done)
}
