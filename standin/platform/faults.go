package platform

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/timer"
)

// DefaultMaxValueSize is the maximum size of a value in the platform's store, in bytes.
const DefaultMaxValueSize = 1 << 20

// Outage is the effect of an outage on calls.
type Outage string

// The values of Outage.
const (
	// OutageFail fails all calls.
	OutageFail Outage = "fail"
	// OutageHang blocks all calls until the outage ends.
	OutageHang Outage = "hang"
	// OutageOff is normal operation.
	OutageOff Outage = "off"
)

// Duration is a time.Duration that is encoded in JSON as a string such as "20ms".
type Duration time.Duration

// MarshalText returns the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	*d = Duration(duration)
	return err
}

// Faults are the faults that the stand-in injects.
type Faults struct {
	Outage Outage `json:"outage"`
	// Delay is the delay of each response, after the call took effect.
	Delay Duration `json:"delay"`
	// LoseAnswers is the number of further swaps that take effect, but whose response
	// is lost.
	LoseAnswers int `json:"loseAnswers"`
	// StaleReads is the number of further Get calls that return the previous value.
	StaleReads int `json:"staleReads"`
	// MaxValueSize is the maximum size of a value in bytes.
	MaxValueSize int `json:"maxValueSize"`
}

// errOutage is the error that a client gets if the service is unreachable.
var errOutage = connect.NewError(connect.CodeUnavailable, eris.New("the platform is unavailable"))

type faults struct {
	timer   timer.Service
	changes *broadcast

	mu      sync.Mutex
	current Faults
}

func newFaults(service timer.Service) *faults {
	return &faults{
		timer:   service,
		changes: newBroadcast(),
		current: Faults{
			Outage:       OutageOff,
			MaxValueSize: DefaultMaxValueSize,
		},
	}
}

func (f *faults) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

func (f *faults) set(update func(*Faults) error) (Faults, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.current
	if err := update(&next); err != nil {
		return f.current, err
	}
	f.current = next
	f.changes.notify()
	return next, nil
}

// awaitAvailability blocks during a hanging outage and returns an error during a
// failing one.
func (f *faults) awaitAvailability(ctx context.Context) error {
	for {
		changed := f.changes.next()
		switch f.get().Outage {
		case OutageFail:
			return errOutage
		case OutageHang:
			select {
			case <-changed:
			case <-ctx.Done():
				return ctx.Err()
			}
		default:
			return nil
		}
	}
}

// delayResponse waits for the configured delay of responses.
func (f *faults) delayResponse(ctx context.Context) error {
	delay := time.Duration(f.get().Delay)
	if delay <= 0 {
		return nil
	}
	return timer.Sleep(ctx, f.timer, delay)
}

// consumeLostAnswer reports whether the response to this swap is to be lost, and counts
// it.
func (f *faults) consumeLostAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.LoseAnswers < 1 {
		return false
	}
	f.current.LoseAnswers--
	return true
}

// consumeStaleRead reports whether this read is to return the previous value, and
// counts it.
func (f *faults) consumeStaleRead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.StaleReads < 1 {
		return false
	}
	f.current.StaleReads--
	return true
}
