package platform

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/timer"
)

// DefaultMaxValueSize in bytes is the limit of the platform's store.
const DefaultMaxValueSize = 1 << 20

// Outage is what calls meet.
type Outage string

// The outages.
const (
	OutageFail Outage = "fail"
	OutageHang Outage = "hang"
	OutageOff  Outage = "off"
)

// Duration is a time.Duration that is a text such as 20ms in JSON.
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

// Faults is what the stand-in does wrong.
type Faults struct {
	Outage Outage `json:"outage"`
	// Delay of each answer, after the call took effect.
	Delay Duration `json:"delay"`
	// LoseAnswers is the number of swaps that will take effect and then fail.
	LoseAnswers int `json:"loseAnswers"`
	// StaleReads is the number of Get calls that will return the former value.
	StaleReads int `json:"staleReads"`
	// MaxValueSize in bytes.
	MaxValueSize int `json:"maxValueSize"`
}

// errOutage looks like the error of a service that is not there.
var errOutage = connect.NewError(connect.CodeUnavailable, eris.New("the platform is out"))

type faults struct {
	timer   timer.Service
	changed *broadcast

	mu      sync.Mutex
	current Faults
}

func newFaults(service timer.Service) *faults {
	return &faults{
		timer:   service,
		changed: newBroadcast(),
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
	f.changed.notify()
	return next, nil
}

// pass waits out a hanging outage and fails in a failing one.
func (f *faults) pass(ctx context.Context) error {
	for {
		changes := f.changed.next()
		switch f.get().Outage {
		case OutageFail:
			return errOutage
		case OutageHang:
			select {
			case <-changes:
			case <-ctx.Done():
				return ctx.Err()
			}
		default:
			return nil
		}
	}
}

// delay holds back an answer.
func (f *faults) delay(ctx context.Context) error {
	wait := time.Duration(f.get().Delay)
	if wait <= 0 {
		return nil
	}
	return timer.Sleep(ctx, f.timer, wait)
}

// takeLostAnswer tells whether the answer of this swap is lost.
func (f *faults) takeLostAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.LoseAnswers < 1 {
		return false
	}
	f.current.LoseAnswers--
	return true
}

// takeStaleRead tells whether this read returns the former value.
func (f *faults) takeStaleRead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.StaleReads < 1 {
		return false
	}
	f.current.StaleReads--
	return true
}
