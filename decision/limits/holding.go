package limits

import "time"

// HandoverDelay is how long a VM waits before it uses a larger share of a limit. VMs learn
// of a change of the fleet at different times, so the VM that held the share before may
// still use it. All VMs that reach the store or its readers learn of a change within this
// time.
const HandoverDelay = 2 * time.Second

// Holding is the share of a limit that a VM uses, in millionths. A smaller share applies
// immediately and a larger one after HandoverDelay, so that the shares in use sum to at
// most the whole limit while VMs disagree about the fleet. The zero value holds nothing.
type Holding struct {
	share int64
	// pending is the larger share that applies at pendingAt; 0 for none.
	pending   int64
	pendingAt time.Time
}

// Share returns the share in use.
func (h *Holding) Share() int64 { return h.share }

// Pending reports whether a larger share is waiting to apply.
func (h *Holding) Pending() bool { return h.pending != 0 }

// Assign records the share that this VM has in the current fleet.
func (h *Holding) Assign(now time.Time, share int64) {
	switch {
	case share <= h.share:
		h.share, h.pending = share, 0
	case h.pending == 0 || share > h.pending:
		h.pending, h.pendingAt = share, now.Add(HandoverDelay)
	default:
		h.pending = share
	}
}

// Resume makes a share apply immediately. A VM may use it for a share that no other VM can
// have held in the meantime.
func (h *Holding) Resume(share int64) { h.share, h.pending = share, 0 }

// Advance applies a pending share that is due, and returns the time from which it applies;
// false if none is due.
func (h *Holding) Advance(now time.Time) (time.Time, bool) {
	if h.pending == 0 || now.Before(h.pendingAt) {
		return time.Time{}, false
	}
	h.share, h.pending = h.pending, 0
	return h.pendingAt, true
}
