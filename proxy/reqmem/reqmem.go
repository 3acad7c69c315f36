// Package reqmem takes the memory of HTTP requests and their responses from the budget of the
// process, and ends requests that hold memory and make no progress if others need it.
package reqmem

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"amaranthdock.dev/decision/memory"
	"amaranthdock.dev/engine/budget"
	"amaranthdock.dev/timer"
)

// ErrTooLong means that an answer is longer than the limit.
var ErrTooLong = errors.New("the answer is longer than the limit")

// receivedCopies is how often an answer that is sent as a whole is in memory: as it was received, and
// as it is encoded.
const receivedCopies = 2

// answerWait limits the wait for the memory of an answer. Requests that wait longer would miss their
// deadlines.
const answerWait = 3 * time.Second

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// Config configures a Request.
type Config struct {
	Budget *budget.Budget
	Timer  timer.Service
	// Response is the writer of the request's response. Without one the request is not ended for
	// its memory.
	Response http.ResponseWriter
}

// Request is the memory of one request. Its methods may be called from several goroutines. A nil
// Request has no limits.
type Request struct {
	config     Config
	controller *http.ResponseController

	// answerMu is held while the memory of an answer is taken, and may be held for answerWait.
	answerMu sync.Mutex

	mu    sync.Mutex
	phase memory.Phase
	// closed is set once the handler has returned, ended once the request was ended for its memory.
	closed, ended bool
	body, answer  *budget.Account
	// held is the memory of the answer.
	held int64
	// stalled is how long the caller had made no progress when it was waited for last.
	stalled time.Duration
}

// New returns the memory of a request; nil without a budget.
func New(config Config) *Request {
	if config.Budget == nil {
		return nil
	}
	r := &Request{
		config: config,
		phase:  memory.Receiving,
	}
	if config.Response != nil {
		r.controller = http.NewResponseController(config.Response)
	}
	return r
}

// contextKey is the key of the Request in a context.
type contextKey struct{}

// WithContext returns a context with the memory.
func (r *Request) WithContext(ctx context.Context) context.Context {
	if r == nil {
		return ctx
	}
	return context.WithValue(ctx, contextKey{}, r)
}

// FromContext returns the memory of the request that a context belongs to; nil if there is none.
func FromContext(ctx context.Context) *Request {
	r, _ := ctx.Value(contextKey{}).(*Request)
	return r
}

// Budget returns the budget; nil for a nil Request.
func (r *Request) Budget() *budget.Budget {
	if r == nil {
		return nil
	}
	return r.config.Budget
}

// TakeBody waits until a time for the memory of the body.
func (r *Request) TakeBody(group string, bytes int64, deadline time.Time) error {
	account := r.openBody(group)
	account.SetPhase(memory.Waiting)
	err := account.Take(bytes, deadline)
	account.SetPhase(memory.Receiving)
	return err
}

// TryTakeBody takes the memory of the body if it is free. Otherwise it ends a request that stalls,
// so that the next one finds its memory.
func (r *Request) TryTakeBody(group string, bytes int64) bool {
	account := r.openBody(group)
	account.SetPhase(memory.Receiving)
	return account.TakeOrEndStalled(bytes)
}

// openBody returns the account of the body.
func (r *Request) openBody(group string) *budget.Account {
	account := r.config.Budget.OpenRequest(group, r.ender())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.body = account
	return account
}

// ReleaseBody returns memory of the body.
func (r *Request) ReleaseBody(bytes int64) {
	if r != nil {
		r.body.Release(bytes)
	}
}

// EndBody records that the body was received, so that the request runs now. It returns false if the
// request was ended for its memory, which is returned then.
func (r *Request) EndBody() bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = memory.Running
	if r.ended {
		r.body.Close()
		return false
	}
	r.body.SetPhase(memory.Running)
	return true
}

// HoldAnswer waits for the memory of an answer of which a length is known, and of which a part is not
// read yet. That part is in memory twice while it is decoded. It returns ErrTooLong beyond the limit.
func (r *Request) HoldAnswer(group string, length, part int64) error {
	return r.holdAnswer(group, length, length+part, func(account *budget.Account, bytes int64) error {
		if account.TryTake(bytes) {
			return nil
		}
		account.SetPhase(memory.Waiting)
		defer account.SetPhase(memory.Running)
		return account.Take(bytes, r.config.Timer.Now().Add(answerWait))
	})
}

// HoldReceived takes the memory of an answer that was received. It does not wait, because the answer
// is in memory already, but ends a request that stalls, so that the next one finds its memory.
func (r *Request) HoldReceived(group string, length int64) error {
	return r.holdAnswer(group, length, length*receivedCopies, func(account *budget.Account, bytes int64) error {
		if account.TakeOrEndStalled(bytes) {
			return nil
		}
		return budget.ErrNoMemory
	})
}

// holdAnswer takes with a function what an answer of a length lacks of a number of bytes.
func (r *Request) holdAnswer(group string, length, bytes int64, take func(*budget.Account, int64) error) error {
	if r == nil || length <= budget.FreeBytes {
		return nil
	}
	r.answerMu.Lock()
	defer r.answerMu.Unlock()
	limits := r.config.Budget.Limits()
	if length > limits.AnswerBytes || bytes > memory.MaxAnswer(limits.MemoryBytes) {
		r.config.Budget.Count("answerTooLong")
		return ErrTooLong
	}
	account, more, err := r.openAnswer(group, bytes)
	if err != nil || more <= 0 {
		return err
	}
	if err := take(account, more); err != nil {
		r.config.Budget.Count("noMemory")
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held += more
	return nil
}

// openAnswer returns the account of the answer and how much it lacks of a number of bytes.
func (r *Request) openAnswer(group string, bytes int64) (*budget.Account, int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.ended {
		return nil, 0, budget.ErrClosed
	}
	if r.answer == nil {
		r.answer = r.config.Budget.OpenResponse(group, r.ender())
		r.answer.SetPhase(r.phase)
	}
	return r.answer, bytes - r.held, nil
}

// Close returns all memory. It is called before the handler returns.
func (r *Request) Close() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.body.Close()
	r.answer.Close()
}

// ender returns the function that ends the request; nil if it cannot be ended.
func (r *Request) ender() func() {
	if r.controller == nil {
		return nil
	}
	return r.end
}

// end ends a request whose body or response stalls: it ends the read of the body, or the response.
// A request that has begun to run meanwhile goes on.
func (r *Request) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.ended {
		return
	}
	switch r.phase {
	case memory.Receiving:
		r.ended = true
		// If it fails, the time limit of the server ends the request.
		_ = r.controller.SetReadDeadline(past)
	case memory.Sending:
		r.ended = true
		_ = r.controller.SetWriteDeadline(past)
	}
}

// progress records that the caller has sent or read something.
func (r *Request) progress() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.body.Progress()
	r.answer.Progress()
}

// beginSending records that the response waits for its caller. It returns false if the request was
// ended.
func (r *Request) beginSending() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return false
	}
	r.phase = memory.Sending
	r.body.Resume(memory.Sending, r.stalled)
	r.answer.Resume(memory.Sending, r.stalled)
	return true
}

// endSending records that the response no longer waits for its caller. The time without progress
// counts on when it does again.
func (r *Request) endSending() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = memory.Running
	r.stalled = max(r.body.Stalled(), r.answer.Stalled())
	r.body.Resume(memory.Running, r.stalled)
	r.answer.Resume(memory.Running, r.stalled)
}
