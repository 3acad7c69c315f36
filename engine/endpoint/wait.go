package endpoint

import (
	"errors"
	"fmt"
	"time"

	"amaranthdock.dev/timer"
)

const (
	// minSuspension is the difference of the two clocks above which this VM was suspended. They
	// are read one after the other, and a loaded VM may pause between the readings.
	minSuspension = 100 * time.Millisecond
	// maxLateness is how long after its timeout a wait ends at a VM that is running. A stopped
	// process notices its time-outs only when it goes on.
	maxLateness = 100 * time.Millisecond
)

// errEndedHere means that a wait for an endpoint ended because of this VM, so that the missing
// reply says nothing about the endpoint.
var errEndedHere = errors.New("this VM was suspended or closed the connection")

// wait is the wait for a reply of an endpoint.
type wait struct {
	timer     timer.Service
	began     time.Time
	beganBoot time.Duration
	timeout   time.Duration
}

func (e *endpointClient) beginWait(timeout time.Duration) wait {
	return wait{
		timer:     e.config.Timer,
		began:     e.config.Timer.Now(),
		beganBoot: e.config.Timer.SinceBoot(),
		timeout:   timeout,
	}
}

// attribute returns the error with which the wait ended, wrapped in errEndedHere if this VM is the
// cause: it closed the connection, was suspended, or was stopped beyond the timeout.
func (w wait) attribute(err error, closedHere bool) error {
	if err == nil {
		return nil
	}
	elapsed := w.timer.Now().Sub(w.began)
	suspended := w.timer.SinceBoot()-w.beganBoot-elapsed > minSuspension
	if closedHere || suspended || elapsed > w.timeout+maxLateness {
		return fmt.Errorf("%w: %w", errEndedHere, err)
	}
	return err
}
