// Package budget keeps the memory and the descriptors that callers make this process use within
// its limits. Connections take memory from one budget before they read on; who gets it, and whose
// connection is closed, is decided by decision/memory.
package budget

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/memory"
	"amaranthdock.dev/timer"
)

const (
	// reliefInterval is the time between two connections that are closed for their memory, so that
	// the first one's memory is back before the next is chosen.
	reliefInterval = 20 * time.Millisecond
	// logInterval is the least time between two log lines with the same reason.
	logInterval = 5 * time.Second
)

var (
	// ErrNoMemory means that the memory was not free in time.
	ErrNoMemory = errors.New("the memory for callers is in use")
	// ErrClosed means that the connection was closed while it waited for memory.
	ErrClosed = errors.New("the connection was closed")
)

// Config configures a Budget.
type Config struct {
	// Limits are the limits with their defaults.
	Limits   Limits
	Timer    timer.Service
	Log      logr.Logger
	Registry metrics.Registry
}

// Budget is the budget of a process. It is safe for concurrent use. A nil Budget has no limits.
type Budget struct {
	config Config

	mu       sync.Mutex
	memory   *memory.Budget
	accounts map[uint64]*Account
	// connections is the number of accounts of callers' connections.
	connections int
	waiting     map[uint64]chan struct{}
	lastID      uint64
	relievedAt  time.Duration
	logged      map[string]logState
	used        metrics.Gauge
	open        metrics.Gauge
}

// New returns a Budget.
func New(config Config) *Budget {
	if config.Limits.MemoryBytes <= 0 {
		// Without a limit, only the counts are kept.
		config.Limits.MemoryBytes = 1 << 62
	}
	return &Budget{
		config:   config,
		memory:   memory.NewBudget(config.Limits.MemoryBytes),
		accounts: map[uint64]*Account{},
		waiting:  map[uint64]chan struct{}{},
		logged:   map[string]logState{},
		used:     metrics.GetOrRegisterGauge("callerLimits.usedBytes", config.Registry),
		open:     metrics.GetOrRegisterGauge("callerLimits.connections", config.Registry),
	}
}

// Limits returns the limits; without a Budget the defaults.
func (b *Budget) Limits() Limits {
	if b == nil {
		return Limits{}.WithDefaults(0, 0)
	}
	return b.config.Limits
}

// publicWorkspace is the workspace name of callers without a key.
const publicWorkspace = "-"

// Group returns the group of a workspace.
func Group(workspace string) string {
	if workspace == publicWorkspace {
		return memory.Anonymous
	}
	return workspace
}

// Connect returns the account of a new connection of a caller, whose function end closes it. If the
// process has no descriptor or memory left for it, another connection is closed, or it returns
// false.
func (b *Budget) Connect(end func()) (*Account, bool) {
	if b == nil {
		return nil, true
	}
	b.mu.Lock()
	limit := b.config.Limits.Connections
	full := limit > 0 && b.connections >= limit
	if !full && b.memory.TakeFixed(ConnectionBytes) {
		defer b.mu.Unlock()
		return b.addConnection(end), true
	}
	now := b.config.Timer.SinceBoot()
	victim, ok := memory.ChooseForConnection(b.holders(func(a *Account) bool { return a.connection }), b.config.Limits.Stall, now)
	if !ok {
		b.mu.Unlock()
		b.Count("connectionRefused")
		return nil, false
	}
	// The new connection takes the place and the memory of the one that is closed.
	a := b.accounts[victim.ID]
	b.retire(a)
	taken := b.memory.TakeFixed(ConnectionBytes)
	var added *Account
	if taken {
		added = b.addConnection(end)
	}
	b.mu.Unlock()
	a.end()
	b.Count("closedForConnection")
	return added, taken
}

// Open returns an account for statements that other VMs forward.
func (b *Budget) Open(group string) *Account { return b.OpenRequest(group, nil) }

// OpenRequest returns an account for the body of a request, whose function end ends the request if
// others need its memory; nil if it is not ended.
func (b *Budget) OpenRequest(group string, end func()) *Account {
	return b.openHolding(group, end, false)
}

// OpenAnswers returns an account for answers of endpoints.
func (b *Budget) OpenAnswers(group string) *Account { return b.OpenResponse(group, nil) }

// OpenResponse returns an account for the answer of an endpoint and the response with it, whose
// function end ends the request if others need its memory; nil if it is not ended.
func (b *Budget) OpenResponse(group string, end func()) *Account {
	return b.openHolding(group, end, true)
}

func (b *Budget) openHolding(group string, end func(), answers bool) *Account {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.add(0, end)
	a.group, a.answers = group, answers
	if answers {
		b.memory.AddAnswers(a.id, group)
	} else {
		b.memory.Add(a.id, group)
	}
	return a
}

