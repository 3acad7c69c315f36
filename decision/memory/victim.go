package memory

import "time"

// Phase is what a connection is doing.
type Phase int32

// The phases.
const (
	// Starting means that the connection has not opened its session.
	Starting Phase = iota
	// Idle means that the session waits for a request, outside of a transaction.
	Idle
	// InTransaction means that the session waits for a request in a transaction.
	InTransaction
	// Receiving means that a part of a message has arrived.
	Receiving
	// Waiting means that the connection is not read, because it waits for memory.
	Waiting
	// Running means that a request runs. Such a connection is not closed.
	Running
	// Sending means that an answer is being sent.
	Sending
)

// Holder is a connection and the memory that it holds.
type Holder struct {
	ID    uint64
	Group string
	Phase Phase
	// Held is the memory in bytes.
	Held int64
	// OpenedAt is when the connection was accepted, ProgressAt when the caller last sent or read
	// something worth counting. Both are readings of one clock.
	OpenedAt, ProgressAt time.Duration
}

// age returns how long a holder has made no progress.
func (h Holder) age(now time.Duration) time.Duration { return now - h.ProgressAt }

// ChooseForMemory returns the holder to close so that others get its memory: the one that holds
// much for a long time without progress, and preferably of a group that uses much. It returns false
// if no holder that may be closed holds at least the minimum and has stalled for the given time.
func ChooseForMemory(holders []Holder, usedBy func(group string) int64, minimum int64, stall, now time.Duration) (Holder, bool) {
	best, bestScore := Holder{}, 0.0
	for _, h := range holders {
		if h.Phase == Running || h.Held < minimum || h.age(now) < h.patience(stall) {
			continue
		}
		score := float64(h.Held) * h.age(now).Seconds() * max(float64(usedBy(h.Group)), 1) / Weight(h.Group)
		if score > bestScore {
			best, bestScore = h, score
		}
	}
	return best, bestScore > 0
}

// waitingStalls is how much longer a connection that itself waits for memory is spared: it moves
// nothing because it is not read.
const waitingStalls = 10

// patience returns the time without progress after which a holder may be closed for its memory.
func (h Holder) patience(stall time.Duration) time.Duration {
	if h.Phase == Waiting {
		return waitingStalls * stall
	}
	return stall
}

// startDivisor gives the part of the stall time within which a caller usually has sent its start.
const startDivisor = 10

// ChooseForConnection returns the holder to close so that a new connection can be accepted: the
// one that has stalled longest in its start, a message or an answer, otherwise the newest idle one.
// Connections that are slow to start come before idle sessions, so that many connections without a
// session do not end the sessions. It returns false if there is neither.
func ChooseForConnection(holders []Holder, stall, now time.Duration) (Holder, bool) {
	best, found := Holder{}, false
	better := func(h Holder) bool {
		switch stalled := h.isStalled(stall, now); {
		case !found:
			return true
		case stalled != best.isStalled(stall, now):
			return stalled
		case stalled:
			return h.ProgressAt < best.ProgressAt
		case h.Phase != best.Phase:
			return h.Phase == Starting
		default:
			return h.OpenedAt > best.OpenedAt
		}
	}
	for _, h := range holders {
		startsSlowly := h.Phase == Starting && h.age(now) >= stall/startDivisor
		if (h.Phase == Idle || startsSlowly || h.isStalled(stall, now)) && better(h) {
			best, found = h, true
		}
	}
	return best, found
}

// isStalled reports whether the caller has stopped in its start, a message or an answer.
func (h Holder) isStalled(stall, now time.Duration) bool {
	switch h.Phase {
	case Starting, Receiving, Sending:
		return h.age(now) >= stall
	default:
		return false
	}
}
