package peer

import (
	"sync"
	"time"
)

// maxRequestDelay is the delay of a request beyond the usual one of its connection after which
// the calling VM has given it up: a ping that was sent after the request has had no response.
const maxRequestDelay = pingDelay + pingTimeout

// delays measures how much longer than usual the requests of one connection take to arrive.
// Requests wait in the buffers of a VM that is suspended, or whose process is stopped. The
// clocks of the two VMs have different origins, but both include suspensions, so that their
// difference is constant.
type delays struct {
	mu    sync.Mutex
	known bool
	// least is the least difference between a reading at the arrival of a request and the
	// calling VM's reading when it sent the request.
	least time.Duration
}

// add records a request that arrived at a reading of SinceBoot, and returns how much longer it
// took than the fastest one so far. The first request of a connection has no delay.
func (d *delays) add(arrivedAt, sentAt time.Duration) time.Duration {
	if sentAt == 0 {
		// The VM runs an earlier build.
		return 0
	}
	difference := arrivedAt - sentAt
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.known || difference < d.least {
		d.known = true
		d.least = difference
	}
	return difference - d.least
}

// isGivenUp reports whether the calling VM has given the request up if it was delayed for this
// long. A rollback is carried out nevertheless.
func (r *RunRequest) isGivenUp(delay time.Duration) bool {
	return r.Step != StepRollback && (delay >= maxRequestDelay || delay > 0 && delay >= r.Timeout && r.Timeout > 0)
}