// UsedBy returns the bytes that a workspace holds.
func (b *Budget) UsedBy(group string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.memory.UsedBy(group)
}

// addConnection adds the account of a connection, whose memory is taken already. The lock must be
// held.
func (b *Budget) addConnection(end func()) *Account {
	a := b.add(ConnectionBytes, end)
	a.connection = true
	b.connections++
	b.memory.Add(a.id, memory.Anonymous)
	b.update()
	return a
}

// add adds an account without a holder. The lock must be held.
func (b *Budget) add(fixed int64, end func()) *Account {
	b.lastID++
	now := b.config.Timer.SinceBoot()
	a := &Account{
		budget:   b,
		id:       b.lastID,
		end:      end,
		fixed:    fixed,
		openedAt: now,
		closed:   make(chan struct{}),
	}
	a.progressAt.Store(int64(now))
	b.accounts[a.id] = a
	return a
}

// retire returns the fixed memory and the descriptor of a connection that is being closed, and
// leaves it out of further choices. Its other memory is returned when it ends. The lock must be
// held.
func (b *Budget) retire(a *Account) {
	if a.retired {
		return
	}
	a.retired = true
	close(a.closed)
	b.memory.ReleaseFixed(a.fixed)
	if a.connection {
		b.connections--
	}
}

// holders returns the connections and requests that may be ended and for which a function returns
// true. The lock must be held.
func (b *Budget) holders(include func(*Account) bool) []memory.Holder {
	holders := make([]memory.Holder, 0, len(b.accounts))
	for _, a := range b.accounts {
		if a.end == nil || a.retired || !include(a) {
			continue
		}
		holders = append(holders, memory.Holder{
			ID:         a.id,
			Group:      a.group,
			Phase:      memory.Phase(a.phase.Load()),
			Held:       b.memory.Held(a.id),
			OpenedAt:   a.openedAt,
			ProgressAt: time.Duration(a.progressAt.Load()),
		})
	}
	return holders
}

// relieve ends the connection or request that holds much memory and makes no progress, for a
// request that waits.
func (b *Budget) relieve(waiting *Account, bytes int64) {
	b.mu.Lock()
	if _, waits := b.waiting[waiting.id]; !waits {
		b.mu.Unlock()
		return
	}
	b.endStalled(waiting, bytes)
}

// endStalled ends the connection or request that holds much memory, and makes no progress, in the
// part of the memory that an account needs. The lock must be held; it is released.
func (b *Budget) endStalled(needing *Account, bytes int64) {
	now := b.config.Timer.SinceBoot()
	if now-b.relievedAt < reliefInterval {
		b.mu.Unlock()
		return
	}
	b.relievedAt = now
	// Memory for answers is a part of its own, to which other memory is of no use.
	holders := b.holders(func(a *Account) bool { return a.answers == needing.answers })
	if b.memory.LimitedByGroup(needing.id, bytes) {
		holders = slices.DeleteFunc(holders, func(h memory.Holder) bool { return h.Group != needing.group })
	}
	victim, ok := memory.ChooseForMemory(holders, b.memory.UsedBy, FreeBytes, b.config.Limits.Stall, now)
	if !ok {
		b.mu.Unlock()
		return
	}
	a := b.accounts[victim.ID]
	b.retire(a)
	b.mu.Unlock()
	a.end()
	b.Count("closedForMemory")
}

// grantWaiting grants the waiting requests that fit. The lock must be held.
func (b *Budget) grantWaiting() {
	for {
		id, ok := b.memory.Next()
		if !ok {
			break
		}
		close(b.waiting[id])
		delete(b.waiting, id)
	}
	b.update()
}

func (b *Budget) update() {
	b.used.Update(b.memory.Used())
	b.open.Update(int64(b.connections))
}

// logState is when a reason was logged last, and how often it has occurred since.
type logState struct {
	at    time.Duration
	since int64
}

// Count counts a refusal or a closed connection by its reason and logs it at a bounded rate.
func (b *Budget) Count(reason string) {
	if b == nil {
		return
	}
	metrics.GetOrRegisterCounter("callerLimits."+reason, b.config.Registry).Inc(1)
	b.mu.Lock()
	now := b.config.Timer.SinceBoot()
	state, logged := b.logged[reason]
	state.since++
	due := !logged || now-state.at >= logInterval
	count := state.since
	if due {
		state = logState{at: now}
	}
	b.logged[reason] = state
	used, connections := b.memory.Used(), b.connections
	b.mu.Unlock()
	if due {
		b.config.Log.Info("A limit for callers was reached.", "reason", reason, "count", count, "usedBytes", used, "connections", connections)
	}
}

// atomicPhase is a memory.Phase that is changed without the lock of the Budget.
type atomicPhase struct{ atomic.Int32 }
